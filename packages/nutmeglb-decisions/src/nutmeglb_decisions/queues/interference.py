"""Learns which kinds of tasks slow each other down on one worker, and keeps them apart.

Load pattern: tasks that compete for something that is not charged, such as memory bandwidth or
disks. Each run that ends is compared with runs of its kind on the same worker, and with runs of its
own step. So a slow worker, a wrong estimate or a full worker is not taken for an effect between
kinds. Only what ran beside a run at its start is used: a run that lasts longer sees other
neighbours at its end. A pair of kinds counts only while its evidence is clear, and then it only
orders workers.
"""

import math
from collections import OrderedDict, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from nutmeglb_decisions.queues.estimates import DEFAULT_RUN_MS
from nutmeglb_decisions.queues.interference_evidence import (
    BEGIN_ERRORS,
    Group,
    KindEvidence,
    Y,
)
from nutmeglb_decisions.queues.parts import (
    LostTime,
    PassParts,
    RankedSteps,
    RunObserver,
    WorkerTerm,
)
from nutmeglb_decisions.queues.state import Run, Step
from nutmeglb_decisions.queues.worker_state import Worker

if TYPE_CHECKING:
    from nutmeglb_decisions.queues.cell import Cell
    from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass

# Callers notice a slow-down by this share.
MIN_EFFECT = 0.05
# A pair ceases to count when its effect is below this number of standard errors.
CEASE_ERRORS = 2.0
CHECK_INTERVAL_MS = 1_000.0
# Limits of the memory.
MAX_KINDS = 256
MAX_GROUPS = 4_096
# Assumed share of the variance that runs on one worker have in common.
SHARED_BY_WORKER = 0.8


@dataclass(frozen=True, slots=True)
class Pair:
    """A kind that is slowed down by another one.

    Attributes
    ----------
    slope
        Logarithm of the slow-down by a neighbour that uses the whole worker.
    effect, error
        Logarithm of the slow-down by a neighbour of the usual size, and its standard error.
    runs
        Number of runs of evidence, faded.
    """

    slope: float
    effect: float
    error: float
    runs: float
    since_ms: float


@dataclass(slots=True)
class Interference:
    """What one leader has learned, and the pairs that count.

    Attributes
    ----------
    pairs
        Per slowed kind: the pairs that count, by the kind that slows it down.
    placements
        Number of starts on a worker without lost time while another candidate had some.
    """

    pairs: dict[str, dict[str, Pair]] = field(default_factory=dict)
    placements: int = 0
    _kinds: OrderedDict[str, KindEvidence] = field(default_factory=OrderedDict)
    _groups: OrderedDict[tuple[str, ...], Group] = field(default_factory=OrderedDict)
    _started: list[tuple[Run, Worker]] = field(default_factory=list)
    _losing: dict[int, set[str]] = field(default_factory=lambda: defaultdict(set))
    _next_poll_ms: float = 0.0

    @property
    def pair_count(self) -> int:
        """Return the number of pairs that count."""
        return sum(len(pairs) for pairs in self.pairs.values())

    def take_placements(self) -> int:
        """Return and reset the number of changed placements."""
        placements, self.placements = self.placements, 0
        return placements

    def record_start(self, run: Run, worker: Worker) -> None:
        """Remember a run that was started in this pass, and count a placement that was changed."""
        self._started.append((run, worker))
        losing = self._losing.get(id(run.step))
        if losing and worker.worker_id not in losing:
            self.placements += 1

    def end_pass(self, _state: "SchedulingPass", _ranked: RankedSteps) -> None:
        """Record what runs beside the runs that were started in a pass."""
        for run, worker in self._started:
            run.beside = shares_beside(worker, run)
        self._started.clear()
        self._losing.clear()

    def record_end(self, cell: "Cell", worker: Worker, run: Run, now_ms: float) -> None:
        """Learn from a completed run whose duration shows the run time of its task."""
        spec = run.step.spec
        if run.beside is None or spec.gang:
            return
        name = kind_of(run.step)
        kind = self._kinds.setdefault(name, KindEvidence(updated_ms=now_ms))
        self._kinds.move_to_end(name)
        if len(self._kinds) > MAX_KINDS:
            self._forget_kind(cell, next(iter(self._kinds)), now_ms)
        took_ms = now_ms - run.ordered_ms
        log_ratio = kind.log_ratio(took_ms, spec.estimate_ms or DEFAULT_RUN_MS)
        kind.fade(now_ms)
        if kind.see(run.beside):
            self._forget_groups(name)
        utilization = sum(run.beside.values()) + _share(worker, run)
        values = kind.values(run.beside, utilization, log_ratio)
        values = self._group(name, "worker", worker.worker_id).innovation(values, SHARED_BY_WORKER)
        group = self._group(name, "step", run.step.name)
        values = group.innovation(values, kind.shared_by_step(group, values))
        kind.add(values)
        if now_ms >= kind.next_check_ms:
            kind.next_check_ms = now_ms + CHECK_INTERVAL_MS
            self._update_pairs(cell, name, kind, now_ms)

    def _group(self, *key: str) -> Group:
        """Return the former observations of a worker or step, by kind, ``worker`` or ``step``."""
        group = self._groups.setdefault(key, Group([0.0] * (Y + 1)))
        self._groups.move_to_end(key)
        if len(self._groups) > MAX_GROUPS:
            self._groups.popitem(last=False)
        return group

    def _forget_groups(self, name: str) -> None:
        for key in [key for key in self._groups if key[0] == name]:
            del self._groups[key]

    def _forget_kind(self, cell: "Cell", name: str, now_ms: float) -> None:
        del self._kinds[name]
        self._forget_groups(name)
        for other in list(self.pairs.get(name, ())):
            self._cease(cell, name, other, now_ms)

    def _update_pairs(self, cell: "Cell", name: str, kind: KindEvidence, now_ms: float) -> None:
        effects = kind.effects()
        counting = self.pairs.get(name, {})
        for other in list(counting):
            if other not in effects or _has_ceased(*effects[other][1:]):
                self._cease(cell, name, other, now_ms)
        for other, (slope, effect, error) in effects.items():
            former = self.pairs.get(name, {}).get(other)
            begins = effect - BEGIN_ERRORS * error > math.log1p(MIN_EFFECT)
            if former is None and not begins:
                continue
            since_ms = now_ms if former is None else former.since_ms
            pair = Pair(slope, effect, error, kind.runs, since_ms)
            self.pairs.setdefault(name, {})[other] = pair
            if former is None:
                _log(cell, "interference_began", "clear evidence", name, other, pair)

    def _cease(self, cell: "Cell", name: str, other: str, now_ms: float) -> None:
        pair = self.pairs[name].pop(other)
        if not self.pairs[name]:
            del self.pairs[name]
        counted_ms = round(now_ms - pair.since_ms)
        _log(cell, "interference_ceased", "evidence faded", name, other, pair, counted_ms)

    def poll(self, cell: "Cell", now_ms: float) -> None:
        """Let pairs cease whose kinds do not run beside each other any more."""
        if not self.pairs or now_ms < self._next_poll_ms:
            return
        self._next_poll_ms = now_ms + CHECK_INTERVAL_MS
        for name in list(self.pairs):
            kind = self._kinds[name]
            kind.fade(now_ms)
            self._update_pairs(cell, name, kind, now_ms)

    def prepare(self, cell: "Cell", now_ms: float) -> LostTime | None:
        """Return the lost time for one pass, or ``None`` if no pair counts."""
        self.poll(cell, now_ms)
        if not self.pairs:
            return None
        slowed_by: dict[str, dict[str, float]] = {}
        slows: dict[str, dict[str, float]] = defaultdict(dict)
        for name, pairs in self.pairs.items():
            slowed_by[name] = {other: pair.slope for other, pair in pairs.items()}
            for other, pair in pairs.items():
                slows[other][name] = pair.slope

        def lost_ms(step: Step, worker: Worker, run_ms: float) -> float:
            kind = kind_of(step)
            own, others = slowed_by.get(kind), slows.get(kind)
            if own is None and others is None:
                return 0.0
            share = step.charged.cpu_millis / max(1, worker.info.capacity.cpu_millis)
            lost = 0.0
            for run in worker.runs.values():
                name = kind_of(run.step)
                if own and name in own:
                    lost += math.expm1(own[name] * _share(worker, run)) * run_ms * worker.slowness
                if others and name in others:
                    left_ms = max(0.0, run.expected_end_ms - now_ms)
                    lost += math.expm1(others[name] * share) * left_ms
            if lost > 0.0:
                self._losing[id(step)].add(worker.worker_id)
            # Lost time is compared before slowness, so a slow worker must not win by a little.
            return lost + run_ms * (worker.slowness - 1)

        return lost_ms


def active(model: Interference) -> PassParts:
    """Return the parts of a pass that learn from runs and keep kinds apart."""
    observer = RunObserver(model.record_start, model.record_end)
    term = WorkerTerm("interference", model.prepare)
    return PassParts(worker_terms=(term,), observers=(observer,), after_pass=(model.end_pass,))


def kind_of(step: Step) -> str:
    """Return what tasks are alike: those of one image, or else of one queue."""
    return step.spec.image or step.job.queue_key


def shares_beside(worker: Worker, own: Run) -> dict[str, float]:
    """Return the shares of a worker's processors that the other runs on it use, by kind."""
    shares: dict[str, float] = defaultdict(float)
    for run in worker.runs.values():
        if run is not own:
            shares[kind_of(run.step)] += _share(worker, run)
    return dict(shares)


def _share(worker: Worker, run: Run) -> float:
    """Return the share of a worker that a run uses, at most all of one that has shrunk below it."""
    return min(1.0, run.charged.cpu_millis / max(1, worker.info.capacity.cpu_millis))


def _has_ceased(effect: float, error: float) -> bool:
    return effect - CEASE_ERRORS * error <= 0.0


def _log(
    cell: "Cell", kind: str, cause: str, name: str, other: str, pair: Pair, counted_ms: int = 0
) -> None:
    cell.log_decision(
        kind,
        cause,
        slowed=name,
        by=other,
        slow_down=round(math.expm1(pair.effect), 3),
        error=round(pair.error, 3),
        runs=round(pair.runs),
        since_ms=round(pair.since_ms),
        counted_ms=counted_ms,
    )
