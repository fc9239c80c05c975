"""Pledge round in which a new leader collects the grants of former leaders."""

from collections.abc import Iterable
from typing import Any

from nutmeglb_decisions.authority import DomainPeers
from nutmeglb_decisions.leadership_events import LeadershipTimes, SendPledge

PLEDGE_RETRY_INTERVAL_MS = 500.0


class PledgeRound:
    """Collects a pledge and the grants in use from every other instance of the domain.

    The round ends when every instance has pledged or can no longer have authority. An instance has
    none once the lease time and the margin have passed since it was last reachable. The grants of
    an instance that did not pledge stay unknown.
    """

    def __init__(
        self, epoch: int, round_id: int, started_ms: float, times: LeadershipTimes
    ) -> None:
        self.epoch = epoch
        self.round_id = round_id
        self.grants: list[Any] = []
        self._times = times
        self._pledged: set[str] = set()
        self._last_sent_ms: dict[str, float] = {}
        self._deadline_ms = started_ms + times.lease_ms + times.promise_ms + times.margin_ms

    def pledges_due(
        self, instances: Iterable[str], reachable: frozenset[str], now_ms: float
    ) -> list[SendPledge]:
        """Return the pledges to send or resend now."""
        due = []
        for instance in sorted(set(instances) & reachable - self._pledged):
            last_sent_ms = self._last_sent_ms.get(instance)
            if last_sent_ms is None or now_ms - last_sent_ms >= PLEDGE_RETRY_INTERVAL_MS:
                self._last_sent_ms[instance] = now_ms
                due.append(SendPledge(instance, self.epoch, self.round_id))
        return due

    def record_pledge(self, instance: str, grants: Iterable[Any]) -> None:
        """Record an accepted pledge."""
        if instance not in self._pledged:
            self._pledged.add(instance)
            self.grants.extend(grants)

    def must_wait(self, domain_peers: DomainPeers, now_ms: float) -> bool:
        """Return whether an instance that has not pledged may still have authority."""
        if now_ms >= self._deadline_ms:
            return False
        if not domain_peers.has_platform_list:
            return True
        max_authority_ms = self._times.lease_ms + self._times.margin_ms
        missing = self.missing(domain_peers.instance_names())
        return any(
            now_ms - domain_peers.last_reachable_ms(name) < max_authority_ms for name in missing
        )

    def missing(self, instances: Iterable[str]) -> list[str]:
        """Return the instances that have not pledged."""
        return sorted(set(instances) - self._pledged)
