"""Collects the records of endpoints, workers and entry instances during a soak run."""

import asyncio
from typing import Any

from nutmeglb_formats.models.resources import Resources
from scripts.soak_checks import EndpointRun, Records, Span, TaskRun, TicketSample
from tests.lib.cluster import Cluster, Node, eventually, main_address

SAMPLE_INTERVAL_S = 0.25
FREEZE_MS = 600_000.0


class Recorder:
    """Fills ``Records`` from the processes of a cluster.

    Endpoints and workers keep their records in memory, so a record is read before a kill.
    """

    def __init__(self, cluster: Cluster, records: Records) -> None:
        self.list_faults: list[Span] = []
        self.fault_times: list[tuple[str, float, float]] = []
        self._cluster = cluster
        self._records = records
        self._incarnations: dict[str, int] = {}

    def record_fault(self, kind: str, start_s: float, end_s: float) -> None:
        """Record when a fault was active, for the report of a violation."""
        self.fault_times.append((kind, start_s, end_s))

    async def sample_tickets(self) -> None:
        """Read the ticket number of every entry instance repeatedly, until cancelled."""
        while True:
            await asyncio.gather(*(self._sample(entry) for entry in self._cluster.entries()))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def leaders(self) -> set[str]:
        """Return the leaders of all failure domains, as reported by the instances that respond."""
        statuses = await asyncio.gather(
            *(self._cluster.status(entry) for entry in self._cluster.entries())
        )
        found = {_leader_of(status) for status in statuses if status}
        return found - {""}

    async def restart_entry(self, entry: Node) -> None:
        """Restart an entry instance with empty state and wait until it is ready."""
        self._incarnations[entry.name] = self._incarnations.get(entry.name, 0) + 1
        await self._cluster.start_node(entry)
        await eventually(lambda: self._cluster.ready(entry), f"{entry.name} is ready")

    async def kill(self, node: Node) -> None:
        """Read the record of an endpoint or worker, then kill it.

        It is frozen or halted first, so that it does nothing that the record would miss.
        """
        if node.role == "worker":
            await self.set_worker_faults(node, freeze_ms=FREEZE_MS)
        else:
            await self._cluster.post_json(main_address(node), "/control", {"halted": True})
        await self._read(node)
        node.process.kill()

    async def set_worker_faults(self, node: Node, **faults: object) -> None:
        """Replace the faults of a worker."""
        await self._cluster.post_json(main_address(node), "/faults", faults)

    async def read_all(self) -> None:
        """Read the records of all endpoints and workers."""
        for node in [*self._cluster.of_role("endpoint"), *self._cluster.of_role("worker")]:
            await self._read(node)

    async def _read(self, node: Node) -> None:
        content = await self._cluster.get_json(main_address(node), "/record")
        if node.role == "worker":
            self._add_tasks(node.name, content)
        else:
            self._add_runs(node.name, content)

    def _add_tasks(self, worker: str, items: list[dict[str, Any]]) -> None:
        now_s = asyncio.get_running_loop().time()
        for item in items:
            self._records.tasks.append(
                TaskRun(
                    worker,
                    item["attempt"],
                    item["task"],
                    item["job"],
                    Resources(**item["size"]),
                    item["admitted_s"],
                    item["started_s"],
                    now_s if item["ended_s"] is None else item["ended_s"],
                    item["outcome"],
                    item["acknowledged"],
                )
            )

    def _add_runs(self, endpoint: str, content: dict[str, Any]) -> None:
        now_s = asyncio.get_running_loop().time()
        peak = max(content["peak_connections"], self._records.peak_connections.get(endpoint, 0))
        self._records.peak_connections[endpoint] = peak
        for item in content["runs"]:
            ended_s = now_s if item["ended_s"] is None else item["ended_s"]
            self._records.runs.append(
                EndpointRun(item["marker"], endpoint, item["started_s"], ended_s)
            )

    async def _sample(self, entry: Node) -> None:
        incarnation = self._incarnations.get(entry.name, 0)
        status = await self._cluster.status(entry)
        if (
            status is not None
            and status["ready"]
            and incarnation == self._incarnations.get(entry.name, 0)
        ):
            now_s = asyncio.get_running_loop().time()
            sample = TicketSample(entry.name, incarnation, now_s, int(status["ticket"]))
            self._records.samples.append(sample)


def _leader_of(status: dict[str, Any]) -> str:
    leadership = status["components"].get("leadership", {})
    return str(leadership.get("leader") or "")
