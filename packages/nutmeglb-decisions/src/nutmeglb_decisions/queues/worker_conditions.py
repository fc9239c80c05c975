"""Names the condition that keeps starts away from a worker, for the lines that explain waits."""

from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Isolation
from nutmeglb_decisions.queues.worker_state import Worker


class Condition(StrEnum):
    """First condition of a start that a worker does not meet, and what ends it."""

    # It answers.
    SILENT = "silent"
    # Its first report, or one that settles the runs of a former leader.
    UNSETTLED = "unsettled"
    # The stop of runs that no job needs.
    STRAY_RUNS = "stray_runs"
    # A recent entry of its present incarnation.
    OLD_ENTRY = "old_entry"
    # A fixed time after a refusal or bad runs.
    AVOIDED = "avoided"
    # A report that shows a suspect active, or its end.
    KEPT_UNTIL_PROVED = "kept_until_proved"
    # The end of a run that has no other work beside it.
    KEPT_FOR_RUN = "kept_for_run"
    # The start of a suspect there, once its other runs have ended, or another choice.
    KEPT_TO_EMPTY = "kept_to_empty"
    # The end of its runs.
    USED = "used"


def condition_of(cell: Cell, worker: Worker, now_ms: float) -> tuple[Condition, float] | None:
    """Return the first condition that keeps starts away, and since when, or ``None``."""
    if worker.unanswered_since_ms is not None:
        return Condition.SILENT, worker.unanswered_since_ms
    if not worker.settled:
        return Condition.UNSETTLED, worker.first_answer_ms or cell.started_ms
    if worker.stray_runs:
        return Condition.STRAY_RUNS, now_ms
    if not worker.has_current_info or now_ms > worker.starts_until_ms:
        return Condition.OLD_ENTRY, min(now_ms, worker.starts_until_ms)
    if now_ms < worker.avoided_until_ms:
        return Condition.AVOIDED, now_ms
    if worker.is_kept:
        return _kept(cell, worker, now_ms)
    return (Condition.USED, now_ms) if worker.utilization >= 1.0 else None


def _kept(cell: Cell, worker: Worker, now_ms: float) -> tuple[Condition, float]:
    isolated = [run for run in worker.runs.values() if run.isolation != Isolation.NONE]
    if not isolated:
        kept = cell.kept_workers.get(worker.worker_id)
        return Condition.KEPT_TO_EMPTY, kept.wanted_ms if kept else now_ms
    since_ms = min(run.ordered_ms for run in isolated)
    if any(run.isolation == Isolation.WHOLE_RUN for run in isolated):
        return Condition.KEPT_FOR_RUN, since_ms
    return Condition.KEPT_UNTIL_PROVED, since_ms


def summarize(cell: Cell, workers: Iterable[Worker], now_ms: float) -> str:
    """Return how many workers each condition keeps starts from, and for how long at most.

    Returns
    -------
    str
        ``CONDITION:WORKERS:MILLISECONDS`` each, in alphabetical order.
    """
    durations_ms: dict[Condition, list[float]] = defaultdict(list)
    for worker in workers:
        found = condition_of(cell, worker, now_ms)
        if found is not None:
            durations_ms[found[0]].append(now_ms - found[1])
    return " ".join(
        f"{condition}:{len(durations_ms[condition])}:{max(durations_ms[condition]):.0f}"
        for condition in sorted(durations_ms)
    )
