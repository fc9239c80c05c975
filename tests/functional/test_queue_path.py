"""End-to-end tests over the platform's protocol: acceptance, advice, runs, states, faults."""

import asyncio
from collections import Counter

import pytest

from nutmeglb._internal.queues import election
from nutmeglb_decisions.queues import pools
from nutmeglb_decisions.queues.verdicts import LoadView
from nutmeglb_formats.models.queues import queue_key
from standins.metadata_store import Fault
from tests.lib.queue_path import HOST, PREFIX, job_body, run_scenario

JOB = "00000000000000aa"


def test_job_runs_once_and_every_instance_reports_its_state():
    async def scenario(path):
        assert (await path.call("POST", JOB, job_body()))[0] == 200
        for entry in (0, 1):
            await path.until_state(JOB, "completed", entry)
        assert Counter(path.starts) == {
            (f"{JOB}.0.0.0", 1): 1,
            (f"{JOB}.0.0.1", 1): 1,
            (f"{JOB}.0.1.0", 1): 1,
        }
        assert (await path.call("GET", ""))[1] == {"pending": 0}

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "job_id", "host", "body", "status"),
    [
        ("POST", JOB, "other.example", {}, 404),
        ("POST", JOB, "q.example", {"steps": []}, 400),
        ("POST", JOB, "q.example", {"steps": [{"after": [0]}]}, 400),
        ("POST", "not-an-id", "q.example", None, 400),
        ("GET", JOB, "q.example", None, 410),
        ("GET", "not-an-id", "q.example", None, 410),
        ("DELETE", JOB, "q.example", None, 410),
    ],
)
def test_unusable_call_is_refused_and_starts_nothing(method, job_id, host, body, status):
    async def scenario(path):
        assert (await path.call(method, job_id, body, host=host))[0] == status
        assert not path.starts

    run_scenario(scenario, entries=1)


def test_repeated_submission_is_one_job_also_after_its_end():
    async def scenario(path):
        for entry in (0, 1):
            assert (await path.call("POST", JOB, job_body(), entry))[0] == 200
        await path.until_state(JOB, "completed")
        assert (await path.call("POST", JOB, job_body()))[0] == 200
        await asyncio.sleep(0.3)
        assert len(path.starts) == 3

    run_scenario(scenario)


def test_cancelled_job_stops_and_stays_cancelled():
    async def scenario(path):
        for runner in path.runners:
            runner.data.run_ms = 60_000.0
        await path.call("POST", JOB, job_body())
        await path.until(lambda: len(path.starts) == 2)
        assert (await path.call("DELETE", JOB, entry=1))[0] == 200
        await path.until(lambda: not any(runner.data.running for runner in path.runners))
        await path.until_state(JOB, "cancelled", 1)

    run_scenario(scenario)


def test_job_whose_task_fails_in_all_attempts_is_failed():
    async def scenario(path):
        for runner in path.runners:
            runner.data.failing = True
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "failed")
        assert max(Counter(task for task, _ in path.starts).values()) == 2

    run_scenario(scenario)


def test_lost_answer_of_a_start_does_not_start_the_task_twice():
    async def scenario(path):
        path.runners[0].data.lose_start_responses = 1
        path.runners[0].data.run_ms = 400.0
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")
        assert max(Counter(path.starts).values()) == 1

    run_scenario(scenario, runners=1)


def test_silent_worker_loses_its_tasks_after_its_lease():
    """Guards against renewals that extend the lease of a worker that no longer answers."""

    async def scenario(path):
        path.runners[0].data.run_ms = 60_000.0
        await path.call("POST", JOB, {"steps": [{"count": 1, "cpu": 100}]})
        await path.until(lambda: len(path.starts) == 1)
        path.runners[0].data.silent = True
        path.store.data.put("servers/w1", path.runners[1].entry("pool"))
        await path.until_state(JOB, "completed")
        assert path.runners[1].data.started == [(f"{JOB}.0.0.0", 2)]

    async def with_one_listed_worker(path):
        path.store.data.remove("servers/w1")
        await asyncio.sleep(0.3)
        await scenario(path)

    run_scenario(with_one_listed_worker)


def test_worker_is_polled_again_after_its_run_leases_have_expired():
    """Guards against a second run of a task that ended while its worker was unreachable.

    Also guards against a worker that is never used again.
    """

    async def scenario(path):
        (runner,) = path.runners
        runner.data.run_ms = 100.0
        body = job_body(steps=[{"count": 1, "cpu": 500, "estimate_ms": 100}])
        await path.call("POST", JOB, body)
        await path.until(lambda: len(path.starts) == 1)
        runner.data.silent = True
        await path.until(lambda: not path.leader.node._leader.cell.workers["w0"].runs)
        runner.data.silent = False
        await path.until_state(JOB, "completed")
        assert len(path.starts) == 1

    run_scenario(scenario, entries=1, runners=1)


def test_lost_call_for_advice_is_repeated():
    async def scenario(path):
        path.advice.unanswered_calls = 1
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")
        assert path.advice.calls > 1

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [Fault.REFUSE, Fault.SILENT, Fault.LATE])
def test_refused_submission_never_runs(fault):
    """Guards against a wrong refusal, since the write may still be applied late."""

    async def scenario(path):
        path.inject_store_fault(fault)
        status, _ = await path.call("POST", JOB, job_body())
        assert status in (503, 504)
        path.heal()
        await path.until_async(path.ready)
        await asyncio.sleep(0.5)
        state, _ = await path.call("GET", JOB)
        assert bool(path.starts) == (state == 200)
        if status == 503:
            assert state == 410
            assert (await path.call("POST", JOB, job_body()))[0] == 200
            await path.until_state(JOB, "completed")

    run_scenario(scenario)


def test_submission_whose_write_got_no_response_is_resolved():
    async def scenario(path):
        path.inject_store_fault(Fault.LOSE_ANSWERS)
        call = asyncio.create_task(path.call("POST", JOB, job_body()))
        await path.until(lambda: path.store.data.value(f"nutmeglb/in/{JOB}") is not None)
        path.heal()
        assert (await call)[0] == 200
        await path.until_state(JOB, "completed")
        assert max(Counter(path.starts).values()) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [Fault.LOSE_ANSWERS, Fault.SILENT, Fault.LATE])
def test_submission_with_unknown_outcome_is_resolved_within_its_deadline(fault):
    """The job is accepted once after a store outage of two seconds, without a second request."""

    async def scenario(path):
        path.inject_store_fault(fault)
        call = asyncio.create_task(path.call("POST", JOB, job_body()))
        await asyncio.sleep(1.9)
        path.heal()
        assert (await call)[0] == 200
        await path.until_state(JOB, "completed")
        assert max(Counter(path.starts).values()) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("finished", [True, False])
def test_repeated_submission_with_unknown_outcome_is_not_offered_again(finished):
    """Guards against a job that runs twice because its repetition is taken for a new job."""

    async def scenario(path):
        offered = []
        for runner in path.runners:
            runner.data.run_ms = 30.0 if finished else 60_000.0
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed" if finished else "running")
        for entry in path.entries:
            entry.node.service._offer = lambda job, revision: _record_offer(offered, job)
        path.inject_store_fault(Fault.LOSE_ANSWERS)
        path.leader.node.service._is_known = lambda job_id: asyncio.sleep(0, False)
        call = asyncio.create_task(path.call("POST", JOB, job_body()))
        await asyncio.sleep(0.4)
        path.heal()
        assert (await call)[0] == 200
        assert not offered

    run_scenario(scenario)


async def _record_offer(offered, job):
    offered.append(job)


def test_instances_are_unready_during_a_store_outage():
    async def scenario(path):
        await path.until_async(path.ready)
        path.inject_store_fault(Fault.REFUSE)
        await path.call("POST", JOB, job_body())
        assert not await path.ready()
        path.heal()
        await path.until_async(path.ready)

    run_scenario(scenario)


def test_next_leader_finishes_jobs_that_the_former_one_started():
    async def scenario(path):
        for runner in path.runners:
            runner.data.run_ms = 700.0
        await path.call("POST", JOB, job_body())
        await path.until(lambda: len(path.starts) == 2)
        former = path.leader
        await former.node.drain(former.frontend)
        other = next(n for n, entry in enumerate(path.entries) if entry is not former)
        await path.until(lambda: path.entries[other].node.is_leading)
        await path.until_state(JOB, "completed", other)
        assert max(Counter(task for task, _ in path.starts).values()) == 1

    run_scenario(scenario)


def test_job_accepted_without_a_leader_runs_later():
    """Guards against an accepted job of which no leader was notified."""

    async def scenario(path):
        former = path.leader
        other = next(n for n, entry in enumerate(path.entries) if entry is not former)
        await former.node.drain(former.frontend)
        assert (await path.call("POST", JOB, job_body(), entry=other))[0] == 200
        await path.until_state(JOB, "completed", other)

    run_scenario(scenario)


def test_configuration_is_read_after_the_store_drops_its_history():
    async def scenario(path):
        path.store.data.put("op/config", b'{"version": 2, "routes": []}')
        path.store.data.compact_history()

        async def dropped():
            return (await path.call("GET", JOB))[0] == 404

        await path.until_async(dropped)

    run_scenario(scenario)


def test_dropped_history_does_not_flood_the_store_with_watches():
    """Guards against a watch that repeatedly starts before the store's history."""

    async def scenario(path):
        path.store.data.put("nutmeglb/other", b"1")
        path.store.data.compact_history()
        await asyncio.sleep(0.2)
        calls = sum(own_store.calls for own_store in path.own_stores)
        await asyncio.sleep(0.5)
        # Two idle instances make about 25 calls in this time.
        assert sum(own_store.calls for own_store in path.own_stores) - calls < 60

    run_scenario(scenario)


@pytest.mark.parametrize(
    "value", [b"\xff\xfe", b"{}", b'{"backend": 1}', b'{"backend": "pool", "state": "odd"}']
)
def test_malformed_worker_entry_is_ignored(value):
    async def scenario(path):
        path.store.data.put("servers/odd", value)
        await asyncio.sleep(0.3)
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")

    run_scenario(scenario)


def test_leader_that_alone_loses_the_store_steps_down_at_once():
    """Guards against seconds without a leader until the lease expires."""

    async def scenario(path):
        former = path.leader
        number = path.entries.index(former)
        await path.until(lambda: former.node.followers == 1)
        path.own_stores[number].fault = Fault.REFUSE
        path.store.data.leases = {
            lease: (60.0, until_s + 60.0) for lease, (_, until_s) in path.store.data.leases.items()
        }
        await path.until(lambda: path.entries[1 - number].node.is_leading)
        assert not former.node.is_leading

    run_scenario(scenario)


def test_followers_replace_a_leader_that_falls_silent(monkeypatch):
    """Guards against followers that keep a failed leader while their connection stays open."""
    monkeypatch.setattr(election, "CONNECTED_CHECK_MS", 60_000.0)

    async def scenario(path):
        former = path.leader
        number = path.entries.index(former)
        await path.until(lambda: former.node.followers == 1)
        former.node._links._callbacks.is_partitioned = lambda link: True
        path.own_stores[number].fault = Fault.SILENT
        await path.until(lambda: path.entries[1 - number].node.is_leading)

    run_scenario(scenario)


def test_repeated_submission_is_not_refused_during_a_store_outage():
    """Guards against reporting an accepted job as never run to its caller."""

    async def scenario(path):
        number = path.entries.index(path.leader)
        assert (await path.call("POST", JOB, job_body(), number))[0] == 200
        path.inject_store_fault(Fault.REFUSE)
        assert (await path.call("POST", "00000000000000bb", job_body(), number))[0] == 503
        assert (await path.call("POST", JOB, job_body(), number))[0] == 200

    run_scenario(scenario)


def test_repeated_submission_is_not_refused_before_the_leader_knows_the_job():
    """Guards against a refusal of an accepted job of which no instance notified the leader.

    The instance that accepted the job may be lost before it does so.
    """

    async def scenario(path):
        other = path.entries[path.entries.index(path.leader) ^ 1].node.service
        other._offer = lambda job, revision: asyncio.sleep(0)
        number = path.entries.index(path.leader) ^ 1
        assert (await path.call("POST", JOB, job_body(), number))[0] == 200
        other._load_view = lambda: LoadView({queue_key(HOST, PREFIX): 1_000.0})
        assert (await path.call("POST", JOB, job_body(), number))[0] == 200
        assert (await path.call("POST", "00000000000000bb", job_body(), number))[0] == 503

    run_scenario(scenario)


def test_job_that_no_worker_can_run_is_refused_at_once(monkeypatch):
    monkeypatch.setattr(pools, "POOL_RETENTION_MS", 200.0)

    async def scenario(path):
        await asyncio.sleep(1.5)
        for entry in (0, 1):
            body = job_body(steps=[{"count": 1, "requires": "absent"}])
            assert (await path.call("POST", f"00000000000000a{entry}", body, entry))[0] == 503
            body = job_body(steps=[{"count": 1, "cpu": 900_000}])
            assert (await path.call("POST", f"00000000000000b{entry}", body, entry))[0] == 503
            assert (await path.call("POST", f"00000000000000c{entry}", job_body(), entry))[0] == 200

    run_scenario(scenario)
