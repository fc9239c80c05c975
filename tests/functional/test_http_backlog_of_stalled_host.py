"""The polls of one leader must not hide from the next one that a worker's process stands still."""

import asyncio
import socket

from nutmeglb_platform.http import HttpCaller
from nutmeglb_platform.workers import RunnerGateway
from tests.lib.queues import worker_info

TIMEOUT_MS = 400.0
BACKLOG = 10
# Polls in 20 s, with delays of up to 1 s between them.
FORMER_POLLS = 14


async def poll(info, times):
    """Return per poll whether it shows that the process stands still."""
    caller = HttpCaller(4)
    gateway = RunnerGateway(caller, TIMEOUT_MS)
    try:
        answers = [await gateway.hold(info, 7, 0, None, 0) for _ in range(times)]
    finally:
        caller.close()
    return [answer.err_value.context["connected"] for answer in answers]


def test_next_leader_sees_a_stall_after_the_polls_of_the_former_one():
    async def scenario():
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(BACKLOG)
        info = worker_info(address=f"127.0.0.1:{listener.getsockname()[1]}")
        try:
            assert any(await poll(info, FORMER_POLLS))
            assert any(await poll(info, 4))
        finally:
            listener.close()

    asyncio.run(scenario())
