"""Limits on what each team may have running on all workers together.

Load pattern: a team that submits more than its limit lets it run, and a wide gang of a team beside
its own smaller work. No start brings a team above its limit in any resource. A lowered limit ends
nothing, and nothing starts until there is room below it.

Work that waits for its team's limit reserves no worker and requests no advice. The best-ranked step
of a team that waits for the limit holds the part that it needs: other work of the team starts only
if it is expected to end before the step can start, or fits beside it. The hold ends when the step
can only end uselessly late, or if runs without an end keep it from starting at all.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from nutmeglb_decisions.invariants import QUOTA, require
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.parts import RankedSteps, StartGate
from nutmeglb_decisions.queues.ranking import AGING_FACTOR, Tier, rank_of
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass
from nutmeglb_decisions.queues.state import Run, Step
from nutmeglb_decisions.queues.team_limits import UNLIMITED, effective_limits
from nutmeglb_decisions.queues.team_use import possible_use
from nutmeglb_decisions.shares import TeamUse
from nutmeglb_formats.models.queues import QueueConfig
from nutmeglb_formats.models.resources import Resources

GATE_NAME = "quota"


def gate(config: QueueConfig) -> Callable[[Cell, float], StartGate] | None:
    """Return what creates the gate of a pass, or ``None`` if no team has a limit."""
    limits = effective_limits(config)
    return (lambda cell, now_ms: QuotaGate(cell, limits, now_ms)) if limits else None


@dataclass(slots=True)
class _Hold:
    """Part of a team's limit that is kept for a waiting step.

    Attributes
    ----------
    at_ms
        Time at which enough of the team's runs are expected to have ended.
    surplus
        Amount that remains at ``at_ms`` for other runs that last beyond it.
    """

    step: Step
    at_ms: float
    surplus: Resources


class QuotaGate:
    """Admits starts within the limits of the teams. The use is computed at the first question."""

    name = GATE_NAME

    def __init__(self, cell: Cell, limits: dict[str, Resources], now_ms: float) -> None:
        self._cell = cell
        self._limits = limits
        self._now_ms = now_ms
        self._use: TeamUse | None = None
        self._runs: dict[str, list[Run]] | None = None
        self._holds: dict[str, _Hold] = {}

    def admits(self, step: Step, count: int) -> bool:
        """Return whether ``count`` more tasks of a step may start."""
        team = step.team
        if team not in self._limits:
            return True
        amount = step.needs if count == 1 else step.needs.scaled(count)
        hold = self._holds.get(team)
        if not self._current_use().admits(team, amount):
            self.hold(step, count)
            return False
        if hold is None:
            if step.plan is not None:
                free = self._limits[team] - self._current_use().used(team)
                start_ms = max(self._now_ms, step.plan.start_ms)
                self._holds[team] = _Hold(step, start_ms, free - amount)
            return True
        return hold.step is step or self._fits_beside(hold, step, amount)

    def record_start(self, step: Step) -> None:
        """Count a task of a step that was started in this pass."""
        team = step.team
        if team not in self._limits or self._use is None:
            return
        needs = step.needs
        require(
            self._use.admits(team, needs), QUOTA, "A start exceeds the limit of a team", team=team
        )
        self._use.add(team, needs)
        hold = self._holds.get(team)
        if hold is None:
            return
        if hold.step is step:
            del self._holds[team]
        elif self._end_ms(step) > hold.at_ms:
            hold.surplus = hold.surplus - needs

    def hold(self, step: Step, count: int) -> None:
        """Hold a part of the team's limit for ``count`` tasks of a step, unless that is futile."""
        team = step.team
        if team not in self._limits or team in self._holds or self._is_useless(step):
            return
        limit, amount = self._limits[team], step.needs.scaled(count)
        used = self._current_use().used(team)
        for run in self._ending_runs(team):
            used = used - run.step.needs
            if (used + amount).fits_in(limit):
                at_ms = max(self._now_ms, run.expected_end_ms)
                self._holds[team] = _Hold(step, at_ms, limit - used - amount)
                return

    def _current_use(self) -> TeamUse:
        if self._use is None:
            self._use = possible_use(self._cell, self._limits, self._now_ms)
        return self._use

    def _ending_runs(self, team: str) -> list[Run]:
        """Return the runs of a team that end by themselves, in the order of their expected ends."""
        if self._runs is None:
            self._runs = defaultdict(list)
            for worker in self._cell.workers.values():
                for run in worker.runs.values():
                    if not run.step.spec.lasting:
                        self._runs[run.step.team].append(run)
        return sorted(self._runs.get(team, []), key=lambda run: run.expected_end_ms)

    def _is_useless(self, step: Step) -> bool:
        job = step.job
        start_ms = job.accepted_ms
        if job.record.repeats and step.runnable_since_ms is not None:
            start_ms = step.runnable_since_ms
        rank = rank_of(step, start_ms, self._now_ms, self._cell.estimates)
        return rank.tier == Tier.TOO_LATE

    def _fits_beside(self, hold: _Hold, step: Step, amount: Resources) -> bool:
        return self._end_ms(step) <= hold.at_ms or amount.fits_in(hold.surplus)

    def _end_ms(self, step: Step) -> float:
        if step.spec.lasting:
            return float("inf")
        queue = step.job.queue_key
        return self._now_ms + self._cell.estimates.run_ms(queue, step.spec.estimate_ms)


def hold_for_overtaken_steps(state: SchedulingPass, ranked: RankedSteps) -> None:
    """Let steps that have waited very long for their team's limit go before all of their team."""
    gates = [gate for gate in state.gates if isinstance(gate, QuotaGate)]
    for rank, step in ranked:
        if step.held_by != GATE_NAME or rank.tier == Tier.TOO_LATE or step.forecast is None:
            continue
        if state.now_ms - rank.accepted_ms > AGING_FACTOR * step.forecast.objective_ms:
            for gate in gates:
                gate.hold(step, step.spec.count if step.spec.gang else 1)


def figures(cell: Cell, team: str, now_ms: float) -> dict[str, object]:
    """Return the figures that explain a wait for the limit of a team, for log lines."""
    limit = (effective_limits(cell.config) if cell.config else {}).get(team)
    if limit is None:
        return {"team": team}
    used = possible_use(cell, {team: limit}, now_ms).used(team)
    return {
        "team": team,
        "team_cpu": f"{used.cpu_millis}/{_text(limit.cpu_millis)}",
        "team_memory": f"{used.memory_bytes}/{_text(limit.memory_bytes)}",
        "team_accelerators": f"{used.accelerators}/{_text(limit.accelerators)}",
    }


def _text(limit: int) -> str:
    return "unlimited" if limit == UNLIMITED else str(limit)
