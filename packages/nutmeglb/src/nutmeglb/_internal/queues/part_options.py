"""Options of the optional parts of the scheduler, from the settings."""

from nutmeglb._internal.queues.settings import QueueSection
from nutmeglb_decisions.queues.composition import PartOptions
from nutmeglb_decisions.queues.preemption import PreemptionOptions


def part_options(settings: QueueSection) -> PartOptions:
    """Return the options of the parts that the settings switch on."""
    preemption = None
    if settings.allows_preemption:
        preemption = PreemptionOptions(settings.max_stop_ms, settings.restore_ms)
    return PartOptions(preemption, settings.keep_apart)
