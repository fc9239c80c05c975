"""Leases, fencing and delayed messages of the agent protocol."""

import pytest

from nutmeglb_decisions.tasks.state import Phase
from nutmeglb_formats.models.agent import SyncRequest
from nutmeglb_formats.models.config import JobKind
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import AttemptEnded
from tests.lib.task_world import GIB, LEASE_MS, MARGIN_MS, World
from tests.lib.tasks import make_config, make_spec


def world_with_running_task(command: str, workers: int = 2) -> World:
    """Return a world in which one task is running."""
    world = World(make_config(), workers=workers)
    world.run_round()
    world.submit(make_spec(command=command))
    world.commit_all()
    for _ in range(3):
        world.run_round(5.0)
    assert len(world.started()) == 1
    return world


def worker_with_the_task(world: World) -> str:
    return next(name for name, agent in world.agents.items() if agent.record)


@pytest.mark.parametrize("lost", [(0,), (0, 1), (1,)])
def test_new_leader_skips_a_completed_task_behind_tasks_whose_starts_were_lost(
    lost: tuple[int, ...],
) -> None:
    """Guards against a leader that starts a completed task again, a violation in each recovery."""
    world = World(make_config(), workers=3, cpu_millis=1_000)
    world.run_round()
    world.submit(make_spec(tasks=3, command="run_ms=50"))
    world.commit_all()
    for _ in range(3):
        world.step(placements=1)
    for number, batch in enumerate(sorted(world.appends)):
        world.commit(batch, applied=number not in lost)
    for _ in range(2):
        world.exchange_all()
    world.advance(60.0)
    world.exchange_all()
    assert len(world.records(AttemptEnded)) == 3 - len(lost)
    world.replace_leader()
    (job,) = world.leader.lifecycle.jobs.values()
    assert (job.waiting, job.done_count) == (len(lost), 3 - len(lost))
    for _ in range(8):
        world.run_round()
    assert job.done_count == 3
    assert len(world.started()) == 3


@pytest.mark.parametrize("offset_ms", [-1.0, 1.0])
def test_silent_worker_keeps_its_task_until_the_lease_certainly_expired(offset_ms: float) -> None:
    """Guards against a second attempt while the first one may still be running."""
    world = world_with_running_task("run_ms=60000")
    worker = worker_with_the_task(world)
    link = world.leader.lifecycle.links[worker]
    world.frozen.add(worker)
    world.send(worker)
    world.lose_contact(worker)
    world.advance(link.lease_expires_at_ms + offset_ms - world.clock.now_ms())
    world.step()
    assert link.lease_expires_at_ms - link.received_ms == LEASE_MS + MARGIN_MS
    assert (len(link.attempts) == 0) == (offset_ms > 0)
    assert world.agents[worker].record[0].outcome == "lease_expired"


def test_late_renewal_does_not_extend_a_lease() -> None:
    """Guards against a delayed request that extends the lease of a task already treated as lost."""
    world = world_with_running_task("run_ms=60000")
    worker = worker_with_the_task(world)
    world.send(worker)
    world.advance(LEASE_MS - 1)
    world.deliver_request(0)
    world.advance(2 * MARGIN_MS)
    assert world.agents[worker].record[0].outcome == "lease_expired"


def test_delayed_start_after_the_end_is_ignored() -> None:
    """Guards against a repeated start of an attempt that was acknowledged and forgotten."""
    world = World(make_config(), workers=1)
    world.run_round()
    world.submit(make_spec(command="run_ms=20"))
    world.commit_all()
    world.step()
    world.commit_all()
    world.send("w0")
    world.deliver_request(0, repeat=True)
    delayed = world.requests.pop(0)
    world.deliver_response(0)
    for _ in range(4):
        world.run_round(30.0)
    assert not world.agents["w0"].finished
    world.requests.append(delayed)
    world.deliver_request(0)
    assert len(world.started()) == 1


def test_start_of_an_older_epoch_is_refused() -> None:
    """Guards against a former leader that starts a task after a takeover."""
    world = World(make_config(), workers=1)
    world.run_round()
    world.submit(make_spec(command="run_ms=20"))
    world.commit_all()
    world.step()
    world.commit_all()
    world.send("w0")
    world.replace_leader()
    world.send("w0")
    world.deliver_request(1)
    world.deliver_request(0)
    assert not world.runs()
    world.responses.clear()
    for _ in range(4):
        world.run_round(30.0)
    assert len(world.started()) == 1


@pytest.mark.parametrize("replaced", [False, True])
def test_success_reported_after_the_lease_expired(replaced: bool) -> None:
    """Guards against counting two results of one task, and losing the only result."""
    world = world_with_running_task("run_ms=40")
    worker = worker_with_the_task(world)
    world.frozen.add(worker)
    world.advance(2 * LEASE_MS)
    assert world.agents[worker].record[0].outcome == "succeeded"
    if replaced:
        for _ in range(6):
            world.run_round(30.0)
    world.frozen.clear()
    for _ in range(6):
        world.run_round(30.0)
    runs = world.runs()
    assert world.agents[worker].record[0].acknowledged == (not replaced)
    assert sum(run.acknowledged and run.outcome == "succeeded" for run in runs) == 1
    assert sum(record.completes for record in world.records(AttemptEnded)) == 1


@pytest.mark.parametrize("snapshot", [False, True])
def test_new_leader_acknowledges_a_result_in_the_journal(snapshot: bool) -> None:
    """Guards against a new leader that discards the result that completed the task."""
    world = world_with_running_task("run_ms=40")
    worker = worker_with_the_task(world)
    world.advance(50)
    world.send(worker)
    world.deliver_request(0)
    world.deliver_response(0)
    if snapshot:
        world.replace_leader(snapshot=True)
    world.commit_all()
    world.replace_leader()
    for _ in range(3):
        world.run_round(30.0)
    assert [run.acknowledged for run in world.runs()] == [True]


def test_success_before_the_commit_of_its_end_is_kept() -> None:
    """Guards against discarding a result that is reported again before it is committed."""
    world = world_with_running_task("run_ms=40")
    worker = worker_with_the_task(world)
    world.advance(50)
    for _ in range(3):
        world.send(worker)
        world.deliver_request(0)
        world.deliver_response(0)
    assert worker in world.agents and not world.leader.lifecycle.links[worker].discard
    world.commit_all()
    world.run_round()
    world.run_round()
    assert [run.acknowledged for run in world.runs()] == [True]


def test_end_reported_after_an_agent_restart_acknowledges_no_earlier_success() -> None:
    """Guards against a stand-in that counts a result which its restart lost as acknowledged."""
    world = world_with_running_task("run_ms=40")
    worker = worker_with_the_task(world)
    agent = world.agents[worker]
    world.advance(50)
    agent.restart("2")
    world.replace_leader()
    world.cancel(next(iter(world.leader.lifecycle.jobs)))
    for _ in range(4):
        world.run_round(30.0)
    ended = world.records(AttemptEnded)
    assert [(record.outcome, record.completes) for record in ended] == [("stopped", False)]
    assert [(run.outcome, run.acknowledged) for run in world.runs()] == [("succeeded", False)]


def test_new_leader_has_the_job_that_was_accepted_after_an_unknown_outcome() -> None:
    """Guards against a job that runs with the content of a submission that was refused."""
    world = World(make_config(), workers=1)
    world.run_round()
    first = world.submit(make_spec(kind=JobKind.GANG, tasks=3))
    world.commit(next(iter(world.appends)), reported=False)
    second = world.submit(make_spec(tasks=4, command="run_ms=400"))
    world.commit_all()
    assert world.answers[first].error is not None and world.answers[second].error is None
    for _ in range(2):
        world.run_round()
    world.replace_leader()
    (job,) = world.leader.lifecycle.jobs.values()
    assert (job.spec.kind, job.tasks, len(job.live)) == (JobKind.BATCH, 4, 4)
    for _ in range(12):
        world.run_round()
    assert job.done_count == 4
    assert len(world.started()) == 4


def test_start_waits_for_the_journal_commit() -> None:
    """Guards against starting an attempt that the next leader would not find in the journal."""
    world = World(make_config(), workers=1)
    world.run_round()
    world.submit(make_spec())
    world.commit_all()
    world.step()
    attempt = next(iter(world.leader.lifecycle.links["w0"].attempts.values()))
    assert attempt.phase is Phase.RESERVED
    request = world.leader.sync_request("w0", 0.0)
    assert isinstance(request, SyncRequest) and request.start == ()
    world.commit_all()
    request = world.leader.sync_request("w0", 0.0)
    assert request is not None and len(request.start) == 1


def test_gang_runs_only_when_every_member_is_held() -> None:
    """Guards against a gang that runs in part while the agent of one member does not respond."""
    world = World(make_config(), workers=3, cpu_millis=1_000)
    world.run_round()
    world.submit(make_spec(kind=JobKind.GANG, tasks=3, command="run_ms=100"))
    world.commit_all()
    world.step()
    world.commit_all()
    for worker in ("w0", "w1"):
        world.send(worker)
        world.deliver_request(0)
        world.deliver_response(0)
        world.send(worker)
        world.deliver_request(0)
        world.deliver_response(0)
    assert len(world.runs()) == 2 and not world.started()
    world.run_round(5.0)
    world.run_round(5.0)
    assert len(world.started()) == 3


def test_gang_starts_again_as_a_whole_after_a_lost_member() -> None:
    """Guards against a gang whose other members keep running after one was lost."""
    world = World(make_config(), workers=3, cpu_millis=2_000)
    world.run_round()
    size = Resources(1_100, GIB, 0)
    world.submit(make_spec(kind=JobKind.GANG, tasks=2, resources=size, command="run_ms=4000"))
    world.commit_all()
    for _ in range(4):
        world.run_round(5.0)
    world.frozen.add(next(name for name, agent in world.agents.items() if agent.tasks))
    for _ in range(30):
        world.run_round(60.0)
    live = [run for run in world.started() if run.end_ms is None]
    assert len(live) == 2
    assert all(run.attempt.endswith("/2") for run in live)


def test_gang_with_a_withdrawn_member_is_not_released() -> None:
    """Guards against members that run between the end of another member and their own stop."""
    world = World(make_config(), workers=3, cpu_millis=1_000)
    world.run_round()
    world.submit(make_spec(kind=JobKind.GANG, tasks=3, command="run_ms=100"))
    world.commit_all()
    world.step()
    world.commit_all()
    world.lose_contact("w2")
    for worker in ("w0", "w1", "w0", "w1"):
        world.send(worker)
        world.deliver_request(0)
        world.deliver_response(0)
    assert len(world.runs()) == 2 and not world.started()
    for _ in range(8):
        world.run_round(30.0)
    assert len(world.started()) == 3


@pytest.mark.parametrize("success_first", [True, False])
@pytest.mark.parametrize("restarted", [1, 2])
def test_gang_completes_if_a_member_succeeded_and_others_restarted_around_a_takeover(
    restarted: int, success_first: bool
) -> None:
    """Guards against members that wait on their agents indefinitely for one that has completed."""
    world = World(make_config(), workers=3, cpu_millis=1_000)
    world.run_round()
    world.submit(make_spec(kind=JobKind.GANG, tasks=3, command="run_ms=100"))
    world.commit_all()
    for _ in range(3):
        world.run_round(5.0)
    assert len(world.started()) == 3
    world.replace_leader()
    names = list(world.agents)
    for worker in names[:restarted]:
        world.agents[worker].restart("2")
    world.advance(150.0)
    for worker in names[::-1] if success_first else names:
        for _ in range(2):
            world.send(worker)
            world.deliver_request(0)
            world.deliver_response(0)
            world.commit_all()
    for _ in range(8):
        world.run_round(60.0)
    (job,) = world.leader.lifecycle.jobs.values()
    assert job.done_count == 3
    assert len(world.started()) == 3 + restarted


def world_with_finished_gang() -> World:
    """Return a world whose gang of three has succeeded on three unreachable workers."""
    world = World(make_config(), workers=3, cpu_millis=1_000)
    world.run_round()
    world.submit(make_spec(kind=JobKind.GANG, tasks=3, command="run_ms=100"))
    world.commit_all()
    for _ in range(3):
        world.run_round(5.0)
    assert len(world.started()) == 3
    world.frozen.update(world.agents)
    for worker in world.agents:
        world.send(worker)
        world.lose_contact(worker)
    world.requests.clear()
    world.advance(2 * LEASE_MS + 2 * MARGIN_MS)
    world.step()
    world.commit_all()
    return world


@pytest.mark.parametrize("reported", [1, 2])
def test_gang_queued_before_a_late_success_starts_only_its_incomplete_tasks(reported: int) -> None:
    """Guards against tasks that do not exist, after a gang's queue entry became outdated.

    All members are treated as lost, so that the whole gang is queued. The agents of some members
    then report their success, and those of the others restart and lose theirs.
    """
    world = world_with_finished_gang()
    (job,) = world.leader.lifecycle.jobs.values()
    assert job.queued and job.waiting == 3
    for worker in list(world.agents)[:reported]:
        world.frozen.remove(worker)
        for _ in range(2):
            world.send(worker)
            world.deliver_request(0)
            world.deliver_response(0)
    world.commit_all()
    assert job.waiting == 3 - reported
    for worker in list(world.agents)[reported:]:
        world.agents[worker].restart("2")
    world.frozen.clear()
    for _ in range(20):
        world.run_round(30.0)
    attempts = [run.attempt.removeprefix(f"{job.job_id}/") for run in world.runs()]
    again = sorted(attempt for attempt in attempts if attempt.endswith("/2"))
    assert len(attempts) == 3 + len(again)
    assert again == sorted(f"{index}/2" for index in range(3) if not _succeeded(world, index))
    assert job.done_count == job.tasks == 3


def _succeeded(world: World, index: int) -> bool:
    """Return whether the first attempt of a task completed it."""
    return any(
        record.completes and (record.index, record.number) == (index, 1)
        for record in world.records(AttemptEnded)
    )


def test_gang_starts_only_its_incomplete_task_again_while_another_gang_blocks_its_shape() -> None:
    """Guards against tasks that do not exist, when a started gang's queue entry was not removed.

    A gang of another team with the same shape finds no free workers. The shape is skipped from then
    on, and the entry of the running gang with it.
    """
    world = World(make_config(), workers=3, cpu_millis=1_000)
    world.run_round()
    for team in ("labs", "counters"):
        world.submit(make_spec(team, kind=JobKind.GANG, tasks=3, team=team, command="run_ms=100"))
    world.commit_all()
    for _ in range(3):
        world.run_round(5.0)
    running = {run.attempt.rsplit("/", 2)[0] for run in world.started()}
    (job,) = [job for job in world.leader.lifecycle.jobs.values() if job.job_id in running]
    assert len(world.started()) == 3 and job.queued
    world.advance(101.0)
    world.agents["w0"].restart("2")
    for _ in range(20):
        world.run_round(60.0)
    attempts = [run.attempt for run in world.runs() if run.attempt.startswith(job.job_id)]
    assert len(attempts) == 4 and len([name for name in attempts if name.endswith("/2")]) == 1
    assert all(item.done_count == 3 for item in world.leader.lifecycle.jobs.values())
