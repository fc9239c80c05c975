"""State of one scheduling pass, and the start of a task in it."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from nutmeglb_decisions.invariants import LEDGER_CAPACITY, require
from nutmeglb_decisions.queues import advice
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import StartTask
from nutmeglb_decisions.queues.headroom import usable_spare_cpu
from nutmeglb_decisions.queues.parts import LostTime, StartGate
from nutmeglb_decisions.queues.state import Run, Step, Task
from nutmeglb_decisions.queues.worker_selection import Reservations
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.resources import Resources


@dataclass(slots=True)
class SchedulingPass:
    """Inputs and intermediate results of one scheduling pass.

    Attributes
    ----------
    reservations, planned
        Reservations of gangs tried in this pass, which are binding for all steps after them; and of
        all gangs as planned in the previous pass, which better-ranked work avoids if it can.
    eligible
        Per service and label: the workers that may be used.
    placed
        Runs started for the current step.
    planned_cpu
        Millicores that gangs wait for, per worker.
    reserved_cpu, gang_priorities
        Per service: millicores reserved for gangs in this pass, and the best priority among them.
    worker_checks
        Number of worker checks so far.
    spare_cpu
        Per service and CPU of its largest urgent task: free millicores that no gang waits for,
        updated at each start.
    sizes_without_capacity
        Per service and label: task sizes that fit on no worker. Free capacity only shrinks during a
        pass, so larger tasks need not be tried.
    overdue
        Per service: the gang that may plan regardless of its tier and share. Its reservations are
        made first.
    admitted_step, admitted_starts
        Step that the gates admitted last, and how many more of its tasks may start for that.
    turns
        Steps that go first, since their jobs have been idle beside free capacity.
    held_for_numbers
        Workers with a reservation for tasks that start once their run numbers are stored.
    gates
        Limits on starts in this pass.
    lost_ms
        Sum of the active worker terms; ``None`` without any.
    """

    cell: Cell
    rng: random.Random
    now_ms: float
    wall_ms: float
    budget: advice.AdviceBudget
    reservations: Reservations
    planned: Reservations
    reserved_cpu: dict[str, int] = field(default_factory=dict)
    reservation_attempts: int = 0
    worker_checks: int = 0
    eligible: dict[tuple[str, str], advice.WorkerGroup] = field(default_factory=dict)
    sizes_without_capacity: dict[tuple[str, str], list[Resources]] = field(default_factory=dict)
    placed: list[Run] = field(default_factory=list)
    planned_cpu: dict[str, int] = field(default_factory=dict)
    gang_priorities: dict[str, int] = field(default_factory=dict)
    spare_cpu: dict[tuple[str, int], int] = field(default_factory=dict)
    overdue: dict[str, Step] = field(default_factory=dict)
    turns: Sequence[Step] = ()
    admitted_step: Step | None = None
    admitted_starts: int = 0
    held_for_numbers: set[str] = field(default_factory=set)
    gates: tuple[StartGate, ...] = ()
    lost_ms: LostTime | None = None

    def prepare_parts(self) -> None:
        """Create the gates and worker terms of this pass."""
        parts = self.cell.parts
        self.gates = tuple(make(self.cell, self.now_ms) for make in parts.gates)
        prepared = (term.prepare(self.cell, self.now_ms) for term in parts.worker_terms)
        terms = tuple(lost_ms for lost_ms in prepared if lost_ms is not None)
        if terms:
            self.lost_ms = lambda step, worker, run_ms: sum(
                term(step, worker, run_ms) for term in terms
            )

    def admits(self, step: Step, count: int) -> bool:
        """Return whether all gates admit the start of ``count`` tasks of a step."""
        self.admitted_step, self.admitted_starts = step, 0
        for gate in self.gates:
            if not gate.admits(step, count):
                step.held_by = gate.name
                return False
        step.held_by = ""
        self.admitted_starts = count
        return True

    def admits_next(self, step: Step) -> bool:
        """Return whether one more task may start: an admission that is left, or a new one."""
        is_left = self.admitted_step is step and self.admitted_starts > 0
        return is_left or self.admits(step, 1)

    def use_admission(self, step: Step) -> None:
        """Use up the admission of one start, which covers no second one."""
        for gate in self.gates:
            gate.record_start(step)
        if self.admitted_step is step:
            self.admitted_starts -= 1


def start_task(
    state: SchedulingPass, step: Step, task: Task, worker: Worker, number: int, run_ms: float
) -> None:
    """Charge a run to its worker and order its start."""
    cell, now_ms = state.cell, state.now_ms
    expected_end_ms = now_ms + run_ms * worker.slowness
    charged = step.charged
    run = Run(step, task.index, number, worker.worker_id, charged, now_ms, expected_end_ms)
    run.worker_started_ms = worker.started_ms
    run.resumed = bool(task.checkpoint)
    require(
        charged.fits_in(worker.free),
        LEDGER_CAPACITY,
        "A start exceeds the free capacity of a worker",
        worker=worker.worker_id,
        task=run.task,
    )
    state.use_admission(step)
    _charge_spare(state, worker, charged.cpu_millis)
    worker.charge(charged)
    # The order, sent after this pass, also renews the lease, possibly long after the last renewal.
    worker.lease_expires_at_ms = max(
        worker.lease_expires_at_ms, now_ms + cell.lease_expiry_after_ms
    )
    worker.runs[(run.task, number)] = run
    for observer in cell.parts.observers:
        observer.record_start(run, worker)
    state.reservations.charge(worker.worker_id, step, expected_end_ms)
    state.planned.charge(worker.worker_id, step, expected_end_ms)
    task.run = run
    task.last_run = number
    state.placed.append(run)
    ticket, ticket_expires_at_ms = step.advice.tickets.get(worker.worker_id, ("", 0.0))
    body = step.job.record.body
    cell.effects.append(
        StartTask(
            worker.worker_id, run.task, number, body, task.checkpoint, ticket, ticket_expires_at_ms
        )
    )


def _charge_spare(state: SchedulingPass, worker: Worker, cpu_millis: int) -> None:
    """Subtract the CPU of a start from the spare sums, before the worker is charged."""
    planned = state.planned_cpu.get(worker.worker_id, 0)
    for key in state.spare_cpu:
        service, unit = key
        if service == worker.info.service:
            before = worker.free.cpu_millis - planned
            charged_cpu = usable_spare_cpu(before, unit) - usable_spare_cpu(
                before - cpu_millis, unit
            )
            state.spare_cpu[key] -= charged_cpu
