"""Processes of the queue soak: metadata store, worker fleet and platform instances."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from scripts.queue_soak_fleet import FleetProcesses
from standins.advice_book import DECIDE_MS, EACH_MS, VALID_MS
from tests.lib.processes import ManagedProcess

HOST = "q.example"
DOMAINS = ("east", "north", "west")
CALL_TIMEOUT_S = 5.0
MAX_CLIENTS = 400
ENDING_SIGNALS = (signal.SIGKILL, signal.SIGTERM)
# Logged by asyncio for a connection whose handler has failed.
UNHANDLED = "Task exception was never retrieved"
# The last queue asks the advice service which workers may run a step.
PREFIXES = ("/jobs/", "/urgent/", "/advised/")
PRIORITIES = (1, 0, 1)
ADVISED = PREFIXES[-1]
ADVICE = {"decide_ms": DECIDE_MS, "each_ms": EACH_MS, "valid_ms": VALID_MS}
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": f"r-{number}",
            "host": HOST,
            "prefix": prefix,
            "priority": priority,
            "backend": "pool",
            "attempts": 4,
            "stretch": 2.0,
            "target_duration_ms": 2_000,
            **({"advice": ADVICE} if prefix == ADVISED else {}),
        }
        for number, (prefix, priority) in enumerate(zip(PREFIXES, PRIORITIES, strict=True))
    ],
    "backends": [{"name": "pool"}],
    "limits": {"max_body_bytes": 262_144},
}


class Instance:
    """A platform instance as a process. Its standard output is kept in ``log_file``."""

    def __init__(
        self,
        name: str,
        domain: str,
        store: str,
        advice: str,
        directory: Path,
        extra_settings: str = "",
    ) -> None:
        self.name = name
        self.log_file = directory / f"{name}.log"
        self._settings_file = directory / f"{name}.ini"
        self._is_ending = False
        self._process: subprocess.Popen[bytes] | None = None
        self.address, self.health_address, self.peer_address = (
            f"127.0.0.1:{port}" for port in _free_ports(3)
        )
        self._settings_file.write_text(
            f"[instance]\nid = {name}\nfailure_domain = {domain}\n"
            f"[listen]\ncaller = {self.address}\nhealth = {self.health_address}\n"
            f"peer = {self.peer_address}\n"
            f"[store]\naddress = {store}\n[advice]\naddress = {advice}\n"
            "[queues]\nmax_run_lease_ms = 10000\n[log]\nlines_per_s = 100000\n" + extra_settings
        )

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, or ``None`` while the process runs."""
        return None if self._process is None else self._process.poll()

    @property
    def has_ended_by_itself(self) -> bool:
        """Return whether the process has ended without a signal that ends it."""
        return self.exit_status is not None and not self._is_ending

    def start(self) -> None:
        """Start the process. Its output is appended to the log."""
        self._is_ending = False
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "nutmeglb_platform"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "NUTMEGLB_BOOT": str(self._settings_file)},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self._process is not None and self.running:
            self._is_ending |= number in ENDING_SIGNALS
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self._process is not None:
            self._is_ending |= self.running
            self._process.kill()
            self._process.wait()


class SoakCell:
    """All processes of a run.

    Parameters
    ----------
    directory
        Directory of settings, logs and the fleet's record.
    fleet_arguments
        Arguments of the fleet for what the protocol leaves open.
    extra_settings
        Further sections of the settings of each instance.
    stoppable
        Number of workers of each process that may be stopped. They are part of ``workers``.
    """

    def __init__(
        self,
        directory: Path,
        seed: int,
        instances: int,
        workers: int,
        fleet_arguments: Sequence[str],
        extra_settings: str = "",
        stoppable: Sequence[int] = (),
    ) -> None:
        self.instances: list[Instance] = []
        self._directory = directory
        self._extra_settings = extra_settings
        self._count = instances
        common = [f"--seed={seed}"]
        self._store = ManagedProcess(
            "store",
            directory,
            [
                "-m",
                "standins.metadata_store_server",
                f"--instances={instances}",
                f"--ports_file={directory / 'store.ports.json'}",
                *common,
            ],
        )
        self.fleet_processes = FleetProcesses(
            directory,
            [workers - sum(stoppable), *stoppable],
            [f"--instances={instances}", *fleet_arguments, *common],
        )
        self._operator = ""

    async def start(
        self, store_config: Callable[[], Awaitable[None]], key: Callable[[], str]
    ) -> None:
        """Start everything and wait for a leader.

        Parameters
        ----------
        store_config
            Stores the first configuration as the operator.
        key
            Returns a key that the configuration has.
        """
        AsyncHTTPClient.configure(None, max_clients=MAX_CLIENTS)
        self._store.start()
        self._operator, *stores = (await self._store.ports())["listeners"]
        advices = await self.fleet_processes.start()
        await store_config()
        for worker_id, entry in (await self.fleet("GET", "/entries")).items():
            await self.put(f"servers/{worker_id}", entry)
        for number, (store, advice) in enumerate(zip(stores, advices, strict=True)):
            domain = DOMAINS[number % len(DOMAINS)]
            instance = Instance(
                f"edge-{number}", domain, store, advice, self._directory, self._extra_settings
            )
            instance.start()
            self.instances.append(instance)
        async with asyncio.timeout(30.0):
            while await self.leader() is None or not await self._all_answer(key()):
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Stop the fleet and the store, whose records are then complete, and kill the rest."""
        self._store.send(signal.SIGTERM)
        await self.fleet_processes.stop()
        if self._store.running:
            await self._store.wait(10.0)
        self.kill()

    def standin_errors(self) -> int:
        """Return the number of unexpected exceptions in the stand-ins."""
        texts = [process.log_file.read_text() for process in (self._store, *self._fleet_managed())]
        return sum(text.count(UNHANDLED) for text in texts)

    def _fleet_managed(self) -> list[ManagedProcess]:
        return [process.managed for process in self.fleet_processes.all]

    def kill(self) -> None:
        """Kill all processes."""
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.kill()
        self.fleet_processes.kill()
        self._store.kill()

    async def leader(self) -> int | None:
        """Return the number of the instance that the store names as the leader."""
        status, item = await self.call(
            "GET", f"http://{self._operator}/v1/kv-key?key=nutmeglb/leader"
        )
        if status != 200:
            return None
        record = base64.b64decode(item["value"]).decode(errors="replace")
        return next((n for n, i in enumerate(self.instances) if i.name in record), None)

    async def _all_answer(self, key: str) -> bool:
        """Return whether every instance serves callers."""
        numbers = range(len(self.instances))
        answers = [await self.submit(number, "GET", PREFIXES[0], None, key) for number in numbers]
        return all(status == 200 for status, _ in answers)

    async def put(self, key: str, value: Any) -> bool:
        """Write an item as the operator. Return whether the store acknowledged it."""
        return await self.put_bytes(key, json.dumps(value).encode())

    async def put_bytes(self, key: str, value: bytes) -> bool:
        """Write an item of any content. Return whether the store acknowledged it."""
        puts = [{"key": key, "value": base64.b64encode(value).decode(), "lease": 0}]
        url = f"http://{self._operator}/v1/kv-txn"
        status, _ = await self.call("POST", url, {"expected_rev": [], "puts": puts})
        return status == 200

    async def store(self, path: str, body: Any) -> Any:
        """Send a control call to the store."""
        return (await self.call("POST", f"http://{self._operator}{path}", body))[1]

    async def fleet(self, method: str, path: str, body: Any = None) -> Any:
        """Send a control call to the processes of the fleet that are not stopped."""

        async def send(method: str, url: str, body: Any, timeout_s: float) -> Any:
            return (await self.call(method, url, body, timeout_s=timeout_s))[1]

        return await self.fleet_processes.call(send, method, path, body)

    async def submit(
        self, instance: int, method: str, path: str, body: Any = None, key: str = ""
    ) -> tuple[int, Any]:
        """Send a caller's request to an instance. Status 599 means that there is no response."""
        url = f"http://{self.instances[instance].address}{path}"
        return await self.call(method, url, body, key)

    async def call(
        self,
        method: str,
        url: str,
        body: Any = None,
        key: str = "",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        """Send a request and return status and decoded body."""
        request = HTTPRequest(
            url,
            method=method,
            headers={"Host": HOST, "Deadline-Ms": "3000", "Key": key},
            body=json.dumps(body) if body is not None else None,
            allow_nonstandard_methods=True,
            request_timeout=timeout_s,
        )
        try:
            response = await AsyncHTTPClient().fetch(request, raise_error=False)
            return response.code, json.loads(response.body or b"null")
        except (OSError, HTTPClientError, json.JSONDecodeError):
            return 599, None


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
