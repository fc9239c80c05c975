"""Entry point of ``python -m nutmegctl``."""

import sys

from nutmegctl._internal.cli import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
