"""Discrete-event simulation for the routing cases. One run drives one policy.

Service times are log-normal with mean 50 ms and sigma 1 (median 30 ms, 99.9th percentile 670 ms),
capped at the service's ``max_run_ms``. Arrivals are a Poisson process. Every policy of a case gets
the same arrivals and service times.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from hdrh.histogram import HdrHistogram

from nutmeglb_formats.models.config import RequestClass, Service

MEAN_MS = 50.0
SIGMA = 1.0
MU = math.log(MEAN_MS) - SIGMA**2 / 2
URGENT_TIMEOUT_MS = 2_000.0
DEFERRED_TIMEOUT_MS = 5_000.0
# One-way latency between two instances of a domain, and between domains.
INTRA_DOMAIN_LATENCY_MS = 0.1
INTER_DOMAIN_LATENCY_MS = 0.5
FAILURE_DURATION_MS = 1.0
WARM_UP_MS = 1_000.0
CALLERS = 200
US_PER_MS = 1_000
MAX_RECORDED_US = 60_000_000
ENDPOINTS = 24


@dataclass(frozen=True, slots=True)
class Size:
    """A deployment. ``instances`` gives the number of entry instances per domain."""

    name: str
    instances: tuple[int, ...]
    service: Service = Service("measured", "team")

    @property
    def domains(self) -> int:
        """Return the number of failure domains."""
        return len(self.instances)

    @property
    def slots(self) -> int:
        """Return the number of slots of all endpoints."""
        return ENDPOINTS * self.service.slots

    def __str__(self) -> str:
        return (
            f"{self.name}: {ENDPOINTS} endpoints x {self.service.slots} slots x "
            f"{self.service.connections} connections, {self.domains} domains, "
            f"{sum(self.instances)} instances"
        )


SHOREWATER = Size("shorewater", (3, 2, 2))
TURVATOOL = Size("turvatool", (2, 2, 2, 2))


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of a run.

    Attributes
    ----------
    load
        Offered work as a share of all slots.
    instance_weights
        Relative arrivals per instance. By default every domain receives the same number, divided
        equally among its instances.
    slow, failing
        Endpoints that are 10 times slower, or fail after 1 ms.
    failing_instance
        Index of an instance that fails after half of the duration, or -1.
    flood
        Additional deferred requests in the middle third, as a multiple of all slots.
    """

    name: str
    size: Size
    load: float
    urgent_share: float = 0.4
    instance_weights: tuple[float, ...] = ()
    slow: frozenset[int] = frozenset()
    failing: frozenset[int] = frozenset()
    failing_instance: int = -1
    flood: float = 0.0
    duration_ms: float = 6_000.0
    seed: int = 1


@dataclass(slots=True, eq=False)
class Request:
    """One request of a run. ``service_ms`` is its run time on a healthy endpoint."""

    number: int
    arrived_ms: float
    instance: int
    domain: int
    caller: str
    urgent: bool
    timeout_ms: float
    service_ms: float
    attempts: int = 0
    state: str = "new"
    avoid: tuple[int, ...] = ()
    is_measured: bool = True

    @property
    def deadline_ms(self) -> float:
        """Return the time at which the request times out."""
        return self.arrived_ms + self.timeout_ms

    @property
    def request_class(self) -> RequestClass:
        """Return the request's class."""
        return RequestClass.URGENT if self.urgent else RequestClass.DEFERRED


class Policy(Protocol):
    """Policy that assigns requests to endpoints. ``name`` appears in the figures."""

    name: str

    def begin(self, run: "Run") -> None:
        """Set up the policy before the first arrival."""

    def arrive(self, request: Request) -> None:
        """Handle a request that arrives at its instance."""

    def finished(self, request: Request, endpoint: int, outcome: str, duration_ms: float) -> None:
        """Handle the end of an exchange: ``outcome`` is answered, failed or abandoned."""

    def handle_instance_failure(self, instance: int) -> None:
        """Handle the failure of an instance."""


@dataclass(slots=True)
class Totals:
    """Sums over the requests that arrive after the warm-up.

    ``useful_ms`` is the service time of the requests that are answered in time between the warm-up
    and the end of the arrivals.
    """

    urgent: int = 0
    urgent_in_time: int = 0
    deferred: int = 0
    deferred_in_time: int = 0
    refused: int = 0
    retries: int = 0
    useful_ms: float = 0.0
    idle_ms: float = 0.0
    waits: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_RECORDED_US, 3))


class Run:
    """Simulation of one policy under one scenario."""

    def __init__(self, scenario: Scenario, trace: Sequence[Request], policy: Policy) -> None:
        self.scenario = scenario
        self.size = scenario.size
        self.rng = random.Random(scenario.seed + 1)
        self.now_ms = 0.0
        self.totals = Totals()
        self.domain_of_instance = instance_domains(scenario.size)
        self.domain_of_endpoint = [index % scenario.size.domains for index in range(ENDPOINTS)]
        self.failed_instances: set[int] = set()
        self.in_use = [0] * ENDPOINTS
        self._policy = policy
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._event_numbers = itertools.count()
        self._waiting_count = 0
        self._running_count = 0
        self._counts_updated_ms = 0.0
        self._trace = trace

    def at(self, time_ms: float, action: Callable[..., None], *arguments: object) -> None:
        """Call ``action`` at a simulated time."""
        heapq.heappush(self._heap, (time_ms, next(self._event_numbers), action, arguments))

    def after(self, delay_ms: float, action: Callable[..., None], *arguments: object) -> None:
        """Call ``action`` after a delay, or immediately if the delay is 0."""
        if delay_ms <= 0.0:
            action(*arguments)
        else:
            self.at(self.now_ms + delay_ms, action, *arguments)

    def execute(self) -> Totals:
        """Run until every request has ended."""
        self._policy.begin(self)
        if self.scenario.failing_instance >= 0:
            self.at(
                self.scenario.duration_ms / 2, self._fail_instance, self.scenario.failing_instance
            )
        arrivals = iter(self._trace)
        upcoming = next(arrivals, None)
        while upcoming is not None or (
            self._heap and self._waiting_count + self._running_count > 0
        ):
            if upcoming is not None and (not self._heap or upcoming.arrived_ms < self._heap[0][0]):
                self.now_ms = upcoming.arrived_ms
                self._arrive(upcoming)
                upcoming = next(arrivals, None)
                continue
            self.now_ms, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        return self.totals

    def _arrive(self, request: Request) -> None:
        if request.instance in self.failed_instances:
            alive = [
                index
                for index in range(len(self.domain_of_instance))
                if index not in self.failed_instances
            ]
            request.instance = alive[request.number % len(alive)]
            request.domain = self.domain_of_instance[request.instance]
        if request.urgent:
            self.totals.urgent += request.is_measured
        else:
            self.totals.deferred += request.is_measured
        self._update_counts(waiting=1)
        request.state = "waiting"
        self._policy.arrive(request)

    def _update_counts(self, waiting: int = 0, running: int = 0) -> None:
        if WARM_UP_MS <= self._counts_updated_ms <= self.scenario.duration_ms:
            idle = min(self.size.slots - self._running_count, self._waiting_count)
            self.totals.idle_ms += idle * (self.now_ms - self._counts_updated_ms)
        self._counts_updated_ms = self.now_ms
        self._waiting_count += waiting
        self._running_count += running

    def start(self, request: Request, endpoint: int) -> None:
        """Start a request on an endpoint."""
        assert (
            self.in_use[endpoint] < self.size.service.slots
        ), "the policy started more requests than the endpoint has slots"
        self.in_use[endpoint] += 1
        request.attempts += 1
        request.state = "running"
        self._update_counts(waiting=-1, running=1)
        if request.attempts == 1:
            if request.urgent and request.is_measured:
                wait_us = int((self.now_ms - request.arrived_ms) * US_PER_MS)
                self.totals.waits.record_value(max(1, wait_us))
        else:
            self.totals.retries += request.is_measured
        if endpoint in self.scenario.failing:
            self.at(
                self.now_ms + FAILURE_DURATION_MS,
                self._end,
                request,
                endpoint,
                "failed",
                FAILURE_DURATION_MS,
            )
            return
        run_ms = request.service_ms * (10.0 if endpoint in self.scenario.slow else 1.0)
        run_ms = min(run_ms, self.size.service.max_run_ms)
        remaining_ms = request.deadline_ms - self.now_ms
        if run_ms <= remaining_ms:
            self.at(self.now_ms + run_ms, self._end, request, endpoint, "answered", run_ms)
        else:
            self.at(request.deadline_ms, self._end, request, endpoint, "abandoned", remaining_ms)

    def _end(self, request: Request, endpoint: int, outcome: str, duration_ms: float) -> None:
        if outcome != "abandoned":
            self.free_slot(endpoint)
        if request.instance in self.failed_instances:
            return
        request.state = outcome
        if outcome == "answered" and request.is_measured:
            if request.urgent:
                self.totals.urgent_in_time += 1
            else:
                self.totals.deferred_in_time += 1
        if outcome == "answered" and WARM_UP_MS <= self.now_ms <= self.scenario.duration_ms:
            self.totals.useful_ms += request.service_ms
        self._policy.finished(request, endpoint, outcome, duration_ms)

    def free_slot(self, endpoint: int) -> None:
        """Free a slot of an endpoint. Policies call it for abandoned exchanges."""
        self.in_use[endpoint] -= 1
        self._update_counts(running=-1)

    def requeue(self, request: Request) -> None:
        """Count a failed request as waiting again, for its retry."""
        request.state = "waiting"
        self._update_counts(waiting=1)

    def refuse(self, request: Request) -> None:
        """End a request without running it."""
        request.state = "refused"
        self._update_counts(waiting=-1)
        self.totals.refused += request.is_measured

    def _fail_instance(self, instance: int) -> None:
        self.failed_instances.add(instance)
        self._policy.handle_instance_failure(instance)


def instance_domains(size: Size) -> list[int]:
    """Return the domain index of each instance."""
    return [domain for domain, count in enumerate(size.instances) for _ in range(count)]


def make_trace(scenario: Scenario) -> list[Request]:
    """Return the arrivals of a scenario in order of time."""
    rng = random.Random(scenario.seed)
    domains = instance_domains(scenario.size)
    weights = scenario.instance_weights or [1.0 / scenario.size.instances[item] for item in domains]
    cumulative = list(itertools.accumulate(weights))
    requests: list[Request] = []
    now_ms = 0.0
    base = scenario.load * scenario.size.slots / MEAN_MS
    while True:
        in_flood = scenario.duration_ms / 3 <= now_ms <= 2 * scenario.duration_ms / 3
        flood_rate = scenario.flood * scenario.size.slots / MEAN_MS if in_flood else 0.0
        now_ms += rng.expovariate(base + flood_rate)
        if now_ms > scenario.duration_ms:
            return requests
        from_flood = rng.random() * (base + flood_rate) >= base
        urgent = not from_flood and rng.random() < scenario.urgent_share
        instance = rng.choices(range(len(domains)), cum_weights=cumulative)[0]
        caller = "flood" if from_flood else f"caller-{int(CALLERS * rng.random() ** 2)}"
        service_ms = min(rng.lognormvariate(MU, SIGMA), scenario.size.service.max_run_ms)
        requests.append(
            Request(
                number=len(requests),
                arrived_ms=now_ms,
                instance=instance,
                domain=domains[instance],
                caller=caller,
                urgent=urgent,
                timeout_ms=URGENT_TIMEOUT_MS if urgent else DEFERRED_TIMEOUT_MS,
                service_ms=service_ms,
                is_measured=now_ms >= WARM_UP_MS,
            )
        )


def copy_trace(trace: Sequence[Request]) -> list[Request]:
    """Return a copy of the trace in its initial state, for another run."""
    return [
        Request(
            item.number,
            item.arrived_ms,
            item.instance,
            item.domain,
            item.caller,
            item.urgent,
            item.timeout_ms,
            item.service_ms,
            is_measured=item.is_measured,
        )
        for item in trace
    ]


def summarize(scenario: Scenario, totals: Totals) -> dict[str, float]:
    """Return the figures of a run."""
    measured_ms = scenario.duration_ms - WARM_UP_MS
    slot_ms = measured_ms * scenario.size.slots
    requests = totals.urgent + totals.deferred

    def wait_ms(percentile: float) -> float:
        return round(totals.waits.get_value_at_percentile(percentile) / US_PER_MS, 3)

    return {
        "wait_p50_ms": wait_ms(50.0),
        "wait_p99_ms": wait_ms(99.0),
        "wait_p999_ms": wait_ms(99.9),
        "urgent_in_time_share": round(totals.urgent_in_time / max(1, totals.urgent), 5),
        "deferred_in_time_share": round(totals.deferred_in_time / max(1, totals.deferred), 5),
        "goodput_share": round(totals.useful_ms / slot_ms, 4),
        "refused_share": round(totals.refused / requests, 4),
        "idle_while_waiting_share": round(totals.idle_ms / slot_ms, 5),
        "retries_per_request": round(totals.retries / requests, 5),
        "requests_count": float(requests),
    }
