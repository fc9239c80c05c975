"""Creates the components of the request path."""

from dataclasses import dataclass

from nutmeglb._internal.context import Component, Context
from nutmeglb._internal.routing.exchange import Dispatcher
from nutmeglb._internal.routing.forwarding import Forwarder
from nutmeglb._internal.routing.idempotency_keys import IdempotencyKeyService
from nutmeglb._internal.routing.leaving import LeavingEndpoints
from nutmeglb._internal.routing.listener import CallerListener
from nutmeglb._internal.routing.outbox import Outbox
from nutmeglb._internal.routing.runner import RequestRunner
from nutmeglb._internal.routing.slot_broker import SlotBroker
from nutmeglb._internal.routing.slot_client import SlotClient
from nutmeglb._internal.routing.violations import ViolationReporter
from nutmeglb._internal.routing.witness import WitnessedGrants, WitnessRecords
from nutmeglb_decisions.routing.spillover import Spillover
from nutmeglb_formats.wire.routing import SlotGrant, SlotRefused


@dataclass(frozen=True, slots=True)
class Routing:
    """Components of the request path.

    Attributes
    ----------
    components
        In start order. They are drained and stopped in reverse order.
    """

    listener: CallerListener
    broker: SlotBroker
    keys: IdempotencyKeyService
    forwarder: Forwarder
    dispatcher: Dispatcher
    runner: RequestRunner

    @property
    def components(self) -> tuple[Component, ...]:
        """Return the components in start order."""
        return (self.keys, self.broker, self.runner, self.forwarder, self.listener)


def create_routing(ctx: Context) -> Routing:
    """Create the request path of an entry instance."""
    violations = ViolationReporter(ctx)
    spillover = Spillover(ctx.domain, ctx.rng)
    leaving = LeavingEndpoints(ctx)
    records = WitnessRecords(ctx)
    broker = SlotBroker(ctx, leaving, spillover, violations, WitnessedGrants(ctx), records)

    def receive(sender: str, message: object) -> None:
        if isinstance(message, SlotGrant):
            client.on_grant(sender, message)
        elif isinstance(message, SlotRefused):
            client.on_refused(sender, message)
        else:
            broker.receive(sender, message)

    outbox = Outbox(ctx, receive)
    client = SlotClient(ctx, outbox, records, spillover)
    broker.attach(outbox, client)
    dispatcher = Dispatcher(
        ctx.clock,
        ctx.settings.routing.body_limit_bytes,
        leaving.may_send,
        leaving.on_announced,
    )
    keys = IdempotencyKeyService(ctx)
    runner = RequestRunner(ctx, client, dispatcher, keys, violations)
    forwarder = Forwarder(ctx, runner, spillover, broker.summary)
    listener = CallerListener(ctx, runner)
    return Routing(listener, broker, keys, forwarder, dispatcher, runner)
