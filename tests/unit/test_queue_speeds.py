"""Speeds of workers are learned from progress, and told from slow tasks and wrong estimates."""

import math

import pytest

from nutmeglb_decisions.queues import learned_state, speeds
from nutmeglb_decisions.queues.worker_speed import PRIOR_VARIANCE, WorkerSpeed, speed_class
from nutmeglb_formats.models.queue_records import (
    LearnedRunTimes,
    LearnedSpeed,
    LearnedState,
    decode_queue_record,
    encode_queue_record,
)
from nutmeglb_formats.models.queues import RunningTask
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info

INTERVAL_MS = 200.0
TASKS = 24


class ProgressWorld(CellWorld):
    """Cell whose workers work at given speeds and report the progress of their tasks.

    Attributes
    ----------
    speeds
        Speed per worker, 1 for an average one.
    work_ms
        Run times on an average worker that differ from ``usual_work_ms``, per task.
    """

    def __init__(self, worker_speeds, usual_work_ms=1_000.0):
        super().__init__()
        self.speeds = worker_speeds
        self.usual_work_ms = usual_work_ms
        self.work_ms = {}
        self.done_ms = {}
        self.jobs = 0
        self.logged = []
        self.show(*(worker_info(name, machine=f"m-{name}") for name in worker_speeds))

    def feed(self, declared_ms, gang=False):
        """Add a job that fills the workers."""
        self.jobs += 1
        spec = step(TASKS, cpu=4_000, estimate_ms=declared_ms, gang=gang)
        return self.add(job(f"{self.jobs:016x}", spec, queue=BATCH))

    def work(self, duration_ms, declared_ms=1_000.0):
        """Let all workers work, and keep them busy."""
        for _ in range(round(duration_ms / INTERVAL_MS)):
            if len(self.cell.active) < 3:
                self.feed(declared_ms)
            self.schedule()
            self.answer_starts()
            self.now_ms += INTERVAL_MS
            for name in self.speeds:
                self.report_progress(name)
            speeds.apply_time(self.cell, self.now_ms)
            self.logged += [line.kind for line in self.cell.take_decisions()]

    def report_progress(self, name):
        """Let one worker work for an interval and report."""
        ended, running = [], []
        for key in list(self.worker(name).runs):
            self.done_ms[key] = self.done_ms.get(key, 0.0) + INTERVAL_MS * self.speeds[name]
            percent = int(100 * self.done_ms[key] / self.work_ms.get(key[0], self.usual_work_ms))
            if percent >= 100:
                ended.append((*key, "done", ""))
            else:
                running.append(RunningTask(*key, "", percent, 1))
        self.report(name, tuple(ended), tuple(running))

    def slowness(self, name="w1"):
        return self.worker(name).slowness


def uneven_world():
    return ProgressWorld({"w1": 0.6, "w2": 1.0, "w3": 1.6, "w4": 0.6, "w5": 1.0, "w6": 1.6})


def even_world():
    return ProgressWorld({f"w{n}": 1.0 for n in range(1, 7)})


@pytest.mark.parametrize("declared_ms", [100.0, 1_000.0, 1_900.0])
def test_uneven_workers_are_told_apart_whatever_the_declared_run_time(declared_ms):
    world = uneven_world()
    world.work(4_000.0, declared_ms)
    classes = [speed_class(world.slowness(name)) for name in world.speeds]
    assert classes == ["slow", "average", "fast"] * 2
    assert "worker_speed_learned" in world.logged
    run_ms = world.cell.estimates.run_ms(BATCH.key, declared_ms)
    assert run_ms == pytest.approx(world.usual_work_ms, rel=0.25)


def slow_worker(world):
    world.speeds["w1"] = 0.5


def slow_task(world):
    world.schedule()
    world.work_ms[next(iter(world.worker("w1").runs))[0]] = 8_000.0


def hung_task(world):
    world.schedule()
    world.work_ms[next(iter(world.worker("w1").runs))[0]] = math.inf


def wrong_estimate(world):
    world.feed(150.0)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (slow_worker, "slow"),
        (slow_task, "average"),
        (hung_task, "average"),
        (wrong_estimate, "average"),
    ],
)
def test_slow_worker_is_told_from_a_slow_task(change, expected):
    world = even_world()
    world.feed(1_000.0)
    change(world)
    world.work(4_000.0)
    assert speed_class(world.slowness("w1")) == expected
    assert {speed_class(world.slowness(f"w{n}")) for n in range(2, 7)} == {"average"}


def test_worker_that_turns_slow_is_noticed_and_trusted_again_after_it_recovers():
    world = even_world()
    world.usual_work_ms = 3_000.0
    world.work(3_000.0)
    world.speeds["w1"] = 1 / 6
    world.work(1_600.0)
    assert world.slowness("w1") > 3.0
    assert "worker_speed_changed" in world.logged
    assert {speed_class(world.slowness(f"w{n}")) for n in range(2, 7)} == {"average"}
    world.speeds["w1"] = 1.0
    world.work(2_000.0)
    assert speed_class(world.slowness("w1")) == "average"


def test_temporary_change_expires_without_evidence():
    speed = WorkerSpeed(temporary_log=math.log(6.0), confirmed_ms=0.0)
    assert not speed.expire(1_999.0)
    expired_at_ms = [at for at in range(0, 20_000, 100) if speed.temporary_log and speed.expire(at)]
    assert speed.slowness == 1.0
    assert expired_at_ms[-1] <= 8_000.0


def change_life(world):
    world.report("w1", running=(), started_ms=5_000)
    return "w1"


def replace_worker(world):
    """Start a new life of the machine under another id."""
    world.show(worker_info("w9", machine="m-w1"))
    return "w9"


@pytest.mark.parametrize("change", [change_life, replace_worker])
def test_new_life_starts_from_what_its_machine_showed(change):
    world = uneven_world()
    world.work(4_000.0)
    before = world.slowness("w1")
    world.cell.speeds.of(world.worker("w1")).temporary_log = math.log(6.0)
    assert world.slowness(change(world)) == pytest.approx(before)


def test_nothing_is_learned_where_reports_show_no_progress():
    world = uneven_world()
    world.feed(1_000.0)
    world.schedule()
    for order in world.answer_starts():
        world.end(order)
    assert not world.cell.speeds.progress_is_visible
    assert not world.cell.speeds.by_machine
    assert not world.cell.estimates.known_durations()
    assert speeds.next_report_ms(world.cell, world.worker("w1"), world.now_ms) is None


def test_members_of_a_gang_show_the_speed_of_their_own_worker():
    world = uneven_world()
    world.feed(1_000.0, gang=True)
    world.schedule()
    world.answer_starts()
    for _ in range(3):
        world.now_ms += 100.0
        for name in world.speeds:
            running = tuple(
                RunningTask(*key, "", int(world.speeds[name] * (world.now_ms - 1_000.0) / 50), 1)
                for key in world.worker(name).runs
            )
            world.report(name, running=running)
        world.now_ms += 300.0
    assert speed_class(world.slowness("w1")) == "slow"
    assert speed_class(world.slowness("w3")) == "fast"


def test_gang_that_waits_for_its_last_member_shows_no_slow_worker():
    world = even_world()
    world.work(3_000.0)
    waiting = world.feed(1_000.0, gang=True).steps[0]
    while not waiting.live_runs:
        world.work(INTERVAL_MS)
    # Reports of the workers come one after another, so the members are seen at different points.
    for at_ms in range(0, 5_000, 50):
        world.now_ms += 50.0
        name = f"w{1 + at_ms // 50 % 6}"
        points = max(0, (at_ms - 3_000) // 30)
        running = tuple(RunningTask(*key, "", points, 1) for key in world.worker(name).runs)
        world.report(name, running=running)
    assert {speed_class(world.slowness(name)) for name in world.speeds} == {"average"}


@pytest.mark.parametrize("percents", [(50, 20, 60), (-5, 0, 300), (0, 0, 0), (99, 100, 99)])
def test_reports_with_odd_progress_are_borne(percents):
    world = even_world()
    world.work(2_000.0)
    for percent in percents * 4:
        world.now_ms += 300.0
        for name in world.speeds:
            running = tuple(
                RunningTask(*key, "", percent + number % 3, 1)
                for number, key in enumerate(world.worker(name).runs)
            )
            world.report(name, running=running)
    assert all(0.0 < world.slowness(name) < 10.0 for name in world.speeds)


@pytest.mark.parametrize(
    ("variance", "waits_ms"), [(PRIOR_VARIANCE, speeds.UNCERTAIN_REPORT_MS), (0.01, None)]
)
def test_report_is_requested_early_while_a_speed_is_uncertain(variance, waits_ms):
    world = even_world()
    world.feed(1_000.0)
    world.schedule()
    world.answer_starts()
    world.cell.speeds.progress_is_visible = True
    world.cell.speeds.of(world.worker("w1")).variance = variance
    expected_ms = None if waits_ms is None else world.now_ms + waits_ms
    assert speeds.next_report_ms(world.cell, world.worker("w1"), world.now_ms) == expected_ms


def test_next_leader_starts_with_the_learned_speeds():
    world = uneven_world()
    world.work(16_000.0, declared_ms=500.0)
    record = decode_queue_record(
        encode_queue_record(learned_state.encode(world.cell)), "key"
    ).ok_value
    successor = uneven_world()
    learned_state.restore(successor.cell, record)
    for name in world.speeds:
        assert successor.slowness(name) == pytest.approx(world.slowness(name), abs=0.01)
    run_ms = successor.cell.estimates.run_ms(BATCH.key, 500.0)
    assert run_ms == pytest.approx(world.cell.estimates.run_ms(BATCH.key, 500.0), rel=0.05)


@pytest.mark.parametrize(
    "stored",
    [
        LearnedState([LearnedSpeed("m-w1", 99_999, 10)], []),
        LearnedState([LearnedSpeed("m-w1", 500, -1)], []),
        LearnedState([], [LearnedRunTimes(BATCH.key, math.nan, 0.0, 0.0, 0.0, 0.0, 1.0)]),
        LearnedState([], [LearnedRunTimes(BATCH.key, 20.0, 7.0, 7.0, -1.0, 0.0, 1.0)]),
    ],
)
def test_invalid_stored_values_are_ignored(stored):
    world = even_world()
    learned_state.restore(world.cell, stored)
    assert world.slowness("w1") == 1.0
    assert world.cell.estimates.run_ms(BATCH.key, 1_000.0) == 1_000.0
