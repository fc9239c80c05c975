"""Endpoints that are leaving, as listed or as announced in their responses."""

from collections.abc import Callable

from nutmeglb._internal.context import Context
from nutmeglb_formats.models.instances import Instance, InstanceRole, InstanceState
from nutmeglb_formats.wire.routing import EndpointLeaving


class LeavingEndpoints:
    """Endpoints that must not receive new requests.

    An announcement is valid until the endpoint has disappeared from the instance list. It is
    broadcast to all instances of the domain, so that a later leader knows it as well.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._announced_ids: set[str] = set()
        self._leaving_ids: set[str] = set()
        self._subscribers: list[Callable[[str], None]] = []
        ctx.peers.on(EndpointLeaving, self._on_message)
        ctx.instances.subscribe(self._on_instance_list)
        self._on_instance_list()

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with every endpoint that announces its departure."""
        self._subscribers.append(callback)

    def may_send(self, endpoint: str) -> bool:
        """Return whether an endpoint may receive a request now."""
        return endpoint not in self._leaving_ids

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether a listed endpoint is leaving."""
        announced = instance.instance_id in self._announced_ids
        return announced or instance.state is InstanceState.LEAVING

    def on_announced(self, endpoint: str) -> None:
        """Record the announcement in a response and broadcast it to the domain."""
        if self._mark_leaving(endpoint):
            self._ctx.peers.broadcast_domain(EndpointLeaving(endpoint))

    def _on_message(self, sender: str, message: EndpointLeaving) -> None:
        self._mark_leaving(message.endpoint)

    def _mark_leaving(self, endpoint: str) -> bool:
        if endpoint in self._announced_ids:
            return False
        self._announced_ids.add(endpoint)
        self._leaving_ids.add(endpoint)
        self._ctx.events.emit(
            "endpoint_leaving",
            "the endpoint announced its departure in a response",
            endpoint=endpoint,
        )
        for callback in self._subscribers:
            callback(endpoint)
        return True

    def _on_instance_list(self) -> None:
        listed = self._ctx.instances.instances(InstanceRole.ENDPOINT)
        self._announced_ids &= {instance.instance_id for instance in listed}
        self._leaving_ids = {item.instance_id for item in listed if self.is_leaving(item)}
