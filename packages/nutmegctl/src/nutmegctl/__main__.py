"""Thin entry point."""


def main() -> int:
    """Run the program and return its exit status."""
    return 0
