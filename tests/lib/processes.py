"""Child processes of tests, the demonstration and the soak run."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02


def exit_on_sigterm() -> None:
    """Make SIGTERM raise ``SystemExit``, so that context managers kill their processes."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))


class ManagedProcess:
    """Child process with a log file and a file of the ports that it has bound.

    Parameters
    ----------
    directory
        Directory of the log and the ports file.
    arguments
        Arguments of the Python interpreter. ``--ports_file`` is not added automatically.
    """

    def __init__(self, name: str, directory: Path, arguments: Sequence[str]) -> None:
        self.name = name
        self.ports_file = directory / f"{name}.ports.json"
        self.log_file = directory / f"{name}.log"
        self._arguments = list(arguments)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, or ``None`` while the process runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start the process. Its output is appended to the log file."""
        self.ports_file.unlink(missing_ok=True)
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments], stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    async def ports(self) -> dict[str, Any]:
        """Wait for the ports file and return its content."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.ports_file.exists():
                if not self.running:
                    raise RuntimeError(
                        f"{self.name} exited before it bound its ports:\n{self.log_tail()}"
                    )
                await asyncio.sleep(POLL_INTERVAL_S)
        content = json.loads(self.ports_file.read_text())
        assert isinstance(content, dict)
        return content

    def log_tail(self, lines: int = 30) -> str:
        """Return the last lines of the log."""
        if not self.log_file.exists():
            return ""
        return "\n".join(self.log_file.read_text(errors="replace").splitlines()[-lines:])

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.running:
            os.kill(self.pid, number)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process has ended and return its exit status."""
        assert self._process is not None
        async with asyncio.timeout(timeout_s):
            while self._process.poll() is None:
                await asyncio.sleep(POLL_INTERVAL_S)
        return self._process.returncode

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
