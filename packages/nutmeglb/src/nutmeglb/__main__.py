"""Entry point of ``python -m nutmeglb`` and of the ``nutmeglb`` command."""

import sys

from nutmeglb._internal.cli import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
