"""Takeover by a new leader: loading of records, choice of the machine, pruning of old jobs."""

import asyncio

import pytest

from nutmeglb._internal.queues import election, finished_jobs, leader
from nutmeglb._internal.queues.settings import MachineSection, QueueSettings
from nutmeglb._internal.queues.strength import MAX_CAMPAIGN_DELAY_MS, campaign_delay_ms
from nutmeglb_formats.models.queue_records import AcceptedJob, JobProgress, encode_queue_record
from nutmeglb_formats.models.queues import Queue, QueueJob, StepProgress, StepSpec
from nutmeglb_formats.models.resources import Resources
from tests.lib.queue_path import job_body, run_scenario

JOB = "00000000000000aa"


async def hand_over(path):
    """Drain the leader. Return the index of the other instance."""
    former = path.leader
    other = next(n for n, entry in enumerate(path.entries) if entry is not former)
    await former.node.drain(former.frontend)
    return other


def test_leader_on_a_narrow_link_takes_over():
    """Guards against a leader that never loads its jobs because a page exceeds a call's timeout."""

    async def scenario(path):
        assert (await path.call("POST", JOB, job_body()))[0] == 200
        for own_store in path.own_stores:
            own_store.range_delays_s = {"nutmeglb/st/": 0.5, "nutmeglb/in/": 0.5, "servers/": 0.3}
        other = await hand_over(path)
        await path.until(lambda: path.entries[other].node.is_leading)
        await path.until_state(JOB, "completed", other)

    run_scenario(scenario, link_mbps=20.0)


def test_instance_that_cannot_take_over_steps_down(monkeypatch):
    """Guards against a leader that renews its lease but schedules nothing."""
    monkeypatch.setattr(leader, "TAKEOVER_TIMEOUT_MS", 400.0)

    async def scenario(path):
        other = path.entries.index(path.leader) ^ 1
        path.own_stores[other].range_delays_s = {"nutmeglb/in/": 60.0}
        await path.add_entry("e2")
        await hand_over(path)
        await path.until(lambda: path.entries[2].node.is_leading)

    run_scenario(scenario)


@pytest.mark.parametrize("departure", ["removed", "draining"])
def test_worker_that_has_left_is_not_used_after_a_handover(departure):
    """Guards against a list of workers that is older than the new leader's term."""

    async def scenario(path):
        gone, stays = path.runners
        if departure == "removed":
            path.store.data.remove("servers/w0")
        else:
            path.store.data.put("servers/w0", gone.entry("pool", "draining"))
        other = await hand_over(path)
        await path.until(lambda: path.entries[other].node.is_leading)
        await path.call("POST", JOB, job_body(), other)
        await path.until_state(JOB, "completed", other)
        assert not gone.data.started
        assert stays.data.started

    run_scenario(scenario)


def test_cancelled_job_does_not_run_after_a_handover():
    """Guards against a cancellation that is lost with the former leader."""

    async def scenario(path):
        for runner in path.runners:
            runner.data.run_ms = 60_000.0
        assert (await path.call("POST", JOB, job_body()))[0] == 200
        await path.until(lambda: len(path.starts) == 2)
        assert (await path.call("DELETE", JOB))[0] == 200
        other = await hand_over(path)
        await path.until(lambda: path.entries[other].node.is_leading)
        await path.until_state(JOB, "cancelled", other)
        await path.until(lambda: not any(runner.data.running for runner in path.runners))
        assert len(path.starts) == 2

    run_scenario(scenario)


def test_job_offered_during_a_takeover_resumes_from_its_stored_progress():
    """Guards against a job that starts again when it is offered before the leader has loaded it."""

    async def scenario(path):
        first, second = path.runners
        first.data.run_ms, second.data.run_ms = 30.0, 30.0
        steps = [{"count": 1, "cpu": 100}, {"count": 1, "cpu": 100, "after": [0]}]
        await path.call("POST", JOB, job_body(steps=steps))
        await path.until(lambda: len(path.starts) == 1)
        first.data.run_ms = second.data.run_ms = 1_500.0
        await path.until(lambda: len(path.starts) == 2)
        record = path.leader.node._leader.cell.jobs[JOB].record
        revision = path.store.data.items[f"nutmeglb/in/{JOB}"]["revision"]
        other = path.entries.index(path.leader) ^ 1
        for own_store in path.own_stores:
            own_store.range_delays_s = {"nutmeglb/in/": 0.4}
        await hand_over(path)
        node = path.entries[other].node
        await path.until(lambda: node._leader is not None)
        node._leader.offer(record, revision)
        await path.until_state(JOB, "completed", other)
        assert len(path.starts) == 2

    run_scenario(scenario, link_mbps=20.0)


def delay_offers(path):
    """Delay offers of accepted jobs to the leader. Return the event that releases them."""
    held = asyncio.Event()

    def delayed(offer):
        async def late(*arguments):
            await held.wait()
            await offer(*arguments)

        return late

    for entry in path.entries:
        entry.node.service._offer = delayed(entry.node.service._offer)
    return held


@pytest.mark.parametrize("accepts", ["former", "next"])
@pytest.mark.parametrize("event", ["late offer", "repeated submission"])
def test_job_that_ended_before_a_takeover_does_not_start_again(accepts, event):
    """Guards against a new leader that has not loaded the states of finished jobs yet."""

    async def scenario(path):
        held = delay_offers(path)
        former = path.entries.index(path.leader)
        accepting = former ^ 1 if accepts == "next" else former
        assert (await path.call("POST", JOB, job_body(), accepting))[0] == 200
        await path.until_state(JOB, "completed", former)
        for own_store in path.own_stores:
            own_store.range_delays_s = {"nutmeglb/fin/": 60.0}
        other = await hand_over(path)
        await path.until(lambda: path.entries[other].node.is_leading)
        await path.until(lambda: path.entries[other].node.followers == 1)
        await path.until(lambda: path.entries[former].node._links.leader_id != "")
        if event == "late offer":
            held.set()
        else:
            assert (await path.call("POST", JOB, job_body(), accepting))[0] == 200
        await asyncio.sleep(0.5)
        assert not path.entries[other].node._leader.cell.jobs
        assert len(path.starts) == 3

    run_scenario(scenario)


def test_late_offer_of_a_pruned_job_does_not_start_it_again(monkeypatch):
    """Guards against a second start when the accepting instance was paused for minutes."""
    monkeypatch.setattr(finished_jobs, "WALL_CLOCK_ERROR_MS", -119_900.0)
    monkeypatch.setattr(finished_jobs, "PRUNE_INTERVAL_MS", 50.0)

    async def scenario(path):
        held = delay_offers(path)
        await path.call("POST", JOB, job_body())
        await path.until(lambda: len(path.starts) == 3)
        await path.until(lambda: f"nutmeglb/fin/{JOB}" in path.store.data.items)
        await path.until(lambda: f"nutmeglb/fin/{JOB}" not in path.store.data.items)
        held.set()
        await asyncio.sleep(0.5)
        assert len(path.starts) == 3

    run_scenario(scenario)


def test_new_leader_reports_the_state_of_jobs_that_ended_before():
    async def scenario(path):
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")
        other = await hand_over(path)
        await path.until(lambda: path.entries[other].node.is_leading)
        assert (await path.call("POST", JOB, job_body(), other))[0] == 200
        await path.until_state(JOB, "completed", other)
        assert len(path.starts) == 3
        assert f"nutmeglb/st/{JOB}" not in path.store.data.items

    run_scenario(scenario)


def test_states_of_old_jobs_are_removed(monkeypatch):
    """Guards against a store and a leader that grow with every job that ever ran."""
    monkeypatch.setattr(finished_jobs, "WALL_CLOCK_ERROR_MS", -119_900.0)
    monkeypatch.setattr(finished_jobs, "PRUNE_INTERVAL_MS", 50.0)

    async def scenario(path):
        await path.call("POST", JOB, job_body())
        await path.until(lambda: len(path.starts) == 3)
        await path.until(lambda: f"nutmeglb/fin/{JOB}" in path.store.data.items)
        await path.until(lambda: f"nutmeglb/fin/{JOB}" not in path.store.data.items)

        async def gone():
            return (await path.call("GET", JOB))[0] == 410

        await path.until_async(gone)

    run_scenario(scenario)


SPEC = StepSpec(1, Resources(100, 1, 0), after=(3,))
QUEUE = Queue("r-1", "q.example", "/jobs/", "pool", 0, 1, 1.0, 0.0)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (
            "nutmeglb/fin/00000000000000ff",
            encode_queue_record(JobProgress("r-1", "odd", 0.0, [], [])),
        ),
        ("nutmeglb/fin/00000000000000ff", b"\xff"),
        (
            "nutmeglb/st/00000000000000ff",
            encode_queue_record(JobProgress("r-1", "odd", 0.0, [], [])),
        ),
        (
            "nutmeglb/st/00000000000000ff",
            encode_queue_record(
                JobProgress("r-1", "", 0.0, [], [StepProgress(0, -7, [], [-1], [])])
            ),
        ),
        (
            "nutmeglb/in/00000000000000ff",
            encode_queue_record(
                AcceptedJob(QueueJob("00000000000000ff", QUEUE, "", (SPEC,), 0, 0.0, 0.0, 0.0, "n"))
            ),
        ),
    ],
)
def test_malformed_record_does_not_end_every_term(key, value):
    """Guards against a record on which every new leader fails."""

    async def scenario(path):
        path.store.data.put(key, value)
        other = await hand_over(path)
        await path.until(lambda: path.entries[other].node.is_leading)
        term = path.entries[other].node._election.term
        await path.call("POST", JOB, job_body(), other)
        await path.until_state(JOB, "completed", other)
        assert path.entries[other].node._election.term is term

    # A lease that outlasts a process that does not run: only the record may end the term.
    run_scenario(scenario, leader_lease_ms=10_000)


@pytest.mark.parametrize("retention_s", [1.0, 3_600.0])
def test_changed_state_retention_applies_at_once(monkeypatch, retention_s):
    monkeypatch.setattr(finished_jobs, "WALL_CLOCK_ERROR_MS", -1_000.0)
    monkeypatch.setattr(finished_jobs, "PRUNE_INTERVAL_MS", 50.0)

    async def scenario(path):
        live = path.leader.node._live
        settings = live.current.model_dump()
        settings["queues"]["status_s"] = retention_s
        await path.call("POST", JOB, job_body())
        await path.until(lambda: f"nutmeglb/fin/{JOB}" in path.store.data.items)
        live._current = QueueSettings.model_validate(settings)
        await asyncio.sleep(0.4)
        kept = f"nutmeglb/fin/{JOB}" in path.store.data.items
        assert kept == (retention_s > 1.0)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("machine", "share"),
    [
        (MachineSection(), 0.0),
        (MachineSection(cpu_share=0.537, cores_shown=2, link_mbps=1_000.0), 0.0),
        (MachineSection(cpu_share=0.717, cores_shown=3, link_mbps=100.0), 0.0),
        (MachineSection(cpu_share=0.5, cores_shown=1, link_mbps=100.0), 0.5),
        (MachineSection(cpu_share=0.717, cores_shown=3, link_mbps=5.0), 0.8),
    ],
)
def test_weak_machines_campaign_later(machine, share):
    """Guards against a leader on a narrow link while stronger instances are idle.

    A burst at such a leader delays every order.
    """
    assert campaign_delay_ms(machine) == pytest.approx(share * MAX_CAMPAIGN_DELAY_MS)


def test_strong_instance_wins_the_election(monkeypatch):
    monkeypatch.setattr(election, "CAMPAIGN_JITTER_MS", 1.0)

    async def scenario(path):
        path.link_mbps = 1.0
        await path.add_entry("weak")
        path.link_mbps = 1_000.0
        strong = await path.add_entry("strong")
        await asyncio.sleep(0.3)
        await path.leader.node.drain(path.leader.frontend)
        await path.until(lambda: strong.node.is_leading)

    run_scenario(scenario, entries=1)
