"""Peer bus: guards against lost replies, unauthenticated peers and partly applied batches."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

import cbor2
import pytest
from result import Err, Ok
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidStatus

from nutmeglb._internal.peers.handshake import handshake_headers
from nutmeglb._internal.peers.queue import SendQueue
from nutmeglb_formats.models.instances import Instance, InstanceRole, MemberState
from nutmeglb_formats.wire.envelope import BATCH_LIMIT_BYTES, encode_batch
from nutmeglb_formats.wire.membership import Heartbeat
from nutmeglb_formats.wire.registry import encode, message
from tests.lib.peers import SECRET, BusGroup, eventually


@message(190, 1)
@dataclass(frozen=True, slots=True)
class Question:
    number: int


@message(191, 1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class Level:
    topic: str
    number: int

    @property
    def latest_key(self) -> str:
        return self.topic


async def reply_with_double(sender: str, question: Question) -> Question:
    await asyncio.sleep(0.001 * (10 - question.number % 10))
    return Question(2 * question.number)


def run(scenario) -> None:
    async def main() -> None:
        group = BusGroup()
        try:
            await asyncio.wait_for(scenario(group), 60)
        finally:
            await group.stop()

    asyncio.run(main())


def test_replies_match_requests_that_finish_out_of_order() -> None:
    async def scenario(group: BusGroup) -> None:
        first, second = await group.start("a1", "a"), await group.start("a2", "a")
        second.on(Question, reply_with_double)
        await eventually(lambda: first.connected("a2"))
        results = await asyncio.gather(
            *(first.request("a2", Question(n), 10_000) for n in range(50))
        )
        assert results == [Ok(Question(2 * n)) for n in range(50)]

    run(scenario)


def test_request_without_handler_or_peer_is_an_error() -> None:
    async def scenario(group: BusGroup) -> None:
        first, _ = await group.start("a1", "a"), await group.start("a2", "a")
        await eventually(lambda: first.connected("a2"))
        assert isinstance(await first.request("a2", Question(1), 10_000), Err)
        assert isinstance(await first.request("a9", Question(1), 10_000), Err)

    run(scenario)


def test_domains_connect_through_relays_and_requests_connect_on_demand() -> None:
    async def scenario(group: BusGroup) -> None:
        for name in ("a1", "a2", "b1", "b2"):
            bus = await group.start(name, name[0])
            bus.on(Question, reply_with_double)
        buses = group.buses
        await eventually(lambda: buses["a1"].connected("a2") and buses["b2"].connected("b1"))
        await eventually(lambda: buses["a1"].connected("b1"))
        assert not buses["a2"].connected("b2")
        assert await buses["a2"].request("b2", Question(4), 10_000) == Ok(Question(8))

    run(scenario)


def test_stopped_peer_is_suspected_and_its_requests_fail() -> None:
    async def scenario(group: BusGroup) -> None:
        first, second = await group.start("a1", "a"), await group.start("a2", "a")
        await eventually(lambda: first.connected("a2") and second.connected("a1"))
        second.on(Question, lambda sender, question: asyncio.sleep(3_600))
        waiting = asyncio.create_task(first.request("a2", Question(1), 50_000))
        await asyncio.sleep(0.05)
        await second.stop()
        assert isinstance(await waiting, Err)
        await eventually(lambda: first.members("a")[1].state is MemberState.SUSPECTED)
        restarted = await group.start("a2", "a")
        await eventually(lambda: first.members("a")[1].state is MemberState.LIVE)
        assert restarted.connected("a1")

    run(scenario)


def test_domain_is_reconnected_after_every_connection_attempt_failed() -> None:
    async def scenario(group: BusGroup) -> None:
        first = await group.start("a1", "a")
        unreachable_instance = Instance("b1", InstanceRole.ENTRY, "b", "127.0.0.1:1")
        group.list.set([*group.list.instances(InstanceRole.ENTRY), unreachable_instance])
        await eventually(lambda: first.relay_of("b") is None)
        await group.start("b1", "b")
        await eventually(lambda: first.connected("b1"))
        assert first.relay_of("b") == "b1"

    run(scenario)


def test_leaving_is_announced() -> None:
    async def scenario(group: BusGroup) -> None:
        first, second = await group.start("a1", "a"), await group.start("a2", "a")
        await eventually(lambda: second.connected("a1"))
        await second.drain(0.0)
        await eventually(lambda: first.members("a")[1].state is MemberState.LEAVING)

    run(scenario)


def test_fault_switch_partitions_a_domain_and_reconnects_it(tmp_path: Path) -> None:
    async def scenario(group: BusGroup) -> None:
        file = tmp_path / "cut.json"
        first = await group.start("a1", "a", str(file))
        second = await group.start("b1", "b")
        second.on(Question, reply_with_double)
        await eventually(lambda: first.connected("b1"))
        file.write_text('["b"]')
        await eventually(lambda: first.relay_of("b") is None)
        assert isinstance(await first.request("b1", Question(1), 300), Err)
        file.write_text("[]")
        await eventually(lambda: first.relay_of("b") == "b1")
        assert await first.request("b1", Question(1), 10_000) == Ok(Question(2))

    run(scenario)


@pytest.mark.parametrize("secret", ["", "wrong secret"])
def test_wrong_secret_is_refused(secret: str) -> None:
    async def scenario(group: BusGroup) -> None:
        bus = await group.start("a1", "a")
        headers = handshake_headers(secret, "a2", "a")
        with pytest.raises(InvalidStatus):
            await connect(f"ws://{bus.bound_address}/peer", additional_headers=headers)
        assert group.metrics["a1"].totals["nutmeglb_peer_refused_connections_total"] == 1

    run(scenario)


VALID_FRAME = encode(Question(1), sender="a2", epoch=0)


@pytest.mark.parametrize(
    "data",
    [
        b"garbage",
        "text",
        bytes(BATCH_LIMIT_BYTES + 1),
        encode_batch([VALID_FRAME, b"garbage"]),
        encode_batch([VALID_FRAME, encode(Question(1), sender="a3", epoch=0)]),
        encode_batch([VALID_FRAME, cbor2.dumps([0, "a2", 0, [190, 1, [1]]])]),
        encode_batch([VALID_FRAME, cbor2.dumps([1, "a2", 0, [190, 99, [1]]])]),
        encode_batch([VALID_FRAME, cbor2.dumps([1, "a2", 0, [190, 1, ["x"]]])]),
    ],
    ids=["cbor", "text", "oversized", "frame", "sender", "frame version", "version", "field"],
)
def test_batch_with_a_bad_frame_is_counted_and_not_applied(data: bytes | str) -> None:
    async def scenario(group: BusGroup) -> None:
        bus = await group.start("a1", "a")
        handled: list[Question] = []
        bus.on(Question, lambda sender, question: handled.append(question))
        headers = handshake_headers(SECRET, "a2", "a")
        url = f"ws://{bus.bound_address}/peer"
        async with connect(url, additional_headers=headers, compression=None) as peer:
            heartbeat = Heartbeat("a", "127.0.0.1:1", "")
            await peer.send(encode_batch([encode(heartbeat, sender="a2", epoch=0)]))
            with pytest.raises(ConnectionClosed):
                await peer.send(data)
                while True:
                    await peer.recv()
        totals = group.metrics["a1"].totals
        await eventually(lambda: totals["nutmeglb_peer_bad_frames_total"] == 1)
        await eventually(lambda: not bus.connected("a2"))
        assert handled == []

    run(scenario)


def test_queue_keeps_the_latest_per_key_and_is_bounded() -> None:
    async def scenario() -> None:
        queue = SendQueue(3)
        for item in (Question(1), Level("x", 1), Level("y", 1), Level("x", 2)):
            assert queue.put(item)
        assert not queue.put(Question(2))
        assert await queue.take_all() == [Question(1), Level("x", 2), Level("y", 1)]
        assert queue.put(Question(2))

    asyncio.run(scenario())
