"""Selection of another domain for requests that would wait too long in their own."""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from nutmeglb_formats.wire.routing import DomainSummary, ServiceSummary

# One-way latency between domains, incurred once by the request and once by the response.
CROSS_DOMAIN_LATENCY_MS = 0.5
# Additional cost of a forwarded request: another instance processes it and its body.
FORWARD_COST_MS = 2.0
# A summary is sent once a second. After three missed summaries a domain counts as unreachable.
SUMMARY_MAX_AGE_MS = 3_500.0


@dataclass(slots=True)
class _RemoteService:
    """Last reported load of a service in another domain.

    ``allowance`` is the number of requests that may still be forwarded there without waiting.
    """

    summary: ServiceSummary
    received_ms: float
    refilled_ms: float
    allowance: float


class Spillover:
    """Selects the domain with the shortest expected wait from the summaries of all domains.

    All domains see the same free slots. Each domain therefore uses only its share of them and of
    the rate at which they become free. Otherwise all domains would forward their excess requests to
    the same domain for a full second, until its next summary.
    """

    def __init__(self, own_domain: str, rng: random.Random) -> None:
        self._own_domain = own_domain
        self._rng = rng
        self._remotes: dict[str, dict[str, _RemoteService]] = {}

    def update(self, now_ms: float, summary: DomainSummary) -> None:
        """Apply a summary of another domain."""
        if summary.domain == self._own_domain:
            return
        sharing_domains = max(1, len(set(self._remotes) | {summary.domain}))
        self._remotes[summary.domain] = {
            name: _RemoteService(item, now_ms, now_ms, item.free_slots / sharing_domains)
            for name, item in summary.services.items()
        }

    def forget(self, domain: str) -> None:
        """Remove a domain that is unreachable."""
        self._remotes.pop(domain, None)

    def domains(self) -> Mapping[str, dict[str, _RemoteService]]:
        """Return the last summaries by domain and service."""
        return self._remotes

    def choose(self, now_ms: float, service: str, local_wait_ms: float) -> str | None:
        """Return the domain to which a request is forwarded, or ``None`` to keep it local.

        Parameters
        ----------
        local_wait_ms
            Expected wait in the own domain; infinite if it has no usable slots.
        """
        best: str | None = None
        best_ms = local_wait_ms
        for domain in self._shuffled_domains():
            remote = self._remotes[domain].get(service)
            if remote is None or now_ms - remote.received_ms > SUMMARY_MAX_AGE_MS:
                continue
            cost_ms = self._wait_ms(now_ms, remote) + 2 * CROSS_DOMAIN_LATENCY_MS + FORWARD_COST_MS
            if cost_ms < best_ms:
                best, best_ms = domain, cost_ms
        if best is not None:
            self._remotes[best][service].allowance -= 1.0
        return best

    def _shuffled_domains(self) -> list[str]:
        domains = list(self._remotes)
        self._rng.shuffle(domains)
        return domains

    def _wait_ms(self, now_ms: float, remote: _RemoteService) -> float:
        summary = remote.summary
        if summary.slots == 0:
            return math.inf
        self._refill(now_ms, remote)
        if remote.allowance >= 1.0:
            return 0.0
        requests_ahead = summary.queued + 1.0 - remote.allowance
        return requests_ahead * summary.mean_ms / summary.slots * max(1, len(self._remotes))

    def _refill(self, now_ms: float, remote: _RemoteService) -> None:
        summary = remote.summary
        elapsed_ms = now_ms - remote.refilled_ms
        remote.refilled_ms = now_ms
        if summary.mean_ms <= 0.0:
            return
        sharing_domains = max(1, len(self._remotes))
        limit = max(summary.free_slots, 0) / sharing_domains
        refill = summary.free_slots * elapsed_ms / summary.mean_ms / sharing_domains
        remote.allowance = min(limit, remote.allowance + refill)
