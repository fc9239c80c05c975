"""Stops of runs that take their time on the worker."""

import asyncio

from tests.lib.queue_path import job_body, run_scenario

JOB = "00000000000000aa"
# A run of a job that the leader does not know, such as one that a former leader started.
STRAY_RUN = ("00000000000000bb.0.0.0", 1)
OBSERVED_S = 0.5
MAX_STOPS = 8


def test_run_that_is_slow_to_stop_gets_few_stop_orders():
    """Guards against a report and a stop order per round trip until the run has ended."""

    async def scenario(path):
        data = path.runners[0].data
        end_run, stops = data.end_run, []

        def end_run_late(key, outcome):
            if key == STRAY_RUN and outcome == "stopped":
                stops.append(key)
                return
            end_run(key, outcome)

        data.end_run = end_run_late
        data.run_ms = 200.0
        await path.call("POST", JOB, job_body(steps=[{"count": 1, "cpu": 500}]))
        await path.until(lambda: len(path.starts) == 1)
        data.running[STRAY_RUN] = asyncio.get_running_loop().time() + 60.0
        await path.until(lambda: bool(stops))
        await asyncio.sleep(OBSERVED_S)
        assert STRAY_RUN in data.running
        assert 2 <= len(stops) <= MAX_STOPS

        # Its end is noticed at once.
        data.end_run = end_run
        await path.until(lambda: STRAY_RUN not in data.running)
        worker = path.leader.node._leader.cell.workers["w0"]
        await path.until(lambda: not worker.stray_runs)

    run_scenario(scenario, entries=1, runners=1)
