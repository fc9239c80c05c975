"""Suitability of a machine for the work of the leader."""

from nutmeglb._internal.queues.settings import MachineSection
from nutmeglb_decisions.queues.succession import FULL_STRENGTH

# Resources that a leader needs at the design size of 175 workers, for bursts of orders and reads of
# all workers.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 25.0
# Campaign delay of an instance with a strength of 0. It decreases linearly to 0 at full strength.
MAX_CAMPAIGN_DELAY_MS = 400.0


def campaign_delay_ms(machine: MachineSection) -> float:
    """Return the delay in milliseconds after which an instance on a machine campaigns.

    Load pattern: a burst at a leader with little processor time or a narrow link, which delays
    every order while stronger instances are idle.
    """
    return MAX_CAMPAIGN_DELAY_MS * (1.0 - strength_of(machine))


def strength_of(machine: MachineSection) -> float:
    """Return the share of a leader's needs that a machine meets, at most 1."""
    share = min(machine.cores / LEADER_CORES, machine.link_mbps / LEADER_LINK_MBPS)
    return min(FULL_STRENGTH, share)
