"""Seeded faults of the queue soak, in series and overlapping."""

import asyncio
import random
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Awaitable, Callable

from scripts.queue_soak_cell import SoakCell
from scripts.queue_soak_entries import ODD, WorkerEntries, odd_entry
from scripts.queue_soak_fleet import FleetProcess
from scripts.queue_soak_load import SoakLoad

LEADER_KEY = "nutmeglb/leader"
BUSY_LOOP = "import time\nend = time.monotonic() + {for_s}\nwhile time.monotonic() < end: pass"
BUSY_PROCESSES = 10
# Kinds that affect instances, or their calls to the store, for up to this time.
INSTANCE_KINDS = frozenset(
    {"freeze", "kill", "term", "refuse_leader", "store_down", "store_lossy", "busy"}
)
# Kinds that keep changes of entries from instances.
STORE_KINDS = frozenset({"refuse_leader", "store_down", "store_lossy"})
LONGEST_S = 8.0
# Shortest stop of a worker's process, and the longest pause of one that is starved.
SHORTEST_STOP_S = 2.0
LONGEST_PAUSE_S = 0.9
# Faults end this long before the end of the run, so that ends are still acknowledged.
CALM_S = 4.0


class QueueFaults:
    """Injects faults of the chosen kinds until the end of the run.

    Attributes
    ----------
    disturbances
        Start and end of each fault that affects instances, in seconds of the monotonic clock.
    store_disturbances
        Those that keep changes in the store from instances.
    """

    def __init__(
        self,
        cell: SoakCell,
        entries: WorkerEntries,
        load: SoakLoad,
        seed: int,
        kinds: list[str],
        longest_stop_s: float,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.disturbances: list[tuple[float, float]] = []
        self.store_disturbances: list[tuple[float, float]] = []
        self._cell = cell
        self._entries = entries
        self._load = load
        self._rng = random.Random(f"faults {seed}")
        self._faults: dict[str, Callable[[], Awaitable[None]]] = {
            "lose": self._lose_answers,
            "late": self._delay_orders,
            "cut": self._cut_workers,
            "mute": self._mute_workers,
            "slow": self._slow_workers,
            "unhealthy": self._unhealthy_workers,
            "resend": self._lose_and_refuse,
            "restart": self._restart_workers,
            "freeze": self._freeze_leader,
            "kill": self._kill_leader,
            "term": self._terminate_leader,
            "refuse_leader": self._refuse_leader,
            "store_down": self._store_down,
            "store_lossy": self._store_lossy,
            "unlist": self._unlist_workers,
            "busy": self._starve,
            "stop_workers": self._stop_workers,
            "starve_workers": self._starve_workers,
            "crashing_tasks": self._crash_workers,
            "resize": self._resize_workers,
            "odd_entry": self._write_odd_entry,
        }
        self._kinds = list(self._faults) if kinds == ["all"] else [k for k in kinds if k]
        # Some seeds have overlapping faults most of the time, others have calm in between.
        self._max_gap_s = self._rng.uniform(2.0, 10.0)
        self._resized: set[str] = set()
        self._longest_stop_s = longest_stop_s
        self._signalled: set[FleetProcess] = set()
        self._odd_entries = 0
        self._crashing_spans = 0
        self._busy: list[subprocess.Popen[bytes]] = []

    async def run(self, duration_s: float) -> None:
        """Start faults at random times, several at once, for the whole duration."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        injected: list[asyncio.Task[None]] = []
        await asyncio.sleep(min(3.0, duration_s / 4))
        while self._kinds and loop.time() < end_s - CALM_S:
            kind = self._rng.choice(self._kinds)
            self.counts[kind] += 1
            injected.append(asyncio.create_task(self._inject(kind)))
            await asyncio.sleep(self._rng.uniform(0.2, self._max_gap_s))
        await asyncio.gather(*injected)
        await asyncio.sleep(max(0.0, end_s - loop.time()))
        for process in self._busy:
            process.wait()

    async def _inject(self, kind: str) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        print(f"queue soak: {start_s:.3f} {kind}", file=sys.stderr)
        await self._faults[kind]()
        if kind in INSTANCE_KINDS:
            disturbance = (start_s, max(loop.time(), start_s + LONGEST_S))
            self.disturbances.append(disturbance)
            if kind in STORE_KINDS:
                self.store_disturbances.append(disturbance)

    def _some_workers(self, largest_share: float) -> list[str]:
        share = self._rng.uniform(0.05, largest_share)
        ids = self._entries.ids
        return self._rng.sample(ids, min(len(ids), max(1, round(share * len(ids)))))

    async def _worker_fault(
        self, kind: str, workers: list[str], for_s: float, share: float = 1.0
    ) -> None:
        body = {"workers": workers, "kind": kind, "for_s": for_s, "share": share}
        await self._cell.fleet("POST", "/fault", body)

    async def _lose_answers(self) -> None:
        share = self._rng.uniform(0.1, 0.6)
        await self._worker_fault("lose", self._entries.ids, self._rng.uniform(2, 10), share)

    async def _delay_orders(self) -> None:
        share = self._rng.uniform(0.05, 0.4)
        await self._worker_fault("late", self._some_workers(1.0), self._rng.uniform(2, 8), share)

    async def _cut_workers(self) -> None:
        await self._worker_fault("cut", self._some_workers(0.4), self._rng.uniform(0.5, 12))

    async def _mute_workers(self) -> None:
        await self._worker_fault("mute", self._some_workers(0.4), self._rng.uniform(0.5, 12))

    async def _slow_workers(self) -> None:
        await self._worker_fault("slow", self._some_workers(1.0), self._rng.uniform(1, 8), 0.5)

    async def _unhealthy_workers(self) -> None:
        await self._worker_fault("unhealthy", self._some_workers(0.5), self._rng.uniform(1, 5), 0.3)

    async def _lose_and_refuse(self) -> None:
        """Close a few connections without a response while many calls are refused.

        The HTTP client sends a call again by itself when a kept-alive connection closes.
        """
        workers, for_s = self._some_workers(1.0), self._rng.uniform(4, 10)
        await self._worker_fault("lose", workers, for_s, 0.04)
        await self._worker_fault("unhealthy", workers, for_s, 0.4)

    async def _restart_workers(self) -> None:
        """Restart workers under their ids, some of them behind a cut."""
        quiet = self._rng.random() < 0.4
        workers = self._some_workers(0.2)
        cut_s = self._rng.uniform(0.5, 8)
        self._entries.held.update(workers)
        if quiet:
            await self._worker_fault("cut", workers, cut_s)
        for worker_id in workers:
            down_s = self._rng.uniform(0, 4)
            body = {"worker": worker_id, "down_s": down_s, "quiet": quiet}
            await self._cell.fleet("POST", "/restart", body)
            await asyncio.sleep(self._rng.uniform(0, 0.2))
        await asyncio.sleep(self._rng.uniform(0, 4))
        self._entries.held.difference_update(workers)
        for worker_id in workers:
            await self._entries.write(worker_id)

    async def _freeze_leader(self) -> None:
        leader = await self._cell.leader()
        if leader is not None:
            self._cell.instances[leader].send(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.5, 6))
            self._cell.instances[leader].send(signal.SIGCONT)

    async def _kill_leader(self) -> None:
        await self._end_leader(signal.SIGKILL)

    async def _terminate_leader(self) -> None:
        await self._end_leader(signal.SIGTERM)

    async def _end_leader(self, number: signal.Signals) -> None:
        leader = await self._cell.leader()
        if leader is None:
            return
        instance = self._cell.instances[leader]
        instance.send(number)
        for _ in range(100):
            await asyncio.sleep(0.1)
            if not instance.running:
                break
        await asyncio.sleep(self._rng.uniform(0, 3))
        if not instance.running:
            instance.start()

    async def _refuse_leader(self) -> None:
        """Let the store refuse only the leader, and remove its key at once or not."""
        leader = await self._cell.leader()
        if leader is None:
            return
        kind = self._rng.choice(("refuse", "refuse", "silent", "reset"))
        body = {"listeners": [leader + 1], "kind": kind, "for_s": self._rng.uniform(1, 8)}
        await self._cell.store("/fault", body)
        if self._rng.random() < 0.5:
            await self._cell.store("/drop", {"key": LEADER_KEY})

    async def _store_down(self) -> None:
        for_s = self._rng.uniform(0.5, 7)
        listeners = list(range(1, len(self._cell.instances) + 1))
        kind = self._rng.choice(("refuse", "silent", "reset"))
        await self._cell.store("/fault", {"listeners": listeners, "kind": kind, "for_s": for_s})
        if self._rng.random() < 0.5:
            await self._cell.store("/pause-leases", {"for_s": for_s})

    async def _store_lossy(self) -> None:
        kind = self._rng.choice(("lose", "late", "slow"))
        body = {
            "listeners": list(range(1, len(self._cell.instances) + 1)),
            "kind": kind,
            "for_s": self._rng.uniform(1, 6),
            "share": self._rng.uniform(0.1, 0.6),
        }
        await self._cell.store("/fault", body)

    async def _unlist_workers(self) -> None:
        workers = self._some_workers(0.3)
        for worker_id in workers:
            await self._cell.store("/remove", {"key": f"servers/{worker_id}"})
        await asyncio.sleep(self._rng.uniform(0.5, 6))
        for worker_id in workers:
            await self._entries.write(worker_id)

    async def _starve(self) -> None:
        for_s = self._rng.uniform(1, 5)
        for _ in range(BUSY_PROCESSES):
            self._busy.append(
                subprocess.Popen([sys.executable, "-c", BUSY_LOOP.format(for_s=for_s)])
            )

    def _some_processes(self) -> list[FleetProcess]:
        """Return some of the worker processes that no signals are sent to."""
        free = [p for p in self._cell.fleet_processes.stoppable if p not in self._signalled]
        return self._rng.sample(free, self._rng.randint(1, len(free))) if free else []

    async def _stop_workers(self) -> None:
        """Stop processes of workers at one moment, and let them go on at one or at several."""
        processes = self._some_processes()
        self._signalled.update(processes)
        for process in processes:
            self._cell.fleet_processes.pause(process)
        await asyncio.sleep(self._rng.uniform(SHORTEST_STOP_S, self._longest_stop_s))
        for process in processes:
            self._cell.fleet_processes.resume(process)
            await asyncio.sleep(self._rng.choice((0.0, self._rng.uniform(0, 1))))
        self._signalled.difference_update(processes)

    async def _starve_workers(self) -> None:
        """Let processes of workers run for a small share of the time."""
        processes = self._some_processes()
        self._signalled.update(processes)
        for_s = self._rng.uniform(4, 15)
        longest_s = self._rng.uniform(0.15, LONGEST_PAUSE_S)
        await asyncio.gather(
            *(
                self._cell.fleet_processes.starve(
                    process, for_s, lambda: self._rng.uniform(0.1, longest_s)
                )
                for process in processes
            )
        )
        self._signalled.difference_update(processes)

    async def _crash_workers(self) -> None:
        """Let some of the jobs that are submitted for a while have tasks that crash workers."""
        self._load.crashing_share = self._rng.choice((0.05, 0.1, 0.3))
        self._crashing_spans += 1
        await asyncio.sleep(self._rng.uniform(3, 12))
        self._crashing_spans -= 1
        if not self._crashing_spans:
            self._load.crashing_share = 0.0

    async def _resize_workers(self) -> None:
        """Shrink some workers, and let them grow again later."""
        entries = await self._cell.fleet("GET", "/entries")
        workers = [each for each in self._some_workers(0.5) if each in entries]
        workers = [each for each in workers if each not in self._resized]
        self._resized.update(workers)
        full = {each: entries[each]["capacity"] for each in workers}
        for worker_id, size in full.items():
            await self._resize(worker_id, size, self._rng.uniform(0.1, 0.8))
            await asyncio.sleep(self._rng.uniform(0, 0.1))
        await asyncio.sleep(self._rng.uniform(2, 12))
        for worker_id, size in full.items():
            await self._resize(worker_id, size, 1.0)
        self._resized.difference_update(workers)

    async def _resize(self, worker_id: str, size: dict[str, int], share: float) -> None:
        cpu, mem_mb = round(size["cpu"] * share), round(size["mem_mb"] * share)
        await self._cell.fleet(
            "POST", "/resize", {"worker": worker_id, "cpu": cpu, "mem_mb": mem_mb}
        )

    async def _write_odd_entry(self) -> None:
        """Let an entry that names no worker to use stand among the others for a while."""
        self._odd_entries += 1
        key = f"servers/{self._rng.choice('az')}{ODD}{self._odd_entries}"
        kind, content = odd_entry(self._rng)
        print(f"queue soak: entry {key} {kind}", file=sys.stderr)
        await self._cell.put_bytes(key, content)
        await asyncio.sleep(self._rng.uniform(2, 10))
        await self._cell.store("/remove", {"key": key})
