"""The model of a worker that stands still: what its leader sees, and what it does afterwards."""

import pytest
from result import Err

from nutmeglb._internal.queues.ports import StartOrder
from tests.lib.queue_gateway_model import GatewayModel
from tests.lib.queue_world import World
from tests.lib.queues import worker_info

FENCE = 1_000
STOPPED = ("stall", "w0", False, False)
SUSPENDED = ("suspend", "w0", False, False)
CUT = ("cut", "w0", -1, "both")
CUT_ANSWERS = ("cut", "w0", -1, "answers")
CRASHED = ("restart", "w0", 4_000, 9_000, 0)
UNHEALTHY = ("health", "w0", False)
LOST = ("fault", "w0", "hold", "lost", 0, 2)
UNANSWERED = ("fault", "w0", "hold", "no_answer", 0, 2)


@pytest.fixture
def world():
    world = World()
    yield world
    world.close()


def hold(world, gateway, times, deadline_ms=None):
    """Call a worker several times, one call after the other, and return the answers."""
    loop = world.simulation.new_loop()
    answers = []

    async def call():
        for _ in range(times):
            answers.append(await gateway.hold(worker_info("w0"), FENCE, 0, deadline_ms, 0))

    task = loop.create_task(call())
    world.advance(1_000 * times)
    assert task.done()
    return answers


@pytest.mark.parametrize(
    ("step", "is_connected"),
    [
        (STOPPED, [False, True, True]),
        (SUSPENDED, [False, False, False]),
        (CUT, [False, False, False]),
        (CUT_ANSWERS, [False, False, False]),
        (CRASHED, [False, False, False]),
        (UNHEALTHY, [False, False, False]),
        (LOST, [False, False]),
        (UNANSWERED, [False, True]),
    ],
)
def test_only_an_unanswered_call_on_a_new_connection_was_connected(world, step, is_connected):
    """The first call uses the connection of the call before it."""
    gateway = GatewayModel(world, 0)
    assert hold(world, gateway, 1)[0].is_ok()
    world.apply(*step)
    answers = hold(world, gateway, len(is_connected))
    assert all(isinstance(answer, Err) for answer in answers)
    assert [bool(each.err_value.context.get("connected")) for each in answers] == is_connected


@pytest.mark.parametrize(("still", "clock_ms"), [(False, 3_000.0), (True, 0.0)])
def test_clock_may_stand_still(world, still, clock_ms):
    life = world.lives["w0"]
    before_ms = life.clock_ms
    world.apply("stall", "w0", still, False)
    world.advance(3_000)
    assert life.clock_ms == before_ms + clock_ms
    world.apply("wake", "w0")
    world.advance(500)
    assert life.clock_ms == before_ms + clock_ms + 500


@pytest.mark.parametrize(
    ("stall", "kill_ms", "outcome"),
    [
        (("stall", "w0", False, False), 0, "lapsed"),
        (("stall", "w0", False, True), 0, "done"),
        (("stall", "w0", False, False), 400, "done"),
        # The work and the lease go on for as long as before.
        (("stall", "w0", True, False), 0, ""),
        (("suspend", "w0", False, False), 0, "lapsed"),
        (("suspend", "w0", True, False), 0, ""),
    ],
)
def test_end_of_a_run_after_a_stall(world, stall, kill_ms, outcome):
    """The work and the lease end during the stall, if the clock runs on."""
    for process in (0, 1):
        world.apply("pause", process)
    world.apply("late_kill", "w0", kill_ms)
    world.apply("submit", 4)
    life = world.lives["w0"]
    life.start(order_of(life), life, life, world.simulation.now_ms, lambda answer: None)
    world.advance(1_000)
    world.apply(*stall)
    world.advance(9_000)
    assert len(life.runs) == 1
    world.apply("wake", "w0")
    world.advance(0.01)
    assert "".join(ended.outcome for ended in life.finished) == outcome


def order_of(life):
    """Return an order with a lease of 6 s for a task that takes 8 s."""
    return StartOrder("0" * 16 + ".0.0.0", 1, {}, "", "", int(life.clock_ms) + 6_000, FENCE)


@pytest.mark.parametrize(("step", "is_handled"), [(STOPPED, True), (SUSPENDED, False)])
def test_calls_are_handled_in_order_after_a_stop(world, step, is_handled):
    """A machine that stands still receives none. All callers have timed out by then."""
    life = world.lives["w0"]
    life.deadline_ms = 0.0
    world.apply(*step)
    clock_ms = int(life.clock_ms)
    hold(world, GatewayModel(world, 0), 2, deadline_ms=clock_ms + 5_000)
    assert life.deadline_ms == 0.0
    world.apply("wake", "w0")
    assert life.deadline_ms == (clock_ms + 5_000 if is_handled else 0.0)


@pytest.mark.parametrize(("stalled_ms", "is_listed"), [(4_400, True), (4_600, False)])
def test_entry_expires_during_a_stall_and_returns_with_its_end(world, stalled_ms, is_listed):
    world.apply("stall", "w0", False, False)
    world.advance(stalled_ms)
    assert ("servers/w0" in world.store.items) == is_listed
    world.apply("wake", "w0")
    assert "servers/w0" in world.store.items


def test_worker_that_is_cut_off_does_not_stand_still_and_the_reverse(world):
    """Nothing distinguishes such a worker from one that is only cut off."""
    world.apply(*CUT)
    world.apply(*STOPPED)
    assert not world.lives["w0"].is_stalled
    world.apply("heal")
    world.apply(*STOPPED)
    world.apply(*CUT)
    assert not any(world.cuts.values())
