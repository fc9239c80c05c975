"""Thin entry point."""

import sys

from nutmeglb._internal.cli import main

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
