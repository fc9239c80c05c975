"""Decides which optional parts of the scheduler are active for a configuration."""

from dataclasses import dataclass, replace

from nutmeglb_decisions.queues import interference, quotas
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.interference import Interference
from nutmeglb_decisions.queues.parts import PassParts
from nutmeglb_formats.models.queues import QueueConfig


@dataclass(frozen=True, slots=True)
class PartOptions:
    """Settings of the parts that the configuration does not contain.

    Attributes
    ----------
    keep_apart
        Whether kinds of tasks that slow each other down are learned and kept apart.
    """

    keep_apart: bool = False


def configure(cell: Cell, config: QueueConfig, options: PartOptions) -> None:
    """Replace the configuration of a cell, and its active parts."""
    cell.configure(config)
    if not options.keep_apart:
        cell.interference = None
    elif cell.interference is None:
        cell.interference = Interference()
    cell.parts = active_parts(config, options, cell.interference)


def active_parts(
    config: QueueConfig, options: PartOptions, learned: Interference | None = None
) -> PassParts:
    """Return the parts that a configuration and the settings call for."""
    parts = PassParts()
    if options.keep_apart and learned is not None:
        parts = interference.active(learned)
    gate = quotas.gate(config)
    if gate is None:
        return parts
    return replace(parts, gates=(gate,), before_pass=(quotas.hold_for_overtaken_steps,))
