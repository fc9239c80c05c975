"""Workers of the fleet stand-in whose process is stopped and goes on later.

Guards against a stand-in that dates an event back into the time in which its process was stopped.
"""

import json
import random

import pytest

from standins.worker_fleet import FleetWorker, Kind
from standins.worker_fleet_stops import (
    STOP_GAP_S,
    ProcessClock,
    ResumeFlavour,
    StoppableFleet,
    draw_flavour,
)

TASK = "00000000000000aa.0.0.0"
STOPPED_S, RESUMED_S = 1.0, 11.0
LATE_S = 0.5


class StoppedWorld:
    """A worker with a run, in a process that is stopped."""

    def __init__(self, work_ms, **flavour):
        self.events = []
        self.fleet = StoppableFleet(
            random.Random(1), self.events.append, ResumeFlavour(**flavour), "p1"
        )
        self.worker = FleetWorker("a", Kind(1_000, 1_000), "r1-1", is_shared=False)
        self.fleet.boot(self.worker, 1, 0.0)
        assert self.call(0.0, "run-start", work_ms=work_ms) == 200
        self.fleet.advance(STOPPED_S)

    def call(self, now_s, name, task=TASK, work_ms=1_000, lease_ms=5_000):
        step = {"cpu": 100, "mem_mb": 10, "work_ms": work_ms}
        deadline_ms = int(self.worker.clock_ms(now_s) + lease_ms)
        body = {
            "task": task, "run": 1, "spec": json.dumps({"steps": [step]}), "fence_token": 5,
            "deadline_ms": deadline_ms, "last_seen": 0,
        }  # fmt: skip
        status, content = self.fleet.call("a", name, body, now_s)
        return content.get("reason", status)

    def resume(self):
        self.fleet.resume(STOPPED_S, RESUMED_S)

    def ends(self):
        return [(round(e["t"], 3), e["how"]) for e in self.events if e["event"] == "end"]


ENDED, LAPSED = "done", "lapsed"
SHORT_MS, LONG_MS = 3_000, 60_000


@pytest.mark.parametrize(
    ("flavour", "work_ms", "ends"),
    [
        ({"ends_first": True}, SHORT_MS, [(11.0, ENDED)]),
        ({"ends_first": False}, SHORT_MS, [(11.0, LAPSED)]),
        ({"ends_first": True}, LONG_MS, [(11.0, LAPSED)]),
        ({"ends_first": True, "lateness_s": LATE_S}, SHORT_MS, [(11.0, ENDED)]),
        ({"ends_first": True, "lateness_s": LATE_S}, LONG_MS, [(11.5, LAPSED)]),
        ({"ends_first": False, "lateness_s": LATE_S}, SHORT_MS, [(11.5, LAPSED)]),
        ({"clock_stands_still": True}, LONG_MS, [(15.0, LAPSED)]),
    ],
    ids=[
        "ends first", "lapse first", "only a lapse", "ends first, late lapse", "late lapse",
        "late lapse first", "clock stood still",
    ],
)  # fmt: skip
def test_what_was_due_during_a_stop_happens_when_the_process_goes_on(flavour, work_ms, ends):
    world = StoppedWorld(work_ms, **flavour)
    world.resume()
    for step in range(600):
        world.fleet.advance(RESUMED_S + step / 100)
    # The worker's clock may be 2% slow.
    assert [how for _, how in world.ends()] == [how for _, how in ends]
    assert [t for t, _ in world.ends()] == pytest.approx([t for t, _ in ends], abs=0.11)
    assert all(event["t"] <= STOPPED_S or event["t"] >= RESUMED_S for event in world.events)


@pytest.mark.parametrize(
    ("flavour", "at_s", "ends"),
    [
        ({"lateness_s": LATE_S, "renews_lapsed": True}, 11.2, []),
        ({"lateness_s": LATE_S, "renews_lapsed": False}, 11.2, [LAPSED]),
        ({"lateness_s": LATE_S, "renews_lapsed": True}, 11.6, [LAPSED]),
        ({"lateness_s": LATE_S, "renews_lapsed": True, "ends_first": False}, 11.2, []),
        ({"clock_stands_still": True}, 11.2, []),
    ],
    ids=["renewed", "not renewable", "renewed too late", "renewed, lapse first", "stood still"],
)
def test_call_before_the_lapse_is_enforced_may_extend_the_lease(flavour, at_s, ends):
    world = StoppedWorld(LONG_MS, **flavour)
    world.resume()
    assert world.call(at_s, "hold") == 200
    world.fleet.advance(13.0)
    assert [how for _, how in world.ends()] == ends


@pytest.mark.parametrize(
    ("stands_still", "answer"), [(False, "late"), (True, 200)], ids=["clock ran on", "stood still"]
)
def test_start_that_waited_during_the_stop_keeps_its_deadline(stands_still, answer):
    world = StoppedWorld(LONG_MS, clock_stands_still=stands_still)
    deadline_ms = world.worker.clock_ms(STOPPED_S) + 5_000
    world.resume()
    lease_ms = deadline_ms - world.worker.clock_ms(RESUMED_S)
    assert world.call(RESUMED_S, "run-start", task=TASK[:-1] + "1", lease_ms=lease_ms) == answer


def test_restart_during_the_lateness_forgets_the_lapse():
    world = StoppedWorld(LONG_MS, lateness_s=LATE_S)
    world.resume()
    world.fleet.boot(world.worker, 2, 11.1)
    assert world.call(11.2, "run-start", work_ms=LONG_MS) == 200
    world.fleet.advance(12.0)
    assert [how for _, how in world.ends()] == ["crashed"]


def test_clock_stands_still_by_the_time_of_the_stop():
    world = StoppedWorld(LONG_MS, clock_stands_still=True)
    before_ms = world.worker.clock_ms(STOPPED_S)
    world.resume()
    assert world.worker.clock_ms(RESUMED_S) == pytest.approx(before_ms)
    assert world.worker.clock_ms(RESUMED_S + 1) == pytest.approx(before_ms + 990, abs=11)


@pytest.mark.parametrize(
    ("readings", "noted"),
    [
        ([0.0, 0.01, 0.02], []),
        ([0.0, STOP_GAP_S, 2 * STOP_GAP_S], []),
        ([0.0, 3.0, 3.01], [(0.0, 3.0)]),
        ([0.0, 3.0, 6.0], [(0.0, 3.0), (3.0, 6.0)]),
    ],
    ids=["runs", "starved", "stopped", "stopped twice"],
)
def test_process_clock_notes_long_gaps(readings, noted):
    left = list(readings)
    seen = []
    clock = ProcessClock(lambda since_s, now_s: seen.append((since_s, now_s)), lambda: left.pop(0))
    assert [clock.now_s() for _ in readings[1:]] == readings[1:]
    assert seen == noted


@pytest.mark.parametrize(
    ("clock", "kinds"), [("any", {True, False}), ("runs on", {False}), ("stands still", {True})]
)
def test_flavours_differ_by_seed(clock, kinds):
    flavours = [draw_flavour(random.Random(f"{seed}"), clock) for seed in range(60)]
    assert {flavour.clock_stands_still for flavour in flavours} == kinds
    assert {flavour.ends_first for flavour in flavours} == {True, False}
    assert {flavour.renews_lapsed for flavour in flavours} == {True, False}
    assert 0 < sum(flavour.lateness_s == 0.0 for flavour in flavours) < 60
    assert draw_flavour(random.Random("1"), clock) == flavours[1]
