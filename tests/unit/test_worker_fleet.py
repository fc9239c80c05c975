"""Workers of the fleet stand-in follow the platform's protocol."""

import json
import random

import pytest

from standins.worker_fleet import CRASH_AFTER_S, Fleet, FleetWorker, Kind

TASK = "00000000000000aa.0.0.0"
PEER = "00000000000000aa.0.0.1"
# A second on the slowest clock that a worker may have.
SLOW_SECOND_S = 1.03


class FleetWorld:
    """A fleet of two workers and its record."""

    def __init__(self, **traits):
        self.events = []
        self.fleet = Fleet(random.Random(1), self.events.append)
        for worker_id in ("a", "b"):
            worker = FleetWorker(worker_id, Kind(1_000, 1_000), "r1-1", **traits)
            self.fleet.boot(worker, 1, 0.0)
        self.worker = self.fleet.workers["a"]

    def start(self, now_s=0.0, worker="a", task=TASK, run=1, lease_ms=5_000, ticket="", **step):
        actions = {"cpu": 100, "mem_mb": 10, "work_ms": 1_000, **step}
        clock_ms = self.fleet.workers[worker].clock_ms(now_s)
        body = {
            "task": task,
            "run": run,
            "spec": json.dumps({"steps": [actions]}),
            "deadline_ms": int(clock_ms + lease_ms),
            "fence_token": step.get("fence", 5),
            "ticket": ticket,
        }
        status, content = self.fleet.call(worker, "run-start", body, now_s)
        return content.get("reason", status)

    def stop(self, now_s=0.0, worker="a", task=TASK, run=1):
        body = {"task": task, "run": run, "fence_token": 5}
        return self.fleet.call(worker, "run-stop", body, now_s)[0]

    def report(self, now_s, last_seen=0, worker="a", **fields):
        body = {"fence_token": 5, "last_seen": last_seen, **fields}
        content = self.fleet.call(worker, "hold", body, now_s)[1]
        running = [tuple(row[:2]) for row in content["running"]]
        return running, [tuple(row[1:4]) for row in content["finished"]]

    def ends(self):
        return [(e["task"], e["how"]) for e in self.events if e["event"] == "end"]


def test_run_is_listed_until_its_end_and_its_end_until_the_acknowledgement():
    world = FleetWorld()
    assert world.start() == 200
    assert world.report(0.1) == ([(TASK, 1)], [])
    assert world.report(2.0) == ([], [(TASK, 1, "done")])
    assert world.report(2.1, last_seen=1) == ([], [])


@pytest.mark.parametrize("lists_stopping", [True, False])
def test_stopped_run_ends_later_and_is_listed_as_its_worker_does(lists_stopping):
    world = FleetWorld(lists_stopping=lists_stopping)
    world.start()
    assert world.stop(0.1) == 200
    assert world.report(0.1) == ([(TASK, 1)] if lists_stopping else [], [])
    assert world.report(0.31) == ([], [(TASK, 1, "stopped")])


@pytest.mark.parametrize(
    ("prepare", "run", "answer"),
    [
        (lambda world: None, 1, 200),
        (lambda world: world.start(), 1, 200),
        (lambda world: world.stop(), 1, "old"),
        (lambda world: world.stop(), 2, 200),
        (lambda world: world.stop(run=2), 1, "old"),
        (lambda world: world.start(work_ms=10), 1, "old"),
        (lambda world: (world.start(work_ms=10), world.report(1.0, last_seen=1)), 1, "old"),
        (lambda world: world.start(fence=6), 2, "fence"),
    ],
    ids=[
        "absent", "present", "barred", "after a stop", "lower than a stop", "ended",
        "acknowledged", "fenced",
    ],
)  # fmt: skip
def test_start_is_answered_by_what_the_worker_has_seen(prepare, run, answer):
    world = FleetWorld()
    prepare(world)
    assert world.start(1.0, run=run) == answer


def test_start_that_needs_advice_is_refused_without_a_valid_ticket():
    world = FleetWorld()
    ticket = world.fleet.advice.issue(TASK.rpartition(".")[0], "a", 1, 0.0)
    assert world.start(advised=True) == "ticket"
    assert world.start(worker="b", advised=True, ticket=ticket) == "ticket"
    assert world.start(advised=True, ticket=ticket) == 200
    assert world.start(100.0, run=2, advised=True, ticket=ticket) == "ticket"


def test_start_after_its_deadline_is_late():
    assert FleetWorld().start(lease_ms=0) == "late"


def test_lease_never_shortens_and_its_end_ends_all_runs():
    world = FleetWorld()
    world.start(work_ms=60_000, lease_ms=2_000)
    world.start(task=PEER, work_ms=60_000, lease_ms=500)
    assert world.report(1.9)[0] == [(TASK, 1), (PEER, 1)]
    assert world.report(2 * SLOW_SECOND_S)[1] == [(TASK, 1, "lapsed"), (PEER, 1, "lapsed")]


def test_lease_is_at_most_ten_seconds():
    world = FleetWorld()
    world.start(work_ms=60_000, lease_ms=500_000)
    assert world.report(9.9)[0] == [(TASK, 1)]
    assert world.report(10 * SLOW_SECOND_S)[1] == [(TASK, 1, "lapsed")]


def test_gang_starts_when_complete_and_one_end_ends_all_members():
    world = FleetWorld()
    world.start(gang=2)
    world.start(2.0, worker="b", task=PEER, gang=2)
    assert world.ends() == []
    world.fleet.advance(4.0)
    assert sorted(world.ends()) == [(TASK, "done"), (PEER, "done")]


def test_member_of_a_gang_does_not_wait_forever():
    world = FleetWorld()
    world.start(gang=2)
    world.fleet.advance(4.0)
    assert world.ends() == [(TASK, "alone")]


def test_stop_of_a_member_breaks_its_gang():
    world = FleetWorld()
    world.start(gang=2, work_ms=60_000)
    world.start(worker="b", task=PEER, gang=2, work_ms=60_000)
    world.stop(1.0)
    world.fleet.advance(2.0)
    assert world.ends() == [(TASK, "stopped"), (PEER, "broken")]


def test_restart_ends_all_members_of_a_gang_on_the_worker():
    """Guards against a restart that fails because the end of a member ends the others."""
    world = FleetWorld()
    world.start(gang=2, work_ms=60_000)
    world.start(task=PEER, gang=2, work_ms=60_000)
    world.fleet.boot(world.worker, 2, 1.0)
    assert world.ends() == [(TASK, "crashed"), (PEER, "broken")]
    assert world.worker.runs == {}


def test_restarted_worker_knows_nothing_of_before():
    world = FleetWorld()
    world.start(work_ms=60_000)
    world.stop(task=PEER, run=7)
    world.fleet.boot(world.worker, 2, 1.0)
    assert world.ends() == [(TASK, "crashed")]
    assert world.report(1.1, last_seen=0) == ([], [])
    assert world.start(1.2, task=PEER, run=1, fence=1) == "fence"
    assert world.start(1.2, task=PEER, run=1) == 200


def test_task_crashes_each_worker_that_starts_it():
    world = FleetWorld()
    world.start(9.9, task=PEER, work_ms=60_000)
    for life in (1, 2):
        assert world.start(10.0 * life, run=life, crash=[0], work_ms=60_000) == 200
        assert world.worker.is_up
        world.fleet.advance(10.0 * life + CRASH_AFTER_S)
        assert not world.worker.is_up
        world.fleet.boot(world.worker, life + 1, 10.0 * life + 3.0)
    assert world.worker.is_up
    assert [e["life"] for e in world.events if e["event"] == "crash"] == [1, 2]
    assert world.ends() == [(PEER, "crashed"), (TASK, "crashed"), (TASK, "crashed")]


@pytest.mark.parametrize("name", ["run-start", "run-stop", "hold"])
def test_call_that_arrives_with_the_crash_has_no_effect(name):
    """Guards against a worker that answers a call, or starts a run, once it has crashed."""
    world = FleetWorld()
    world.start(crash=[0], work_ms=60_000)
    body = {
        "task": PEER, "run": 1, "fence_token": 5, "last_seen": 0, "deadline_ms": 10**9,
        "spec": json.dumps({"steps": [{"cpu": 1, "mem_mb": 1, "work_ms": 1_000}]}),
    }  # fmt: skip
    assert world.fleet.call("a", name, body, 2 * CRASH_AFTER_S) is None
    assert [e["task"] for e in world.events if e["event"] == "start"] == [TASK]


def test_other_task_of_the_step_crashes_no_worker():
    world = FleetWorld()
    world.start(task=PEER, crash=[0])
    world.fleet.advance(5.0)
    assert world.worker.is_up
    assert world.ends() == [(PEER, "done")]


def test_crash_breaks_gangs_on_other_workers():
    world = FleetWorld()
    world.start(gang=2, work_ms=60_000)
    world.start(worker="b", task=PEER, gang=2, crash=[1], work_ms=60_000)
    world.fleet.advance(1.0)
    assert sorted(world.ends()) == [(TASK, "broken"), (PEER, "crashed")]
    assert world.worker.is_up


def test_renamed_worker_knows_nothing_of_before():
    world = FleetWorld()
    world.start(crash=[0], work_ms=60_000)
    world.fleet.advance(1.0)
    world.fleet.rename(world.worker, "c")
    world.fleet.boot(world.worker, 2, 4.0)
    assert sorted(world.fleet.workers) == ["b", "c"]
    assert world.report(4.1, worker="c") == ([], [])
    assert world.start(4.2, worker="c") == 200


@pytest.mark.parametrize("cpu", [50, 5_000])
def test_resized_worker_keeps_its_runs(cpu):
    world = FleetWorld()
    world.start(work_ms=60_000)
    world.fleet.resize(world.worker, Kind(cpu, 500), 1.0)
    assert world.report(1.1) == ([(TASK, 1)], [])
    (event,) = [e for e in world.events if e["event"] == "resize"]
    assert (event["worker"], event["t"], event["cpu"], event["mem_mb"]) == ("a", 1.0, cpu, 500)
