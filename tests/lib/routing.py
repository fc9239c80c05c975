"""Request paths of several entry instances in one event loop, over real sockets."""

import asyncio
import json
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import Any, cast

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from nutmeglb._internal.context import Context, InUseGrant, LeadershipChange
from nutmeglb._internal.routing.assembly import Routing, create_routing
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.config import Config, Policy, Service
from nutmeglb_formats.models.instances import Instance, InstanceRole, InstanceState
from standins.endpoint import Behaviour, Endpoint
from tests.lib.peers import BusGroup, eventually, peer_settings
from tests.lib.tasks import (
    FixedConfig,
    FixedInstances,
    FixedLeadership,
    MemoryEvents,
    MemoryJournal,
)

SERVICE = Service("shop", "team", slots=2, connections=4, max_run_ms=2_000.0)


class LeadershipWithGrants(FixedLeadership):
    """Leadership set by the test, including the grants reported to a new leader."""

    reporter: Callable[[], Sequence[InUseGrant]] = staticmethod(lambda: ())

    def set_grant_reporter(self, reporter: Callable[[], Sequence[InUseGrant]]) -> None:
        self.reporter = reporter

    def settle(
        self,
        epoch: int,
        leader: str | None,
        in_use: tuple[InUseGrant, ...] = (),
        unknown: tuple[str, ...] = (),
    ) -> None:
        self.epoch, self.leader_instance = epoch, leader
        is_self = leader == self._instance
        for callback in self._callbacks:
            callback(LeadershipChange(epoch, leader, is_self, True, in_use, unknown))


class Node:
    """One entry instance."""

    def __init__(self, ctx: Context, routing: Routing) -> None:
        self.ctx = ctx
        self.routing = routing

    @property
    def leadership(self) -> LeadershipWithGrants:
        return cast(LeadershipWithGrants, self.ctx.leadership)

    def violations(self) -> float:
        counter = self.ctx.metrics.counter("nutmeglb_invariant_violations_total", "")
        names = ("capacity", "leaving", "own_answer", "true_not_run", "at_most_once")
        return sum(cast(Any, counter).value(invariant=name) for name in names)


class Cell:
    """Entry instances and endpoints. The first instance of each domain leads it."""

    def __init__(self, service: Service = SERVICE, **routing_settings: object) -> None:
        self.group = BusGroup()
        self.nodes: dict[str, Node] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.journals: dict[str, MemoryJournal] = {}
        self.instances = FixedInstances()
        self._settings = routing_settings
        self._service = service
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)

    async def start(self, domains: dict[str, int], endpoints: dict[str, int]) -> None:
        """Start the given numbers of instances and endpoints per failure domain."""
        for domain, count in endpoints.items():
            for number in range(count):
                await self.add_endpoint(f"{domain}-ep{number}", domain)
        weights = {domain: 1.0 / len(domains) for domain in domains}
        policy = Policy("default", domain_weights=weights)
        config = Config(1, {self._service.name: self._service}, policies={"default": policy})
        for domain, count in domains.items():
            self.journals[domain] = MemoryJournal()
            for number in range(count):
                await self._add_node(f"{domain}{number}", domain, config)
        ids = list(self.nodes)
        buses = self.group.buses
        await eventually(
            lambda: all(
                buses[one].connected(other)
                for one in ids
                for other in ids
                if one != other and one[0] == other[0]
            )
        )
        for domain in domains:
            self.set_leader(f"{domain}0", 1)

    async def _add_node(self, instance_id: str, domain: str, config: Config) -> None:
        bus = await self.group.start(instance_id, domain)
        settings = peer_settings(instance_id, domain)
        settings = settings.model_copy(
            update={"routing": settings.routing.model_copy(update=self._settings)}
        )
        ctx = Context(
            settings=settings,
            clock=Clock(),
            rng=random.Random(instance_id),
            instance_id=instance_id,
            domain=domain,
            peers=bus,
            instances=self.instances,
            store=cast(Any, None),
            config=FixedConfig(config),
            leadership=cast(Any, LeadershipWithGrants(instance_id)),
            journal=cast(Any, self.journals[domain]),
            events=cast(Any, MemoryEvents()),
            metrics=cast(Any, MetricsRegistry()),
        )
        node = Node(ctx, create_routing(ctx))
        self.nodes[instance_id] = node
        for component in node.routing.components:
            await component.start()

    async def add_endpoint(
        self, name: str, domain: str, address: str = "", **behaviour: object
    ) -> Endpoint:
        """Start and list an endpoint. A given ``address`` is listed instead of its own."""
        endpoint = Endpoint(Behaviour(**{"mean_ms": 1.0, **behaviour}))  # type: ignore[arg-type]
        await endpoint.start()
        self.endpoints[name] = endpoint
        item = Instance(
            name,
            InstanceRole.ENDPOINT,
            domain,
            address or f"127.0.0.1:{endpoint.port}",
            service=self._service.name,
        )
        self.instances.set([*self.instances.items, item])
        return endpoint

    def set_leaving(self, name: str) -> None:
        """List an endpoint as leaving."""
        self.instances.set(
            [
                replace(item, state=InstanceState.LEAVING) if item.instance_id == name else item
                for item in self.instances.items
            ]
        )

    def set_leader(self, leader: str, epoch: int, **change_fields: Any) -> None:
        """Make an instance the settled leader of its domain."""
        domain = self.nodes[leader].ctx.domain
        for node in self.nodes.values():
            if node.ctx.domain == domain:
                node.leadership.settle(epoch, leader, **change_fields)

    async def call(
        self, instance_id: str, path: str = "/x", method: str = "GET", **headers: str
    ) -> HTTPResponse:
        """Send a request to an instance. Underscores in header names stand for hyphens."""
        body = headers.pop("body", None)
        request = HTTPRequest(
            f"http://{self.nodes[instance_id].routing.listener.bound_address}"
            f"/services/{self._service.name}{path}",
            method=method,
            headers={name.replace("_", "-"): value for name, value in headers.items()},
            body=body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            request_timeout=20.0,
        )
        return await self._client.fetch(request, raise_error=False)

    def runs(self, marker: str = "") -> list[Any]:
        """Return the runs of all endpoints, or only those with a marker."""
        return [
            run
            for endpoint in self.endpoints.values()
            for run in endpoint.record.runs
            if marker in ("", run.marker)
        ]

    async def stop(self) -> None:
        """Stop everything."""
        self._client.close()
        for node in self.nodes.values():
            for component in reversed(node.routing.components):
                await component.stop()
        await self.group.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop()


def outcome_of(response: HTTPResponse) -> tuple[int, str, str]:
    """Return status, outcome and reason of a response."""
    outcome = response.headers.get("X-Request-Outcome", "")
    reason = json.loads(response.body)["reason"] if outcome != "answered" else ""
    return response.code, outcome, reason.split(":")[0]


def run_in_cell(
    test: Callable[[Cell], Coroutine[Any, Any, None]],
    domains: dict[str, int],
    endpoints: dict[str, int],
    service: Service = SERVICE,
    **routing_settings: object,
) -> None:
    """Run a test in a new cell, and check that no invariant was violated."""

    async def main() -> None:
        cell = Cell(service, **routing_settings)
        try:
            await cell.start(domains, endpoints)
            await test(cell)
            assert {node.violations() for node in cell.nodes.values()} == {0.0}
        finally:
            await cell.stop()

    asyncio.run(main())
