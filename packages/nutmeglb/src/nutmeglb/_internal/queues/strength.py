"""How well a machine can carry the work of a leader."""

from nutmeglb._internal.queues.settings import MachineSection
from nutmeglb_decisions.queues.succession import FULL_STRENGTH

# What a leader uses at the design size of 175 workers: bursts of orders and reads of all workers.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 25.0
# An instance with nothing of this campaigns later by this time; in between in proportion.
WEAK_DELAY_MS = 400.0


def campaign_delay_ms(machine: MachineSection) -> float:
    """Return by how many milliseconds a machine campaigns later than one that leads well.

    Load pattern answered: a burst at a leader with little processor time or a narrow link, which
    delays every order while stronger instances idle.
    """
    return WEAK_DELAY_MS * (1.0 - strength_of(machine))


def strength_of(machine: MachineSection) -> float:
    """Return the share of what a leader needs that a machine has, up to 1."""
    share = min(machine.cores / LEADER_CORES, machine.link_mbps / LEADER_LINK_MBPS)
    return min(FULL_STRENGTH, share)
