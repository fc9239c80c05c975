"""Endpoints that are leaving, by the instance list or by their own announcement."""

from collections.abc import Callable

from nutmeglb._internal.context import Context
from nutmeglb_formats.models.instances import Instance, InstanceRole, InstanceState
from nutmeglb_formats.wire.routing import EndpointLeaving


class LeavingEndpoints:
    """What this instance knows of endpoints that must get no new work.

    An announcement holds until the endpoint has disappeared from the list, and is passed on to all
    instances of the domain, so that a later leader knows it too.
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
        """Call back with every endpoint that announces its departure."""
        self._subscribers.append(callback)

    def may_send(self, endpoint: str) -> bool:
        """Return whether an endpoint may get a request now."""
        return endpoint not in self._leaving_ids

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether a listed endpoint is leaving."""
        announced = instance.instance_id in self._announced_ids
        return announced or instance.state is InstanceState.LEAVING

    def on_announced(self, endpoint: str) -> None:
        """Note the announcement in a response, and tell the domain."""
        if self._mark_leaving(endpoint):
            self._ctx.peers.broadcast_domain(EndpointLeaving(endpoint))

    def _on_message(self, sender: str, message: EndpointLeaving) -> None:
        self._mark_leaving(message.endpoint)

    def _mark_leaving(self, endpoint: str) -> bool:
        if endpoint in self._announced_ids:
            return False
        self._announced_ids.add(endpoint)
        self._leaving_ids.add(endpoint)
        self._ctx.events.emit("endpoint_leaving", "announced in a response", endpoint=endpoint)
        for callback in self._subscribers:
            callback(endpoint)
        return True

    def _on_instance_list(self) -> None:
        listed = self._ctx.instances.instances(InstanceRole.ENDPOINT)
        self._announced_ids &= {instance.instance_id for instance in listed}
        self._leaving_ids = {item.instance_id for item in listed if self.is_leaving(item)}
