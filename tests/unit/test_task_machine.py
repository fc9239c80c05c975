"""Stateful test of the task scheduler under random messages, faults and leader changes."""

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from nutmeglb_decisions.tasks.quarantine import MAX_PROBE_DELAY_MS
from nutmeglb_formats.models.config import JobKind, RequestClass
from nutmeglb_formats.models.resources import Resources
from tests.lib.task_world import GIB, LEASE_MS, World
from tests.lib.tasks import make_config, make_spec

MAX_IN_FLIGHT = 12
SETTLING_ROUNDS = 260
INDEX = st.integers(0, MAX_IN_FLIGHT)
WORKER = st.sampled_from(["w0", "w1", "w2"])
COMMANDS = st.sampled_from(
    ["run_ms=50", "run_ms=400", "run_ms=3000", "run_ms=20 outcome=failed cpu_millis=9000"]
)


class TaskMachine(RuleBasedStateMachine):
    """Guards G2 and the allocation ledger.

    The failures are overlapping runs, lost jobs, double completions, partly started gangs and
    over-committed workers.
    """

    @initialize(contact=st.booleans())
    def begin(self, contact: bool) -> None:
        self.world = World(make_config())
        if contact:
            self.world.run_round()
        self.accepted: dict[int, str] = {}
        self.cancelled: set[str] = set()
        self.submitted = 0
        self.ever_committed: set[str] = set()
        self.gangs: dict[str, int] = {}

    @rule(
        kind=st.sampled_from([JobKind.BATCH, JobKind.GANG]),
        tasks=st.integers(1, 5),
        cpu=st.sampled_from([500, 1_000, 3_000, 9_000]),
        job_class=st.sampled_from(list(RequestClass)),
        command=COMMANDS,
        repeat=st.booleans(),
    )
    def submit(
        self,
        kind: JobKind,
        tasks: int,
        cpu: int,
        job_class: RequestClass,
        command: str,
        repeat: bool,
    ) -> None:
        self.submitted += not repeat
        spec = make_spec(
            f"s{self.submitted}",
            kind=kind,
            tasks=tasks,
            resources=Resources(cpu, GIB, 0),
            job_class=job_class,
            command=command,
        )
        self.world.submit(spec)

    @precondition(lambda self: self.world.leader.lifecycle.jobs)
    @rule(index=INDEX)
    def cancel(self, index: int) -> None:
        jobs = sorted(self.world.leader.lifecycle.jobs)
        self.world.cancel(jobs[index % len(jobs)])

    @precondition(lambda self: self.world.appends)
    @rule(index=INDEX, outcome=st.sampled_from(["ok", "ok", "ok", "lost", "unknown"]))
    def finish_append(self, index: int, outcome: str) -> None:
        batches = sorted(self.world.appends)
        batch = batches[index % len(batches)]
        self.world.commit(batch, applied=outcome != "lost", reported=outcome == "ok")

    @rule(worker=WORKER)
    def send(self, worker: str) -> None:
        if len(self.world.requests) < MAX_IN_FLIGHT:
            self.world.send(worker)

    @precondition(lambda self: self.world.requests)
    @rule(index=INDEX, repeat=st.booleans())
    def deliver_request(self, index: int, repeat: bool) -> None:
        repeat = repeat and len(self.world.responses) < MAX_IN_FLIGHT
        self.world.deliver_request(index % len(self.world.requests), repeat=repeat)

    @precondition(lambda self: self.world.responses)
    @rule(index=INDEX, how=st.sampled_from(["once", "once", "repeat", "lose"]))
    def deliver_response(self, index: int, how: str) -> None:
        position = index % len(self.world.responses)
        if how == "lose":
            self.world.lose_contact(self.world.responses.pop(position).worker)
        else:
            self.world.deliver_response(position, repeat=how == "repeat")

    @rule(duration_ms=st.sampled_from([1.0, 30.0, 200.0, 0.6 * LEASE_MS, 1.3 * LEASE_MS]))
    def advance(self, duration_ms: float) -> None:
        self.world.advance(duration_ms)

    @rule(commit=st.booleans())
    def step(self, commit: bool) -> None:
        self.world.step()
        if commit:
            self.world.commit_all()

    @rule(worker=WORKER)
    def exchange(self, worker: str) -> None:
        self.world.send(worker)
        self.world.deliver_request(len(self.world.requests) - 1)
        if self.world.responses:
            self.world.deliver_response(len(self.world.responses) - 1)

    @rule()
    def apply_round(self) -> None:
        self.world.run_round()

    @rule(worker=WORKER)
    def freeze_or_thaw(self, worker: str) -> None:
        self.world.frozen ^= {worker}

    @rule(worker=WORKER)
    def restart_agent(self, worker: str) -> None:
        agent = self.world.agents[worker]
        agent.restart(f"{agent.boot}+")

    @rule(snapshot=st.booleans())
    def change_leader(self, snapshot: bool) -> None:
        if snapshot:
            self.world.commit_all()
        self.world.replace_leader(snapshot=snapshot)

    @invariant()
    def check_guarantees(self) -> None:
        world = self.world
        self.ever_committed |= world.committed()
        world.check_journal(self.ever_committed)
        world.check_single_run()
        world.check_completions()
        world.check_ledger()

    @invariant()
    def check_gangs_start_whole(self) -> None:
        admitted: dict[str, set[str]] = {}
        for run in self.world.runs():
            job, index, _ = run.attempt.rsplit("/", 2)
            admitted.setdefault(job, set()).add(index)
        running = {run.attempt.rsplit("/", 2)[0] for run in self.world.started()}
        for job in self.world.leader.lifecycle.jobs.values():
            if job.is_gang and job.job_id in running:
                assert len(admitted[job.job_id]) == job.tasks, "a gang started in part"

    def has_quarantined_worker(self) -> bool:
        quarantine = self.world.leader._quarantine
        return any(not quarantine.allows(worker) for worker in self.world.agents)

    def incomplete_jobs(self) -> list[str]:
        """Return the jobs that fit, can succeed and are not complete."""
        incomplete = []
        for job in self.world.leader.lifecycle.jobs.values():
            can_succeed = (
                job.spec.resources.cpu_millis <= 4_000 and "failed" not in job.spec.command
            )
            fits = job.spec.resources.cpu_millis < 3_000 or job.tasks <= 3 or not job.is_gang
            if can_succeed and fits and not job.cancelled and job.done_count != job.tasks:
                incomplete.append(job.job_id)
        return incomplete

    def teardown(self) -> None:
        """After the faults, every accepted job that fits and can succeed must complete."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.frozen.clear()
        for _ in range(SETTLING_ROUNDS):
            world.run_round(150.0)
        # A job may need a worker that is quarantined until its next probe.
        limit_ms = world.clock.now_ms() + MAX_PROBE_DELAY_MS
        usable_rounds = 0 if self.has_quarantined_worker() else SETTLING_ROUNDS
        while usable_rounds < SETTLING_ROUNDS and world.clock.now_ms() < limit_ms:
            if not self.incomplete_jobs():
                break
            world.run_round(150.0)
            usable_rounds = 0 if self.has_quarantined_worker() else usable_rounds + 1
        self.check_guarantees()
        answered = [a.job_id for a in world.answers.values() if a.error is None]
        assert set(answered) <= set(world.leader.lifecycle.jobs), "an accepted job is lost"
        incomplete = self.incomplete_jobs()
        assert not incomplete, f"{incomplete} are not complete"
        for job in world.leader.lifecycle.jobs.values():
            if job.cancelled:
                assert not job.live, f"{job.job_id} runs after its cancellation"


TaskMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    phases=[Phase.generate],
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestTaskMachine = seed(20261204)(TaskMachine.TestCase)
