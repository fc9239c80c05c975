"""Exit statuses of ``nutmeglb`` and ``nutmegctl``."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a process."""

    OK = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
