"""State of a fleet of workers, as the platform's protocol describes it, with a record of events.

Time is passed to every function, so the state does not depend on a clock.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from standins.advice_book import AdviceBook
from standins.worker_fleet_state import DONE, FleetRun, FleetWorker, Kind, decode_run

# Longest lease that a worker grants, longest time that a stop takes, and longest time that a member
# of a gang waits for the others, from the users' platform specification.
MAX_LEASE_MS = 10_000.0
STOP_TIMEOUT_S = 0.2
GANG_TIMEOUT_S = 3.0
# Time from the start of a task that crashes its workers to the crash.
CRASH_AFTER_S = 0.01
MAX_ENDS_PER_REPORT = 500
STOPPED, LAPSED = "stopped", "lapsed"
BROKEN, ALONE = "broken", "alone"
# Not from the protocol: the worker's process has ended.
CRASHED = "crashed"

Answer = tuple[int, dict[str, Any]]
Record = Callable[[dict[str, Any]], None]
DueEvent = tuple[float, int, bool, Callable[[float], None]]


class Fleet:
    """All workers of the fleet. Gangs span workers.

    Parameters
    ----------
    record
        Called with every event.
    """

    def __init__(self, rng: random.Random, record: Record) -> None:
        self.workers: dict[str, FleetWorker] = {}
        self.advice = AdviceBook()
        self._rng = rng
        self._record = record
        # Time, sequence number, whether it is a check of a lease, and effect of an event.
        self._due: list[DueEvent] = []
        self._sequence = itertools.count()
        self._gangs: dict[tuple[str, int], dict[str, FleetWorker]] = {}

    @property
    def next_due_s(self) -> float | None:
        """Return the time of the next event."""
        return self._due[0][0] if self._due else None

    def advance(self, now_s: float) -> None:
        """Apply all events that are due, in order and with their own times."""
        while self._due and self._due[0][0] <= now_s:
            due_s, _, _, apply = heapq.heappop(self._due)
            apply(due_s)

    def boot(self, worker: FleetWorker, born: int, now_s: float) -> None:
        """Start a worker, or end its life and start another one without any memory."""
        self.advance(now_s)
        if worker.life:
            self.crash(worker, now_s)
        self.workers[worker.worker_id] = worker
        worker.life += 1
        worker.born = born
        worker.is_up = True
        worker.started_s = now_s
        worker.clock_rate = self._rng.uniform(0.98, 1.0)
        worker.clock_ms_at_start = float(self._rng.randrange(0, 600_000))
        worker.fence = worker.ends = worker.acknowledged = 0
        worker.lease_ms = None
        worker.lease_check_pending = False
        worker.barred = {}
        worker.finished = []
        kind = worker.kind
        needs = {"cpu": kind.cpu, "mem_mb": kind.mem_mb, "labels": worker.labels}
        self._log_worker(worker, "boot", now_s, born=born, **needs)

    def crash(self, worker: FleetWorker, now_s: float) -> None:
        """End everything that runs on a worker without listing it."""
        self.advance(now_s)
        for key in list(worker.runs):
            # The end of a member of a gang ends the others.
            if key in worker.runs:
                self._end(worker, key, CRASHED, now_s)

    def rename(self, worker: FleetWorker, worker_id: str) -> None:
        """Give a worker that is down another id for its next life."""
        del self.workers[worker.worker_id]
        worker.worker_id = worker_id
        self.workers[worker_id] = worker

    def resize(self, worker: FleetWorker, kind: Kind, now_s: float) -> None:
        """Change a worker's capacity. What runs there stays."""
        self.advance(now_s)
        worker.kind = kind
        self._log_worker(worker, "resize", now_s, cpu=kind.cpu, mem_mb=kind.mem_mb)

    def call(
        self,
        worker_id: str,
        name: str,
        body: dict[str, Any],
        now_s: float,
        *,
        late_s: float = 0.0,
    ) -> Answer | None:
        """Carry out a call and return status and body of its answer, or ``None`` if it is down.

        A ``hold`` is answered at once; use ``report`` for an answer after a wait.

        Parameters
        ----------
        late_s
            How long the call was held up, for the record.
        """
        self.advance(now_s)
        worker = self.workers[worker_id]
        if not worker.is_up:
            return None
        fence = body.get("fence_token", 0)
        if fence < worker.fence:
            return 409, self._content(worker, now_s, reason="fence")
        worker.fence = fence
        if name == "run-start":
            reason = self._start(worker, body, now_s, late_s)
            if reason:
                return 409, self._content(worker, now_s, reason=reason)
        elif name == "run-stop":
            self._stop(worker, body["task"], body["run"], now_s)
        elif name == "hold":
            self._extend_lease(worker, body.get("deadline_ms"), now_s)
            self._acknowledge(worker, body["last_seen"], now_s)
            return 200, self.report(worker, now_s)
        return 200, self._content(worker, now_s)

    def report(self, worker: FleetWorker, now_s: float) -> dict[str, Any]:
        """Return the lists of runs."""
        self.advance(now_s)
        running = [
            [run.task, run.number, "", 100, run.cpu if run.ends_as else 0]
            for run in worker.runs.values()
            if worker.lists_stopping or not run.stopping
        ]
        finished = worker.finished[:MAX_ENDS_PER_REPORT]
        return self._content(worker, now_s, running=running, finished=finished)

    def _content(self, worker: FleetWorker, now_s: float, **fields: Any) -> dict[str, Any]:
        return {"clock_ms": int(worker.clock_ms(now_s)), "born": worker.born, **fields}

    def _start(self, worker: FleetWorker, body: dict[str, Any], now_s: float, late_s: float) -> str:
        """Start a run. Return the reason of a refusal."""
        task, number = body["task"], body["run"]
        self._extend_lease(worker, body["deadline_ms"], now_s)
        present = worker.runs.get((task, number))
        if present is not None and (worker.lists_stopping or not present.stopping):
            return ""
        if number <= worker.barred.get(task, 0):
            return "old"
        if body["deadline_ms"] <= worker.clock_ms(now_s):
            return "late"
        run = decode_run(task, number, body["spec"])
        if run.needs_ticket and not self._permits(worker, task, body.get("ticket", ""), now_s):
            return "ticket"
        worker.runs[(task, number)] = run
        self._log(worker, "start", run, now_s, fence=worker.fence, late_s=late_s)
        if run.crashes_worker:
            self._at(now_s + CRASH_AFTER_S, lambda at_s: self._crash_under(worker, run, at_s))
        if run.gang_size:
            self._join_gang(worker, run, now_s)
        elif run.ends_as:
            self._end_later(worker, run, run.ends_as, now_s + run.work_s)
        return ""

    def _permits(self, worker: FleetWorker, task: str, ticket: str, now_s: float) -> bool:
        step = task.rpartition(".")[0]
        return self.advice.is_valid(ticket, step, worker.worker_id, worker.life, now_s)

    def _crash_under(self, worker: FleetWorker, run: FleetRun, now_s: float) -> None:
        if worker.runs.get((run.task, run.number)) is run:
            self._log(worker, "crash", run, now_s)
            worker.is_up = False
            self.crash(worker, now_s)

    def _join_gang(self, worker: FleetWorker, run: FleetRun, now_s: float) -> None:
        members = self._gangs.setdefault(run.gang, {})
        members[run.task] = worker
        if len(members) < run.gang_size:
            self._at(now_s + GANG_TIMEOUT_S, lambda at_s: self._give_up(worker, run, at_s))
            return
        for task, member in members.items():
            present = member.runs[(task, run.number)]
            if present.ends_as:
                self._end_later(member, present, present.ends_as, now_s + present.work_s)

    def _give_up(self, worker: FleetWorker, run: FleetRun, now_s: float) -> None:
        if len(self._gangs.get(run.gang, ())) < run.gang_size:
            self._end_if_present(worker, run, ALONE, now_s)

    def _stop(self, worker: FleetWorker, task: str, number: int, now_s: float) -> None:
        worker.barred[task] = max(worker.barred.get(task, 0), number)
        run = worker.runs.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            self._log(worker, "stop", run, now_s)
            self._end_later(worker, run, STOPPED, now_s + self._rng.uniform(0, STOP_TIMEOUT_S))

    def _extend_lease(self, worker: FleetWorker, deadline_ms: float | None, now_s: float) -> None:
        if deadline_ms is None:
            return
        clock_ms = worker.clock_ms(now_s)
        lease_ms = min(deadline_ms, clock_ms + MAX_LEASE_MS)
        if lease_ms <= clock_ms:
            return
        worker.lease_ms = max(worker.lease_ms or 0.0, lease_ms)
        self._schedule_lease_check(worker)

    def _schedule_lease_check(self, worker: FleetWorker) -> None:
        if worker.lease_check_pending or worker.lease_ms is None:
            return
        worker.lease_check_pending = True
        life = worker.life
        self._at(
            worker.real_s(worker.lease_ms),
            lambda at_s: self._check_lease(worker, at_s) if worker.life == life else None,
            is_lease=True,
        )

    def _check_lease(self, worker: FleetWorker, now_s: float) -> None:
        worker.lease_check_pending = False
        if worker.lease_ms is None or now_s < worker.real_s(worker.lease_ms):
            self._schedule_lease_check(worker)
            return
        self._lapse(worker, now_s)

    def _lapse(self, worker: FleetWorker, now_s: float) -> None:
        worker.lease_ms = None
        self._log_worker(worker, "lapse", now_s)
        for key in list(worker.runs):
            if key in worker.runs:
                self._end(worker, key, LAPSED, now_s)

    def _acknowledge(self, worker: FleetWorker, last_seen: int, now_s: float) -> None:
        last_seen = min(last_seen, worker.ends)
        if last_seen <= worker.acknowledged:
            return
        worker.acknowledged = last_seen
        worker.finished = [row for row in worker.finished if row[0] > last_seen]
        self._log_worker(worker, "ack", now_s, last_seen=last_seen)

    def _end_later(self, worker: FleetWorker, run: FleetRun, how: str, at_s: float) -> None:
        self._at(at_s, lambda due_s: self._end_if_present(worker, run, how, due_s))

    def _end_if_present(self, worker: FleetWorker, run: FleetRun, how: str, now_s: float) -> None:
        if worker.runs.get((run.task, run.number)) is run:
            self._end(worker, (run.task, run.number), how, now_s)

    def _end(self, worker: FleetWorker, key: tuple[str, int], how: str, now_s: float) -> None:
        run = worker.runs.pop(key)
        worker.barred[run.task] = max(worker.barred.get(run.task, 0), run.number)
        worker.ends += 1
        worker.finished.append([worker.ends, run.task, run.number, how, ""])
        self._log(worker, "end", run, now_s, how=how, end=worker.ends)
        if not run.gang_size:
            return
        members = self._gangs.get(run.gang, {})
        if members.get(run.task) is worker:
            del members[run.task]
        for task, member in list(members.items()):
            present = member.runs.get((task, run.number))
            if present is not None and how != ALONE:
                self._end(member, (task, run.number), DONE if how == DONE else BROKEN, now_s)

    def _at(self, at_s: float, apply: Callable[[float], None], *, is_lease: bool = False) -> None:
        heapq.heappush(self._due, (at_s, next(self._sequence), is_lease, apply))

    def _log(
        self, worker: FleetWorker, event: str, run: FleetRun, now_s: float, **fields: Any
    ) -> None:
        needs = {"cpu": run.cpu, "mem_mb": run.mem_mb}
        self._log_worker(worker, event, now_s, task=run.task, run=run.number, **needs, **fields)

    def _log_worker(self, worker: FleetWorker, event: str, now_s: float, **fields: Any) -> None:
        names = {"worker": worker.worker_id, "life": worker.life}
        self._record({"t": now_s, "event": event, **names, **fields})
