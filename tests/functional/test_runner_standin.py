"""The stand-in of a runner follows the platform's protocol.

Guards against tests that pass because the stand-in accepts an order that a runner refuses.
"""

import asyncio

import pytest
from result import Ok

from nutmeglb_platform.http import HttpCaller
from standins.runner import RunnerStandin

TASK = "00000000000000aa.0.0.0"


def run_scenario(scenario):
    async def main():
        runner, caller = RunnerStandin(), HttpCaller(4)
        await runner.start()
        runner.data.run_ms = 60_000.0

        async def call(name, **fields):
            body = {"task": TASK, "run": 1, "fence_token": 7, **fields}
            answer = await caller.call("POST", f"http://{runner.address}/v1/{name}", 1_000.0, body)
            assert isinstance(answer, Ok)
            return answer.ok_value.status, answer.ok_value.body

        async def start(run):
            status, body = await call("run-start", run=run, spec="text", deadline_ms=1e9)
            return status, body.get("reason")

        try:
            await scenario(runner.data, call, start)
        finally:
            caller.close()
            await runner.stop()

    asyncio.run(main())


@pytest.mark.parametrize("was_started", [True, False])
def test_stopped_run_and_lower_ones_stay_refused_after_the_end_is_acknowledged(was_started):
    async def scenario(data, call, start):
        if was_started:
            assert await start(2) == (200, None)
        assert (await call("run-stop", run=2))[0] == 200
        report = (await call("hold", last_seen=0))[1]
        assert report["finished"] == [[1, TASK, 2, "stopped", ""]]
        assert (await call("hold", last_seen=1))[1]["finished"] == []
        for run in (1, 2):
            assert await start(run) == (409, "old")
        assert await start(3) == (200, None)
        data.restart(2_000, asyncio.get_running_loop().time())
        assert await start(1) == (200, None)

    run_scenario(scenario)


def test_ended_run_stays_refused_after_its_end_is_acknowledged():
    async def scenario(data, call, start):
        data.run_ms = 0.0
        assert await start(1) == (200, None)
        assert (await call("hold", last_seen=0))[1]["finished"] == [[1, TASK, 1, "done", ""]]
        assert (await call("hold", last_seen=1))[1]["finished"] == []
        assert await start(1) == (409, "old")

    run_scenario(scenario)


def test_pace_changes_a_run_and_returns_no_report():
    async def scenario(data, call, start):
        await start(1)
        status, answer = await call("pace", percent=40)
        assert status == 200
        assert "running" not in answer
        ((task, run, _, percent, _),) = (await call("hold", last_seen=0))[1]["running"]
        assert (task, run, percent) == (TASK, 1, 40)

    run_scenario(scenario)
