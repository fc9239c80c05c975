"""Options of the optional parts of the scheduler, from the settings."""

from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb_decisions.queues.composition import PartOptions
from nutmeglb_decisions.queues.preemption import PreemptionOptions


def part_options(current: QueueSettings) -> PartOptions:
    """Return the options of the parts that the settings switch on."""
    settings = current.queues
    preemption = None
    if settings.allows_preemption:
        preemption = PreemptionOptions(settings.max_stop_ms, settings.restore_ms)
    return PartOptions(preemption, settings.keep_apart, current.store.value_bytes)
