"""Request path over real sockets: guards against wrong outcomes and swapped responses."""

import asyncio
import gzip
import json
import socket
from dataclasses import replace

import pytest

from tests.lib.routing import SERVICE, Cell, eventually, outcome_of, run_in_cell

ONE_DOMAIN = {"a": 2}


def _closed_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.mark.parametrize("instance", ["a0", "a1"])
@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"])
def test_request_reaches_the_endpoint_unchanged(instance: str, method: str) -> None:
    body = "payload" if method in ("POST", "PUT", "PATCH") else None

    async def test(cell: Cell) -> None:
        extra = {"body": body} if body else {}
        response = await cell.call(
            instance, "/p/%2E%2E/q?a=%20b", method, X_Marker="m1", X_Other="o", **extra
        )
        assert response.code == 200
        assert response.headers["X-Request-Outcome"] == "answered"
        if method != "HEAD":
            content = json.loads(response.body)
            assert content["path"] == "/p/%2E%2E/q?a=%20b"
            assert (content["method"], content["marker"]) == (method, "m1")
            assert content["headers"]["x-other"] == "o"
            assert content["body_bytes"] == len(body or "")
        assert len(cell.runs("m1")) == 1

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


@pytest.mark.parametrize(
    ("fault", "idempotent", "expected", "runs"),
    [
        ("close", "false", (504, "unknown", "exchange_failed"), 1),
        ("truncate", "false", (504, "unknown", "exchange_failed"), 1),
        ("garbage", "false", (504, "unknown", "exchange_failed"), 1),
        ("endless", "false", (504, "unknown", "response_without_length"), 1),
        ("mixed", "false", (504, "unknown", "response_of_another_request"), 1),
        ("freeze", "false", (504, "unknown", "too_late"), 1),
        ("fail", "false", (500, "answered", ""), 1),
        ("close", "true", (504, "unknown", "exchange_failed"), 3),
        ("truncate", "true", (504, "unknown", "exchange_failed"), 3),
        ("fail", "true", (500, "answered", ""), 3),
        ("redirect", "false", (302, "answered", ""), 1),
    ],
)
def test_endpoint_fault_has_the_expected_outcome(
    fault: str, idempotent: str, expected: tuple[int, str, str], runs: int
) -> None:
    async def test(cell: Cell) -> None:
        response = await cell.call(
            "a1",
            method="POST",
            body="x",
            X_Fault=fault,
            X_Marker="m",
            X_Idempotent=idempotent,
            X_Request_Timeout_Ms="1000",
        )
        assert outcome_of(response) == expected
        assert len(cell.runs("m")) == runs

    run_in_cell(test, ONE_DOMAIN, {"a": 3})


def test_body_is_not_decompressed() -> None:
    async def test(cell: Cell) -> None:
        response = await cell.call("a0", X_Fault="gzip", X_Marker="m")
        assert response.headers["Content-Encoding"] == "gzip"
        assert json.loads(gzip.decompress(response.body))["marker"] == "m"

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


@pytest.mark.parametrize("instance", ["a0", "a1"])
def test_refused_connection_is_retried_elsewhere(instance: str) -> None:
    async def test(cell: Cell) -> None:
        await cell.add_endpoint("a-dead", "a", _closed_address())
        for number in range(6):
            response = await cell.call(instance, method="POST", body="x", X_Marker=f"m{number}")
            assert outcome_of(response) == (200, "answered", "")
            assert len(cell.runs(f"m{number}")) == 1

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


def test_unreachable_endpoints_mean_not_run() -> None:
    async def test(cell: Cell) -> None:
        await cell.add_endpoint("a-dead", "a", _closed_address())
        response = await cell.call("a1", method="POST", body="x", X_Request_Timeout_Ms="500")
        assert outcome_of(response)[:2] == (503, "not-run")
        assert not cell.runs()

    run_in_cell(test, ONE_DOMAIN, {})


def test_every_caller_receives_its_own_answer_within_the_slots() -> None:
    """Guards G1 and G3 with more callers than slots and responses that arrive out of order."""

    async def test(cell: Cell) -> None:
        async def send_one(number: int) -> None:
            faults = {3: "truncate", 5: "mixed", 7: "close"}
            extra = {"X_Fault": faults[number % 10]} if number % 10 in faults else {}
            marker = f"m{number}"
            response = await cell.call(
                f"a{number % 2}",
                method="POST",
                body="x" * number,
                X_Marker=marker,
                X_Run_Ms=str(1 + number * 7 % 20),
                X_Request_Timeout_Ms="15000",
                **extra,
            )
            assert len(cell.runs(marker)) == 1
            if response.headers["X-Request-Outcome"] == "answered":
                content = json.loads(response.body)
                assert (content["marker"], content["body_bytes"]) == (marker, number)
                assert response.headers["X-Request-Id"] == content["request_id"]
            else:
                assert extra

        await asyncio.gather(*(send_one(number) for number in range(1, 120)))
        for endpoint in cell.endpoints.values():
            assert endpoint.record.peak_running <= SERVICE.slots
            assert endpoint.record.peak_connections <= SERVICE.connections

    run_in_cell(test, ONE_DOMAIN, {"a": 2})


@pytest.mark.parametrize(
    ("path", "headers", "expected"),
    [
        ("/x", {"X_Request_Class": "vip"}, (400, "not-run", "X-Request-Class is invalid")),
        ("/x", {"X_Request_Timeout_Ms": "-1"}, (400, "not-run", "X-Request-Timeout-Ms is invalid")),
        (
            "/x",
            {"X_Request_Timeout_Ms": "nan"},
            (400, "not-run", "X-Request-Timeout-Ms is invalid"),
        ),
        ("/x", {"X_Idempotent": "perhaps"}, (400, "not-run", "X-Idempotent is invalid")),
        ("/x", {"Idempotency_Key": "k" * 300}, (400, "not-run", "Idempotency-Key is too long")),
        ("-else/x", {}, (404, "not-run", "unknown_service")),
    ],
)
def test_invalid_request_is_refused(
    path: str, headers: dict[str, str], expected: tuple[int, str, str]
) -> None:
    async def test(cell: Cell) -> None:
        assert outcome_of(await cell.call("a1", path, **headers)) == expected
        assert not cell.runs()

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


@pytest.mark.parametrize("size", [1_001, 100_000])
def test_oversized_request_body_is_refused(size: int) -> None:
    async def test(cell: Cell) -> None:
        response = await cell.call("a1", method="POST", body="x" * size)
        assert outcome_of(response) == (413, "not-run", "body_too_large")
        assert not cell.runs()

    run_in_cell(test, ONE_DOMAIN, {"a": 1}, body_limit_bytes=1_000)


def test_oversized_response_is_not_passed_on() -> None:
    async def test(cell: Cell) -> None:
        response = await cell.call("a1", X_Marker="m" * 2_000)
        assert outcome_of(response)[:2] == (504, "unknown")

    run_in_cell(test, ONE_DOMAIN, {"a": 1}, body_limit_bytes=1_000)


@pytest.mark.parametrize("announced", [True, False])
def test_leaving_endpoint_receives_nothing_new(announced: bool) -> None:
    async def test(cell: Cell) -> None:
        endpoint = cell.endpoints["a-ep0"]
        if announced:
            endpoint.behaviour.leaving = True
            for _ in range(4):
                await cell.call("a1")
            await eventually(lambda: len(endpoint.record.runs) > 0)
        else:
            cell.set_leaving("a-ep0")
        before = len(endpoint.record.runs)
        responses = await asyncio.gather(*(cell.call(f"a{n % 2}") for n in range(20)))
        assert {outcome_of(response) for response in responses} == {(200, "answered", "")}
        assert len(endpoint.record.runs) == before

    run_in_cell(test, ONE_DOMAIN, {"a": 2})


def test_idempotency_key_runs_once_and_repeats_the_answer() -> None:
    async def test(cell: Cell) -> None:
        calls = [
            cell.call(f"{domain}{n}", method="POST", body="x", Idempotency_Key="k", X_Run_Ms="50")
            for domain in "ab"
            for n in (0, 1)
        ]
        first = await asyncio.gather(*calls)
        outcomes = sorted(outcome_of(response)[:2] for response in first)
        assert outcomes == [(200, "answered")] + [(409, "not-run")] * 3
        bodies = {r.body for r in first if r.code == 200}
        again = await cell.call("b1", method="POST", body="x", Idempotency_Key="k")
        assert {again.body} == bodies
        other = await cell.call("a1", method="POST", body="y", Idempotency_Key="k")
        assert outcome_of(other) == (409, "not-run", "key_reused")
        assert len(cell.runs()) == 1

    run_in_cell(test, {"a": 2, "b": 2}, {"a": 2, "b": 2})


@pytest.mark.parametrize(
    ("fault", "expected", "runs"),
    [("close", (504, "unknown", "key_outcome_unknown"), 1), ("", (200, "answered", ""), 1)],
)
def test_key_runs_at_most_once_across_a_change_of_leader(
    fault: str, expected: tuple[int, str, str], runs: int
) -> None:
    """Guards at most one run per key (G5): a new leader reads the claim from the journal."""

    async def test(cell: Cell) -> None:
        await cell.call("a1", method="POST", body="x", Idempotency_Key="k", X_Fault=fault)
        await eventually(lambda: len(cell.journals["a"].items) == 2)
        cell.set_leader("a1", 2)
        again = await cell.call("a0", method="POST", body="x", Idempotency_Key="k")
        assert outcome_of(again) == expected
        assert len(cell.runs()) == runs

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


def test_store_outage_refuses_keyed_requests_only() -> None:
    async def test(cell: Cell) -> None:
        cell.journals["a"].available = False
        keyed = await cell.call("a1", method="POST", body="x", Idempotency_Key="k")
        assert outcome_of(keyed) == (503, "not-run", "key_unavailable")
        assert outcome_of(await cell.call("a1", method="POST", body="x"))[0] == 200
        assert len(cell.runs()) == 1

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


def test_domain_without_endpoints_or_leader_forwards() -> None:
    async def test(cell: Cell) -> None:
        await eventually(
            lambda: all(node.routing.forwarder.status()["domains"] for node in cell.nodes.values())
        )
        for instance in ("a0", "a1"):
            response = await cell.call(instance, method="POST", body="x", X_Marker=instance)
            assert outcome_of(response) == (200, "answered", "")
            assert json.loads(response.body)["marker"] == instance
            assert len(cell.runs(instance)) == 1
        for name in ("a0", "a1"):
            cell.nodes[name].leadership.settle(2, None)
        response = await cell.call("a1", method="POST", body="x", X_Marker="later")
        assert outcome_of(response) == (200, "answered", "")

    run_in_cell(test, {"a": 2, "b": 2}, {"b": 2})


@pytest.mark.parametrize("missing", [(), ("a0",)])
def test_requests_wait_for_a_new_leader_which_knows_the_slots_in_use(
    missing: tuple[str, ...],
) -> None:
    """Guards the slot limit (G1) across a change of leader, for grants of leader and follower.

    A missing former leader does not block the slots, because its witness reports its grants.
    """

    async def test(cell: Cell) -> None:
        running = [
            asyncio.create_task(cell.call(f"a{n}", X_Run_Ms="400", X_Marker=f"old{n}"))
            for n in (0, 1)
        ]
        await eventually(lambda: len(cell.runs()) == 2)
        in_use = cell.nodes["a1"].leadership.reporter()
        assert {grant.holder for grant in in_use} == {"a0", "a1"}
        for node in cell.nodes.values():
            node.leadership.settle(2, None)
        waiting = [asyncio.create_task(cell.call("a1", X_Marker="new")) for _ in range(3)]
        await asyncio.sleep(0.05)
        cell.set_leader("a1", 3, in_use=tuple(in_use), unknown=missing)
        responses = await asyncio.gather(*running, *waiting)
        assert {outcome_of(response) for response in responses} == {(200, "answered", "")}
        assert cell.endpoints["a-ep0"].record.peak_running == SERVICE.slots

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


def test_late_response_is_dropped_and_its_slot_stays_in_use() -> None:
    """Guards the slot limit (G1) and own answers (G3) if a response misses the deadline."""

    async def test(cell: Cell) -> None:
        late = await cell.call("a1", X_Run_Ms="400", X_Request_Timeout_Ms="100", X_Marker="late")
        assert outcome_of(late) == (504, "unknown", "too_late")
        calls = [cell.call(f"a{n % 2}", X_Run_Ms="100", X_Marker=f"m{n}") for n in range(6)]
        for number, response in enumerate(await asyncio.gather(*calls)):
            assert outcome_of(response) == (200, "answered", "")
            assert json.loads(response.body)["marker"] == f"m{number}"
        assert cell.endpoints["a-ep0"].record.peak_running <= SERVICE.slots

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


@pytest.mark.parametrize(
    ("run_ms", "timeout_ms", "recorded"), [(600, 100, True), (1, 2_000, False)]
)
def test_slot_of_a_dead_leader_is_not_granted_while_its_abandoned_request_runs(
    run_ms: int, timeout_ms: int, recorded: bool
) -> None:
    """Guards the slot limit (G1) if a leader dies after it abandoned an exchange of its own.

    Its witness keeps the record of the grant until the endpoint has certainly ended the request.
    The record of a completed exchange ends at once.
    """

    async def test(cell: Cell) -> None:
        leader, successor = cell.nodes["a0"], cell.nodes["a1"]
        await cell.call(
            "a0", X_Run_Ms=str(run_ms), X_Request_Timeout_Ms=str(timeout_ms), X_Marker="old"
        )
        leader.routing.broker.summary()
        await asyncio.sleep(0.05)
        in_use = tuple(successor.leadership.reporter())
        assert [grant.holder for grant in in_use] == (["a0"] if recorded else [])
        assert all(0.0 < grant.hold_ms <= 200.0 + service.max_run_ms for grant in in_use)
        cell.set_leader("a1", 2, in_use=in_use, unknown=("a0",))
        response = await cell.call("a1", X_Run_Ms="1", X_Marker="new")
        assert outcome_of(response) == (200, "answered", "")
        assert cell.endpoints["a-ep0"].record.peak_running == 1

    service = replace(SERVICE, slots=1, max_run_ms=800.0)
    run_in_cell(test, ONE_DOMAIN, {"a": 1}, service=service, grant_start_ms=200.0)


def test_unreported_grants_hold_all_slots() -> None:
    """Guards the slot limit (G1) if a missing instance may hold grants that were not reported."""

    async def test(cell: Cell) -> None:
        cell.set_leader("a1", 2, unknown=("ghost",))
        broker = cell.nodes["a1"].routing.broker
        await eventually(lambda: broker.status()["leading"] is True)
        services = broker.status()["services"]
        assert services == {"shop": {"free_slots": 0, "usable_slots": 2, "queued": 0, "grants": 1}}

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


def test_drain_finishes_requests_in_flight() -> None:
    async def test(cell: Cell) -> None:
        calls = [asyncio.create_task(cell.call("a1", X_Run_Ms="200")) for _ in range(2)]
        await eventually(lambda: len(cell.runs()) == 2)
        node = cell.nodes["a1"]
        await node.routing.listener.drain(node.ctx.clock.now_ms() + 10_000.0)
        for response in await asyncio.gather(*calls):
            assert outcome_of(response) == (200, "answered", "")
        with pytest.raises(ConnectionRefusedError):
            await cell.call("a1")

    run_in_cell(test, ONE_DOMAIN, {"a": 1})


def test_request_that_expires_in_the_queue_is_not_run() -> None:
    """Guards the slot limit (G1): the endpoint may still be working on the request before it."""

    async def test(cell: Cell) -> None:
        call = asyncio.create_task(cell.call("a1", X_Run_Ms="300"))
        await eventually(lambda: len(cell.runs()) == 1)
        response = await cell.call("a1", X_Request_Timeout_Ms="100", X_Run_Ms="200")
        assert outcome_of(response) == (503, "not-run", "too_late")
        assert outcome_of(await call)[0] == 200
        assert len(cell.runs()) == 1

    run_in_cell(test, ONE_DOMAIN, {"a": 1}, service=replace(SERVICE, slots=1))
