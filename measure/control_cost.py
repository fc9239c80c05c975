"""Control cost per node: store calls, peer bytes, CPU time and memory, by cell size.

Workers and endpoints are stand-ins inside the measuring process. Only the entry instances and the
two platform stand-ins are separate processes.
"""

import asyncio
import functools
import logging
import os
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from measure.figures import Case, Figures
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.resources import Resources
from scripts.soak_checks import Records
from scripts.soak_load import TEAM, Load
from standins.agent import AgentServer
from standins.agent_state import AgentState
from standins.endpoint import Behaviour, Endpoint
from tests.lib.callers import Call, call
from tests.lib.cluster import Cluster, Layout, Node, eventually
from tests.lib.processes import ManagedProcess

SEED = 1
WINDOW_S = 2.0
WARM_UP_S = 1.0
IDLE_WINDOW_S = 15.0
CALLERS_PER_DOMAIN = 4
RUN_MS = 20.0
AT_REST = "at rest"
CPU_MILLIS = 16_000
MEMORY_BYTES = 64 * 1024**3
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BYTES_PER_KB = 1_000.0
BYTES_PER_MB = 1_000_000.0
# Budgets per node from section 1.3 of the design document.
CORE_SHARE_TARGET = 0.029
MEMORY_MB_TARGET = 128.0
KB_PER_S_TARGET = 7.0
# The design size has 350 starts per second in 10 failure domains.
STARTS_PER_S_PER_DOMAIN = 35
TASK_RUN_MS = 500.0
BYTES_PER_GIB = 1024**3

Windows = list[tuple[str, dict[str, float]]]


@dataclass(frozen=True, slots=True)
class Size:
    """Size and task settings of a cell. ``workers`` is the number in all domains together."""

    domains: int = 2
    instances: int = 2
    workers: int = 8
    sync_wait_ms: float = 5_000.0
    task_lease_ms: float = 15_000.0

    @property
    def text(self) -> str:
        """Return the size as printed with the figures."""
        return f"{self.domains} domains x {self.instances} instances, {self.workers} workers in all"


BASE = Size()
SIZES = {
    "base": BASE,
    "workers_24": replace(BASE, workers=24),
    "workers_48": replace(BASE, workers=48),
    "instances_3": replace(BASE, instances=3),
    "instances_4": replace(BASE, instances=4),
    "domains_1": replace(BASE, domains=1),
    "domains_3": replace(BASE, domains=3),
    "task_peak": replace(BASE, workers=24),
    "store_outage": BASE,
    "domain_100": Size(1, 2, 100),
    "domain_100_slow_sync": Size(1, 2, 100, 15_000.0, 45_000.0),
}


@dataclass(slots=True)
class CounterReading:
    """Snapshot of all counters. ``cpu_s`` is per entry instance, the others are totals."""

    store_calls: Counter[str]
    peer_bytes: float
    agent_bytes: float
    cpu_s: list[float]
    memory_bytes: float


class Standins:
    """Stand-in workers and endpoints in this process."""

    def __init__(self) -> None:
        self._agents: list[AgentServer] = []
        self._endpoints: list[Endpoint] = []

    async def start(self, cluster: Cluster, size: Size) -> None:
        """Start the workers and one endpoint per domain, and add them to the platform's list."""
        domains = cluster.layout.domains
        for number in range(size.workers):
            name = f"worker-{number}"
            capacity = Resources(CPU_MILLIS, MEMORY_BYTES)
            agent = AgentServer(AgentState(name, capacity, Clock()))
            address = f"127.0.0.1:{agent.start()}"
            self._agents.append(agent)
            node = _make_node(name, "worker", domains[number % len(domains)], address)
            await cluster.put_into_list(node)
        for domain in domains:
            endpoint = Endpoint(Behaviour(mean_ms=RUN_MS))
            await endpoint.start()
            self._endpoints.append(endpoint)
            address = f"127.0.0.1:{endpoint.port}"
            await cluster.put_into_list(
                _make_node(f"{domain}-endpoint", "endpoint", domain, address)
            )

    def agent_bytes(self) -> int:
        """Return the bytes exchanged with all agents."""
        return sum(agent.bytes for agent in self._agents)

    def started(self) -> int:
        """Return the number of attempts that the agents admitted."""
        return sum(len(agent.state.record) for agent in self._agents)

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(agent.stop() for agent in self._agents))
        await asyncio.gather(*(endpoint.stop() for endpoint in self._endpoints))


def _make_node(name: str, role: str, domain: str, address: str) -> Node:
    return Node(ManagedProcess(name, Path(), ()), role, domain, ports={role: address})


async def read_counters(cluster: Cluster, standins: Standins) -> CounterReading:
    """Read the counters of the store, the entry instances and the agents."""
    calls = await cluster.get_json(cluster.store_address, "/counts")
    peer_bytes = 0.0
    for entry in cluster.entries():
        text = await cluster.get_text(entry.ports["admin"], "/metrics")
        for line in text.splitlines():
            if line.startswith("nutmeglb_peer_bytes_total") and 'direction="sent"' in line:
                peer_bytes += float(line.rpartition(" ")[2])
    pids = [entry.process.pid for entry in cluster.entries()]
    cpu_s = [_cpu_s(pid) for pid in pids]
    memory_bytes = sum(_memory_bytes(pid) for pid in pids)
    return CounterReading(Counter(calls), peer_bytes, standins.agent_bytes(), cpu_s, memory_bytes)


async def measure_window(
    cluster: Cluster, standins: Standins, window_s: float = WINDOW_S
) -> dict[str, float]:
    """Measure for ``window_s`` and return rates, some of them per node."""
    nodes = len(cluster.entries())
    loop = asyncio.get_running_loop()
    before, started_s = await read_counters(cluster, standins), loop.time()
    await asyncio.sleep(window_s)
    after, ended_s = await read_counters(cluster, standins), loop.time()
    elapsed_s = ended_s - started_s
    calls = after.store_calls - before.store_calls
    figures = {
        f"store_{path.rpartition('/')[2]}_calls_per_s": round(count / elapsed_s, 2)
        for path, count in sorted(calls.items())
    }
    peer_bytes = after.peer_bytes - before.peer_bytes
    agent_bytes = after.agent_bytes - before.agent_bytes
    cores = [
        (end_s - begin_s) / elapsed_s
        for begin_s, end_s in zip(before.cpu_s, after.cpu_s, strict=True)
    ]
    return figures | {
        "store_calls_per_s": round(calls.total() / elapsed_s, 2),
        "peer_kb_per_s_per_node": round(peer_bytes / elapsed_s / nodes / BYTES_PER_KB, 3),
        "agent_kb_per_s": round(agent_bytes / elapsed_s / BYTES_PER_KB, 3),
        "core_share_per_node": round(sum(cores) / nodes, 4),
        "core_share_busiest_node": round(max(cores), 4),
        "memory_mb_per_node": round(after.memory_bytes / nodes / BYTES_PER_MB, 1),
    }


async def send_requests(cluster: Cluster, name: str, stop: asyncio.Event) -> int:
    """Send urgent requests one at a time through random instances and return their number."""
    rng = random.Random(name)
    number = 0
    while not stop.is_set():
        number += 1
        entry = rng.choice(cluster.entries())
        await call(cluster, entry, Call(f"{name}-{number}", RUN_MS, idempotent=True))
    return number


async def submit_tasks(cluster: Cluster, tasks_per_s: int, stop: asyncio.Event) -> None:
    """Submit one job per second to every failure domain, ``tasks_per_s`` tasks in all."""
    domains = cluster.layout.domains
    number = 0
    while not stop.is_set():
        number += 1
        for domain in domains:
            body = {
                "submission_id": f"{domain}-{number}",
                "name": "peak",
                "team": TEAM,
                "kind": "batch",
                "tasks": tasks_per_s // len(domains),
                "resources": {"cpu_millis": 500, "memory_bytes": BYTES_PER_GIB, "accelerators": 0},
                "run_ms": TASK_RUN_MS,
                "command": f"work run_ms={TASK_RUN_MS:.0f}",
                "domain": domain,
            }
            entry = cluster.entries(domain)[0]
            await cluster.post_json(entry.ports["admin"], "/v1/jobs", body)
        await asyncio.sleep(1.0)


async def measure(
    size: Size, measure_windows: Callable[[Cluster, Standins], Awaitable[Windows]]
) -> Windows:
    """Start a cell of the given size, wait until it is ready, and measure its windows."""
    names = ("east", "west", "north")[: size.domains]
    tasks = {"sync_wait_ms": size.sync_wait_ms, "task_lease_ms": size.task_lease_ms}
    layout = Layout(names, size.instances, endpoints=0, workers=0, settings={"tasks": tasks})
    standins = Standins()
    try:
        async with Cluster(layout) as cluster:
            await standins.start(cluster, size)
            for entry in cluster.entries():
                await eventually(functools.partial(cluster.ready, entry), "the instance is ready")
            await Load(cluster, random.Random(SEED), Records()).file_first_ticket()
            await asyncio.sleep(WARM_UP_S)
            return await measure_windows(cluster, standins)
    finally:
        await standins.stop()


async def measure_idle_and_requests(cluster: Cluster, standins: Standins) -> Windows:
    """Return the figures of an idle cell and of one under a load of requests."""
    idle_figures = await measure_window(cluster, standins)
    count = CALLERS_PER_DOMAIN * len(cluster.layout.domains)
    stop = asyncio.Event()
    request_loops = [send_requests(cluster, f"{SEED}-{n}", stop) for n in range(count)]
    callers = [asyncio.create_task(caller) for caller in request_loops]
    started_s = asyncio.get_running_loop().time()
    load_figures = await measure_window(cluster, standins)
    stop.set()
    requests = sum(await asyncio.gather(*callers))
    elapsed_s = asyncio.get_running_loop().time() - started_s
    load_figures["requests_per_s"] = round(requests / elapsed_s, 1)
    return [(AT_REST, idle_figures), (f"{count} callers", load_figures)]


async def measure_long_idle(cluster: Cluster, standins: Standins) -> Windows:
    """Return the figures of an idle cell over a window with several syncs of each agent."""
    return [(AT_REST, await measure_window(cluster, standins, IDLE_WINDOW_S))]


async def measure_task_peak(cluster: Cluster, standins: Standins) -> Windows:
    """Return the figures while tasks start at the peak rate per domain of the design size."""
    stop = asyncio.Event()
    tasks_per_s = STARTS_PER_S_PER_DOMAIN * len(cluster.layout.domains)
    submitter = asyncio.create_task(submit_tasks(cluster, tasks_per_s, stop))
    await asyncio.sleep(WARM_UP_S)
    started, started_s = standins.started(), asyncio.get_running_loop().time()
    figures = await measure_window(cluster, standins)
    elapsed_s = asyncio.get_running_loop().time() - started_s
    figures["starts_per_s"] = round((standins.started() - started) / elapsed_s, 1)
    stop.set()
    await submitter
    return [(f"{tasks_per_s} starts per second offered", figures)]


async def store_outage(cluster: Cluster, standins: Standins) -> Windows:
    """Return the figures while the store refuses every call, and right after it recovers."""
    await cluster.store_faults({"kind": "refuse"})
    await asyncio.sleep(WARM_UP_S)
    outage_figures = await measure_window(cluster, standins)
    await cluster.store_faults()
    recovery_figures = await measure_window(cluster, standins)
    return [("store out", outage_figures), ("store just back", recovery_figures)]


def run_size(name: str) -> Iterator[Figures]:
    """Measure one size and yield the figures of each window."""
    size = SIZES[name]
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    for policy, figures in asyncio.run(
        measure(size, MEASUREMENT_BY_SIZE.get(name, measure_idle_and_requests))
    ):
        # The control cost budgets apply to an idle cell only: under load, the figures include the
        # cost of the requests and tasks themselves.
        targets = _targets(figures) if policy == AT_REST else {}
        yield Figures(f"control_cost_{name}", size.text, policy, "", SEED, figures, targets)


def _targets(figures: dict[str, float]) -> dict[str, str]:
    limits = {
        "core_share_busiest_node": CORE_SHARE_TARGET,
        "agent_kb_per_s": KB_PER_S_TARGET,
        "memory_mb_per_node": MEMORY_MB_TARGET,
        "peer_kb_per_s_per_node": KB_PER_S_TARGET,
    }
    return {
        f"{name} at most {limit}": "met" if figures[name] <= limit else "not met at this size"
        for name, limit in limits.items()
    }


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _memory_bytes(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return float(pages * os.sysconf("SC_PAGE_SIZE"))


MEASUREMENT_BY_SIZE = {
    "task_peak": measure_task_peak,
    "store_outage": store_outage,
    "domain_100": measure_long_idle,
    "domain_100_slow_sync": measure_long_idle,
}

CASES: dict[str, Case] = {
    f"control_cost_{name}": functools.partial(run_size, name) for name in SIZES
}
