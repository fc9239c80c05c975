"""What it costs to stop a run for more urgent work, and which runs may be stopped.

Load pattern: urgent work beside gangs and wide batch in too little room. Batch has slack and most
of it saves its progress at a stop, so that stopping it costs little more than its restore.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.gang_plans import expected_end_ms
from nutmeglb_decisions.queues.ranking import LIMIT_FACTORS, Tier, forecast_of
from nutmeglb_decisions.queues.room_holds import NOTHING
from nutmeglb_decisions.queues.state import Run, RunState, Step
from nutmeglb_decisions.queues.waiting_order import due_ms
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_decisions.victims import Candidate

# Additional loss, in millicores times milliseconds, that a part assigns to the stop of a run. A
# negative value makes the run a better victim.
VictimTerm = Callable[[Run], float]


class VictimClass(IntEnum):
    """How well a run can bear a stop, best first. Victims of a later class need a lack of others.

    The job of a timely one still ends in time, and that of an untimely one would not in any case.
    """

    TIMELY_TASK = 0
    TIMELY_GANG = 1
    UNTIMELY = 2


@dataclass(frozen=True, slots=True)
class Victim:
    """Runs that are stopped together: one task, or all members of a gang.

    Attributes
    ----------
    lost_ms
        Time in milliseconds by which the stop delays the work, besides the wait for capacity.
    slack_ms
        Time in milliseconds that remains to the objective after the stop and the wait.
    lost_work
        Work in millicores times milliseconds that is done again, or could have been done while the
        capacity idles, over all runs.
    """

    runs: tuple[Run, ...]
    victim_class: VictimClass
    lost_ms: float
    slack_ms: float
    lost_work: float


@dataclass(slots=True)
class VictimSearch:
    """Search of one pass for runs that may be stopped. Results are kept for the whole pass.

    Attributes
    ----------
    freed_after_ms
        Time from the decision to stop a run until its capacity is free.
    restore_ms
        Time that a task needs to resume from its checkpoint.
    """

    cell: Cell
    now_ms: float
    wall_ms: float
    freed_after_ms: float
    restore_ms: float
    terms: Sequence[VictimTerm] = ()
    _latest_end_ms: dict[Step, tuple[float, float]] = field(default_factory=dict)

    def candidates(self, worker: Worker, step: Step, run_ms: float) -> Iterator[Candidate[Victim]]:
        """Yield what may be stopped on a worker for a step that takes ``run_ms`` milliseconds."""
        gangs: dict[Step, list[Run]] = defaultdict(list)
        for run in worker.runs.values():
            if not self._may_be_stopped(run, step):
                continue
            if run.step.spec.gang:
                gangs[run.step].append(run)
            else:
                victim = self._victim((run,), run_ms)
                if victim is not None:
                    yield Candidate(victim, run.charged, victim.lost_work)
        for gang, local in gangs.items():
            members = tuple(gang.live_runs)
            if all(self._may_be_stopped(run, step) for run in members):
                victim = self._victim(members, run_ms)
                if victim is not None:
                    charged = sum((run.charged for run in local), NOTHING)
                    yield Candidate(victim, charged, victim.lost_work)

    def _may_be_stopped(self, run: Run, step: Step) -> bool:
        """Return whether a run is of lower priority, and would not end before a stop took effect.

        A task that lasts has no end that a later start could still meet, so it is never stopped.
        """
        task = run.step.tasks[run.index]
        ran_ms = self.now_ms - run.ordered_ms
        return (
            run.state == RunState.RUNNING
            and run.step.job.record.queue.priority > step.job.record.queue.priority
            and not run.step.spec.lasting
            and ran_ms >= task.preempted_loss_ms
            and expected_end_ms(run, self.now_ms) > self.now_ms + self.freed_after_ms
        )

    def _victim(self, runs: tuple[Run, ...], wait_ms: float) -> Victim | None:
        """Return what a stop of the runs costs, or ``None`` if their job would be less timely.

        They wait until the step that takes their capacity has ended.
        """
        step = runs[0].step
        objective_end_ms, useful_end_ms = self._ends(step)
        end_ms = max(expected_end_ms(run, self.now_ms) for run in runs)
        step_run_ms = self.cell.estimates.run_ms(step.job.queue_key, step.spec.estimate_ms)
        if step.spec.checkpoints:
            lost_ms = self.restore_ms
            remaining_ms = end_ms - self.now_ms
        else:
            lost_ms = max(self.now_ms - run.ordered_ms for run in runs)
            remaining_ms = step_run_ms
        resumed_ms = self.now_ms + self.freed_after_ms + wait_ms
        end_after_ms = resumed_ms + remaining_ms + (lost_ms if step.spec.checkpoints else 0.0)
        if end_after_ms <= objective_end_ms:
            is_gang = step.spec.gang
            victim_class = VictimClass.TIMELY_GANG if is_gang else VictimClass.TIMELY_TASK
        elif end_ms > objective_end_ms and (
            end_after_ms <= useful_end_ms or end_ms > useful_end_ms
        ):
            victim_class = VictimClass.UNTIMELY
        else:
            return None
        # The capacity idles until all victims have ended.
        idle_ms = self.freed_after_ms
        lost_work = sum((lost_ms + idle_ms) * run.charged.cpu_millis for run in runs)
        lost_work += sum(term(run) for term in self.terms for run in runs)
        return Victim(runs, victim_class, lost_ms, objective_end_ms - end_after_ms, lost_work)

    def _ends(self, step: Step) -> tuple[float, float]:
        """Return until when a step has to end for its job to be in time, and to be of use."""
        if step not in self._latest_end_ms:
            started_ms = due_ms(step.job, step, self.now_ms, self.wall_ms)
            forecast = forecast_of(step, self.now_ms, self.cell.estimates)
            queue = step.job.queue_key
            run_ms = self.cell.estimates.run_ms(queue, step.spec.estimate_ms)
            later_ms = forecast.remaining_ms - run_ms
            objective_end_ms, useful_end_ms = (
                started_ms + LIMIT_FACTORS[tier] * forecast.objective_ms - later_ms
                for tier in (Tier.IN_TIME, Tier.LATE)
            )
            self._latest_end_ms[step] = objective_end_ms, useful_end_ms
        return self._latest_end_ms[step]
