"""Clients that send much and never finish, against the real processes.

Guards against a process that runs out of memory or descriptors, or that stops answering. The
limits of the process are lowered, so that a small crowd goes beyond them.
"""

import asyncio
import resource
from pathlib import Path

import pytest

from scripts.queue_soak_cell import CONFIG, HOST, PREFIXES, SoakCell
from tests.lib.crowd import BYTES_PER_MIB, OpenCrowd, ProcessWatch
from tests.lib.crowd_payloads import (
    crowd_of,
    crowd_of_jobs,
    pipelined,
    unfinished_body,
    unfinished_chunks,
    unfinished_header,
    whole_body,
)

MEMORY_MB = 128
DESCRIPTORS = 512
SETTINGS = f"[machine]\nmemory_mb = {MEMORY_MB}\nmax_descriptors = {DESCRIPTORS}\n"
BODY_BYTES = 262_144
HEADER_BYTES = 16_384
ANSWER_LIMIT_S = 60.0
SPARE_DESCRIPTORS = 60
POLL_INTERVAL_S = 0.2
ORDINARY_JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 100, "mem_mb": 10}]}
JOB = (f"{PREFIXES[0]}{'a' * 16}", HOST)
QUEUE = (PREFIXES[0], HOST)
READY = ("/v1/readyz", "health")
METRICS = ("/metrics", "health")
PEER = ("/peer", "peer")

# Bodies whose decoded form is many times as large as their text.
NESTED = b'{"spec": "", "steps": [{}], "x": ['
EMPTY_OBJECTS = NESTED + b",".join([b"{}"] * ((BODY_BYTES - 50) // 3)) + b"]}"
WIDE_TEXT = b'{"steps": [{"image": "' + "\U0001f600".encode() + b"a" * (BODY_BYTES - 60) + b'"}]}'
LONG_LIST = b'{"steps": [{}, {"after": [' + b",".join([b"0"] * 131_000) + b"]}]}"
FORM = b"&".join(b"%x" % number for number in range(43_000))

CALLER_CROWDS = {
    "bodies at once": crowd_of(300, unfinished_body(JOB, BODY_BYTES, BODY_BYTES)),
    "bodies piece by piece": crowd_of(300, unfinished_body(JOB, BODY_BYTES, 4_096)),
    "large chunks": crowd_of(300, unfinished_chunks(JOB, BODY_BYTES, 16_384, 262_144)),
    "small chunks": crowd_of(300, unfinished_chunks(JOB, BODY_BYTES, 256, 262_144)),
    "very small chunks": crowd_of(24, unfinished_chunks(JOB, BODY_BYTES, 2, 65_536)),
    "header blocks": crowd_of(800, unfinished_header(JOB, HEADER_BYTES)),
    "oversized header blocks": crowd_of(400, unfinished_header(JOB, 4 * HEADER_BYTES)),
    "connections without a request": crowd_of(800, []),
    "answers that nobody reads": crowd_of(100, pipelined(QUEUE, 2_000)),
    "whole bodies of many objects": crowd_of(
        200, whole_body(JOB, EMPTY_OBJECTS, "application/json")
    ),
    "whole bodies of wide text": crowd_of(200, whole_body(JOB, WIDE_TEXT, "application/json")),
    "whole bodies of a long list": crowd_of(200, whole_body(JOB, LONG_LIST, "application/json")),
    "whole forms": crowd_of(100, whole_body(JOB, FORM, "application/x-www-form-urlencoded")),
}
# Jobs that stay: no worker has the label that they require.
STAYING_STEP = b'{"cpu": 1, "requires": "none such", '
WIDE_JOB = (
    b'{"steps": ['
    + STAYING_STEP
    + b'"image": "'
    + "\U0001f600".encode()
    + b"a" * (BODY_BYTES - 100)
    + b'"}]}'
)
LISTED_JOB = (
    b'{"steps": [{}, ' + STAYING_STEP + b'"after": [' + b",".join([b"0"] * 131_000) + b"]}]}"
)
WIDE_SPEC_JOB = (
    b'{"spec": "'
    + "\U0001f600".encode()
    + b"a" * 3_900
    + b'", "steps": ['
    + b",".join([STAYING_STEP + b'"estimate_ms": 1}'] * 64)
    + b"]}"
)
# A body of a few KB that describes 640,000 tasks.
COUNTED_JOB = b'{"steps": [' + b",".join([b'{"count": 10000}'] * 64) + b"]}"
JOB_CROWDS = {
    "jobs of many tasks": crowd_of_jobs(10, 10, PREFIXES[0], HOST, COUNTED_JOB),
    "jobs of wide text": crowd_of_jobs(50, 20, PREFIXES[0], HOST, WIDE_JOB),
    "jobs of a long list": crowd_of_jobs(50, 20, PREFIXES[0], HOST, LISTED_JOB),
    "jobs of many steps": crowd_of_jobs(50, 60, PREFIXES[0], HOST, WIDE_SPEC_JOB),
}
HEALTH_CROWDS = {
    "bodies at once": crowd_of(300, unfinished_body(READY, BODY_BYTES, BODY_BYTES)),
    "small chunks": crowd_of(300, unfinished_chunks(READY, BODY_BYTES, 256, 262_144)),
    "header blocks": crowd_of(800, unfinished_header(READY, HEADER_BYTES)),
    "connections without a request": crowd_of(800, []),
    "metrics that nobody reads": crowd_of(100, pipelined(METRICS, 500)),
}
PEER_CROWDS = {
    "connections without a request": crowd_of(800, []),
    "header blocks": crowd_of(300, unfinished_header(PEER, 400_000)),
}


async def answered(call):
    """Wait until an ordinary call, repeated after refusals, is answered."""
    async with asyncio.timeout(ANSWER_LIMIT_S):
        while await call() != 200:
            await asyncio.sleep(POLL_INTERVAL_S)


def check_crowd(directory, crowd, listener):
    """Play a crowd against an instance, and check what must hold whatever the machine."""

    async def main():
        cell = SoakCell(directory, 1, 1, 2, (), SETTINGS)
        try:
            await cell.start(lambda: cell.put("op/config", CONFIG), lambda: "")
            (instance,) = cell.instances
            addresses = {
                "caller": instance.address,
                "health": instance.health_address,
                "peer": instance.peer_address,
            }

            async def submit():
                path = f"{PREFIXES[0]}{'b' * 16}"
                return (await cell.submit(0, "POST", path, ORDINARY_JOB))[0]

            async def check_ready():
                url = f"http://{instance.health_address}/v1/readyz"
                return (await cell.call("GET", url))[0]

            async with (
                ProcessWatch(instance.pid, tuple(addresses.values())) as watch,
                OpenCrowd(crowd, addresses[listener]) as client,
            ):
                await client.has_sent()
                await answered(submit)
                await answered(check_ready)
                watch.observe()
                assert instance.running
                assert watch.peak_memory_bytes <= MEMORY_MB * BYTES_PER_MIB
                assert watch.peak_descriptors <= DESCRIPTORS
            await answered(submit)
            assert instance.running
        finally:
            cell.kill()

    asyncio.run(main())


@pytest.mark.parametrize("name", CALLER_CROWDS)
def test_crowd_of_callers(tmp_path, name):
    check_crowd(tmp_path, CALLER_CROWDS[name], "caller")


@pytest.mark.parametrize("name", JOB_CROWDS)
def test_crowd_that_submits_jobs(tmp_path, name):
    check_crowd(tmp_path, JOB_CROWDS[name], "caller")


@pytest.mark.parametrize("name", HEALTH_CROWDS)
def test_crowd_at_the_health_address(tmp_path, name):
    check_crowd(tmp_path, HEALTH_CROWDS[name], "health")


def test_callers_that_leave_before_the_end_of_their_body(tmp_path):
    """Guards against bodies that stay in memory after their connection, uncounted."""

    async def main():
        cell = SoakCell(tmp_path, 1, 1, 2, (), SETTINGS)
        try:
            await cell.start(lambda: cell.put("op/config", CONFIG), lambda: "")
            (instance,) = cell.instances
            crowd = crowd_of(40, unfinished_body(JOB, BODY_BYTES, BODY_BYTES))
            async with ProcessWatch(instance.pid, [instance.address]) as watch:
                for _ in range(30):
                    async with OpenCrowd(crowd, instance.address) as client:
                        await client.has_sent()
                watch.observe()
                assert instance.running
                assert watch.peak_memory_bytes <= MEMORY_MB * BYTES_PER_MIB
        finally:
            cell.kill()

    asyncio.run(main())


def test_process_that_has_fewer_descriptors_than_its_settings_say(tmp_path):
    """Guards against an accept loop that spins, so that nobody is answered."""

    async def main():
        cell = SoakCell(tmp_path, 1, 1, 2, ())
        try:
            await cell.start(lambda: cell.put("op/config", CONFIG), lambda: "")
            (instance,) = cell.instances
            limit = len(list(Path(f"/proc/{instance.pid}/fd").iterdir())) + SPARE_DESCRIPTORS
            resource.prlimit(instance.pid, resource.RLIMIT_NOFILE, (limit, limit))

            async def submit():
                path = f"{PREFIXES[0]}{'b' * 16}"
                return (await cell.submit(0, "POST", path, ORDINARY_JOB))[0]

            async with OpenCrowd(crowd_of(300, []), instance.address) as client:
                await client.has_sent()
                await answered(submit)
            await answered(submit)
            assert instance.running
        finally:
            cell.kill()

    asyncio.run(main())


@pytest.mark.parametrize("name", PEER_CROWDS)
def test_crowd_at_the_peer_address(tmp_path, name):
    check_crowd(tmp_path, PEER_CROWDS[name], "peer")
