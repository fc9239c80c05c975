"""Tests of the job service and its agent client against the agent stand-in over HTTP."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from nutmeglb._internal.jobs.service import JobService
from nutmeglb_formats.models.config import JobKind
from nutmeglb_formats.models.jobs import JobState, WaitReason
from nutmeglb_formats.models.resources import Resources
from tests.lib.tasks import (
    GIB,
    MemoryBus,
    MemoryJournal,
    make_context,
    make_spec,
    start_agents,
    until,
    worker_instances,
)


class Cell:
    """A failure domain with two entry instances and several agents."""

    def __init__(self, workers: int) -> None:
        self.journal = MemoryJournal()
        buses: dict[str, MemoryBus] = {}
        self.contexts = [make_context(name, "a", self.journal, buses) for name in ("e1", "e2")]
        self.services = [JobService(ctx) for ctx in self.contexts]
        self.agents = start_agents(workers)
        self.epoch = 0

    async def start(self) -> None:
        for service, ctx in zip(self.services, self.contexts, strict=True):
            ctx.instances.set(worker_instances(self.agents))  # type: ignore[attr-defined]
            await service.start()
        await self.set_leader("e1")

    async def set_leader(self, instance: str | None) -> None:
        self.epoch += 1
        for ctx in self.contexts:
            ctx.leadership.change(self.epoch, instance)  # type: ignore[attr-defined]
        if instance is not None:
            leader = next(s for s in self.services if s._ctx.instance_id == instance)
            await until(lambda: leader.status()["leading"])

    async def stop(self) -> None:
        for service in self.services:
            await service.stop()
        for agent in self.agents:
            await agent.stop()

    def runs(self) -> list[dict[str, Any]]:
        return [run for agent in self.agents for run in agent.state.run_records()]

    async def finished(self, job_id: str, service: int = 0) -> Any:
        async def view() -> Any:
            return (await self.services[service].show(job_id)).unwrap()

        while (current := await view()).state is not JobState.FINISHED:
            await asyncio.sleep(0.02)
        return current


def run(workers: int, scenario: Callable[[Cell], Awaitable[None]]) -> None:
    async def main() -> None:
        cell = Cell(workers)
        await cell.start()
        try:
            await asyncio.wait_for(scenario(cell), 30)
        finally:
            await cell.stop()

    asyncio.run(main())


@pytest.mark.parametrize("kind", [JobKind.BATCH, JobKind.GANG])
def test_job_runs_each_task_once(kind: JobKind) -> None:
    """Guards against tasks that run twice or never, including after a forwarded submission."""

    async def scenario(cell: Cell) -> None:
        spec = make_spec(kind=kind, tasks=6)
        first = (await cell.services[1].submit(spec)).unwrap()
        again = (await cell.services[0].submit(spec)).unwrap()
        assert first.job_id == again.job_id
        view = await cell.finished(first.job_id, service=1)
        assert (view.finished, view.running, view.waiting) == (6, 0, 0)
        assert sorted(run["task"] for run in cell.runs()) == [
            f"{first.job_id}/{index}" for index in range(6)
        ]
        await until(lambda: all(run["acknowledged"] for run in cell.runs()))

    run(3, scenario)


def test_takeover_keeps_running_tasks() -> None:
    """Guards against a new leader restarting running tasks, or losing tasks that have ended."""

    async def scenario(cell: Cell) -> None:
        spec = make_spec(tasks=8, command="run_ms=500")
        job_id = (await cell.services[0].submit(spec)).unwrap().job_id
        await until(lambda: sum(r["started_s"] is not None for r in cell.runs()) == 8)
        await cell.set_leader(None)
        assert (await cell.services[0].show(job_id)).is_err()
        await cell.set_leader("e2")
        view = await cell.finished(job_id)
        assert view.finished == 8
        assert len(cell.runs()) == 8

    run(3, scenario)


def test_frozen_worker_is_replaced_after_its_lease() -> None:
    """Guards against overlapping runs of a task after its worker freezes and resumes."""

    async def scenario(cell: Cell) -> None:
        spec = make_spec(command="run_ms=1500")
        job_id = (await cell.services[0].submit(spec)).unwrap().job_id
        await until(lambda: any(r["started_s"] is not None for r in cell.runs()))
        frozen = next(agent for agent in cell.agents if agent.state.record)
        frozen.freeze(2_500)
        view = await cell.finished(job_id)
        assert view.finished == 1
        runs = sorted(cell.runs(), key=lambda item: item["admitted_s"])
        assert len(runs) == 2
        assert runs[0]["outcome"] == "lease_expired"
        assert runs[0]["ended_s"] <= runs[1]["started_s"]

    run(2, scenario)


def test_lost_responses_do_not_repeat_starts_or_stops() -> None:
    """Guards against repeated commands starting a task twice, and against tasks left running."""

    async def scenario(cell: Cell) -> None:
        for agent in cell.agents:
            agent.state.faults.lose_responses = 4
        spec = make_spec(tasks=4, command="service x")
        job_id = (await cell.services[0].submit(spec)).unwrap().job_id
        await until(lambda: sum(r["started_s"] is not None for r in cell.runs()) == 4)
        for agent in cell.agents:
            agent.state.faults.lose_responses = 4
        view = (await cell.services[1].cancel(job_id)).unwrap()
        assert view.state is JobState.CANCELLED
        await until(lambda: all(r["acknowledged"] for r in cell.runs()))
        assert {r["outcome"] for r in cell.runs()} == {"stopped"}
        assert len(cell.runs()) == 4

    run(2, scenario)


def test_store_outage_refuses_jobs_and_keeps_completions() -> None:
    """Guards against a lost completion, and against an untyped error, during a store outage."""

    async def scenario(cell: Cell) -> None:
        spec = make_spec(command="run_ms=150")
        job_id = (await cell.services[0].submit(spec)).unwrap().job_id
        await until(lambda: any(r["started_s"] is not None for r in cell.runs()))
        cell.journal.available = False
        refused = await cell.services[1].submit(make_spec("s2"))
        assert refused.unwrap_err().kind == "JournalError"
        await until(lambda: all(r["outcome"] for r in cell.runs()))
        assert (await cell.services[0].show(job_id)).unwrap().state is JobState.RUNNING
        cell.journal.available = True
        await cell.finished(job_id)
        assert len(cell.runs()) == 1

    run(2, scenario)


def test_teams_see_only_their_own_jobs() -> None:
    """Guards against one team reading or cancelling another team's job."""

    async def scenario(cell: Cell) -> None:
        huge = make_spec(resources=Resources(30_000, GIB, 0))
        view = (await cell.services[0].submit(huge, None, "labs")).unwrap()
        shown = (await cell.services[1].show(view.job_id, "labs")).unwrap()
        assert shown.wait_reason is WaitReason.FITS_NOWHERE
        for service in cell.services:
            for call in (service.show, service.cancel):
                error = (await call(view.job_id, "counters")).unwrap_err()
                assert error.kind == "PermissionRefused"
            refused = await service.submit(make_spec("s9"), None, "counters")
            assert refused.unwrap_err().kind == "PermissionRefused"
            assert (await service.list("counters", 10)).unwrap() == []
            assert len((await service.list(None, 10)).unwrap()) == 1
            await until(
                lambda: all(w.reachable for w in cell.services[0]._driver._workers.values())
            )
            assert {w.state for w in (await service.workers()).unwrap()} == {"live"}
            assert [t.name for t in (await service.teams("labs")).unwrap()] == ["labs"]
        # An id without a known failure domain must not be reported as a retryable missing leader.
        for unknown in ("a.0", "nope", "z.0"):
            missing = await cell.services[1].show(unknown)
            assert missing.unwrap_err().kind == "NotFound"
        other = await cell.services[0].submit(make_spec("s3"), "b")
        assert other.unwrap_err().kind == "LeadershipLost"

    run(2, scenario)
