"""The queue world with the platform's longest lease, slow clocks, long runs and planned stops."""

from nutmeglb._internal.queues.settings import QueueSettings
from tests.lib.queue_worker_model import MAX_HOLD_MS
from tests.lib.queue_world import RATES, WORKERS, World

# Factor by which runs take longer, so that the shortest one of kind 4 outlasts any lease.
RUN_FACTOR = 4.0
MAX_WAIT_MS = 20_000


class LeaseWorld(World):
    """Adds steps that wait for a line of the trace, and planned stops of instances."""

    settle_ms = 120_000.0
    rates = (min(RATES),) * len(WORKERS)

    def settings(self, name):
        """Return the settings of an instance, with the longest lease that workers grant."""
        settings = super().settings(name).model_dump()
        settings["queues"]["max_run_lease_ms"] = int(MAX_HOLD_MS)
        return QueueSettings.model_validate(settings)

    def task_size(self, task):
        """Return the CPU and the run time of a task."""
        cpu, run_ms = super().task_size(task)
        return cpu, run_ms * RUN_FACTOR

    def until(self, text):
        """Advance until a new line of the trace contains a text."""
        known = len(self.trace)
        for _ in range(MAX_WAIT_MS):
            self.advance(1)
            if any(text in line for line in self.trace[known:]):
                return
        raise AssertionError(f"STEP {text} did not happen")

    def resign(self, number):
        """Stop an instance as planned. It does not lead again."""
        process = self.processes[number]

        async def release():
            leader = process.leader
            if leader is not None:
                await process.election.resign(leader.release_facts)

        process.loop.call_soon(lambda: process._background.spawn(release()))
