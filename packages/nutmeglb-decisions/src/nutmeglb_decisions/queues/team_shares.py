"""Order among teams while capacity is short.

Load pattern: one team submits many times its usual, or a few large teams fill the service beside
many small ones. Steps of a team that has had more than its weighted share in the last seconds go
after those of the others; capacity that these leave goes to it at once. Jobs that a team submits
beyond its rate go last. Within its share, a team's steps keep their order by timeliness.
"""

import math

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.parts import OrderTerm, OrderValue, Place
from nutmeglb_decisions.queues.ranking import Rank
from nutmeglb_decisions.queues.state import Step
from nutmeglb_formats.models.queues import QueueConfig
from nutmeglb_formats.models.resources import Resources

TERM_NAME = "team_share"
# Above all values of teams within their rate.
EXCESS_VALUE = 100.0


def order_term(config: QueueConfig, place: Place) -> OrderTerm | None:
    """Return the term, or ``None`` without teams."""
    if not config.teams:
        return None
    weights = {name: max(team.weight, 1e-9) for name, team in config.teams.items()}

    def prepare(cell: Cell, now_ms: float) -> OrderValue:
        return _order_values(cell, weights, now_ms)

    return OrderTerm(TERM_NAME, place, prepare)


def _order_values(cell: Cell, weights: dict[str, float], now_ms: float) -> OrderValue:
    capacity = sum((w.info.capacity for w in cell.workers.values() if w.listed), Resources())
    shares = {
        team: used.dominant_share(capacity)
        for team, used in cell.run_sums.update(cell.workers).items()
    }
    recent = cell.recent_shares
    recent.sample(shares, now_ms)
    recent.classify((job for job in cell.active.values() if job.exceeds_rate is None), weights)
    waiting = {job.record.team for job in cell.active.values()} & weights.keys()
    total_weight = sum(weights[team] for team in waiting) or 1.0
    values: dict[str, float] = {}

    def value(step: Step, rank: Rank) -> float:
        team = step.team
        if team not in weights:
            return 0.0
        if team not in values:
            entitled = weights[team] / total_weight
            values[team] = _steps_above(max(recent.average(team), shares.get(team, 0.0)), entitled)
        return values[team] + (EXCESS_VALUE if step.job.exceeds_rate else 0.0)

    return value


def _steps_above(share: float, entitled: float) -> float:
    """Return by how many powers of two a share exceeds the one that a team is entitled to."""
    return float(max(0, math.ceil(math.log2(share / entitled)))) if share > 0 else 0.0
