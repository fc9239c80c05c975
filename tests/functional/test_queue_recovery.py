"""Return to service after failures of many instances or of the store."""

import pytest

from standins.metadata_store import Fault
from tests.lib.queue_path import job_body, run_scenario

JOB = "00000000000000aa"
# Longer than the timeout of a store call, and shorter than the transfer time allowed on the link.
TRANSFER_S = 0.5
NARROW_LINK_MBPS = 20.0


def test_instance_on_a_narrow_link_starts_with_a_large_configuration():
    """Guards against instances that never serve again, once many queues have been added."""

    async def scenario(path):
        added = await path.add_entry("e1", range_delays_s={"op/config": TRANSFER_S})
        await path.until(lambda: added.node.ready)

    run_scenario(scenario, link_mbps=NARROW_LINK_MBPS, entries=1)


def test_instances_are_ready_at_once_when_the_store_is_back(monkeypatch):
    """Guards against an instance that counts as unready until its first watch ends."""
    monkeypatch.setattr("nutmeglb._internal.queues.node.wait_within", lambda settings: 60_000)

    async def scenario(path):
        path.inject_store_fault(Fault.REFUSE)
        path.configure()
        await path.until(lambda: not any(entry.node.ready for entry in path.entries))
        path.heal()
        await path.until(lambda: all(entry.node.ready for entry in path.entries))

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.REFUSE])
def test_first_submission_of_a_store_outage_is_refused_at_once(monkeypatch, fault):
    """Guards against a write whose outcome stays unknown until its caller's deadline."""
    monkeypatch.setattr("nutmeglb._internal.queues.node.wait_within", lambda settings: 50)

    async def scenario(path):
        path.inject_store_fault(fault)
        await path.until(lambda: not path.entries[0].node.ready)
        assert (await path.call("POST", JOB, job_body()))[0] == 503
        path.heal()
        await path.until(lambda: path.entries[0].node.ready)
        assert (await path.call("POST", JOB, job_body()))[0] == 200

    run_scenario(scenario, entries=1)


def test_job_accepted_before_the_connection_to_a_new_leader_starts_at_once(monkeypatch):
    """Guards against urgent jobs that wait for the next poll of the store after an election."""
    monkeypatch.setattr("nutmeglb._internal.queues.inbox_reader.MS_PER_S", 1.0)

    async def scenario(path):
        follower = next(n for n, entry in enumerate(path.entries) if not entry.node.is_leading)
        links = path.entries[follower].node._links
        leader_record = links._leader
        links._leader = None
        assert (await path.call("POST", JOB, job_body(), follower))[0] == 200
        links._leader = leader_record
        await path.until(lambda: path.starts)

    run_scenario(scenario)
