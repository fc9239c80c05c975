"""Reporting of violated guarantees of the request path."""

from nutmeglb._internal.context import Context
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.exceptions import InvariantViolation

logger = get_logger("routing")


class ViolationReporter:
    """Reports ``InvariantViolation`` errors. The step that raised one has had no effect."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._counter = ctx.metrics.counter(
            "nutmeglb_invariant_violations_total", "Violated guarantees."
        )

    def report(self, violation: InvariantViolation) -> None:
        """Count, log and record a violation."""
        invariant = str(violation.context.get("invariant", "unknown"))
        self._counter.inc(invariant=invariant)
        self._ctx.events.emit("invariant_violated", str(violation), invariant=invariant)
        logger.error(
            "an invariant is violated; the step has no effect",
            invariant=invariant,
            cause=str(violation),
        )
