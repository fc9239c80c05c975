"""Status of this instance as the administration API shows it."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from nutmeglb._internal.configuration import TicketConfiguration
from nutmeglb._internal.context import Context
from nutmeglb._internal.lifecycle import LifecycleState
from nutmeglb._internal.peers.bus import Bus
from nutmeglb_formats.models.admin import InstanceView
from nutmeglb_formats.models.instances import Member


class NodeStatus:
    """Implements the ``StatusService`` of the administration API.

    Parameters
    ----------
    lifecycle_state
        Returns the stage of this instance's lifecycle.
    components
        Returns the status of every component by name.
    """

    def __init__(
        self,
        ctx: Context,
        bus: Bus,
        configuration: TicketConfiguration,
        lifecycle_state: Callable[[], LifecycleState],
        components: Callable[[], Mapping[str, Mapping[str, object]]],
    ) -> None:
        self._ctx = ctx
        self._bus = bus
        self._configuration = configuration
        self._lifecycle_state = lifecycle_state
        self._components_status = components

    def identity(self) -> tuple[str, str]:
        """Return instance id and failure domain."""
        return self._ctx.instance_id, self._ctx.domain

    def status(self) -> Mapping[str, Mapping[str, Any]]:
        """Return the status values per component and this instance's lifecycle stage."""
        return {"node": {"state": self._lifecycle_state().value}, **self._components_status()}

    def instances(self) -> Sequence[InstanceView]:
        """Return all known entry instances, including this one."""
        return [self._view(member) for member in self._bus.members()]

    def ticket_number(self) -> int:
        """Return the number of the last ticket in force here."""
        return self._configuration.current().number

    def ready(self) -> bool:
        """Return whether the instance accepts requests: configured and not draining."""
        return self._lifecycle_state() is LifecycleState.SERVING and self._configuration.is_loaded

    def _view(self, member: Member) -> InstanceView:
        ticket: int | None = None
        stale_since_ms: float | None = None
        latest_heartbeat = self._bus.last_heartbeat(member.instance_id)
        if member.instance_id == self._ctx.instance_id:
            ticket = self.ticket_number()
            stale_since_ms = self._configuration.stale_since_ms
        elif latest_heartbeat is not None:
            ticket, stale_since_ms = latest_heartbeat.ticket, latest_heartbeat.stale_since_ms
        return InstanceView(
            member.instance_id,
            member.domain,
            member.state.value,
            member.admin_address,
            ticket,
            stale_since_ms,
        )
