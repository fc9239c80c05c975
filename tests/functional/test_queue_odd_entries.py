"""Guards against an entry of another writer that stops the list of workers, or ends a term."""

import asyncio

import pytest

from standins.runner import RunnerStandin
from tests.lib.odd_entries import ODD_ENTRIES, ODD_IDS, entry
from tests.lib.queue_path import job_body, run_scenario

JOB = "00000000000000aa"
OTHER = "00000000000000bb"
LEASE_MS = 10_000
# Longer than a long poll, which does not extend the lease.
RUN_LEASE_MS = 2_500
QUEUES = {
    "leader_lease_ms": LEASE_MS,
    "authority_ms": LEASE_MS,
    "run_lease_ms": RUN_LEASE_MS,
    "list_ms": 100,
    "worker_timeout_ms": 150,
}


def test_odd_entries_leave_the_other_workers_in_use():
    async def scenario(path):
        leader = path.leader
        term = leader.node._election.term
        for number, (_, value) in enumerate(ODD_ENTRIES.values()):
            path.store.data.put(f"servers/odd{number}", value)
        for worker_id in ODD_IDS:
            path.store.data.put(f"servers/{worker_id}", entry())
        runner = RunnerStandin()
        await runner.start()
        path.runners.append(runner)
        path.store.data.put("servers/added", runner.entry("pool"))
        workers = leader.node._leader.cell.workers
        await path.until(lambda: "added" in workers and workers["added"].settled)
        assert sorted(workers) == ["added", "w0", "w1"]
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")
        assert leader.node._election.term is term

    run_scenario(scenario, leader_lease_ms=LEASE_MS)


def test_worker_whose_entry_turns_odd_keeps_its_runs():
    """Guards against runs that are declared ended, or can't be stopped, on a worker that lives."""

    async def scenario(path):
        leader = path.leader
        runner = path.runners[0]
        runner.data.run_ms = 60_000.0
        await path.call("POST", JOB, {"steps": [{"cpu": 500}]})
        workers = leader.node._leader.cell.workers
        await path.until(lambda: runner.data.started and any(workers["w0"].runs))
        path.store.data.put("servers/w0", entry(address="127.0.0.1:70000"))
        await path.until(lambda: not workers["w0"].listed)
        # Longer than the lease of a run, so that it ends unless it is renewed.
        await asyncio.sleep(1.5 * RUN_LEASE_MS / 1_000)
        assert len(runner.data.started) == 1
        assert list(runner.data.running) == list(workers["w0"].runs) != []
        await path.call("DELETE", JOB)
        await path.until(lambda: "w0" not in workers)
        path.store.data.put("servers/w0", runner.entry("pool"))
        await path.until(lambda: "w0" in workers and workers["w0"].settled)

    run_scenario(scenario, settings={"queues": QUEUES}, runners=1)


@pytest.mark.parametrize(
    "body",
    [
        {"steps": [{"count": 10_000, "cpu": 1e308}]},
        {"steps": [{"count": 10_000, "cpu": 1e305, "gang": True}]},
        {"steps": [{"estimate_ms": "inf"}]},
    ],
)
def test_job_with_an_odd_number_does_not_end_the_term(body):
    """Guards against one job that ends the term of each leader in turn."""

    async def scenario(path):
        term = path.leader.node._election.term
        status, _ = await path.call("POST", OTHER, body)
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")
        assert path.leader.node._election.term is term
        assert status == 400

    run_scenario(scenario, leader_lease_ms=LEASE_MS)


def test_entries_with_an_address_of_another_process_are_not_used():
    """Guards against tasks that are placed on a process that is no worker."""

    async def scenario(path):
        term = path.leader.node._election.term
        addresses = {
            "instance": path.entries[0].address,
            "health": path.entries[1].health_address,
            "peer": path.leader.node._links.bound_address,
            "store": path.store.address,
            "advice": path.advice.address,
        }
        for worker_id, address in addresses.items():
            path.store.data.put(f"servers/{worker_id}", entry(address=address, born=1_000))
        workers = path.leader.node._leader.cell.workers
        await path.until(lambda: workers.keys() >= addresses.keys())
        # Time for several calls to each address.
        await asyncio.sleep(1.0)
        await path.call("POST", JOB, job_body())
        await path.until_state(JOB, "completed")
        assert path.leader.node._election.term is term
        assert not any(workers[name].settled for name in addresses)

    run_scenario(scenario, leader_lease_ms=LEASE_MS)
