"""Cancellations of jobs whose submission got no answer from the store and takes effect late."""

import pytest

from standins.metadata_store import Fault
from tests.lib.queue_path import (
    OTHER_PREFIX,
    OTHER_ROUTE,
    PREFIX,
    ROUTE,
    job_body,
    run_scenario,
)

JOB = "00000000000000aa"
MARKER = "00000000000000ff"
TEAMS = [{"name": "one", "api_keys": ["k1"]}, {"name": "two", "api_keys": ["k2"]}]


def followers(path):
    """Return the numbers of the instances that do not lead."""
    return [number for number, entry in enumerate(path.entries) if not entry.node.is_leading]


async def submit_in_doubt(path, key=""):
    """Submit the job at an instance whose writes take effect late. Return its number."""
    number = followers(path)[0]
    path.own_stores[number].fault = Fault.LATE
    assert (await path.call("POST", JOB, job_body(), number, key=key))[0] == 504
    return number


async def run_marker(path, key=""):
    """Run another job, by whose end the leader has read all that was stored before."""
    assert (await path.call("POST", MARKER, job_body(), key=key))[0] == 200
    await path.until_state(MARKER, "completed", key=key)


def was_started(path):
    return any(task.startswith(JOB) for task, _ in path.starts)


@pytest.mark.parametrize("repeats_before", [False, True], ids=["", "repeated before the write"])
def test_cancelled_job_does_not_run_by_a_late_write_of_its_submission(repeats_before):
    """Guards against a job that runs after its cancelling was answered 410 (review, case 8)."""

    async def scenario(path):
        in_doubt = await submit_in_doubt(path)
        entries = [number for number in range(3) if number != in_doubt]
        assert (await path.call("DELETE", JOB, entry=entries[0]))[0] == 410
        if repeats_before:
            for entry in entries:
                assert (await path.call("POST", JOB, job_body(), entry))[0] == 410
        path.heal()
        await run_marker(path)
        for entry in range(3):
            assert (await path.call("GET", JOB, entry=entry))[0] == 410
            assert (await path.call("POST", JOB, job_body(), entry))[0] == 410
            assert (await path.call("DELETE", JOB, entry=entry))[0] == 410
        assert not was_started(path)

    run_scenario(scenario, entries=3)


def test_submission_that_is_being_repeated_does_not_undo_a_cancellation():
    """Guards against an instance that still retries a submission when its job is cancelled."""

    async def scenario(path):
        number, other = followers(path)
        path.own_stores[number].fault = Fault.SILENT
        submission = path.call("POST", JOB, job_body(), number)
        answer = path.background(submission)
        await path.until(lambda: not path.entries[number].node.ready)
        assert (await path.call("DELETE", JOB, entry=other))[0] == 410
        path.heal()
        assert (await answer)[0] == 410
        await run_marker(path)
        assert not was_started(path)

    run_scenario(scenario, entries=3)


def test_job_that_was_submitted_again_before_its_cancellation_is_cancelled():
    async def scenario(path):
        number = await submit_in_doubt(path)
        other = next(entry for entry in range(3) if entry != number)
        path.runners[0].data.run_ms = path.runners[1].data.run_ms = 60_000.0
        assert (await path.call("POST", JOB, job_body(), other))[0] == 200
        assert (await path.call("DELETE", JOB, entry=other))[0] == 200
        path.heal()
        for entry in range(3):
            await path.until_state(JOB, "cancelled", entry)

    run_scenario(scenario, entries=3)


@pytest.mark.parametrize(
    ("prefix", "key"), [(OTHER_PREFIX, "k1"), (PREFIX, "k2")], ids=["address", "team"]
)
def test_cancellation_at_another_address_or_by_another_team_bars_nothing(prefix, key):
    """Guards against a submission that is barred by callers whom the job does not concern."""

    async def scenario(path):
        number = await submit_in_doubt(path, key="k1")
        other = next(entry for entry in range(3) if entry != number)
        assert (await path.call("DELETE", JOB, entry=other, prefix=prefix, key=key))[0] == 410
        path.heal()
        await path.until_state(JOB, "completed", other, key="k1")

    run_scenario(scenario, entries=3, config={"routes": [ROUTE, OTHER_ROUTE], "tenants": TEAMS})


@pytest.mark.parametrize(("fault", "status"), [(Fault.LOSE_ANSWERS, 504), (Fault.REFUSE, 503)])
def test_cancellation_that_is_not_confirmed_is_not_acknowledged(fault, status):
    """Guards against 410 while the submission may still take effect."""

    async def scenario(path):
        await submit_in_doubt(path)
        canceller = followers(path)[1]
        path.own_stores[canceller].fault = fault
        assert (await path.call("DELETE", JOB, entry=canceller))[0] == status
        path.own_stores[canceller].heal()
        assert (await path.call("DELETE", JOB, entry=canceller))[0] == 410
        path.heal()
        await run_marker(path)
        assert not was_started(path)

    run_scenario(scenario, entries=3)
