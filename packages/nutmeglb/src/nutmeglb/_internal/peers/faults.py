"""Simulated network partitions of the peer bus, for tests."""

import json
from pathlib import Path


class FaultSwitch:
    """Set of failure domains whose traffic is dropped to simulate a partition.

    The switch is off unless ``peer.fault_file`` names a file. The file holds a JSON list of
    failure domains and is read again at every heartbeat interval.

    Parameters
    ----------
    file
        Path of the file; empty disables the switch.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._partitioned_domains: frozenset[str] = frozenset()

    def read(self) -> None:
        """Read the file. A missing or malformed file partitions no domain."""
        if not self._file:
            return
        try:
            domains = json.loads(Path(self._file).read_text())
        except (OSError, ValueError):
            domains = []
        self._partitioned_domains = frozenset(domains) if isinstance(domains, list) else frozenset()

    def is_partitioned(self, domain: str) -> bool:
        """Return whether all traffic to and from a failure domain is dropped."""
        return domain in self._partitioned_domains
