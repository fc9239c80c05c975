"""Store client against the stand-in.

Guards against a call that took effect being reported as not applied, and the reverse.
"""

import asyncio
from typing import Any

import pytest

from nutmeglb._internal.context import CallPriority, Compare, KeyValue, Put
from nutmeglb._internal.store.client import StoreClient
from nutmeglb._internal.store.limiter import CallLimiter
from nutmeglb_formats.clock import Clock, ManualClock
from nutmeglb_formats.exceptions import StoreOutcomeUnknown, StoreRefused, StoreUnavailable
from standins.store import StoreServer
from tests.lib.coordination import RecordedMetrics, retry_until_ok, run, store_client, until

TXN = ["/v3/kv/txn"]


def with_store(test: Any, **changes: Any) -> None:
    async def body() -> None:
        server = StoreServer()
        server.start()
        client = store_client(server, **changes)
        try:
            await test(server, client)
        finally:
            client.close()
            await server.stop()

    run(body)


def test_txn_applies_all_writes_only_when_every_condition_holds() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        assert (await store.txn([Compare("a", None)], [Put("a", b"1")])).unwrap()
        assert not (await store.txn([Compare("a", None)], [Put("a", b"2")])).unwrap()
        both_conditions = [Compare("a", b"1"), Compare("b", b"x")]
        assert not (await store.txn(both_conditions, [Put("c", b"3")])).unwrap()
        assert (await store.txn([Compare("a", b"1")], [Put("b", b"")], ["a"])).unwrap()
        assert (await store.get("a")).unwrap() is None
        stored = (await store.get("b")).unwrap()
        assert stored is not None and (stored.value, stored.version) == (b"", 1)

    with_store(test)


def test_range_reads_all_batches_in_key_order() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        names = [f"p/{number:03}" for number in range(70)]
        await store.txn([], [Put(name, b"v") for name in [*names, "p0", "o"]])
        assert [kv.key for kv in (await store.range("p/")).unwrap()] == names
        assert [kv.key for kv in (await store.range("p/", limit=40)).unwrap()] == names[:40]
        later = (await store.range("p/", from_key="p/065")).unwrap()
        assert [kv.key for kv in later] == names[65:]

    with_store(test)


@pytest.mark.parametrize(
    ("rule", "error", "applied"),
    [
        ({"kind": "refuse"}, StoreUnavailable, False),
        ({"kind": "lose_response"}, StoreOutcomeUnknown, True),
        ({"kind": "timeout"}, StoreOutcomeUnknown, True),
        ({"kind": "cut"}, StoreOutcomeUnknown, False),
        ({"kind": "pause"}, StoreOutcomeUnknown, False),
        ({"kind": "cut", "instances": ["other"]}, None, True),
    ],
)
def test_outcome_of_a_write_under_a_fault(rule: Any, error: Any, applied: bool) -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        server.set_faults([rule | {"paths": TXN}])
        result = await store.txn([], [Put("a", b"1")])
        assert type(result.err()) is (error or type(None))
        stored = await retry_until_ok(lambda: store.get("a"))
        assert (stored is not None) == applied

    with_store(test)


def test_refused_connection_is_reported_as_not_applied() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        await server.stop()
        error = (await store.txn([], [Put("a", b"1")])).unwrap_err()
        assert type(error) is StoreUnavailable
        server.start()
        assert await retry_until_ok(lambda: store.get("a")) is None

    with_store(test)


def test_one_refused_call_is_retried() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        server.set_faults([{"kind": "refuse", "times": 1}])
        assert (await store.txn([], [Put("a", b"1")])).unwrap()
        assert server.counts["/v3/kv/txn"] == 2

    with_store(test)


def test_failing_store_is_not_called_while_backing_off() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        server.set_faults([{"kind": "refuse"}])
        for _ in range(500):
            assert (await store.get("a")).is_err()
        assert server.counts["/v3/kv/range"] < 100

    with_store(test, backoff_max_ms=30_000)


def test_lease_ends_with_its_keys() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        lease = (await store.lease_grant(1)).unwrap()
        assert (await store.txn([], [Put("a", b"1", lease)])).unwrap()
        assert (await store.lease_keep_alive(lease)).unwrap()
        assert (await store.lease_revoke(lease)).is_ok()
        assert (await store.get("a")).unwrap() is None
        assert not (await store.lease_keep_alive(lease)).unwrap()
        refused = (await store.txn([], [Put("a", b"1", lease)])).unwrap_err()
        assert type(refused) is StoreRefused

    with_store(test)


def test_watch_delivers_changes_and_ends_with_its_connection() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        seen: list[KeyValue] = []
        watch = asyncio.create_task(store.watch("a/", seen.append))
        await until(lambda: len(server.watchers) == 1)
        await store.txn([], [Put("a/1", b"x"), Put("b/1", b"y")])
        await store.txn([], [], ["a/1"])
        await until(lambda: len(seen) == 2)
        assert [(kv.key, kv.value, kv.version) for kv in seen] == [
            ("a/1", b"x", 1),
            ("a/1", b"", 0),
        ]
        server.set_faults([{"kind": "cut"}])
        await watch

    with_store(test)


def test_stale_reads_end_with_the_fault() -> None:
    async def test(server: StoreServer, store: StoreClient) -> None:
        server.set_faults([{"kind": "stale"}])
        await store.txn([], [Put("a", b"1")])
        assert (await store.get("a")).unwrap() is None
        server.set_faults([])
        assert (await store.get("a")).unwrap() is not None

    with_store(test)


def test_limiter_serves_lease_calls_first() -> None:
    async def test() -> None:
        clock = ManualClock()
        limiter = CallLimiter(10, clock, RecordedMetrics())
        while limiter.try_acquire():
            pass
        order: list[CallPriority] = []

        async def call(priority: CallPriority) -> None:
            if await limiter.acquire(priority, 10_000):
                order.append(priority)

        priorities = [CallPriority.OTHER, CallPriority.JOURNAL, CallPriority.LEASE]
        calls = [asyncio.create_task(call(priority)) for priority in priorities]
        await asyncio.sleep(0)
        for _ in priorities:
            clock.advance(100)
            limiter.admit_waiting()
            await asyncio.sleep(0)
        await asyncio.gather(*calls)
        assert order == [CallPriority.LEASE, CallPriority.JOURNAL, CallPriority.OTHER]

    run(test)


def test_call_that_waits_too_long_for_the_limiter_is_not_applied() -> None:
    async def test() -> None:
        limiter = CallLimiter(1, Clock(), RecordedMetrics())
        while limiter.try_acquire():
            pass
        assert not await limiter.acquire(CallPriority.OTHER, 1)

    run(test)
