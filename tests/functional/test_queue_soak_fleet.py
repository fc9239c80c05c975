"""Processes of workers that are stopped accept connections and answer nothing until they go on.

Guards against a soak whose stopped workers are still served, or refuse connections.
"""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from scripts.queue_soak_fleet import FleetProcesses
from scripts.queue_soak_stops import merge_events, stop_spans
from standins.worker_fleet_state import SHARED

TASK = "00000000000000aa.0.0.0"
SPEC = json.dumps({"steps": [{"cpu": 100, "mem_mb": 10, "work_ms": 1_000}]})
STOP_S = 2.0


async def send(method, url, body, timeout_s):
    request = HTTPRequest(
        url,
        method=method,
        body=None if body is None else json.dumps(body),
        request_timeout=timeout_s,
    )
    response = await AsyncHTTPClient().fetch(request, raise_error=False)
    return json.loads(response.body or b"null")


def run_scenario(tmp_path, clock, scenario):
    async def main():
        arguments = ["--instances=1", "--seed=1", f"--clock={clock}"]
        processes = FleetProcesses(tmp_path, [2, 1, 2], arguments)
        try:
            await processes.start()
            async with asyncio.timeout(30.0):
                await scenario(processes)
            await processes.stop()
        finally:
            processes.kill()
        records = [
            [json.loads(line) for line in process.record_file.read_text().splitlines()]
            for process in processes.all
        ]
        return merge_events([*records, processes.signals])

    return asyncio.run(main())


@pytest.mark.parametrize(("clock", "ends_late"), [("runs on", False), ("stands still", True)])
def test_stopped_worker_does_everything_after_the_stop(tmp_path, clock, ends_late):
    async def scenario(processes):
        entries = await processes.call(send, "GET", "/entries", None)
        assert [SHARED in entries[each]["labels"] for each in sorted(entries)] == [
            False, False, False, True, True,
        ]  # fmt: skip
        url = f"http://{entries['p1w00']['address']}/v1"
        clock_ms = (await send("POST", f"{url}/hold", {"last_seen": 0}, 5.0))["clock_ms"]
        start = {"task": TASK, "run": 1, "spec": SPEC, "deadline_ms": clock_ms + 8_000}
        assert "reason" not in await send("POST", f"{url}/run-start", start, 5.0)
        processes.pause(processes.stoppable[0])
        # Both of the calls are sent over new connections.
        late = start | {"run": 2, "deadline_ms": clock_ms + 1_500}
        waiting = [
            asyncio.create_task(send("POST", f"{url}/{name}", body, 10.0))
            for name, body in (("run-start", late), ("hold", {"last_seen": 0}))
        ]
        await asyncio.sleep(STOP_S)
        assert not any(each.done() for each in waiting)
        entries = await processes.call(send, "GET", "/entries", None)
        assert sorted(entries) == ["p2w00", "p2w01", "w00", "w01"]
        processes.resume(processes.stoppable[0])
        answers = await asyncio.gather(*waiting)
        assert answers[0].get("reason") == (None if ends_late else "late")
        while not (await send("POST", f"{url}/hold", {"last_seen": 0}, 5.0))["finished"]:
            await asyncio.sleep(0.02)

    events = run_scenario(tmp_path, clock, scenario)
    ((_, resumed_s),) = stop_spans(events)["p1"]
    resumes = [event for event in events if event["event"] == "resume"]
    assert [(event["process"], event["t"]) for event in resumes] == [("p1", resumed_s)]
    ended_s = next(e["t"] for e in events if e["event"] == "end" and e["worker"] == "p1w00")
    assert (ended_s > resumed_s + 0.1) == ends_late
    assert ended_s >= resumed_s


def test_starved_process_answers_in_its_short_turns_and_counts_as_running(tmp_path):
    async def scenario(processes):
        entries = await processes.call(send, "GET", "/entries", None)
        starving = asyncio.create_task(processes.starve(processes.stoppable[0], 2.0, lambda: 0.2))
        url = f"http://{entries['p1w00']['address']}/v1/hold"
        answered = 0
        while not starving.done():
            answered += "clock_ms" in await send("POST", url, {"last_seen": 0}, 5.0)
        assert 2 <= answered <= 200

    events = run_scenario(tmp_path, "any", scenario)
    assert not any(event["event"] in ("resume", "process_stop") for event in events)
    assert not any(stop_spans(events).values())
