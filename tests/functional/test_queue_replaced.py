"""Queues that the operator replaces while their jobs are kept."""

from tests.lib.queue_path import job_body, run_scenario

JOB = "00000000000000aa"


def test_job_of_a_queue_that_was_replaced_is_found():
    """Guards against accepted jobs that are answered 410 after a change (review, case 10)."""

    async def scenario(path):
        assert (await path.call("POST", JOB, job_body()))[0] == 200
        await path.until_state(JOB, "completed")
        (route,) = path.config["routes"]
        path.configure(routes=[{**route, "name": "r-9"}])
        other = "00000000000000ff"
        await path.until(lambda: path.entries[0].node.config.current.queues[0].name == "r-9")
        assert await path.call("GET", JOB) == (200, {"state": "completed"})
        assert (await path.call("POST", other, job_body()))[0] == 200
        await path.until_state(other, "completed")

    run_scenario(scenario)
