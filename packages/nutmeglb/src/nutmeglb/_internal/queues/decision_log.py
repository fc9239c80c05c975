"""Writes decisions of the scheduler as log lines, rate limited per second."""

from collections import Counter
from collections.abc import Callable, Iterable

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.telemetry.hybrid_clock import HybridLogicalClock
from nutmeglb._internal.telemetry.logs import Level, current_output
from nutmeglb_decisions.queues.effects import Decision
from nutmeglb_decisions.queues.lost_work import PreemptionUsage
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.events import DECISION_MESSAGE_TYPE

MS_PER_S = 1_000.0
MILLICORES_PER_CORE = 1_000.0
MILLICORE_MS_PER_CORE_S = 1_000_000.0
# Kinds that are exempt from the rate limit, since they explain a failure.
UNLIMITED_KINDS = frozenset(
    {
        "job_failed",
        "job_refused",
        "worker_avoided",
        "worker_silent",
        "worker_stalled",
        "worker_answers_again",
        "worker_replaced",
        "run_stuck",
        "start_refused",
        "order_not_sent",
        "step_defect",
        "part_defect",
        "job_set_aside",
        "defect",
        "step_waiting",
        "job_idle",
        "run_unresolved",
        "presumed_end_contradicted",
        "runs_lost",
        "loss_withdrawn",
        "losses_assumed",
        "task_isolated",
        "task_given_up",
        "starts_withheld",
        "starts_resumed",
    }
)


class DecisionLog:
    """Rate-limited log of decisions.

    Parameters
    ----------
    lines_per_s
        Returns the maximum number of lines per second. A ``left_out`` line reports how many lines
        of each kind exceeded it.
    """

    def __init__(
        self,
        clock: Clock,
        hybrid_clock: HybridLogicalClock,
        metrics: Metrics,
        lines_per_s: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._hybrid_clock = hybrid_clock
        self._sequence = 0
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written = 0
        self._left_out: Counter[str] = Counter()
        self._decisions = metrics.counter(
            "nutmeglb_queue_decisions_total", "Decisions of the scheduler of queues by kind."
        )
        self._lost_core_s = metrics.counter(
            "nutmeglb_queue_preemption_lost_core_seconds_total",
            "Work that preemption stopped and that is done again, in core-seconds.",
        )
        self._held_cores = metrics.gauge(
            "nutmeglb_queue_held_cores", "Cores that are kept for steps after preemption."
        )
        self._counted_lost_work = 0.0

    def write(self, decisions: Iterable[Decision]) -> None:
        """Count decisions by kind and log those within the rate limit."""
        for decision in decisions:
            self._decisions.inc(kind=decision.kind)
            if self._admit(decision.kind):
                self._write_line(decision)

    def count_preemption(self, usage: PreemptionUsage) -> None:
        """Update the metrics of preemption from the totals of the current leader."""
        if usage.lost_work < self._counted_lost_work:
            # Each leader counts from zero.
            self._counted_lost_work = 0.0
        lost_work = usage.lost_work - self._counted_lost_work
        self._lost_core_s.inc(lost_work / MILLICORE_MS_PER_CORE_S)
        self._counted_lost_work = usage.lost_work
        self._held_cores.set(usage.held_cpu_millis / MILLICORES_PER_CORE)

    def defect(self, part: str, error: Exception) -> None:
        """Log an unexpected exception in a part of nutmeglb."""
        fields = (("error", repr(error)),)
        self.write([Decision("defect", part, fields=fields)])

    def _admit(self, kind: str) -> bool:
        second = int(self._clock.now_ms() / MS_PER_S)
        if second != self._second:
            left_out, self._left_out = self._left_out, Counter()
            self._second, self._written = second, 0
            if left_out:
                self._write_line(Decision("left_out", "line limit", fields=tuple(left_out.items())))
        if kind not in UNLIMITED_KINDS and self._written >= self._lines_per_s():
            self._left_out[kind] += 1
            return False
        self._written += 1
        return True

    def _write_line(self, decision: Decision) -> None:
        output = current_output()
        if not output.is_enabled(Level.INFO):
            return
        line: dict[str, object] = {"kind": decision.kind, "cause": decision.cause}
        for name in ("job", "task", "worker"):
            value = getattr(decision, name)
            if value:
                line[name] = value
        line.update(decision.fields)
        self._sequence += 1
        line["sequence"] = self._sequence
        line["at_ms"] = round(self._clock.now_ms(), 3)
        line["order_ms"] = round(self._hybrid_clock.advance(), 3)
        output.write_raw(line, DECISION_MESSAGE_TYPE)
