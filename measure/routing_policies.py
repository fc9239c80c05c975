"""Policies that the routing cases compare with the shipped broker."""

import heapq
from collections import deque
from collections.abc import Callable, Sequence

from measure.routing_harness import ENDPOINTS, Request, Run
from nutmeglb_decisions.routing.retry_budget import RetryBudget

RETRY_SHARE = 0.1
MAX_ATTEMPTS = 3

EndpointChooser = Callable[[Run, int, Sequence[int], list[int]], int]


def power_of_two(run: Run, _: int, candidates: Sequence[int], outstanding: list[int]) -> int:
    """Choose the less loaded of two random endpoints, counting only this instance's requests."""
    first, second = run.rng.choice(candidates), run.rng.choice(candidates)
    return first if outstanding[first] <= outstanding[second] else second


def at_random(run: Run, _: int, candidates: Sequence[int], __: list[int]) -> int:
    """Choose a random endpoint."""
    return run.rng.choice(candidates)


def round_robin(_: Run, position: int, candidates: Sequence[int], __: list[int]) -> int:
    """Choose the endpoint at the current position of the rotation."""
    return candidates[position % len(candidates)]


def least_outstanding(
    run: Run, position: int, candidates: Sequence[int], outstanding: list[int]
) -> int:
    """Choose the endpoint with the fewest outstanding requests of this instance."""
    start = position % len(candidates)
    rotated = [*candidates[start:], *candidates[:start]]
    return min(rotated, key=outstanding.__getitem__)


class FixedShares:
    """Each instance owns a fixed share of every endpoint's slots, with a queue per endpoint.

    A request waits for the endpoint that was chosen when it arrived. Every instance uses all
    endpoints, which is the best case for this policy when arrivals are skewed between domains.
    """

    def __init__(self, name: str, choose_endpoint: EndpointChooser) -> None:
        self.name = f"fixed-shares-{name}"
        self._choose_endpoint = choose_endpoint

    def begin(self, run: Run) -> None:
        """Divide the slots among the instances."""
        self._run = run
        self._instances = len(run.domain_of_instance)
        self._outstanding = [[0] * ENDPOINTS for _ in range(self._instances)]
        self._free_slots = [[0] * ENDPOINTS for _ in range(self._instances)]
        self._queues: dict[tuple[int, int], tuple[deque[Request], deque[Request]]] = {}
        self._positions = [index * 5 for index in range(self._instances)]
        self._budgets = [RetryBudget(RETRY_SHARE) for _ in range(self._instances)]
        for slot in range(run.size.slots):
            endpoint = slot % ENDPOINTS
            self._free_slots[(slot // ENDPOINTS + endpoint) % self._instances][endpoint] += 1

    def arrive(self, request: Request) -> None:
        """Choose an endpoint and start or queue the request."""
        self._budgets[request.instance].add_request()
        self._place(request)

    def _place(self, request: Request) -> None:
        instance = request.instance
        free_slots = self._free_slots[instance]
        candidates = [
            endpoint
            for endpoint in range(ENDPOINTS)
            if endpoint not in request.avoid
            and (free_slots[endpoint] > 0 or self._outstanding[instance][endpoint] > 0)
        ]
        self._positions[instance] += 1
        endpoint = self._choose_endpoint(
            self._run, self._positions[instance], candidates, self._outstanding[instance]
        )
        self._outstanding[instance][endpoint] += 1
        if free_slots[endpoint] > 0:
            free_slots[endpoint] -= 1
            self._run.start(request, endpoint)
            return
        urgent, deferred = self._queues.setdefault((instance, endpoint), (deque(), deque()))
        (urgent if request.urgent else deferred).append(request)

    def finished(self, request: Request, endpoint: int, outcome: str, duration_ms: float) -> None:
        """Start the next request of the endpoint's queue, and retry a failed request."""
        instance = request.instance
        if outcome == "abandoned":
            remaining_ms = self._run.size.service.max_run_ms - duration_ms
            self._run.after(remaining_ms, self._free_abandoned, instance, endpoint)
            return
        self._start_next(instance, endpoint)
        retry = outcome == "failed" and request.attempts < MAX_ATTEMPTS
        if retry and self._budgets[instance].take_retry():
            request.avoid = (*request.avoid, endpoint)
            self._run.requeue(request)
            self._place(request)

    def _free_abandoned(self, instance: int, endpoint: int) -> None:
        self._run.free_slot(endpoint)
        self._start_next(instance, endpoint)

    def _start_next(self, instance: int, endpoint: int) -> None:
        self._outstanding[instance][endpoint] -= 1
        for queue in self._queues.get((instance, endpoint), ()):
            while queue:
                request = queue.popleft()
                if (
                    instance not in self._run.failed_instances
                    and self._run.now_ms <= request.deadline_ms
                ):
                    self._run.start(request, endpoint)
                    return
                self._outstanding[instance][endpoint] -= 1
                self._run.refuse(request)
        self._free_slots[instance][endpoint] += 1

    def handle_instance_failure(self, instance: int) -> None:
        """Drop the waiting requests. Other instances do not use the failed instance's slots."""
        for (owner, endpoint), queues in self._queues.items():
            if owner != instance:
                continue
            for queue in queues:
                while queue:
                    self._outstanding[instance][endpoint] -= 1
                    self._run.refuse(queue.popleft())


class IdealQueue:
    """A single queue without message delay, per domain or for all domains.

    It starts urgent requests first and knows when an abandoned exchange ends at the endpoint.
    """

    def __init__(self, *, per_domain: bool) -> None:
        self.name = "ideal-queue-per-domain" if per_domain else "ideal-queue-all-domains"
        self._per_domain = per_domain

    def begin(self, run: Run) -> None:
        """Assign the endpoints to queues."""
        self._run = run
        groups = run.size.domains if self._per_domain else 1
        self._queues: list[list[tuple[bool, float, int, Request]]] = [[] for _ in range(groups)]
        self._endpoints = [
            [index for index in range(ENDPOINTS) if run.domain_of_endpoint[index] % groups == group]
            for group in range(groups)
        ]
        self._budgets = [RetryBudget(RETRY_SHARE) for _ in range(groups)]

    def arrive(self, request: Request) -> None:
        """Queue the request and start waiting requests on free slots."""
        group = request.domain % len(self._queues)
        self._budgets[group].add_request()
        self._enqueue(group, request)

    def _enqueue(self, group: int, request: Request) -> None:
        entry = (not request.urgent, request.arrived_ms, request.number, request)
        heapq.heappush(self._queues[group], entry)
        self._start_waiting(group)

    def _start_waiting(self, group: int) -> None:
        queue = self._queues[group]
        run = self._run
        while queue:
            request = queue[0][3]
            endpoint = min(self._endpoints[group], key=run.in_use.__getitem__)
            if run.in_use[endpoint] >= run.size.service.slots:
                return
            heapq.heappop(queue)
            if run.now_ms <= request.deadline_ms:
                run.start(request, endpoint)
            else:
                run.refuse(request)

    def finished(self, request: Request, endpoint: int, outcome: str, duration_ms: float) -> None:
        """Reuse the freed slot, and retry a failed request."""
        group = self._run.domain_of_endpoint[endpoint] % len(self._queues)
        if outcome == "abandoned":
            slow = 10.0 if endpoint in self._run.scenario.slow else 1.0
            remaining_ms = min(slow * request.service_ms, self._run.size.service.max_run_ms)
            self._run.after(remaining_ms - duration_ms, self._free_abandoned, group, endpoint)
            return
        retry = outcome == "failed" and request.attempts < MAX_ATTEMPTS
        if retry and self._budgets[group].take_retry():
            self._run.requeue(request)
            self._enqueue(group, request)
        self._start_waiting(group)

    def _free_abandoned(self, group: int, endpoint: int) -> None:
        self._run.free_slot(endpoint)
        self._start_waiting(group)

    def handle_instance_failure(self, instance: int) -> None:
        """Drop the waiting requests of the instance."""
        for queue in self._queues:
            lost = [entry[3] for entry in queue if entry[3].instance == instance]
            queue[:] = [entry for entry in queue if entry[3].instance != instance]
            heapq.heapify(queue)
            for request in lost:
                self._run.refuse(request)
