"""Admission control by team: which teams are refused on which queues, and when they may retry.

Load pattern: one team submits far more than it may run. It is refused by its own backlog only, so
that other teams on the same queue are accepted. The backlog of a team is compared with its limit,
and while the service is overloaded as a whole also with its weighted share of the capacity. No team
is refused while workers and its limit have room that serves it in time.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.admission import RETRY_AFTER_BOUNDS_MS
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.ranking import LATE_FACTOR, objective_ms
from nutmeglb_decisions.queues.state import Job
from nutmeglb_formats.models.queues import QueueKey
from nutmeglb_formats.models.resources import Resources

# Stands for a weight of 0.
MIN_WEIGHT = 1e-9


@dataclass(slots=True)
class _Backlog:
    """Work of a team on one queue: cores, memory and accelerators, each times milliseconds."""

    work: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    objectives_ms: list[float] = field(default_factory=list)

    def add(self, cell: Cell, job: Job) -> None:
        self.objectives_ms.append(objective_ms(job, cell.estimates))
        for step in job.steps:
            if not step.spec.lasting:
                run_ms = cell.estimates.run_ms(job.queue_key, step.spec.estimate_ms)
                for index, amount in enumerate(_amounts(step.needs)):
                    self.work[index] += step.remaining * amount * run_ms

    @property
    def last_useful_ms(self) -> float:
        """Time after which a job of median size is useless to its caller."""
        return LATE_FACTOR * sorted(self.objectives_ms)[len(self.objectives_ms) // 2]


def refusing_teams(cell: Cell) -> dict[tuple[QueueKey, str], float]:
    """Return the queues and teams that are refused, with the milliseconds until they may retry."""
    config = cell.config
    if config is None or not config.teams:
        return {}
    capacity = sum(
        (w.info.capacity for w in cell.workers.values() if w.listed and not w.info.draining),
        Resources(),
    )
    if not capacity.cpu_millis:
        return {}
    backlogs: dict[QueueKey, dict[str, _Backlog]] = defaultdict(lambda: defaultdict(_Backlog))
    priorities: dict[QueueKey, int] = {}
    for job in cell.active.values():
        priorities[job.queue_key] = cell.policy_of(job).priority
        backlogs[job.queue_key][job.record.team].add(cell, job)
    refusing = {}
    for key, by_team in backlogs.items():
        ahead = [
            other
            for other_key, other in backlogs.items()
            if priorities[other_key] <= priorities[key]
        ]
        work = {
            team: [other[team] for other in ahead if team in other] for team in set().union(*ahead)
        }
        fair_ms = _fair_drain_ms(
            {team: _drain_ms(own, capacity) for team, own in work.items()},
            {team: _weight(cell, team) for team in work},
        )
        for team, backlog in by_team.items():
            own_ms = _drain_ms(work[team], cell.estimates.team_limits.get(team))
            excess_ms = max(own_ms, fair_ms[team]) - backlog.last_useful_ms
            if excess_ms > 0:
                lowest, highest = RETRY_AFTER_BOUNDS_MS
                refusing[(key, team)] = min(highest, max(lowest, excess_ms))
    return refusing


def _weight(cell: Cell, team: str) -> float:
    configured = (cell.config.teams or {}) if cell.config else {}
    return max(configured[team].weight, MIN_WEIGHT) if team in configured else 1.0


def _fair_drain_ms(drain_ms: Mapping[str, float], weights: Mapping[str, float]) -> dict[str, float]:
    """Return when the work of each team is done if teams share the capacity by weight.

    Parameters
    ----------
    drain_ms
        Time that the work of a team takes with the whole capacity. Teams with little work leave
        their share to the others when it is done.
    """
    remaining_weight = sum(weights.values())
    done_ms = 0.0
    result = {}
    for team in sorted(drain_ms, key=lambda name: drain_ms[name] / weights[name]):
        result[team] = done_ms + drain_ms[team] / weights[team] * remaining_weight
        done_ms += drain_ms[team]
        remaining_weight -= weights[team]
    return result


def _drain_ms(backlogs: list[_Backlog], room: Resources | None) -> float:
    """Return how long work takes if it may use ``room``; 0 without a limit."""
    if room is None:
        return 0.0
    return max(
        (
            sum(backlog.work[index] for backlog in backlogs) / amount
            for index, amount in enumerate(_amounts(room))
            if amount
        ),
        default=0.0,
    )


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu_millis, resources.memory_bytes, resources.accelerators
