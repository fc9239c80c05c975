"""Slot broker of a domain's leader, with a queue and a slot ledger for every service."""

import random
from collections.abc import Container, Iterable, Mapping
from itertools import chain

from nutmeglb_decisions.routing.endpoints import EndpointView
from nutmeglb_decisions.routing.grants import Grant, HeldSlot, Send
from nutmeglb_decisions.routing.service_broker import ServiceBroker
from nutmeglb_decisions.routing.spillover import Spillover
from nutmeglb_formats.models.config import Service
from nutmeglb_formats.wire.routing import (
    DomainSummary,
    RefusalReason,
    SlotCancel,
    SlotRefused,
    SlotRelease,
    SlotRequest,
)

__all__ = ["EndpointView", "Grant", "HeldSlot", "Send", "SlotBrokerCore"]


class SlotBrokerCore:
    """State machine of the slot broker during one epoch.

    Parameters
    ----------
    epoch
        Epoch of the leadership under which all grants are issued.
    start_within_ms
        Time within which a grant must be used, from the settings key ``routing.grant_start_ms``.
    """

    def __init__(
        self,
        domain: str,
        epoch: int,
        start_within_ms: float,
        rng: random.Random,
        spillover: Spillover | None = None,
    ) -> None:
        self._domain = domain
        self._epoch = epoch
        self._start_within_ms = start_within_ms
        self._rng = rng
        self._services: dict[str, ServiceBroker] = {}
        self._grant_count = 0
        self.spillover = spillover or Spillover(domain, rng)

    def service(self, name: str) -> ServiceBroker | None:
        """Return the broker of a service, or ``None`` if the service is unknown."""
        return self._services.get(name)

    def services(self) -> Mapping[str, ServiceBroker]:
        """Return the brokers of all services by name."""
        return self._services

    def configure(
        self,
        now_ms: float,
        services: Mapping[str, Service],
        endpoints: Mapping[str, Iterable[EndpointView]],
    ) -> list[Send]:
        """Apply the configuration and the instance list.

        A service that was removed from the configuration is kept until its slots are free.
        """
        effects: list[Send] = []
        for name, service in services.items():
            broker = self._services.get(name)
            if broker is None:
                broker = self._add_service(service)
            else:
                effects += broker.set_service(now_ms, service)
            effects += broker.set_endpoints(now_ms, endpoints.get(name, ()))
        for name in [name for name in self._services if name not in services]:
            if self._services[name].grants:
                effects += self._services[name].set_endpoints(now_ms, ())
            else:
                del self._services[name]
        return effects

    def _add_service(self, service: Service) -> ServiceBroker:
        broker = ServiceBroker(
            service,
            self._epoch,
            self._start_within_ms,
            self._rng,
            self.spillover.choose,
            self._next_grant_id,
        )
        self._services[service.name] = broker
        return broker

    def recover(
        self, now_ms: float, in_use: Mapping[str, Iterable[HeldSlot]], unknown: bool
    ) -> None:
        """Count slots that were in use before this epoch. Called after the first ``configure``.

        Parameters
        ----------
        in_use
            Reported slots by service.
        unknown
            Whether a former member may hold grants that no instance reported.
        """
        for name, broker in self._services.items():
            broker.recover(now_ms, in_use.get(name, ()), unknown)

    def slots_unreported_by(
        self, now_ms: float, holders: Container[str]
    ) -> list[tuple[str, HeldSlot]]:
        """Return service and slots that none of ``holders`` can report to the next leader."""
        return [
            (name, item)
            for name, broker in self._services.items()
            for item in broker.slots_unreported_by(now_ms, holders)
        ]

    def request(self, now_ms: float, holder: str, message: SlotRequest) -> list[Send]:
        """Grant, queue or refuse a request."""
        broker = self._services.get(message.service)
        if broker is None:
            refused = SlotRefused(message.request_id, RefusalReason.UNKNOWN_SERVICE)
            return [Send(holder, refused)]
        return broker.request(now_ms, holder, message)

    def cancel(self, message: SlotCancel) -> None:
        """Withdraw a waiting request."""
        broker = self._services.get(message.service)
        if broker is not None:
            broker.cancel(message.request_id)

    def release(self, now_ms: float, holder: str, message: SlotRelease) -> list[Send]:
        """Release a grant."""
        broker = self._services.get(message.service)
        return broker.release(now_ms, holder, message) if broker is not None else []

    def withdraw_requests_of(self, holder: str) -> None:
        """Withdraw the waiting requests of an instance that is no longer connected."""
        for broker in self._services.values():
            broker.withdraw_requests_of(holder)

    def mark_leaving(self, endpoint: str) -> None:
        """Issue no more grants for an endpoint that announced its departure."""
        for broker in self._services.values():
            broker.mark_leaving(endpoint)

    def tick(self, now_ms: float) -> list[Send]:
        """Process expired timers and grant free slots to waiting requests."""
        brokers = list(self._services.values())
        return list(chain.from_iterable(broker.tick(now_ms) for broker in brokers))

    def next_timer_ms(self) -> float | None:
        """Return the time at which ``tick`` must be called, or ``None``."""
        times = [broker.next_timer_ms() for broker in self._services.values()]
        return min((time for time in times if time is not None), default=None)

    def summary(self) -> DomainSummary:
        """Return the load summary that is sent to other domains."""
        services = {name: broker.summary() for name, broker in self._services.items()}
        return DomainSummary(self._domain, self._epoch, services)

    def _next_grant_id(self) -> str:
        self._grant_count += 1
        return f"{self._domain}-{self._epoch}-{self._grant_count}"
