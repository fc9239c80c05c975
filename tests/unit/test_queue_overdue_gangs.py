"""Wide gangs that are too late, or have no share for a plan, start within a bound."""

import pytest

from nutmeglb_decisions.queues.overdue_gangs import OVERDUE_FACTOR
from nutmeglb_decisions.queues.ranking import LATE_FACTOR, objective_ms
from tests.lib.queues import ADVISED, BATCH, URGENT, CellWorld, job, step, worker_info

PASS_MS = 100.0
WORKERS, APPROVED, COUNT = 24, 6, 18
GANG = step(COUNT, cpu=10_550, gang=True, estimate_ms=2_000.0)
SMALL_MS = 1_500.0
CPU = 32_000


def world_of_workers():
    """Return a world in which a quarter of the workers has the label of the stream."""
    world = CellWorld()
    infos = [
        worker_info(f"w{n:02}", CPU, labels=frozenset({"k", *({"x"} if n < APPROVED else ())}))
        for n in range(WORKERS)
    ]
    world.show(*infos)
    return world


class Stream:
    """Starts and ends runs; a number of small tasks is always in flight or waiting."""

    def __init__(self, world, queue, in_flight, fill):
        self.world = world
        self._queue = queue
        self._in_flight = in_flight
        self._jobs = []
        self._running = []
        self.started = []
        for number in range(fill):
            world.worker(f"w{WORKERS - 1 - number:02}").charge(worker_info(cpu=CPU).capacity)

    def run_pass(self):
        world = self.world
        self._jobs = [added for added in self._jobs if added.job_id in world.cell.active]
        while len(self._jobs) < self._in_flight:
            spec = step(1, cpu=4_000, required_label="x", estimate_ms=SMALL_MS)
            name = f"s{world.now_ms:.0f}-{len(self._jobs)}"
            self._jobs.append(world.add(job(name, spec, queue=self._queue)))
        world.schedule()
        for call in world.asked:
            world.advise(call, *(w for w in call.workers if int(w[1:]) < APPROVED))
        world.asked.clear()
        for order in world.answer_starts():
            self.started.append(order.task)
            # Run times differ, so that the workers are never all free at once.
            duration_ms = SMALL_MS * (0.4 + 0.1 * (len(self.started) * 7 % 13))
            self._running.append((world.now_ms + duration_ms, order))
        ended = [order for end_ms, order in self._running if end_ms <= world.now_ms]
        self._running = [item for item in self._running if item[1] not in ended]
        for order in ended:
            if order.task in [run.task for run in world.worker(order.worker_id).runs.values()]:
                world.end(order)
        for worker in world.cell.workers.values():
            if worker.runs:
                world.report(worker.worker_id)
        world.now_ms += PASS_MS


@pytest.mark.parametrize("queue", [BATCH, URGENT], ids=["same priority", "higher priority"])
@pytest.mark.parametrize(
    ("fill", "waited"),
    [(0, LATE_FACTOR), (14, OVERDUE_FACTOR)],
    ids=["half of the service is free", "busy service"],
)
def test_wide_gang_that_is_too_late_starts_beside_a_stream_of_small_work(queue, fill, waited):
    """Guards against a gang that waits without a bound while its approved workers are never free.

    Its workers crashed until it was too late, so that it has no plan. It plans again once it has
    waited that many objectives, and starts when the runs on the planned workers have ended.
    """
    world = world_of_workers()
    stream = Stream(world, queue, 14, fill)
    for _ in range(30):
        stream.run_pass()
    gang = world.add(job("gang", GANG, queue=ADVISED))
    objective = objective_ms(gang, world.cell.estimates)
    gang.accepted_ms -= LATE_FACTOR * objective
    bound_ms = gang.accepted_ms + waited * objective + 4 * SMALL_MS
    while world.now_ms < bound_ms and not any(task.startswith("gang") for task in stream.started):
        stream.run_pass()
    assert sum(1 for task in stream.started if task.startswith("gang")) == COUNT


@pytest.mark.parametrize(
    ("fill", "has_plan"), [(0, True), (8, False)], ids=["free capacity", "busy service"]
)
def test_gang_without_a_share_plans_while_half_of_the_service_is_free(fill, has_plan):
    """Guards against a gang that waits for ever behind the plans of better-ranked gangs."""
    world = world_of_workers()
    world.add(job("long", step(WORKERS, cpu=12_000, max_per_worker=1, estimate_ms=60_000.0)))
    world.schedule()
    world.schedule()
    assert len(world.answer_starts()) == WORKERS
    for number in range(fill):
        worker = world.worker(f"w{number:02}")
        worker.charge(worker.free)
    wide = step(40 if not fill else 30, cpu=10_550, gang=True, estimate_ms=60_000.0)
    gangs = [world.add(job(name, wide)) for name in ("first", "second")]
    for _ in range(3):
        world.now_ms += PASS_MS
        world.schedule()
    plans = [gang.steps[0].plan is not None for gang in gangs]
    assert plans == [True, has_plan]
    assert bool(gangs[1].steps[0].unplanned) == (not has_plan)


def test_chosen_gang_keeps_its_plan_from_pass_to_pass():
    """Guards against gangs that lose their plans to each other in each pass."""
    world = world_of_workers()
    world.add(job("long", step(WORKERS, cpu=12_000, max_per_worker=1, estimate_ms=60_000.0)))
    world.schedule()
    world.schedule()
    world.answer_starts()
    wide = step(40, cpu=10_550, gang=True, estimate_ms=60_000.0)
    gangs = [world.add(job(name, wide)) for name in ("first", "second", "third")]
    plans = []
    for _ in range(12):
        world.now_ms += PASS_MS
        world.schedule()
        plans.append([gang.steps[0].plan is not None for gang in gangs])
    assert plans[3:] == [[True, True, False]] * 9


def test_gang_behind_many_that_their_workers_cannot_hold_starts():
    """Guards against a gang that is never considered behind others that no worker set can hold."""
    world = world_of_workers()
    stream = Stream(world, BATCH, 14, 0)
    too_wide = step(200, cpu=10_550, gang=True, estimate_ms=2_000.0)
    for number in range(70):
        world.add(job(f"wide{number}", too_wide, queue=ADVISED)).accepted_ms -= 1e6
    stream.run_pass()
    gang = world.add(job("gang", GANG, queue=ADVISED))
    gang.accepted_ms -= 9e5
    for _ in range(200):
        stream.run_pass()
    assert sum(1 for task in stream.started if task.startswith("gang")) == COUNT


@pytest.mark.parametrize(
    ("members", "lasting_count", "gang_starts"), [(8, 1, False), (7, 1, True), (8, 0, True)]
)
@pytest.mark.parametrize("waited_ms", [0.0, 18_000.0, 1e6], ids=["timely", "too late", "aged"])
def test_gang_that_lasting_work_leaves_no_room_for_holds_no_workers(
    members, lasting_count, gang_starts, waited_ms
):
    """Guards against urgent jobs that never start beside idle workers (review, case 9)."""
    world = CellWorld()
    world.show(*(worker_info(f"w{number}", CPU) for number in range(8)))
    if lasting_count:
        world.add(job("lasting", step(lasting_count, cpu=1_000, lasting=True)))
        world.schedule()
        world.answer_starts()
    world.now_ms += 20_000.0
    world.show(*(worker_info(f"w{number}", CPU) for number in range(8)))
    gang = world.add(job("gang", step(members, cpu=CPU, gang=True), queue=BATCH))
    gang.accepted_ms -= waited_ms
    for _ in range(5):
        world.now_ms += PASS_MS
        world.schedule()
    started = {order.task for order in world.answer_starts()}
    assert any(task.startswith("gang") for task in started) == gang_starts
    if gang_starts:
        return
    urgent = [
        world.add(job(f"urgent{n}", step(cpu=CPU // 4, estimate_ms=60_000.0), queue=URGENT))
        for n in range(3)
    ]
    for _ in range(5):
        world.now_ms += PASS_MS
        world.schedule()
    started = {order.task for order in world.answer_starts()}
    assert started == {f"{added.job_id}.0.0.0" for added in urgent}
