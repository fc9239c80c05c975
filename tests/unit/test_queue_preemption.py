"""Preemption of running work for steps that would miss their objective for want of room."""

from dataclasses import replace

import pytest

from measure import queue_pressure
from nutmeglb_decisions.queues import composition, progress
from nutmeglb_decisions.queues.composition import PartOptions
from nutmeglb_decisions.queues.names import parse_task
from nutmeglb_decisions.queues.preemption import MAX_LOST_SHARE, PreemptionOptions
from nutmeglb_decisions.queues.state import RunState
from nutmeglb_formats.models.queues import RunningTask
from tests.lib.queues import BATCH, CONFIG, URGENT, CellWorld, job, step, worker_info

OPTIONS = PreemptionOptions(max_stop_ms=200.0, restore_ms=250.0)
LONG_MS = 10_000.0
SAVING = step(cpu=4_000, estimate_ms=LONG_MS, checkpoints=True)
PLAIN = replace(SAVING, checkpoints=False)
# Its objective leaves 1.5 s besides its own work, less than the wait for an urgent task, the stop
# and the restore.
PRESSED = replace(BATCH, name="pressed", prefix="/pressed/", stretch=1.0, slack_ms=1_500.0)
WORST = replace(BATCH, name="worst", prefix="/worst/", priority=2)
WORKERS = 60
QUEUES = (*CONFIG.queues, PRESSED, WORST)


def preempting_world(
    *workers: str, cpu: int = 8_000, options=OPTIONS, other_cpu: int = 1_000_000
) -> CellWorld:
    """Return a cell with preemption, empty workers, and one of another service.

    The limit on lost work grows with the processors of all workers.
    """
    world = CellWorld()
    config = replace(CONFIG, queues=QUEUES)
    composition.configure(world.cell, config, PartOptions(options))
    other = worker_info("other", other_cpu, service="other")
    world.show(other, *(worker_info(name, cpu) for name in workers or ("w1",)))
    return world


def submit(world: CellWorld, job_id: str, spec, queue=URGENT) -> None:
    """Add a job, and search for victims once its workers are stored."""
    world.add(job(job_id, spec, queue=queue))
    world.schedule()
    world.now_ms += 60.0
    world.schedule()


def start(world: CellWorld, job_id: str, spec, queue=BATCH):
    """Add a job, start its tasks and return its start orders."""
    world.add(job(job_id, spec, queue=queue))
    world.schedule()
    return world.answer_starts()


def stopped_jobs(world: CellWorld) -> list[str]:
    """Return the jobs whose tasks were stopped, each once per task."""
    return sorted(order.task.split(".")[0] for order in world.stopped)


@pytest.mark.parametrize(
    ("running", "urgent_cpu", "expected"),
    [
        pytest.param([(PLAIN, BATCH), (SAVING, BATCH)], 4_000, ["b1"], id="saved work goes first"),
        pytest.param([(PLAIN, BATCH), (PLAIN, BATCH)], 4_000, ["b1"], id="younger work goes first"),
        pytest.param([(SAVING, BATCH), (SAVING, BATCH)], 8_000, ["b0", "b1"], id="all that fits"),
        pytest.param([(SAVING, URGENT), (SAVING, URGENT)], 4_000, [], id="equal priority"),
        pytest.param(
            [(replace(SAVING, estimate_ms=2_000.0), PRESSED), (PLAIN, BATCH)],
            4_000, ["b1"], id="only work that is in time afterwards",
        ),
        pytest.param(
            [(replace(SAVING, estimate_ms=2_000.0), PRESSED)] * 2, 4_000, [],
            id="no work that would be late",
        ),
        pytest.param(
            [(replace(SAVING, estimate_ms=850.0), BATCH)] * 2, 4_000, [],
            id="work that ends before a stop would help",
        ),
        pytest.param(
            [(replace(SAVING, lasting=True), BATCH)] * 2, 4_000, [], id="tasks that last"
        ),
        pytest.param(
            [(step(2, 2_000, estimate_ms=LONG_MS, checkpoints=True, gang=True), BATCH),
             (PLAIN, BATCH)],
            4_000, ["b1"], id="tasks before gangs",
        ),
        pytest.param(
            [(step(4, 2_000, estimate_ms=LONG_MS, checkpoints=True, gang=True), BATCH)],
            8_000, ["b0"] * 4, id="a gang as a whole",
        ),
        pytest.param(
            [(step(4, 2_000, estimate_ms=LONG_MS, checkpoints=True, gang=True), BATCH)],
            2_000, [], id="no gang for less work than it loses",
        ),
    ],
)  # fmt: skip
def test_victims(running, urgent_cpu, expected):
    """The work that loses least is stopped, and only what has slack left."""
    world = preempting_world()
    for number, (spec, queue) in enumerate(running):
        start(world, f"b{number}", spec, queue)
        world.now_ms += 300.0
    submit(world, "u", step(cpu=urgent_cpu))
    assert stopped_jobs(world) == expected


def test_victim_that_is_not_late_afterwards_goes_before_one_that_is_late_anyway():
    world = preempting_world()
    start(world, "late", PLAIN, replace(PRESSED, slack_ms=0.0, stretch=0.5))
    start(world, "timely", PLAIN)
    world.now_ms += 300.0
    submit(world, "u", step(cpu=4_000))
    assert stopped_jobs(world) == ["timely"]


def test_nothing_is_stopped_without_the_option():
    world = preempting_world(options=None)
    start(world, "b", replace(SAVING, count=2))
    submit(world, "u", step(cpu=4_000))
    assert not world.stopped


def preempted_world(*workers: str, queue=URGENT):
    """Return a cell in which one of two tasks is being stopped for an urgent one."""
    world = preempting_world(*workers)
    orders = start(world, "b", replace(SAVING, count=2 * max(1, len(workers))))
    world.now_ms += 300.0
    submit(world, "u", step(cpu=4_000), queue)
    (stop,) = world.stopped
    return world, next(order for order in orders if order.task == stop.task)


@pytest.mark.parametrize(
    ("other", "expected"),
    [
        (replace(URGENT, name="worse", prefix="/worse/", priority=1), "u"),
        (replace(URGENT, name="equal", prefix="/equal/", slack_ms=-200.0), "u"),
        (replace(URGENT, name="better", prefix="/better/", priority=-1), "o"),
    ],
)
def test_freed_capacity_goes_to_the_step_or_to_work_of_higher_priority(other, expected):
    """The end of the victim is what frees the capacity, and only then a task starts in it."""
    world, victim = preempted_world()
    submit(world, "o", step(cpu=4_000), other)
    assert not world.started
    world.now_ms += 100.0
    world.end(victim, "stopped", "saved")
    world.schedule()
    assert [order.task.split(".")[0] for order in world.started] == [expected]


def test_victim_resumes_from_what_its_stop_saved():
    world, victim = preempted_world()
    world.now_ms += 100.0
    world.end(victim, "stopped", "saved")
    world.schedule()
    (urgent,) = world.answer_starts()
    world.now_ms += 1_000.0
    world.end(urgent)
    world.schedule()
    (resumed,) = world.started
    assert (resumed.task, resumed.checkpoint) == (victim.task, "saved")


def test_capacity_that_better_work_took_is_made_free_again():
    world, victim = preempted_world()
    world.add(
        job(
            "o",
            step(cpu=4_000),
            queue=replace(URGENT, name="better", prefix="/better/", priority=-1),
        )
    )
    world.now_ms += 100.0
    world.end(victim, "stopped", "saved")
    world.schedule()
    world.now_ms += 60.0
    world.schedule()
    assert len(world.stopped) == 2


@pytest.mark.parametrize(("ran_ms", "stops"), [(150.0, 0), (200.0, 1)])
def test_work_is_not_stopped_again_before_it_made_up_its_loss(ran_ms, stops):
    world = preempting_world(cpu=4_000)
    (victim,) = start(world, "b", SAVING)
    world.now_ms += 300.0
    submit(world, "u", step(cpu=4_000))
    world.end(victim, "stopped", "saved")
    world.schedule()
    (urgent,) = world.answer_starts()
    world.end(urgent)
    world.schedule()
    world.answer_starts()
    world.stopped.clear()
    world.now_ms += ran_ms
    submit(world, "v", step(cpu=4_000))
    assert len(world.stopped) == stops


def test_lost_work_is_limited_per_second():
    """The work that a burst may lose is a share of what the workers do in two seconds."""
    workers = [f"w{number}" for number in range(10)]
    world = preempting_world(*workers, other_cpu=0)
    start(world, "b", replace(SAVING, count=20))
    world.now_ms += 300.0
    for number in range(20):
        world.add(job(f"u{number}", step(cpu=4_000), queue=URGENT))
    for _ in range(6):
        world.schedule()
        world.now_ms += 60.0
    loss_of_one = (OPTIONS.restore_ms + OPTIONS.freed_after_ms) * 4_000
    limit = MAX_LOST_SHARE * 10 * 8_000 * 2_300.0
    assert limit - loss_of_one < world.cell.preemption.lost_work <= limit + loss_of_one
    assert world.cell.preemption.lost_work == len(world.stopped) * loss_of_one


def test_stop_that_is_never_answered_does_not_keep_the_step_waiting():
    """Its capacity stays charged, and another run is stopped once it is overdue."""
    world, victim = preempted_world("w1", "w2", queue=replace(URGENT, slack_ms=2_000.0))
    world.now_ms += 550.0
    world.schedule()
    assert len(world.stopped) == 1
    world.now_ms += 100.0
    world.schedule()
    assert len({(order.task, order.run) for order in world.stopped}) == 2
    assert world.worker(victim.worker_id).runs[victim.task, victim.run].state == RunState.STOPPING
    assert world.worker(victim.worker_id).used.cpu_millis == 8_000
    assert not world.started


def test_next_leader_holds_nothing():
    """The end of a run that its predecessor stopped frees capacity for the best-ranked work."""
    world, victim = preempted_world()
    record = world.cell.jobs["b"].record
    stored = progress.encode(world.cell.jobs["b"])
    name = parse_task(victim.task)
    assert name is not None
    following = preempting_world()
    progress.restore(following.cell, record, stored, following.now_ms, following.now_ms)
    ended = (victim.task, victim.run, "stopped", "saved")
    other = RunningTask(f"b.0.0.{1 - name.index}", victim.run, "", 100)
    following.report("w1", (ended,), (other,))
    following.add(job("u", step(cpu=4_000), queue=URGENT))
    following.add(job("o", step(cpu=4_000), queue=replace(URGENT, slack_ms=100.0)))
    following.schedule()
    assert [order.task.split(".")[0] for order in following.started] == ["o"]
    assert following.cell.jobs["b"].steps[0].tasks[name.index].checkpoint == "saved"


@pytest.mark.parametrize(
    ("name", "gains"),
    [("steady", False), ("burst of orders", False), ("large burst of all", True)],
)
def test_value_with_preemption(name, gains):
    """Guards against preemption that gains for urgent jobs what others lose, or more."""
    (scenario,) = [each for each in queue_pressure.SCENARIOS if each.name == name]
    shares, lost_core_s = {}, 0.0
    for policy in ("no preemption", "preemption"):
        make_replay = queue_pressure.POLICIES[policy]
        jobs, replay = queue_pressure.play(scenario, make_replay, WORKERS, 9_000.0, 3)
        shares[policy] = queue_pressure.earned_shares(jobs, replay.done)
        lost_core_s = replay.lost_core_s
    without, preempting = shares["no preemption"], shares["preemption"]
    assert preempting["all_share"] >= without["all_share"]
    assert not gains or preempting["all_share"] > without["all_share"]
    assert preempting["orders_share"] >= without["orders_share"]
    capacity_cores = WORKERS * queue_pressure.CAPACITY.cpu_millis / 1_000.0
    assert lost_core_s <= MAX_LOST_SHARE * capacity_cores * max(replay.done.values()) / 1_000.0
