"""Connections to the peer listener before the secret is shown: guards against strangers there."""

import asyncio
import socket

import pytest
from websockets.asyncio.client import connect

from nutmeglb._internal.peers.handshake import handshake_headers
from nutmeglb._internal.peers.handshakes import MAX_HANDSHAKE_BYTES, HandshakeGate
from nutmeglb._internal.peers.server import PeerServer
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_decisions.intake.connections import STALL_MS
from nutmeglb_decisions.intake.limits import RECEIVE_BUFFER_BYTES
from nutmeglb_formats.clock import Clock, ManualClock

SECRET = "peer-secret-for-tests"
HANDSHAKES = 4
LIMIT_S = 20.0


def run_with_server(scenario, clock=None):
    async def main():
        accepted = []

        async def hold(connection, name):
            accepted.append(connection)
            await connection.wait_closed()

        metrics = MetricsRegistry()
        gate = HandshakeGate(HANDSHAKES, clock or Clock(), metrics)
        server = PeerServer("127.0.0.1:0", SECRET, "own", hold, lambda: None, gate)
        await server.start()
        try:
            async with asyncio.timeout(LIMIT_S):
                await scenario(server.bound_address, accepted, metrics)
        finally:
            await server.stop()

    asyncio.run(main())


async def open_raw(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def connect_peer(address, number):
    headers = handshake_headers(SECRET, f"e{number}", "z1")
    return connect(f"ws://{address}/peer", additional_headers=headers, proxy=None)


async def is_closed(reader):
    try:
        return await reader.read() == b""
    except ConnectionResetError:
        return True


def test_instances_connect_while_strangers_hold_all_places():
    clock = ManualClock()

    async def scenario(address, accepted, metrics):
        strangers = [await open_raw(address) for _ in range(HANDSHAKES)]
        reader, _ = await open_raw(address)
        assert await is_closed(reader)
        clock.advance(STALL_MS)
        peers = [await connect_peer(address, number) for number in range(2 * HANDSHAKES)]
        assert len(accepted) == 2 * HANDSHAKES
        assert await is_closed(strangers[0][0])
        text = metrics.render()[0].decode()
        assert 'nutmeglb_intake_refused_total{cause="connections",listener="peer"} 1' in text
        for peer in peers:
            await peer.close()

    run_with_server(scenario, clock)


@pytest.mark.parametrize("size", [MAX_HANDSHAKE_BYTES + 1, 1_000_000])
def test_long_handshake_is_closed(size):
    async def scenario(address, accepted, metrics):
        reader, writer = await open_raw(address)
        writer.write(b"GET /peer HTTP/1.1\r\n" + b"X: " + b"a" * size)
        assert await is_closed(reader)
        async with connect_peer(address, 1):
            assert len(accepted) == 1

    run_with_server(scenario)


def test_receive_buffer_grows_with_the_handshake():
    async def scenario(address, accepted, metrics):
        async with connect_peer(address, 1) as peer:
            await peer.send(b"x" * 100_000)
            (connection,) = accepted
            sock = connection.transport.get_extra_info("socket")
            size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            assert size > 2 * RECEIVE_BUFFER_BYTES
            assert len(await connection.recv()) == 100_000

    run_with_server(scenario)
