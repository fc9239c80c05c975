"""A call that this process could not try shows nothing about its host."""

import asyncio
import os
import resource
import socket

from nutmeglb_decisions.queues import silent_workers
from nutmeglb_platform.http import HttpCaller
from nutmeglb_platform.workers import RunnerGateway
from tests.lib.queues import CellWorld, worker_info

TIMEOUT_MS = 300.0


def test_call_without_a_free_descriptor_does_not_end_the_stall_of_its_worker():
    """Guards against a second run while the first one's worker stands still."""

    async def scenario():
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        info = worker_info(address=f"127.0.0.1:{listener.getsockname()[1]}")
        caller = HttpCaller(4)
        gateway = RunnerGateway(caller, TIMEOUT_MS)
        world = CellWorld()
        world.cell.max_stall_ms = 20_000.0
        world.show(info)
        worker = world.worker("w1")

        async def hold():
            error = (await gateway.hold(info, 7, 0, None, 0)).err_value.context
            silent_workers.record_unanswered(world.cell, worker, error["connected"], world.now_ms)

        for _ in range(3):
            await hold()
        assert silent_workers.may_have_active_runs(world.cell, worker, world.now_ms)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        lowest_free = os.dup(0)
        os.close(lowest_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
        try:
            await hold()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
            caller.close()
            listener.close()
        assert silent_workers.may_have_active_runs(world.cell, worker, world.now_ms)

    asyncio.run(scenario())
