"""Clients that send much and never finish, against an instance with the product's own interface.

Guards against a process that runs out of memory or descriptors, or that stops answering. The
limits of the process are lowered, so that a small crowd goes beyond them.
"""

import asyncio

import pytest
from tornado.httpclient import HTTPError

from tests.lib.callers import Call, call
from tests.lib.cluster import ROOT, SHORT_LEASES, Cluster, Layout, eventually
from tests.lib.crowd import BYTES_PER_MIB, OpenCrowd, ProcessWatch
from tests.lib.crowd_payloads import (
    crowd_of,
    pipelined,
    unfinished_body,
    unfinished_chunks,
    unfinished_header,
    whole_body,
)

MEMORY_MB = 128
DESCRIPTORS = 512
BODY_BYTES = 1_000_000
HEADER_BYTES = 16_384
TICKET = (ROOT / "examples" / "demo" / "first-ticket.yaml").read_text()
SERVICE = ("/services/shade-engine/work", "caller")
TICKETS = ("/v1/tickets", "admin")
METRICS = ("/metrics", "admin")
PEER = ("/peer", "peer")
LAYOUT = Layout(
    domains=("east",),
    instances=1,
    endpoints=1,
    workers=1,
    settings={
        **SHORT_LEASES,
        "machine": {"memory_mb": MEMORY_MB, "max_descriptors": DESCRIPTORS},
    },
)
EMPTY_OBJECTS = b'{"x": [' + b",".join([b"{}"] * ((BODY_BYTES - 50) // 3)) + b"]}"

CROWDS = {
    ("caller", "bodies at once"): crowd_of(80, unfinished_body(SERVICE, BODY_BYTES, BODY_BYTES)),
    ("caller", "bodies piece by piece"): crowd_of(80, unfinished_body(SERVICE, BODY_BYTES, 16_384)),
    ("caller", "small chunks"): crowd_of(
        80, unfinished_chunks(SERVICE, BODY_BYTES, 1_024, 262_144)
    ),
    ("caller", "very small chunks"): crowd_of(8, unfinished_chunks(SERVICE, BODY_BYTES, 4, 65_536)),
    ("caller", "header blocks"): crowd_of(800, unfinished_header(SERVICE, HEADER_BYTES)),
    ("caller", "connections without a request"): crowd_of(800, []),
    ("caller", "whole bodies"): crowd_of(
        200, whole_body(SERVICE, b" " * BODY_BYTES, "application/octet-stream")
    ),
    ("admin", "bodies at once"): crowd_of(80, unfinished_body(TICKETS, BODY_BYTES, BODY_BYTES)),
    ("admin", "small chunks"): crowd_of(80, unfinished_chunks(TICKETS, BODY_BYTES, 1_024, 262_144)),
    ("admin", "header blocks"): crowd_of(800, unfinished_header(TICKETS, HEADER_BYTES)),
    ("admin", "connections without a request"): crowd_of(800, []),
    ("admin", "whole bodies of many objects"): crowd_of(
        80, whole_body(TICKETS, EMPTY_OBJECTS, "application/json")
    ),
    ("admin", "metrics that nobody reads"): crowd_of(100, pipelined(METRICS, 500)),
    ("peer", "connections without a request"): crowd_of(800, []),
    ("peer", "header blocks"): crowd_of(300, unfinished_header(PEER, 400_000)),
}


@pytest.mark.parametrize(("listener", "name"), CROWDS)
def test_crowd_at_an_instance(listener, name):
    async def main():
        async with Cluster(LAYOUT) as cluster:
            (entry,) = cluster.entries()
            calls = 0

            async def is_answered():
                nonlocal calls
                calls += 1
                return (await call(cluster, entry, Call(f"m{calls}"))).outcome == "answered"

            async def has_status():
                return await cluster.status(entry) is not None

            async def has_ticket():
                try:
                    answer = await cluster.post_json(entry.ports["admin"], "/v1/tickets", TICKET)
                except (OSError, HTTPError):
                    return False
                return answer.code == 201

            await eventually(has_ticket, "the ticket is accepted")
            await eventually(is_answered, "a request is answered before the crowd")
            addresses = [entry.ports[name] for name in ("caller", "admin", "peer")]
            async with (
                ProcessWatch(entry.process.pid, addresses) as watch,
                OpenCrowd(CROWDS[listener, name], entry.ports[listener]) as crowd,
            ):
                await crowd.has_sent()
                await eventually(is_answered, "a request is answered beside the crowd")
                await eventually(has_status, "the administration API answers beside the crowd")
                watch.observe()
                assert entry.process.running
                assert watch.peak_memory_bytes <= MEMORY_MB * BYTES_PER_MIB
                assert watch.peak_descriptors <= DESCRIPTORS
            await eventually(is_answered, "a request is answered after the crowd")
            assert entry.process.running

    asyncio.run(main())


def test_callers_that_leave_before_the_end_of_their_body():
    """Guards against bodies that stay in memory after their connection, uncounted."""

    async def main():
        async with Cluster(LAYOUT) as cluster:
            (entry,) = cluster.entries()
            address = entry.ports["caller"]
            crowd = crowd_of(10, unfinished_body(SERVICE, BODY_BYTES, BODY_BYTES))
            async with ProcessWatch(entry.process.pid, [address]) as watch:
                for _ in range(30):
                    async with OpenCrowd(crowd, address) as client:
                        await client.has_sent()
                watch.observe()
                assert entry.process.running
                assert watch.peak_memory_bytes <= MEMORY_MB * BYTES_PER_MIB

    asyncio.run(main())
