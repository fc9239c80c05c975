"""Guards against a leader whose term ends because of one exception or lost response."""

import asyncio
from dataclasses import replace

from nutmeglb._internal.queues import worker_link
from nutmeglb_decisions.queues import placing, reports
from standins.metadata_store import Fault
from tests.lib.queue_path import job_body, run_scenario

JOB = "00000000000000aa"
OTHER = "00000000000000bb"


async def completes_under_one_leader(path, action):
    """Run a job while something fails. Return whether the leader is still in the same term."""
    leader = path.leader
    term = leader.node._election.term
    await action()
    await path.call("POST", JOB, job_body())
    await path.until_state(JOB, "completed")
    return leader.node._election.term is term


def test_lost_answers_of_writes_do_not_change_the_leader():
    """Guards against a change of leader while the store loses the answers to all instances.

    A successor would lose the answers as well.
    """

    async def scenario(path):
        leader = path.leader
        await path.until(lambda: leader.node.followers == 1)
        term = leader.node._election.term
        for _ in range(4):
            path.inject_store_fault(Fault.LOSE_ANSWERS)
            await asyncio.sleep(0.35)
            path.heal()
            await asyncio.sleep(0.25)
        assert leader.node._election.term is term

    run_scenario(scenario)


def test_defect_in_the_report_of_one_worker_affects_only_this_worker(monkeypatch):
    """Guards against leaders that step down one after another because of the same report."""
    apply_report = reports.apply_report
    failures = []

    def failing(cell, worker, *arguments):
        if worker.runs and len(failures) < 3:
            failures.append(worker.worker_id)
            raise ValueError("unexpected report")
        apply_report(cell, worker, *arguments)

    monkeypatch.setattr(worker_link.reports, "apply_report", failing)

    async def scenario(path):
        assert await completes_under_one_leader(path, _no_operation)
        assert failures

    run_scenario(scenario)


def test_defect_in_an_order_does_not_lose_the_task():
    async def scenario(path):
        gateway = path.leader.node._leader._workers._gateway
        start = gateway.start
        failures = []

        async def failing(worker, order):
            if not failures:
                failures.append(order.task)
                raise ValueError("unexpected response")
            return await start(worker, order)

        gateway.start = failing
        assert await completes_under_one_leader(path, _no_operation)
        assert failures

    run_scenario(scenario)


def test_defect_in_the_placement_of_one_step_does_not_delay_other_steps(monkeypatch):
    """Guards against a job that ends the term of every leader that tries to place it."""
    place = placing._place_step

    def failing(state, step):
        if step.job.job_id == OTHER:
            raise ValueError("unexpected step")
        place(state, step)

    monkeypatch.setattr(placing, "_place_step", failing)

    async def scenario(path):
        async def submit():
            await path.call("POST", OTHER, job_body())

        assert await completes_under_one_leader(path, submit)

    run_scenario(scenario)


def test_advice_validity_starts_at_the_calling_instance(monkeypatch):
    """Guards against a leader that reads an answer late and uses tickets that have expired."""

    async def scenario(path):
        leader = path.leader.node
        await path.until(lambda: leader.followers == 1)
        deliver = leader._links._on_message
        delay_s = 0.4

        def received(link, message):
            asyncio.get_running_loop().call_later(delay_s, deliver, link, message)

        leader._links._callbacks = replace(leader._links._callbacks, on_message=received)
        for link in leader._links._links.values():
            link._callbacks = leader._links._callbacks
        called_ms = leader._clock.now_ms()
        answer = await leader._advice_dispatcher.request_advice(f"{JOB}.0.0", ["w0"], 5.0)
        elapsed_ms = leader._clock.now_ms() - called_ms
        assert elapsed_ms >= delay_s * 1_000
        assert answer.ok_value.expires_at_ms <= called_ms + elapsed_ms - delay_s * 900 + 2_000.0

    monkeypatch.setattr(
        "nutmeglb._internal.queues.advice_dispatcher.FIRST_CALL_ALLOWANCE_MS", 2_000.0
    )
    run_scenario(scenario)


async def _no_operation():
    return None
