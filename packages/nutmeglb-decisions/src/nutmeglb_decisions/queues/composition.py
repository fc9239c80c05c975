"""Decides which optional parts of the scheduler are active for a configuration."""

from dataclasses import dataclass

from nutmeglb_decisions.queues import quotas
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.parts import PassParts
from nutmeglb_decisions.queues.preemption import PreemptionOptions, make_preemption
from nutmeglb_decisions.queues.room_holds import reserve_holds
from nutmeglb_formats.models.queues import QueueConfig


@dataclass(frozen=True, slots=True)
class PartOptions:
    """Settings of the parts that the configuration does not contain.

    Attributes
    ----------
    preemption
        Bounds that preemption relies on; ``None`` if work is not to be stopped for other work.
    """

    preemption: PreemptionOptions | None = None


def configure(cell: Cell, config: QueueConfig, options: PartOptions) -> None:
    """Replace the configuration of a cell, and its active parts."""
    cell.configure(config)
    cell.parts = active_parts(config, options)


def active_parts(config: QueueConfig, options: PartOptions) -> PassParts:
    """Return the parts that a configuration and the settings call for."""
    gates, before_pass, after_pass = [], [], []
    gate = quotas.gate(config)
    if gate is not None:
        gates.append(gate)
        before_pass.append(quotas.hold_for_overtaken_steps)
    if options.preemption is not None:
        before_pass.append(reserve_holds)
        after_pass.append(make_preemption(options.preemption))
    return PassParts(
        gates=tuple(gates), before_pass=tuple(before_pass), after_pass=tuple(after_pass)
    )
