"""Decides which optional parts of the scheduler are active for a configuration."""

from dataclasses import dataclass

from nutmeglb_decisions.queues import quotas, team_shares
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.parts import PassParts
from nutmeglb_decisions.queues.team_limits import effective_limits
from nutmeglb_formats.models.queues import QueueConfig


@dataclass(frozen=True, slots=True)
class PartOptions:
    """Settings of the parts that the configuration does not contain."""


def configure(cell: Cell, config: QueueConfig, options: PartOptions) -> None:
    """Replace the configuration of a cell, and its active parts."""
    cell.configure(config)
    cell.estimates.team_limits = effective_limits(config)
    cell.parts = active_parts(config, options)


def active_parts(config: QueueConfig, options: PartOptions) -> PassParts:
    """Return the parts that a configuration and the settings call for."""
    gate = quotas.gate(config)
    rate_term = team_shares.order_term(config)
    return PassParts(
        order_terms=(rate_term,) if rate_term else (),
        gates=(gate,) if gate else (),
        before_pass=(quotas.hold_for_overtaken_steps,) if gate else (),
    )
