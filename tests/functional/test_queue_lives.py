"""Workers that restart under the same id, over the platform's protocol."""

import asyncio
from collections import Counter

import pytest

from tests.lib.queue_path import job_body, run_scenario

JOB = "00000000000000aa"
OTHER = "00000000000000bb"
# Longer than a poll of an unknown or idle worker takes, so that its report comes first.
ENTRY_DELAY_S = 0.5


def list_entry(path, runner, now):
    """Write the entry of a restarted worker, now or only after its first report."""

    def put():
        path.store.data.put("servers/w0", runner.entry("pool"))

    asyncio.get_running_loop().call_later(0.0 if now else ENTRY_DELAY_S, put)


@pytest.mark.parametrize("born", [2_000, 500])
@pytest.mark.parametrize("run_ms", [10.0, 500.0])
@pytest.mark.parametrize("listed", [True, False])
def test_tasks_run_once_on_a_worker_that_has_come_back(born, run_ms, listed):
    """Guards against a second run of a task whose end is ignored, as its number is already known.

    The leader has read ends from before the restart, and after it they are numbered from 1 again.
    It may learn of the restart from a report first.
    """

    async def scenario(path):
        (runner,) = path.runners
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")
        runner.data.restart(born, asyncio.get_running_loop().time())
        runner.data.run_ms = run_ms
        list_entry(path, runner, listed)
        await path.call("POST", OTHER, job_body())
        await path.until_state(OTHER, "completed")
        assert max(Counter(task for task, _ in path.starts).values()) == 1

    run_scenario(scenario, entries=1, runners=1)


@pytest.mark.parametrize("born", [2_000, 500])
@pytest.mark.parametrize("listed", [True, False])
def test_tasks_of_a_former_incarnation_start_again(born, listed):
    """Guards against a job that waits forever because the restart of its worker went unnoticed."""

    async def scenario(path):
        (runner,) = path.runners
        runner.data.run_ms = 60_000.0
        await path.call("POST", JOB, job_body())
        await path.until(lambda: len(path.starts) == 2)
        runner.data.restart(born, asyncio.get_running_loop().time())
        runner.data.run_ms = 30.0
        list_entry(path, runner, listed)
        await path.until_state(JOB, "completed")
        assert max(Counter(task for task, _ in path.starts).values()) == 2

    run_scenario(scenario, entries=1, runners=1)
