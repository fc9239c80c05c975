"""Order among teams while capacity is short.

Load pattern: one team submits many times its usual beside teams that submit little. The jobs that a
team submits beyond its rate are served from what all others leave, whatever their priority.
"""

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.parts import OrderTerm, OrderValue, Place
from nutmeglb_decisions.queues.ranking import Rank
from nutmeglb_decisions.queues.state import Step
from nutmeglb_formats.models.queues import QueueConfig

TERM_NAME = "beyond_rate"


def order_term(config: QueueConfig, place: Place = Place.BEFORE_PRIORITY) -> OrderTerm | None:
    """Return the term, or ``None`` if no team has a weight."""
    rates = {name: team.weight for name, team in (config.teams or {}).items() if team.weight > 0}
    if not rates:
        return None

    def prepare(cell: Cell, now_ms: float) -> OrderValue:
        new_jobs = [job for job in cell.active.values() if job.exceeds_rate is None]
        cell.team_rates.classify(new_jobs, rates)
        return _value

    return OrderTerm(TERM_NAME, place, prepare)


def _value(step: Step, rank: Rank) -> float:
    return 1.0 if step.job.exceeds_rate else 0.0
