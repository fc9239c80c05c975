"""Guards G1 to G8 over real processes: planned stop, loss of the leader, partition, leaving, races.

Conditions are awaited with generous time limits; no test asserts a duration.
"""

import asyncio
import signal
from collections.abc import Awaitable, Iterator
from typing import Any, TypeVar

import pytest
from pytest_bdd import given, scenarios, then, when

from nutmeglb_formats.models.config import Policy, Service, Team
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import Ticket
from nutmeglb_formats.ticket_text import write_ticket
from tests.lib.callers import Call, CallResult, call
from tests.lib.cluster import Cluster, Layout, Node, eventually, main_address

scenarios("whole_system.feature")

GIB = 1024**3
TASKS = 6
CALLERS_PER_ENTRY = 3
ValueT = TypeVar("ValueT")


class World:
    """A cell with the results of its callers and operators, driven from synchronous steps."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner()
        self.cluster = self.run(self._start())
        self.results: list[tuple[str, CallResult]] = []
        self.target: Node = self.cluster.entries()[0]
        self.job = ""
        self.answers: list[Any] = []
        self._number = 0
        self._stopping = False
        self._callers: list[asyncio.Task[None]] = []

    def run(self, awaitable: Awaitable[ValueT]) -> ValueT:
        """Run until an awaitable is done."""

        async def wait() -> ValueT:
            return await awaitable

        return self._runner.run(wait())

    def close(self) -> None:
        """Stop everything."""
        for caller in self._callers:
            caller.cancel()
        self.cluster.close()
        self._runner.close()

    async def _start(self) -> Cluster:
        return await Cluster(Layout()).__aenter__()

    async def ready(self) -> None:
        """Wait until every entry instance is ready."""
        for entry in self.cluster.entries():
            await eventually(lambda e=entry: self.cluster.ready(e), f"{entry.name} is ready")

    async def request(self, entry: Node, **options: Any) -> CallResult:
        """Send one request and record its result."""
        self._number += 1
        options.setdefault("marker", f"m{self._number}")
        result = await call(self.cluster, entry, Call(**options))
        self.results.append((entry.name, result))
        return result

    async def answered(self, entry: Node) -> bool:
        """Return whether a request through an instance is answered."""
        return (await self.request(entry, idempotent=True)).outcome == "answered"

    def start_callers(self) -> None:
        """Send requests through every instance while it is ready, as the balancer does."""

        async def loop(entry: Node) -> None:
            while not self._stopping and await self.cluster.ready(entry):
                await self.request(entry, run_ms=50.0)

        async def start() -> None:
            entries = self.cluster.entries() * CALLERS_PER_ENTRY
            self._callers = [asyncio.create_task(loop(entry)) for entry in entries]

        self.run(start())
        self.run(eventually(self._enough_results, "callers have been answered"))

    async def _enough_results(self) -> bool:
        return len(self.results) > 20

    async def stop_callers(self) -> None:
        """Stop the callers and wait for their last requests."""
        self._stopping = True
        await asyncio.gather(*self._callers)
        self._callers = []

    async def file(self, ticket: Ticket, entry: Node) -> int:
        """File a ticket through an instance and return the HTTP status."""
        response = await self.cluster.post_json(
            entry.ports["admin"], "/v1/tickets", write_ticket(ticket)
        )
        return response.code

    async def in_force(self, number: int) -> bool:
        """Return whether a ticket is in force on every entry instance."""
        statuses = [await self.cluster.status(entry) for entry in self.cluster.entries()]
        return all(status is not None and status["ticket"] >= number for status in statuses)

    async def leader(self, domain: str) -> Node | None:
        """Return the leader of a domain if all instances that respond name the same one."""
        statuses = [await self.cluster.status(e) for e in self.cluster.entries(domain)]
        leader_ids = {s["components"]["leadership"]["leader"] for s in statuses if s is not None}
        names = {entry.name: entry for entry in self.cluster.entries(domain)}
        return names.get(leader_ids.pop()) if len(leader_ids) == 1 else None


def service_ticket(ticket_id: str, base: int, timeout_ms: float = 5_000.0) -> Ticket:
    """Return a ticket that declares the service."""
    service = Service("shade-engine", "color", default_timeout_ms=timeout_ms)
    return Ticket(ticket_id, base, "ann", "Declares the service.", services=(service,))


@pytest.fixture
def world() -> Iterator[World]:
    """Start a cell and stop it after the test."""
    started = World()
    try:
        yield started
    finally:
        started.close()


@given("a cell of two failure domains with two entry instances each")
def cell_is_ready(world: World) -> None:
    world.run(world.ready())


@given("a ticket that declares the service is in force everywhere")
def first_ticket(world: World) -> None:
    declared = service_ticket("first", 0)
    ticket = Ticket(
        "first",
        0,
        "ann",
        "Declares everything.",
        services=declared.services,
        teams=(Team("color", Resources(64_000, 256 * GIB)),),
        policies=(Policy("default", domain_weights={"east": 0.5, "west": 0.5}),),
    )

    async def file() -> bool:
        return await world.file(ticket, world.target) == 201

    world.run(eventually(file, "the first ticket is accepted"))
    world.run(eventually(lambda: world.in_force(1), "ticket 1 is in force"))
    for entry in world.cluster.entries():
        world.run(eventually(lambda e=entry: world.answered(e), f"{entry.name} answers"))
    world.results.clear()


@given("callers send requests through every entry instance")
def start_callers_everywhere(world: World) -> None:
    world.start_callers()


@given("a deferred job is running in the failure domain")
def running_job(world: World) -> None:
    body = {
        "submission_id": "job-1",
        "name": "job-1",
        "team": "color",
        "tasks": TASKS,
        "resources": {"cpu_millis": 1_000, "memory_bytes": GIB},
        "command": "work run_ms=2000",
        "domain": "east",
    }

    async def submit() -> bool:
        entry = world.cluster.entries("east")[0]
        response = await world.cluster.post_json(entry.ports["admin"], "/v1/jobs", body)
        world.answers = [response]
        return response.code == 201

    async def started() -> bool:
        runs = await task_runs(world)
        return any(run["started_s"] is not None for run in runs)

    world.run(eventually(submit, "the job is accepted"))
    world.run(eventually(started, "a task has started"))


@when("the operator stops one entry instance with SIGTERM")
def stop_entry(world: World) -> None:
    world.target.process.send(signal.SIGTERM)


@when("the leader of the failure domain is killed")
def kill_leader(world: World) -> None:
    leader = world.run(eventually(lambda: world.leader("east"), "the domain has a leader"))
    world.target = leader
    leader.process.kill()


@when("a failure domain is partitioned from the store and from its peers")
def partition_domain(world: World) -> None:
    names = [entry.name for entry in world.cluster.entries("east")]
    world.run(world.cluster.store_faults({"kind": "cut", "instances": names}))
    world.cluster.partition_peers("east")
    # Longer than the leadership lease.
    world.run(asyncio.sleep(3.0))


@when("the failure domain is connected again")
def heal_domain(world: World) -> None:
    world.run(world.cluster.store_faults())
    world.cluster.partition_peers()


@when("the platform's list shows an endpoint as leaving")
def leaving(world: World) -> None:
    endpoint = world.cluster.of_role("endpoint", "east")[0]
    world.run(world.cluster.put_into_list(endpoint, state="leaving"))
    world.target = endpoint


@when("two operators file tickets for the same service at the same time")
def file_racing_tickets(world: World) -> None:
    entries = world.cluster.entries()
    tickets = [service_ticket(f"race-{name}", 1, 4_000.0) for name in ("ann", "ben")]

    async def file_both() -> list[int]:
        return await asyncio.gather(
            world.file(tickets[0], entries[0]), world.file(tickets[1], entries[-1])
        )

    world.answers = world.run(file_both())


@when("a caller repeats a request with the same key through every entry instance")
def repeat_keyed_request(world: World) -> None:
    async def repeat_everywhere() -> None:
        for attempt, entry in enumerate(world.cluster.entries(), start=1):
            await eventually(
                lambda e=entry, a=attempt: request_once(e, a), "the request is answered"
            )

    async def request_once(entry: Node, attempt: int) -> bool:
        options = {"marker": "keyed", "key": "key-1", "attempt": attempt, "timeout_ms": 5_000.0}
        return (await world.request(entry, **options)).outcome == "answered"

    world.run(repeat_everywhere())


@then("that entry instance ends with status 0")
def ended(world: World) -> None:
    assert world.run(world.target.process.wait()) == 0


@then("no caller loses a request that the instance had accepted")
def no_accepted_request_is_lost(world: World) -> None:
    world.run(world.stop_callers())
    outcomes = {result.outcome for name, result in world.results if name == world.target.name}
    assert outcomes == {"answered"}


@then("another instance leads the failure domain")
def new_leader(world: World) -> None:
    async def led_by_another() -> bool:
        leader = await world.leader("east")
        return leader is not None and leader is not world.target

    world.run(eventually(led_by_another, "another instance leads"))


@then("every caller of the other instances is answered again")
def answered_again(world: World) -> None:
    for entry in world.cluster.entries():
        if entry is not world.target:
            world.run(eventually(lambda e=entry: world.answered(e), f"{entry.name} answers"))


@then("every task of the job has completed exactly once")
def completed_once(world: World) -> None:
    async def completed() -> bool:
        runs = await task_runs(world)
        return len({run["task"] for run in runs if run["outcome"] == "succeeded"}) == TASKS

    world.run(eventually(completed, "every task has completed"))
    runs = [run for run in world.run(task_runs(world)) if run["outcome"] == "succeeded"]
    assert len(runs) == TASKS


@then("callers in that failure domain are still answered")
def still_answered(world: World) -> None:
    for entry in world.cluster.entries("east"):
        world.run(eventually(lambda e=entry: world.answered(e), f"{entry.name} answers"))


@then("the next ticket is in force on every entry instance")
def next_ticket(world: World) -> None:
    async def file() -> bool:
        return await world.file(service_ticket("next", 1), world.cluster.entries()[0]) == 201

    world.run(eventually(file, "the next ticket is accepted"))
    world.run(eventually(lambda: world.in_force(2), "the next ticket is in force"))


@then("the endpoint receives no more requests")
def endpoint_receives_no_new_request(world: World) -> None:
    async def count() -> int:
        record = await world.cluster.get_json(main_address(world.target), "/record")
        return len(record["runs"])

    async def unchanged() -> bool:
        before, requests = await count(), len(world.results)
        await asyncio.sleep(0.5)
        return len(world.results) > requests and await count() == before

    world.run(eventually(unchanged, "the leaving endpoint receives nothing"))


@then("every request is answered")
def all_answered(world: World) -> None:
    world.run(world.stop_callers())
    assert {result.outcome for _, result in world.results} == {"answered"}


@then("exactly one of them is accepted and the other receives a conflict")
def one_ticket_is_accepted(world: World) -> None:
    assert sorted(world.answers) == [201, 409]


@then("the request has run once and every answer is the same")
def keyed_request_ran_once(world: World) -> None:
    async def runs() -> list[str]:
        markers = []
        for endpoint in world.cluster.of_role("endpoint"):
            record = await world.cluster.get_json(main_address(endpoint), "/record")
            markers += [r["marker"] for r in record["runs"] if r["marker"].startswith("keyed#")]
        return markers

    assert len(world.run(runs())) == 1
    assert len({result.echoed for _, result in world.results if result.echoed}) == 1


async def task_runs(world: World) -> list[dict[str, Any]]:
    """Return the task runs recorded by all workers."""
    workers = world.cluster.of_role("worker")
    records = [await world.cluster.get_json(main_address(worker), "/record") for worker in workers]
    return [run for record in records for run in record]
