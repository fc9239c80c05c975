"""Entry instances that speak the platform's protocol to stand-ins, all in one process."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.node import QueueNode
from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_formats.clock import Clock
from nutmeglb_platform.adapter import PlatformAdapter
from nutmeglb_platform.frontend import HttpFrontend
from standins.metadata_store import Fault, MetadataStoreStandin
from standins.runner import AdviceStandin, RunnerStandin

HOST = "q.example"
PREFIX = "/jobs/"
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
LEADER_LEASE_MS = 600
OTHER_PREFIX = "/other/"
# Two queues without advice.
ROUTE = {
    "name": "r-1",
    "host": HOST,
    "prefix": PREFIX,
    "priority": 0,
    "backend": "pool",
    "attempts": 2,
    "stretch": 2.0,
    "target_duration_ms": 1_000,
}
OTHER_ROUTE = {**ROUTE, "name": "r-2", "prefix": OTHER_PREFIX, "priority": 1}
CONFIG = {
    "version": 1,
    "routes": [{**ROUTE, "advice": {"decide_ms": 5.0, "each_ms": 0.1, "valid_ms": 2_000}}],
    "backends": [{"name": "pool"}],
    "limits": {"max_body_bytes": 262_144},
}


@dataclass
class Entry:
    """Entry instance with the addresses of its caller and health listeners."""

    node: QueueNode
    frontend: HttpFrontend
    address: str
    health_address: str


@dataclass
class QueuePath:
    """Stand-ins and entry instances of one queue cell."""

    store: MetadataStoreStandin = field(default_factory=MetadataStoreStandin)
    advice: AdviceStandin = field(default_factory=AdviceStandin)
    runners: list[RunnerStandin] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)
    own_stores: list[MetadataStoreStandin] = field(default_factory=list)
    link_mbps: float = 1_000.0
    leader_lease_ms: int = LEADER_LEASE_MS
    config: dict[str, Any] = field(default_factory=lambda: CONFIG)
    # Sections of settings that differ from those of the scenario.
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)

    async def start(self, entries: int = 2, runners: int = 2) -> None:
        """Start everything and wait for a leader."""
        await self.store.start()
        await self.advice.start()
        for number in range(runners):
            runner = RunnerStandin()
            await runner.start()
            self.runners.append(runner)
            self.store.data.put(f"servers/w{number}", runner.entry("pool"))
        self.configure(**self.config)
        for number in range(entries):
            await self.add_entry(f"e{number}")
        await self.until(lambda: any(entry.node.is_leading for entry in self.entries))

    def configure(self, **changes: Any) -> None:
        """Store the next configuration as the operator: the last one with some fields replaced."""
        version = self.config["version"] + 1
        self.config = {**self.config, **changes, "version": version}
        self.store.data.put("op/config", json.dumps(self.config).encode())

    async def add_entry(
        self,
        name: str,
        link_mbps: float | None = None,
        range_delays_s: Mapping[str, float] | None = None,
    ) -> Entry:
        """Start an entry instance with its own store listener, for store faults of it alone."""
        own_store = MetadataStoreStandin(self.store.data)
        own_store.range_delays_s.update(range_delays_s or {})
        await own_store.start()
        self.own_stores.append(own_store)
        settings = QueueSettings.model_validate(
            {
                "instance": {"id": name, "failure_domain": "z1"},
                "machine": {"link_mbps": link_mbps or self.link_mbps},
                "listen": {
                    "caller": "127.0.0.1:0",
                    "health": "127.0.0.1:0",
                    "peer": "127.0.0.1:0",
                },
                "store": {"address": own_store.address, "call_timeout_ms": 200},
                "advice": {"address": self.advice.address},
                "queues": {
                    "leader_lease_ms": self.leader_lease_ms,
                    "renew_ms": 100,
                    "authority_ms": self.leader_lease_ms,
                    "run_lease_ms": 1_000,
                    "max_stall_ms": 1_000,
                    "inbox_ms": 100,
                    "list_ms": 100,
                    "worker_timeout_ms": 150,
                    "worker_beat_ms": 100,
                },
                "stop": {"balancer_notice_ms": 50},
                **self.settings,
            }
        )
        clock, metrics = Clock(), MetricsRegistry()
        node = QueueNode(LiveSettings(settings), PlatformAdapter(settings), clock, metrics)
        frontend = HttpFrontend(settings, node, clock, metrics)
        await node.start(frontend)
        entry = Entry(node, frontend, *frontend.bound_addresses)
        self.entries.append(entry)
        return entry

    async def stop(self) -> None:
        """Stop everything."""
        self.heal()
        for entry in self.entries:
            await entry.node.stop(entry.frontend)
        for runner in self.runners:
            await runner.stop()
        await self.advice.stop()
        for own_store in self.own_stores:
            await own_store.stop()
        await self.store.stop()

    def inject_store_fault(self, fault: Fault) -> None:
        """Inject a store fault for all instances."""
        for own_store in self.own_stores:
            own_store.fault = fault

    def heal(self) -> None:
        """Remove the store faults of all instances."""
        for own_store in self.own_stores:
            own_store.heal()

    @property
    def leader(self) -> Entry:
        """Return the leading instance."""
        return next(entry for entry in self.entries if entry.node.is_leading)

    @property
    def starts(self) -> list[tuple[str, int]]:
        """Return the task and run number of each start on the runners."""
        return [start for runner in self.runners for start in runner.data.started]

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def until_state(self, job_id: str, state: str, entry: int = 0, key: str = "") -> None:
        """Wait until an instance reports a state of a job."""

        async def reached() -> bool:
            status, body = await self.call("GET", job_id, entry=entry, key=key)
            return status == 200 and body["state"] == state

        await self.until_async(reached)

    async def until_status(
        self, status: int, method: str, path: str, entry: int = 0, key: str = ""
    ) -> None:
        """Wait until an instance answers a call with a status."""

        async def answered() -> bool:
            return (await self.call(method, path, entry=entry, key=key))[0] == status

        await self.until_async(answered)

    async def until_async(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait for an asynchronous condition."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        entry: int = 0,
        host: str = HOST,
        key: str = "",
        prefix: str = PREFIX,
    ) -> tuple[int, Any]:
        """Send a caller's request to an instance and return status and body."""
        request = HTTPRequest(
            f"http://{self.entries[entry].address}{prefix}{path}",
            method=method,
            headers={"Host": host, "Deadline-Ms": "3000", **({"Key": key} if key else {})},
            body=json.dumps(body) if body is not None else None,
            allow_nonstandard_methods=True,
            request_timeout=WAIT_TIMEOUT_S,
        )
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
        return response.code, json.loads(response.body or b"null")

    def background(self, call: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a call that is answered while the test goes on."""
        return asyncio.get_running_loop().create_task(call)

    async def ready(self, entry: int = 0) -> bool:
        """Return the result of the balancer's readiness check."""
        url = f"http://{self.entries[entry].health_address}/v1/readyz"
        response = await AsyncHTTPClient().fetch(url, raise_error=False)
        return response.code == 200


def run_scenario(
    scenario: Callable[[QueuePath], Awaitable[None]],
    link_mbps: float = 1_000.0,
    leader_lease_ms: int = LEADER_LEASE_MS,
    config: dict[str, Any] | None = None,
    settings: dict[str, dict[str, Any]] | None = None,
    **counts: int,
) -> None:
    """Run a scenario with newly started stand-ins and entry instances."""

    async def main() -> None:
        path = QueuePath(
            link_mbps=link_mbps,
            leader_lease_ms=leader_lease_ms,
            config={**CONFIG, **(config or {})},
            settings=settings or {},
        )
        try:
            await path.start(**counts)
            await scenario(path)
        finally:
            await path.stop()

    asyncio.run(main())


def job_body(**changes: Any) -> dict[str, Any]:
    """Return a submission of a step of two tasks and a step of one task that follows it."""
    steps = [{"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 30}]
    return {"spec": "text", "steps": [*steps, {"count": 1, "after": [0]}], **changes}
