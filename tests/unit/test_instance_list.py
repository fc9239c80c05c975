"""Instance list: guards against losing the last valid list and against partly applied lists."""

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest
from result import Err
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from nutmeglb._internal.discovery.instance_list import PolledInstanceList, parse_list
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.instances import Instance, InstanceRole, InstanceState
from standins.instance_list import ListState, make_app
from tests.lib.metrics import RecordingMetrics
from tests.lib.peers import eventually, peer_settings


def target_group(instance: str, role: str = "worker", **labels: str) -> dict[str, object]:
    base = {"role": role, "failure_domain": "a", "instance": instance}
    return {"targets": [f"{instance}:1"], "labels": base | labels}


@pytest.mark.parametrize(
    "groups",
    [
        "not a list",
        [{"targets": [], "labels": target_group("w1")["labels"]}],
        [target_group("w1", role="unknown")],
        [target_group("w1", state="unknown")],
        [target_group("w1", failure_domain="")],
        [target_group("w1"), target_group("w1")],
    ],
)
def test_invalid_list_is_refused_as_a_whole(groups: object) -> None:
    assert isinstance(parse_list(json.dumps(groups).encode()), Err)


def test_unknown_labels_are_ignored() -> None:
    result = parse_list(json.dumps([target_group("w1", rack="r1", __meta_x="y")]).encode())
    expected = Instance("w1", InstanceRole.WORKER, "a", "w1:1", rack="r1")
    assert result.unwrap() == (expected,)


Scenario = Callable[[PolledInstanceList, Callable[..., Awaitable[None]]], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def main() -> None:
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(make_app(ListState()))
        server.add_sockets(sockets)
        base = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

        async def post(path: str, body: object) -> None:
            await AsyncHTTPClient().fetch(base + path, method="POST", body=json.dumps(body))

        await post(
            "/control",
            {"put": [target_group("w1"), target_group("e1", role="endpoint", service="s")]},
        )
        settings = peer_settings("a1", "a").model_dump()
        settings["platform"] = {"list_url": f"{base}/list", "poll_ms": 50}
        settings = peer_settings("a1", "a").model_validate(settings)
        polled_list = PolledInstanceList(settings, Clock(), RecordingMetrics())
        await polled_list.start()
        try:
            await asyncio.wait_for(scenario(polled_list, post), 60)
        finally:
            await polled_list.stop()
            server.stop()

    asyncio.run(main())


def test_changes_are_notified_and_leaving_state_is_reported() -> None:
    async def scenario(
        polled_list: PolledInstanceList, post: Callable[..., Awaitable[None]]
    ) -> None:
        assert [i.instance_id for i in polled_list.instances(InstanceRole.ENDPOINT)] == ["e1"]
        changes: list[int] = []
        polled_list.subscribe(lambda: changes.append(1))
        await post("/control", {"leaving": ["worker/w1"]})
        await eventually(lambda: bool(changes))
        assert polled_list.instances(InstanceRole.WORKER)[0].state is InstanceState.LEAVING
        await post("/control", {"remove": ["worker/w1"]})
        await eventually(lambda: not polled_list.instances(InstanceRole.WORKER))

    run(scenario)


@pytest.mark.parametrize("fault", [{"refuse": True}, {"cut": ["a1"]}, {"stale": True}])
def test_last_valid_list_is_kept_during_an_outage(fault: dict[str, object]) -> None:
    async def scenario(
        polled_list: PolledInstanceList, post: Callable[..., Awaitable[None]]
    ) -> None:
        await post("/faults", fault)
        await post("/control", {"remove": ["worker/w1"]})
        await asyncio.sleep(0.2)
        assert len(polled_list.instances(InstanceRole.WORKER)) == 1
        await post("/faults", {})
        await eventually(lambda: not polled_list.instances(InstanceRole.WORKER))

    run(scenario)
