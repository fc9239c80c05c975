"""A worker that has shrunk below what runs there keeps its runs and takes nothing until it fits."""

from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import composition, idle_jobs, interference, pools, waiting
from nutmeglb_decisions.queues.composition import PartOptions
from nutmeglb_decisions.queues.preemption import PreemptionOptions
from nutmeglb_formats.models.resources import Resources
from tests.lib.queues import ADVISED, BATCH, URGENT, CellWorld, job, step, worker_info

LONG_MS = 20_000.0
GANG = step(4, 4_000, gang=True, estimate_ms=3_000.0)
FILLER = step(1, 8_000, estimate_ms=6_000.0)


def resize(world, **cpu_by_worker):
    """List workers with other capacities, twice so that larger ones count."""
    for _ in range(2):
        world.now_ms += 500.0
        world.show(*(worker_info(name, cpu) for name, cpu in cpu_by_worker.items()))


def start(world, job_id, spec, queue=BATCH):
    """Add a job, start its tasks and return its state and start orders."""
    added = world.add(job(job_id, spec, queue=queue))
    world.schedule()
    return added, world.answer_starts()


def test_runs_on_a_shrunk_worker_continue_and_nothing_joins_them_until_it_fits():
    """Guards against stops for the shrink alone, and against starts beyond the smaller capacity."""
    world = CellWorld()
    resize(world, w1=8_000)
    _, orders = start(world, "a", step(8, 1_000, estimate_ms=LONG_MS))
    resize(world, w1=3_000)
    start(world, "b", step(4, 1_000))
    assert not world.stopped and len(world.worker("w1").runs) == 8
    for left, order in enumerate(orders[:6]):
        world.end(order)
        world.schedule()
        assert len(world.answer_starts()) == (1 if left == 5 else 0)
    resize(world, w1=8_000)
    world.schedule()
    assert len(world.answer_starts()) == 3


@pytest.mark.parametrize(
    ("w1", "w2", "planned"),
    [
        (8_000, 16_000, {"w1": 2, "w2": 2}),
        (3_000, 16_000, {"w2": 4}),
        (15_000, 3_000, {}),
        (0, 0, {}),
    ],
)
def test_plan_of_a_gang_on_a_shrunk_worker_is_redone_or_dropped(w1, w2, planned):
    """Guards against a gang that waits for ever for a capacity that has gone."""
    world = CellWorld()
    resize(world, w1=16_000, w2=16_000)
    start(world, "f", replace(FILLER, count=4))
    added, _ = start(world, "g", GANG)
    (gang,) = added.steps
    assert gang.plan is not None
    (first,) = gang.plan.counts
    other = "w2" if first == "w1" else "w1"
    resize(world, **{first: w1, other: w2})
    world.now_ms += 600.0
    world.schedule()
    expected = {{"w1": first, "w2": other}[name]: count for name, count in planned.items()}
    assert (gang.plan.counts if gang.plan else {}) == expected


def test_dropped_plan_leaves_the_capacity_of_the_shrunk_worker_to_other_work():
    world = CellWorld()
    resize(world, w1=16_000)
    start(world, "f", replace(FILLER, count=2))
    added, _ = start(world, "g", GANG)
    assert added.steps[0].plan is not None
    resize(world, w1=15_000)
    ended = next(iter(world.worker("w1").runs.values()))
    world.report("w1", ((ended.task, ended.number, "done", ""),))
    world.schedule()
    _, orders = start(world, "b", step(3, 1_000, estimate_ms=LONG_MS))
    assert len(orders) == 3


@pytest.mark.parametrize("queue", [BATCH, ADVISED])
def test_step_on_a_shrunk_worker_looks_for_others(queue):
    """Guards against a step that stays with the workers selected by their former capacity."""
    world = CellWorld()
    names = [f"w{number}" for number in range(1, 36)]
    resize(world, **dict.fromkeys(names, 4_000))
    _, orders = start(world, "a", step(2, 4_000, estimate_ms=LONG_MS), queue)
    for call in world.asked:
        world.advise(call, *call.workers[:2])
    world.schedule()
    orders += world.answer_starts()
    assert len(orders) == 2
    used = [order.worker_id for order in orders]
    resize(world, **{name: 2_000 if name in used else 4_000 for name in names})
    world.asked.clear()
    for order in orders:
        world.end(order, "stopped")
    world.now_ms += 500.0
    world.schedule()
    for call in world.asked:
        world.advise(call, *call.workers)
    world.schedule()
    assert {order.worker_id for order in world.answer_starts()}.isdisjoint(used)


def test_room_held_on_a_worker_that_shrinks_is_given_up():
    """Guards against a step that waits for stopped runs whose capacity no longer suffices."""
    world = CellWorld()
    composition.configure(
        world.cell, world.cell.config, PartOptions(PreemptionOptions(200.0, 250.0))
    )
    world.show(worker_info("other", 1_000_000, service="other"), worker_info("w1", 8_000))
    start(world, "b", step(2, 4_000, estimate_ms=LONG_MS, checkpoints=True))
    world.now_ms += 300.0
    added, _ = start(world, "u", step(cpu=4_000), URGENT)
    world.now_ms += 60.0
    world.schedule()
    assert len(world.stopped) == 1 and added.steps[0].holds
    world.show(worker_info("other", 1_000_000, service="other"), worker_info("w1", 7_000))
    world.now_ms += 200.0
    world.schedule()
    # Both victims are needed now.
    assert len(world.stopped) == 2
    for order in world.stopped:
        world.report("w1", ((order.task, order.run, "stopped", ""),))
    world.schedule()
    assert [order.task.partition(".")[0] for order in world.started][:1] == ["u"]


@pytest.mark.parametrize(
    ("cpu", "running", "cause"),
    [
        (8_000, 8, "no free capacity"),
        # Its former capacity would be full, too.
        (4_000, 8, "no free capacity"),
        (4_000, 4, waiting.SHRUNK),
        (2_000, 4, waiting.SHRUNK),
        (500, 0, waiting.SHRUNK),
        (0, 0, waiting.SHRUNK),
    ],
)
def test_wait_for_a_worker_that_has_shrunk_names_it(cpu, running, cause):
    """Guards against a line that says no more than that there is no free capacity."""
    world = CellWorld()
    resize(world, w1=8_000)
    if running:
        start(world, "a", step(running, 1_000, estimate_ms=LONG_MS))
    else:
        _, orders = start(world, "a", step())
        world.end(orders[0])
    resize(world, w1=cpu)
    added, orders = start(world, "b", step(2, 1_000))
    explanation = waiting.explain(world.cell, added.steps[0], world.now_ms)
    assert not orders
    assert (explanation.cause, explanation.shrunk) == (cause, int(cause == waiting.SHRUNK))


def test_wait_for_an_entry_that_is_too_old_is_named():
    world = CellWorld()
    resize(world, w1=8_000)
    added = world.add(job("b", step()))
    world.worker("w1").starts_until_ms = world.now_ms - 1.0
    world.schedule()
    explanation = waiting.explain(world.cell, added.steps[0], world.now_ms)
    assert explanation.cause == waiting.STALE_ENTRIES


def test_share_of_a_run_on_a_worker_without_capacity_is_bounded():
    """Guards against an observation of a thousandfold load after a worker shrank to nothing."""
    world = CellWorld()
    resize(world, w1=8_000)
    start(world, "a", step(2, 1_000, estimate_ms=LONG_MS))
    resize(world, w1=0)
    own, _ = world.worker("w1").runs.values()
    assert interference.shares_beside(world.worker("w1"), own) == {BATCH.key: 1.0}


def test_job_is_refused_after_the_last_large_worker_shrank_and_accepted_after_one_grew():
    """A size counts as available for the retention time after a worker last had it."""
    world = CellWorld()
    known = pools.Pools.begin(world.now_ms)
    record = job("a", step(cpu=8_000))
    accepted = []
    for cpu in [*[8_000] * 25, *[4_000] * 21, *[8_000] * 2]:
        world.now_ms += 500.0
        world.show(worker_info(cpu=cpu))
        known.refresh(world.cell, world.now_ms)
        accepted.append(not pools.unservable_cause(record, known.known_pools(world.now_ms)))
    assert accepted == [True] * 45 + [False] + [False] + [True]


@pytest.mark.parametrize("capacity", [Resources(), Resources(0, 1, 0)])
def test_worker_without_any_capacity_left_does_not_disturb_a_pass(capacity):
    """Guards against divisions by a capacity of zero and violated invariants."""
    world = CellWorld()
    resize(world, w1=8_000, w2=8_000)
    start(world, "a", step(16, 1_000, estimate_ms=LONG_MS))
    for _ in range(2):
        world.show(worker_info("w1", capacity=capacity), worker_info("w2", 9_000))
    added, orders = start(world, "b", step(2, 1_000))
    assert [order.worker_id for order in orders] == ["w2"]
    assert idle_jobs.utilization_by_service(world.cell)
    assert waiting.explain(world.cell, added.steps[0], world.now_ms).cause
