"""Tasks that crash the workers that start them are given up, and cost others little."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.lib.queue_crashing_tasks import (
    BAD_JOBS,
    DOWN_MS,
    DURATIONS_MS,
    FIRST_BAD,
    CrashWorld,
    draw_case,
)
from tests.lib.queue_world import CPU, JOBS, PROCESSES, WORKERS, replay

ONE_TASK, TEN_TASKS, WIDE_TASKS, GANG, LASTING, LATE, ONE_OF_TEN = range(FIRST_BAD, FIRST_BAD + 7)
MAX_BAD_JOBS = 10
LONG_WORK = (("submit", 4),) * 6
CASES = {
    "one_task": [("submit", ONE_TASK), ("advance", 40_000)],
    "ten_tasks": [("submit", TEN_TASKS), ("advance", 40_000)],
    "tasks_of_half_a_worker": [("submit", WIDE_TASKS), ("advance", 40_000)],
    "one_of_ten_tasks": [("submit", ONE_OF_TEN), ("advance", 40_000)],
    "gang": [("submit", GANG), ("advance", 40_000)],
    "lasting_task": [("submit", LASTING), ("advance", 40_000)],
    "late_crash": [("submit", LATE), ("submit", 6), ("advance", 40_000)],
    "late_crash_beside_changes_of_leader": [
        ("submit", LATE), *(("advance", 4_000), ("replace", 0), ("replace", 1)) * 12
    ],
    "beside_long_work": [*LONG_WORK, ("advance", 1_500), ("submit", TEN_TASKS)],
    "beside_short_work": [
        ("submit", ONE_TASK), *(("submit", 0), ("submit", 6), ("advance", 300)) * 12
    ],
    "two_jobs_at_once": [("submit", ONE_TASK), ("submit", TEN_TASKS), ("submit", 6)],
    "leader_replaced_after_each_crash": [
        ("submit", ONE_TASK), *(("advance", 1_000), ("replace", 0), ("replace", 1)) * 20
    ],
    "leader_killed_after_each_crash": [
        ("submit", ONE_TASK),
        *(("advance", 4_000), ("kill", 0), ("advance", 4_000), ("kill", 1)) * 6,
    ],
    "answers_of_commits_lost": [
        ("submit", ONE_TASK),
        *(("store_fault", 0, "no_answer", 1_500), ("store_fault", 1, "no_answer", 1_500)) * 4,
        ("advance", 20_000),
    ],
}  # fmt: skip


@pytest.mark.parametrize("name", CASES)
def test_crashing_task_is_given_up_within_its_budget_and_no_other_job_fails(name):
    """The world checks the budget at each start, and the final state of every job."""
    replay(CASES[name], make_world=CrashWorld)


@pytest.mark.parametrize("kind", [ONE_TASK, TEN_TASKS, WIDE_TASKS, GANG, ONE_OF_TEN])
def test_crashing_job_causes_one_crash_more_than_its_first_wave_and_that_one_costs_no_other(kind):
    """All tasks that start before the first crash is known belong to the first wave."""
    world = CrashWorld()
    try:
        for _ in range(4):
            world.apply("submit", 4)
        world.apply("advance", 1_500)
        world.apply("submit", kind)
        world.apply("advance", 200)
        first_wave = len(world.record.crashes)
        world.finish()
        crashes = world.crashes_of(f"{4:016x}")
    finally:
        world.close()
    assert len(crashes) <= first_wave + 1
    assert [crash.lost for crash in crashes[first_wave:]] == [()] * len(crashes[first_wave:])


def test_healthy_jobs_complete_while_workers_restart_under_them():
    """Crashes by chance, without a task that causes them, fail no job."""
    restarts = [("restart", worker, 4_000, 3_000, 0.0) for worker in WORKERS]
    steps = [
        step for restart in restarts * 3 for step in (("submit", 2), ("advance", 1_100), restart)
    ]
    replay([("submit", 4), ("submit", 5), *steps], make_world=CrashWorld)


def test_seeded_cases():
    """Plays the cases of fixed seeds. In 2032 a sibling was active at a crash that was unseen."""
    failures = {}
    for seed in (*range(40), 2032):
        try:
            replay(draw_case(seed), make_world=CrashWorld)
        except AssertionError as error:
            failures[seed] = str(error)
    assert not failures


# Seeds in which a healthy job was given up because numbers of runs that were never ordered counted
# as losses under each new leader.
SEEDS_OF_UNUSED_NUMBERS = (4071, 4099, 4165, 4248, 4270, 4335)


@pytest.mark.parametrize("seed", SEEDS_OF_UNUSED_NUMBERS)
def test_healthy_job_is_not_given_up_for_numbers_of_runs_that_were_never_ordered(seed):
    replay(draw_case(seed), make_world=CrashWorld)


def test_healthy_job_is_not_given_up_for_numbers_stored_just_before_changes_of_leader():
    replay(draw_case(5746), make_world=CrashWorld)


class CrashMachine(RuleBasedStateMachine):
    """Draws crashing and healthy jobs, crashes by chance, cuts and changes of leader."""

    @initialize()
    def begin(self) -> None:
        self.world = CrashWorld()

    @rule(kind=st.integers(FIRST_BAD, FIRST_BAD + len(BAD_JOBS) - 1))
    def submit_crashing_job(self, kind: int) -> None:
        if sum(self.world.is_bad(f"{job_id}.0.0.0") for job_id in self.world.jobs) < MAX_BAD_JOBS:
            self.world.apply("submit", kind)

    @rule(kind=st.integers(0, len(JOBS) - 1), repeat=st.integers(1, 3))
    def submit(self, kind: int, repeat: int) -> None:
        for _ in range(repeat):
            self.world.apply("submit", kind)

    @rule(duration_ms=st.sampled_from(DURATIONS_MS))
    def advance(self, duration_ms: float) -> None:
        self.world.apply("advance", duration_ms)

    @rule(duration_ms=st.sampled_from(DURATIONS_MS))
    def advance_again(self, duration_ms: float) -> None:
        self.world.apply("advance", duration_ms)

    @rule(worker=st.sampled_from(WORKERS), down_ms=st.sampled_from(DOWN_MS))
    def restart(self, worker: str, down_ms: float) -> None:
        self.world.apply("restart", worker, CPU, down_ms, 0.0)

    @rule(worker=st.sampled_from(WORKERS), how=st.sampled_from(["both", "answers", "none"]))
    def cut(self, worker: str, how: str) -> None:
        self.world.apply("cut", worker, -1, how)

    @rule(
        worker=st.sampled_from(WORKERS),
        call=st.sampled_from(["start", "stop", "hold"]),
        fate=st.sampled_from(["lost", "no_answer", "slow_answer"]),
    )
    def fault(self, worker: str, call: str, fate: str) -> None:
        self.world.apply("fault", worker, call, fate, 500, 2)

    @rule(process=st.sampled_from(PROCESSES), name=st.sampled_from(["kill", "replace"]))
    def change_leader(self, process: int, name: str) -> None:
        self.world.apply(name, process)

    @rule(process=st.sampled_from(PROCESSES), fate=st.sampled_from(["lost", "no_answer"]))
    def store_fault(self, process: int, fate: str) -> None:
        self.world.apply("store_fault", process, fate, 1_500)

    def teardown(self) -> None:
        """Every crashing job fails within its budget, and no other job fails."""
        if hasattr(self, "world"):
            try:
                self.world.finish()
            finally:
                self.world.close()


CrashMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestCrashMachine = CrashMachine.TestCase
