"""Decides which optional parts of the scheduler are active for a configuration."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields

from nutmeglb_decisions.queues import interference, quotas, record_size, team_shares
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.interference import Interference
from nutmeglb_decisions.queues.parts import PassParts
from nutmeglb_decisions.queues.preemption import PreemptionOptions, make_preemption
from nutmeglb_decisions.queues.room_holds import reserve_holds
from nutmeglb_decisions.queues.team_limits import effective_limits
from nutmeglb_formats.models.queues import QueueConfig


@dataclass(frozen=True, slots=True)
class PartOptions:
    """Settings of the parts that the configuration does not contain.

    Attributes
    ----------
    preemption
        Bounds of preemption; ``None`` if it is off.
    keep_apart
        Whether kinds of tasks that slow each other down are learned and kept apart.
    value_bytes
        Largest value that the store takes; without limit by default.
    """

    preemption: PreemptionOptions | None = None
    keep_apart: bool = False
    value_bytes: float = math.inf


def configure(cell: Cell, config: QueueConfig, options: PartOptions) -> None:
    """Replace the configuration of a cell, and its active parts."""
    cell.configure(config)
    cell.estimates.team_limits = effective_limits(config)
    if not options.keep_apart:
        cell.interference = None
    elif cell.interference is None:
        cell.interference = Interference()
    cell.parts = active_parts(config, options, cell.interference)


def active_parts(
    config: QueueConfig, options: PartOptions, learned: Interference | None = None
) -> PassParts:
    """Return the parts that a configuration and the settings call for."""
    return _combined(_parts(config, options, learned))


def _parts(
    config: QueueConfig, options: PartOptions, learned: Interference | None
) -> Iterator[PassParts]:
    """Yield the active parts, in the order in which they act on a pass."""
    if math.isfinite(options.value_bytes):
        yield PassParts(gates=(record_size.gate(options.value_bytes),))
    rate_term = team_shares.order_term(config)
    if rate_term is not None:
        yield PassParts(order_terms=(rate_term,))
    gate = quotas.gate(config)
    if gate is not None:
        yield PassParts(gates=(gate,), before_pass=(quotas.hold_for_overtaken_steps,))
    if options.preemption is not None:
        preempt = make_preemption(options.preemption)
        yield PassParts(before_pass=(reserve_holds,), after_pass=(preempt,))
    if learned is not None:
        yield interference.active(learned)


def _combined(parts: Iterable[PassParts]) -> PassParts:
    """Return all terms, gates and functions of several parts as one."""
    every_part = tuple(parts)
    return PassParts(
        **{
            each.name: tuple(item for part in every_part for item in getattr(part, each.name))
            for each in fields(PassParts)
        }
    )
