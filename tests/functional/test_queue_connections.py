"""Connections of all instances together to one worker, which accepts a limited number."""

import asyncio
import socket
import sys
from pathlib import Path

import pytest

from nutmeglb._internal.queues.ports import MAX_CALLS_PER_WORKER
from standins.runner import MAX_CONNECTIONS
from tests.lib.queue_path import job_body, run_scenario

# The tasks are ordered at once, so that the leader opens as many connections as it may.
TASKS = 30
STEPS = [{"count": TASKS, "cpu": 100, "mem_mb": 10, "estimate_ms": 30}]
ENTRIES = 5
CAUSE = "ended by the test"
# State of an established connection in the kernel's table.
ESTABLISHED = "01"


def open_connections(runner):
    """Return the number of connections that leaders keep open to a runner.

    The runner counts one that was closed until it has read so, perhaps beside its replacement. The
    whole address is compared, since a client of another process may have the same port number.
    """
    host, _, port = runner.address.rpartition(":")
    address = f"{int.from_bytes(socket.inet_aton(host), sys.byteorder):08X}:{int(port):04X}"
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    peers = [row[2] for row in rows if row[3] == ESTABLISHED]
    return peers.count(address)


def test_former_leaders_do_not_shut_out_the_present_one():
    """Guards against accepted jobs that wait for ever beside empty workers (review, case 1)."""

    async def scenario(path):
        (runner,) = path.runners
        led = []
        for number in range(ENTRIES):
            await path.until(lambda: any(each.node.is_leading for each in path.entries))
            leader = path.leader
            led.append(leader)
            job_id = f"{number:016x}"
            entry = path.entries.index(leader)
            assert (await path.call("POST", job_id, job_body(steps=STEPS), entry=entry))[0] == 200
            await path.until_state(job_id, "completed", entry=entry)
            assert open_connections(runner) <= MAX_CALLS_PER_WORKER
            # Another instance leads next, as if the store had turned this one away. It may have
            # connections of its own before those of this one are found closed.
            leader.node._election._resigned = True
            former = runner.open_connections
            await leader.node._election.step_down(CAUSE)
            await path.until(lambda former=former: former.isdisjoint(runner.open_connections))
        assert len(set(map(id, led))) == ENTRIES

    run_scenario(scenario, entries=ENTRIES, runners=1)


@pytest.mark.parametrize("is_answered", [True, False])
def test_leader_opens_a_limited_number_of_connections_to_a_worker(is_answered):
    """Guards against a frozen leader whose connections leave none for its successors.

    It closes none of them, so what each instance may open at most counts.
    """
    assert MAX_CONNECTIONS // MAX_CALLS_PER_WORKER >= 12

    async def scenario(path):
        (runner,) = path.runners
        runner.data.lose_start_responses = 0 if is_answered else 2 * TASKS
        peak = 0
        for number in range(3):
            await path.call("POST", f"{number:016x}", job_body(steps=STEPS))
            for _ in range(40):
                peak = max(peak, open_connections(runner))
                await asyncio.sleep(0.01)
        assert 2 <= peak <= MAX_CALLS_PER_WORKER

    run_scenario(scenario, entries=1, runners=1)
