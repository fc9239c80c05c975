"""Contains unexpected errors, so that one step, job or part does not end the term of each leader.

Load pattern: an input or a defect that raises each time it is met. The next leader would meet it as
well, so a step at fault is deferred instead, and all others proceed. The time until its next
attempt doubles, from well below the time after which callers take a job for stuck. The first run
that it starts ends this. Until then its job is shown as before, and may be cancelled.
"""

from collections.abc import Callable

from nutmeglb_decisions.queues.cell import Cell, PartErrors
from nutmeglb_decisions.queues.state import Step

FIRST_RETRY_MS = 250.0
MAX_RETRY_MS = 60_000.0
# Interval of the log lines on the errors of one part, which may raise in each pass.
PART_LINE_INTERVAL_MS = 10_000.0


def defer_step(cell: Cell, step: Step, error: Exception, now_ms: float) -> None:
    """Defer a step whose ranking or placement raised an unexpected error."""
    deferral = step.deferral
    retry_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2.0 ** min(deferral.failures, 16))
    deferral.failures += 1
    deferral.until_ms = now_ms + retry_ms
    cell.log_decision(
        "step_defect",
        repr(error),
        job=step.job.job_id,
        step=step.name,
        failures=deferral.failures,
        retry_ms=round(retry_ms),
    )


def contain(cell: Cell, part: str, now_ms: float, call: Callable[[], object]) -> None:
    """Call a part of the scheduler. An unexpected error is logged, and the others proceed."""
    try:
        call()
    except Exception as error:
        errors = cell.part_errors.setdefault(part, PartErrors())
        errors.count += 1
        if now_ms >= errors.next_line_ms:
            errors.next_line_ms = now_ms + PART_LINE_INTERVAL_MS
            cell.log_decision("part_defect", repr(error), part=part, errors=errors.count)
