"""Processes that serve the workers of the queue soak."""

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from scripts.queue_soak_stops import CONTINUED, STOPPED
from tests.lib.processes import ManagedProcess

# Processes that are stopped or starved do not keep the others from their beats.
STOPPABLE_TIMEOUT_S = 1.0
SHARED_TIMEOUT_S = 5.0
STOP_LIMIT_S = 10.0

Send = Callable[[str, str, Any, float], Awaitable[Any]]


class FleetProcess:
    """A process that serves workers, and the signals that it was sent.

    Parameters
    ----------
    name
        Empty for the shared process, which is not stopped.
    """

    def __init__(self, name: str, directory: Path, arguments: Sequence[str]) -> None:
        self.name = name
        self.record_file = directory / f"record{name}.jsonl"
        self.control = ""
        self.is_stopped = False
        file_name = f"fleet{name}"
        self.managed = ManagedProcess(
            file_name,
            directory,
            [
                "-m",
                "standins.worker_fleet_server",
                f"--process={name}",
                f"--record={self.record_file}",
                f"--ports_file={directory / f'{file_name}.ports.json'}",
                *arguments,
            ],
        )


class FleetProcesses:
    """The shared process, whose workers know each other, and those that may be stopped.

    Attributes
    ----------
    signals
        Events of the signals that stopped processes and let them go on.
    """

    def __init__(self, directory: Path, sizes: Sequence[int], arguments: Sequence[str]) -> None:
        self.signals: list[dict[str, Any]] = []
        self._directory = directory
        self.all = [
            FleetProcess(
                f"p{number}" if number else "", directory, [f"--workers={size}", *arguments]
            )
            for number, size in enumerate(sizes)
        ]

    @property
    def stoppable(self) -> list[FleetProcess]:
        """Return the processes that may be stopped."""
        return self.all[1:]

    async def start(self) -> list[str]:
        """Start all processes and return the addresses of the advice service."""
        for process in self.all:
            process.managed.start()
        ports = [await process.managed.ports() for process in self.all]
        for process, bound in zip(self.all, ports, strict=True):
            process.control = bound["control"]
        advice: list[str] = ports[0]["advice"]
        return advice

    def pause(self, process: FleetProcess) -> None:
        """Stop a process."""
        process.is_stopped = True
        process.managed.send(signal.SIGSTOP)
        self._note(STOPPED, process)

    def resume(self, process: FleetProcess) -> None:
        """Let a process go on."""
        self._note(CONTINUED, process)
        process.managed.send(signal.SIGCONT)
        process.is_stopped = False

    async def starve(
        self, process: FleetProcess, for_s: float, pauses: Callable[[], float]
    ) -> None:
        """Let a process run for short times only. It counts as running.

        Parameters
        ----------
        pauses
            Returns how long the next pause lasts, and then how long the process runs.
        """
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            process.managed.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(pauses())
            finally:
                process.managed.send(signal.SIGCONT)
            await asyncio.sleep(pauses() / 10)

    async def call(self, send: Send, method: str, path: str, body: Any) -> Any:
        """Send a control call to all processes that are not stopped, and merge the answers."""
        answers = await asyncio.gather(
            *(
                send(
                    method,
                    f"http://{process.control}{path}",
                    body,
                    STOPPABLE_TIMEOUT_S if process.name else SHARED_TIMEOUT_S,
                )
                for process in self.all
                if not process.is_stopped
            )
        )
        if answers[0] is None or method != "GET":
            return answers[0]
        merged: dict[str, Any] = {}
        for answer in answers:
            for key, value in (answer or {}).items():
                merged[key] = merged[key] + value if key in merged else value
        return merged

    async def stop(self) -> None:
        """End all processes, whose records are then complete, and write the signals."""
        for process in self.all:
            process.managed.send(signal.SIGCONT)
            process.managed.send(signal.SIGTERM)
        for process in self.all:
            if process.managed.running:
                await process.managed.wait(STOP_LIMIT_S)
        lines = [json.dumps(event) + "\n" for event in self.signals]
        (self._directory / "signals.jsonl").write_text("".join(lines))

    def kill(self) -> None:
        """Kill all processes."""
        for process in self.all:
            process.managed.kill()

    def _note(self, event: str, process: FleetProcess) -> None:
        self.signals.append({"t": time.monotonic(), "event": event, "process": process.name})
