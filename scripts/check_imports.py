"""Checks the import direction between packages and that the decisions package imports no I/O."""

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROJECT_PACKAGES = {
    "nutmeglb_formats",
    "nutmeglb_decisions",
    "nutmeglb",
    "nutmegctl",
    "nutmeglb_platform",
}
ALLOWED_IMPORTS = {
    "nutmeglb_formats": {"nutmeglb_formats"},
    "nutmeglb_decisions": {"nutmeglb_formats", "nutmeglb_decisions"},
    "nutmeglb": {"nutmeglb_formats", "nutmeglb_decisions", "nutmeglb"},
    "nutmegctl": {"nutmeglb_formats", "nutmegctl"},
    "nutmeglb_platform": {
        "nutmeglb_formats",
        "nutmeglb_decisions",
        "nutmeglb",
        "nutmeglb_platform",
    },
}
IO_MODULES = {"asyncio", "tornado", "websockets", "socket", "pycurl", "eliot", "aioprometheus"}


def _imported_packages(path: Path) -> Iterator[tuple[int, str]]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield node.lineno, alias.name.split(".")[0]
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.lineno, node.module.split(".")[0]


def _forbidden_imports(package: str, path: Path) -> Iterator[str]:
    for line, name in _imported_packages(path):
        if name in PROJECT_PACKAGES and name not in ALLOWED_IMPORTS[package]:
            yield f"{path.relative_to(ROOT)}:{line}: {package} must not import {name}"
        if package == "nutmeglb_decisions" and name in IO_MODULES:
            yield f"{path.relative_to(ROOT)}:{line}: decisions must not import I/O ({name})"


def main() -> int:
    """Print every forbidden import and return the exit status."""
    faults = [
        fault
        for package in ALLOWED_IMPORTS
        for root in ("packages/*", "platform")
        for path in sorted(ROOT.glob(f"{root}/src/{package}/**/*.py"))
        for fault in _forbidden_imports(package, path)
    ]
    print("\n".join(faults) or "import direction: ok")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
