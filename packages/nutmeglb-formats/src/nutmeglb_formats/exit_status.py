"""Exit statuses shared by both binaries."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Process exit statuses."""

    OK = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
