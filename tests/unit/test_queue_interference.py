"""Kinds of tasks that slow each other down, in synthetic cells with a known truth."""

import random
import subprocess
import sys

import pytest

from measure.interference import SCENES, SyntheticCell
from nutmeglb._internal.queues.part_metrics import PartMetrics
from nutmeglb_decisions.queues import composition
from nutmeglb_decisions.queues.interference import MAX_GROUPS, MAX_KINDS, Interference, Pair
from nutmeglb_decisions.queues.interference_evidence import HALF_LIFE_MS, MAX_NAMES
from nutmeglb_decisions.queues.least_squares import solve_with_inverse
from tests.lib.metrics import RecordingMetrics
from tests.lib.queues import BATCH, CONFIG, URGENT, CellWorld, job, step, worker_info

AB = ("a", "b")


@pytest.mark.parametrize(
    ("scene", "expected"),
    [
        ("none", set()),
        ("none, uneven", set()),
        ("one pair", {AB}),
        ("one pair, uneven", {AB}),
        ("two harm a third", {AB, ("a", "c")}),
        ("slow worker", set()),
        ("hung tasks", set()),
        ("wrong estimates", set()),
        ("full worker", set()),
    ],
)
def test_only_true_pairs_count(scene, expected):
    cell = SyntheticCell(SCENES[scene], seed=1)
    cell.simulate()
    assert set(cell.counted) == expected
    learned = cell.cell.interference
    learned.poll(cell.cell, cell.now_ms + 10 * HALF_LIFE_MS)
    assert not learned.pairs


def test_pair_counts_only_while_its_effect_lasts():
    cell = SyntheticCell(SCENES["comes and goes"], seed=1)
    cell.simulate()
    assert set(cell.counted) == {AB}
    assert 100_000 < cell.counted[AB] < 200_000
    assert not cell.pairs_at[max(cell.pairs_at)]


def world_with_pair(workers: int, cpu: int = 16_000) -> CellWorld:
    """Return a cell that has learned that urgent tasks are slowed down by batch tasks."""
    world = CellWorld()
    composition.configure(world.cell, CONFIG, composition.PartOptions(keep_apart=True))
    assert world.cell.interference is not None
    world.cell.interference._next_poll_ms = float("inf")
    world.cell.interference.pairs = {URGENT.key: {BATCH.key: Pair(1.0, 0.5, 0.05, 200.0, 0.0)}}
    world.show(*(worker_info(f"w{n}", cpu) for n in range(workers)))
    return world


@pytest.mark.parametrize("first", [URGENT, BATCH])
@pytest.mark.parametrize(("workers", "apart", "placements"), [(2, True, 1), (1, False, 0)])
def test_pair_is_kept_apart_where_there_is_room_and_starts_where_there_is_none(
    first, workers, apart, placements
):
    world = world_with_pair(workers)
    for queue in (first, URGENT if first is BATCH else BATCH):
        world.add(job(queue.name, step(cpu=6_000), queue=queue))
        world.schedule()
    orders = world.answer_starts()
    assert len(orders) == 2
    assert (len({order.worker_id for order in orders}) == 2) is apart
    assert world.cell.interference.take_placements() == placements


@pytest.mark.parametrize(("slowness", "apart"), [(1.0, True), (1.5, True), (3.0, False)])
def test_much_slower_worker_is_not_used_to_avoid_a_slow_down(slowness, apart):
    world = world_with_pair(2)
    world.add(job("batch", step(cpu=8_000)))
    world.schedule()
    (order,) = world.answer_starts()
    for worker in world.cell.workers.values():
        worker.slowness = 1.0 if worker.worker_id == order.worker_id else slowness
    world.add(job("urgent", step(), queue=URGENT))
    world.schedule()
    assert (world.answer_starts()[0].worker_id != order.worker_id) is apart


@pytest.mark.parametrize("keep_apart", [False, True])
def test_nothing_is_recorded_or_prepared_unless_it_is_needed(keep_apart):
    world = CellWorld()
    options = composition.PartOptions(keep_apart=keep_apart)
    composition.configure(world.cell, CONFIG, options)
    world.show(worker_info())
    world.add(job("j", step(2)))
    world.schedule()
    assert [run.beside is not None for run in world.worker("w1").runs.values()] == [keep_apart] * 2
    terms = [term.prepare(world.cell, 0.0) for term in world.cell.parts.worker_terms]
    assert terms == [None] * keep_apart
    learned = world.cell.interference
    composition.configure(world.cell, CONFIG, options)
    assert world.cell.interference is learned
    composition.configure(world.cell, CONFIG, composition.PartOptions())
    assert world.cell.interference is None


def test_memory_is_bounded():
    world, learned, rng = CellWorld(), Interference(), random.Random(1)
    world.show(*(worker_info(f"w{n}") for n in range(8)))
    world.add(job("neighbours", *(step(1, image=f"k{n}") for n in range(400))))
    world.schedule()
    runs = [(run, worker) for worker in world.cell.workers.values() for run in worker.runs.values()]
    for number in range(8_000):
        run, worker = runs[number % len(runs)]
        run.step.spec = step(2, image=f"k{rng.randrange(400)}")
        run.beside = {f"k{rng.randrange(400)}": 0.1 for _ in range(3)}
        learned.record_end(world.cell, worker, run, 2_000.0 + number)
    assert len(learned._kinds) <= MAX_KINDS
    assert len(learned._groups) <= MAX_GROUPS
    assert all(len(kind.seen) <= MAX_NAMES for kind in learned._kinds.values())


def test_normal_equations_are_solved():
    solution, inverse = solve_with_inverse([[4.0, 1.0], [1.0, 2.0]], [9.0, 4.0], 1.0)
    assert solution == pytest.approx([23 / 14, 11 / 14])
    assert inverse[0] == pytest.approx([3 / 14, -1 / 14])


def test_product_imports_no_numerical_library():
    code = "import sys, nutmeglb_decisions.queues.composition; sys.exit('numpy' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_metrics_show_the_pairs_of_the_leader_and_none_after_its_term():
    recording = RecordingMetrics()
    metrics, world = PartMetrics(recording), world_with_pair(1)
    world.cell.interference.placements = 2
    for cell, expected in ((world.cell, (1, 2)), (world.cell, (1, 2)), (None, (0, 2))):
        metrics.publish(cell)
        totals = recording.totals
        assert (
            totals["nutmeglb_interference_pairs"],
            totals["nutmeglb_kept_apart_total"],
        ) == expected
