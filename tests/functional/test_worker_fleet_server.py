"""The process of the worker fleet shows crashes, returns and changes of capacity to its callers.

Guards against a soak that passes because a crashed worker still answers.
"""

import argparse
import asyncio
import io
import json

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from standins import worker_fleet_server
from standins.advice_book import is_approved
from standins.worker_fleet_server import FleetServer

TASK = "00000000000000aa.0.0.0"
SPEC = json.dumps({"steps": [{"cpu": 100, "mem_mb": 10, "work_ms": 60_000, "crash": [0]}]})
NO_RESPONSE = 599


async def call(address, path, body=None, expected=None):
    """Send a call and return status and content."""
    request = HTTPRequest(
        f"http://{address}{path}",
        method="GET" if body is None else "POST",
        headers={"Expect-Instance": expected} if expected else {},
        body=None if body is None else json.dumps(body),
    )
    try:
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return NO_RESPONSE, None
    return response.code, json.loads(response.body or b"null")


def run_scenario(scenario, monkeypatch, new_id_share=0.5):
    monkeypatch.setattr(worker_fleet_server, "RETURN_S", (0.3, 0.3))
    arguments = argparse.Namespace(
        workers=2, instances=1, seed=1, listed_stopping_share=0.5, kind_change_share=0.0,
        late_calls_cross_lives=1, new_id_share=new_id_share, process="", clock="any",
    )  # fmt: skip

    async def main():
        server = FleetServer(arguments, io.StringIO())
        addresses = await server.start()
        task = asyncio.create_task(server.run())
        try:
            async with asyncio.timeout(20.0):
                await scenario(addresses["control"], *addresses["advice"])
        finally:
            task.cancel()

    asyncio.run(main())


async def entries(control):
    return (await call(control, "/entries"))[1]


@pytest.mark.parametrize("new_id_share", [0.0, 1.0])
def test_crashed_worker_refuses_connections_and_is_back_at_its_address(monkeypatch, new_id_share):
    async def scenario(control, advice):
        entry = (await entries(control))["w00"]
        address = entry["address"]
        clock_ms = (await call(address, "/v1/hold", {"last_seen": 0, "fence_token": 9}))[1]
        start = {
            "task": TASK, "run": 1, "spec": SPEC, "fence_token": 9,
            "deadline_ms": clock_ms["clock_ms"] + 5_000,
        }  # fmt: skip
        assert (await call(address, "/v1/run-start", start, "w00"))[0] == 200
        while "w00" in await entries(control):
            await asyncio.sleep(0.005)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address.split(":"))
        while len(await entries(control)) < 2:
            await asyncio.sleep(0.01)
        (name,) = [n for n, e in (await entries(control)).items() if e["address"] == address]
        assert name == ("w00-2" if new_id_share else "w00")
        hold = {"last_seen": 0, "fence_token": 1}
        status, report = await call(address, "/v1/hold", hold, "w00")
        assert status == (421 if new_id_share else 200)
        assert report["born"] > entry["born"]
        status, report = await call(address, "/v1/hold", hold, name)
        assert (status, report["running"], report["finished"]) == (200, [], [])

    run_scenario(scenario, monkeypatch, new_id_share)


def test_entry_shows_a_changed_capacity(monkeypatch):
    async def scenario(control, advice):
        for cpu in (700, 9_000):
            await call(control, "/resize", {"worker": "w01", "cpu": cpu, "mem_mb": 64})
            capacity = (await entries(control))["w01"]["capacity"]
            assert capacity == {"cpu": cpu, "mem_mb": 64, "gpu": 0}
        assert (await call(control, "/resize", {"worker": "x", "cpu": 1, "mem_mb": 1}))[0] == 200

    run_scenario(scenario, monkeypatch)


def test_advice_is_given_in_turn_and_refused_when_too_many_calls_wait(monkeypatch):
    monkeypatch.setattr(worker_fleet_server, "MAX_WAITING", 3)

    async def scenario(control, advice):
        body = {"step": "00000000000000aa.0.0", "workers": ["w00", "w01", "gone"]}
        calls = [call(advice, "/v1/advise", body) for _ in range(5)]
        answers = await asyncio.gather(*calls)
        assert sorted(status for status, _ in answers) == [200, 200, 200, 429, 429]
        for content in [content for status, content in answers if status == 200]:
            approved = [worker for worker, _ in content["good"]]
            assert approved == [w for w in ("w00", "w01") if is_approved(body["step"], w)]

    run_scenario(scenario, monkeypatch)
