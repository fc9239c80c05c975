"""Guards the division of a machine: no use may take what another one needs."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from nutmeglb._internal.admin import server as admin
from nutmeglb._internal.routing import listener as routing
from nutmeglb_decisions.intake import limits
from nutmeglb_decisions.intake.limits import (
    CONNECTION_BYTES,
    HANDSHAKE_BYTES,
    divide_descriptors,
    intake_bytes,
    limit_handshakes,
    limit_listener,
)
from nutmeglb_platform import frontend

# Memory in MiB and descriptors of the machines of the users' deployments.
MACHINES = [(160, 3_075), (160, 4_100), (200, 4_100), (300, 4_100), (440, 10_250), (552, 8_192)]


@pytest.mark.parametrize("descriptors", [256, 512, 1_638, *(each for _, each in MACHINES)])
def test_descriptors_are_given_out_once(descriptors):
    plan = divide_descriptors(descriptors)
    shared = plan.callers + plan.health + plan.handshakes + plan.peers + plan.workers
    assert shared <= descriptors
    if descriptors >= 1_638:
        assert shared + plan.services + plan.files <= descriptors
        assert plan.workers >= descriptors // 4


@pytest.mark.parametrize(("memory_mb", "descriptors"), MACHINES)
def test_clients_of_all_listeners_stay_within_their_part(memory_mb, descriptors):
    plan = divide_descriptors(descriptors)
    caller = limit_listener(
        memory_mb,
        frontend.CALLER_SHARE,
        plan.callers,
        frontend.CALLER_COSTS.largest_request_bytes,
    )
    health = limit_listener(
        memory_mb,
        frontend.HEALTH_SHARE,
        plan.health,
        frontend.HEALTH_COSTS.largest_request_bytes,
    )
    handshakes = limit_handshakes(memory_mb, descriptors)
    total = caller.total_bytes + health.total_bytes + handshakes * HANDSHAKE_BYTES
    assert total <= intake_bytes(memory_mb)
    assert caller.connections <= plan.callers
    assert health.connections <= plan.health
    assert handshakes <= plan.handshakes


@given(
    memory_mb=st.integers(64, 4_096),
    share=st.floats(0.01, 0.8),
    descriptors=st.integers(1, 100_000),
    largest=st.integers(1_000, 8_000_000),
)
def test_the_largest_request_always_fits_beside_the_reserve(memory_mb, share, descriptors, largest):
    found = limit_listener(memory_mb, share, descriptors, largest)
    assert largest <= found.request_bytes - found.small_reserve_bytes
    assert found.connections >= limits.MIN_CONNECTIONS
    budget = share * intake_bytes(memory_mb)
    if 2 * largest < budget / 2 and budget > 4 * limits.MIN_CONNECTIONS * CONNECTION_BYTES:
        assert found.total_bytes <= budget


def test_shares_of_the_listeners_of_a_process_leave_a_part_for_handshakes():
    for shares in (
        (frontend.CALLER_SHARE, frontend.HEALTH_SHARE),
        (routing.INTAKE_SHARE, admin.INTAKE_SHARE),
    ):
        assert sum(shares) + limits.HANDSHAKE_SHARE <= 1.0 + 1e-9
