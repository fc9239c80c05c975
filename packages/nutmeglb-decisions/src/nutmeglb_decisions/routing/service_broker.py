"""Queue and slot ledger of one service in one domain."""

import heapq
import math
import random
from collections.abc import Callable, Container, Iterable

from nutmeglb_decisions.routing.admission import AdmissionQueue, WaitingRequest
from nutmeglb_decisions.routing.endpoints import EndpointPool, EndpointState, EndpointView
from nutmeglb_decisions.routing.estimates import ServiceTimes
from nutmeglb_decisions.routing.grants import Grant, HeldSlot, Send
from nutmeglb_formats.models.config import Service
from nutmeglb_formats.wire.routing import (
    RefusalReason,
    ReleaseOutcome,
    ServiceSummary,
    SlotGrant,
    SlotRefused,
    SlotRelease,
    SlotRequest,
)

# Covers differences in clock rates and the delay of closing a connection.
GRANT_MARGIN_MS = 500.0
# Waiting requests examined per free slot; those in front may have to avoid its endpoint.
QUEUE_LOOKAHEAD = 8
# A failed exchange occupies its slot for the mean service time, at most for this time. Otherwise an
# endpoint that fails immediately would be the least loaded one and attract all requests.
FAILURE_HOLD_MAX_MS = 1_000.0
# An exchange abandoned before this multiple of the mean time does not count as a failure, because
# it does not indicate an unhealthy endpoint.
ABANDONED_FAILURE_FACTOR = 4.0
TIMER_REQUEST = "request"
TIMER_GRANT = "grant"

ChooseDomain = Callable[[float, str, float], str | None]


class ServiceBroker:
    """Grants slots of a service's endpoints to requests and queues those that must wait.

    Parameters
    ----------
    start_within_ms
        Time within which a grant must be used.
    choose_domain
        Function of time, service and expected local wait that returns the domain to forward to, or
        ``None``.
    next_grant_id
        Returns ids that are unique within the domain across all leaders.
    """

    def __init__(
        self,
        service: Service,
        epoch: int,
        start_within_ms: float,
        rng: random.Random,
        choose_domain: ChooseDomain,
        next_grant_id: Callable[[], str],
    ) -> None:
        self._service = service
        self._epoch = epoch
        self._start_within_ms = start_within_ms
        self._choose_domain = choose_domain
        self._next_grant_id = next_grant_id
        self._pool = EndpointPool(_slot_limit(service), rng)
        self._queue = AdmissionQueue(service.queue_limit)
        self._times = ServiceTimes(service.max_run_ms)
        self._grants: dict[str, Grant] = {}
        self._grant_id_by_request: dict[str, str] = {}
        self._timers: list[tuple[float, int, str, str]] = []
        self._sequence = 0
        self._ended_grant_count = 0
        self._unreported_grants_expire_at_ms = -math.inf

    @property
    def pool(self) -> EndpointPool:
        """Return the pool of endpoints."""
        return self._pool

    @property
    def grants(self) -> dict[str, Grant]:
        """Return the current grants by id."""
        return self._grants

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def times(self) -> ServiceTimes:
        """Return the estimates of service times."""
        return self._times

    def summary(self) -> ServiceSummary:
        """Return the load summary that is sent to other domains."""
        free = self._pool.free_slots if not self._queue else 0
        return ServiceSummary(
            self._slots_in_rotation(), free, len(self._queue), round(self._times.mean_ms, 3)
        )

    def set_service(self, now_ms: float, service: Service) -> list[Send]:
        """Apply a changed service definition."""
        self._service = service
        self._queue.limit = service.queue_limit
        self._pool.set_limit(_slot_limit(service))
        return self._grant_waiting(now_ms)

    def set_endpoints(self, now_ms: float, views: Iterable[EndpointView]) -> list[Send]:
        """Apply the endpoints of the instance list."""
        known = {state.endpoint for state in self._pool.all_states()}
        self._pool.set_listed(views)
        if now_ms < self._unreported_grants_expire_at_ms:
            for state in list(self._pool.all_states()):
                if state.endpoint not in known:
                    self._occupy_remaining(state, self._unreported_grants_expire_at_ms)
        return self._grant_waiting(now_ms)

    def mark_leaving(self, endpoint: str) -> None:
        """Issue no more grants for an endpoint that announced its departure."""
        self._pool.mark_leaving(endpoint)

    def recover(self, now_ms: float, held: Iterable[HeldSlot], unknown: bool) -> None:
        """Count the slots that were in use before this leader took over.

        Parameters
        ----------
        unknown
            Whether unreported grants may exist. If so, all remaining slots count as in use for the
            longest time that such a grant can last.
        """
        for item in held:
            state = self._pool.add_unlisted(item.endpoint)
            self._pool.occupy_slots(state)
            expires_at_ms = now_ms + item.hold_ms + GRANT_MARGIN_MS
            self._add_grant(Grant(item.grant_id, item.holder, item.endpoint, expires_at_ms))
        if not unknown:
            return
        self._unreported_grants_expire_at_ms = (
            now_ms + self._start_within_ms + self._service.max_run_ms + GRANT_MARGIN_MS
        )
        for state in self._pool.all_states():
            self._occupy_remaining(state, self._unreported_grants_expire_at_ms)

    def slots_unreported_by(self, now_ms: float, holders: Container[str]) -> list[HeldSlot]:
        """Return the slots that none of ``holders`` can report to the next leader.

        The margin is left out of the remaining times, because the next leader adds its own.
        """
        return [
            HeldSlot(
                f"{grant.grant_id}/{slot}" if slot else grant.grant_id,
                grant.holder,
                grant.endpoint,
                max(0.0, grant.expires_at_ms - now_ms - GRANT_MARGIN_MS),
            )
            for grant in self._grants.values()
            if grant.holder not in holders
            for slot in range(grant.slots)
        ]

    def _occupy_remaining(self, state: EndpointState, expires_at_ms: float) -> None:
        slots = state.limit - state.in_use
        if slots <= 0:
            return
        self._pool.occupy_slots(state, slots)
        self._add_grant(Grant(self._next_grant_id(), "", state.endpoint, expires_at_ms, slots))

    def request(self, now_ms: float, holder: str, message: SlotRequest) -> list[Send]:
        """Grant, queue or refuse a request. The grant of a repeated request is sent again."""
        grant_id = self._grant_id_by_request.get(message.request_id)
        if grant_id is not None:
            return self._repeat_grant(holder, grant_id)
        if message.request_id in self._queue:
            return []
        waiting = self._new_waiting_request(now_ms, holder, message)
        position = self._queue.assign_rank(waiting)
        if position == 0 and self._may_start(now_ms, waiting):
            state = self._choose_endpoint(now_ms, waiting)
            if state is not None:
                return [self._grant(now_ms, waiting, state)]
        return self._queue_or_refuse(now_ms, waiting, position, message.forwarded)

    def cancel(self, request_id: str) -> None:
        """Withdraw a waiting request."""
        self._queue.remove(request_id)

    def withdraw_requests_of(self, holder: str) -> None:
        """Withdraw the waiting requests of an instance that is no longer connected.

        Its grants stay in use until they expire.
        """
        gone = [item for item in self._queue.iter_by_rank() if item.holder == holder]
        for item in gone:
            self._queue.remove(item.request_id)

    def release(self, now_ms: float, holder: str, message: SlotRelease) -> list[Send]:
        """Release a grant. Unknown and repeated releases have no effect."""
        grant = self._grants.get(message.grant_id)
        if grant is None or grant.ended or grant.holder != holder:
            return []
        grant.ended = True
        state = self._pool.add_unlisted(grant.endpoint)
        max_duration_ms = self._service.max_run_ms + GRANT_MARGIN_MS
        duration_ms = min(max(message.duration_ms, 0.0), max_duration_ms)
        hold_ms = self._record(now_ms, state, message, duration_ms)
        if hold_ms <= 0.0:
            self._free_grant(grant)
        else:
            self._ended_grant_count += 1
            grant.expires_at_ms = now_ms + hold_ms
            self._start_timer(grant.expires_at_ms, TIMER_GRANT, grant.grant_id)
        return self._grant_waiting(now_ms)

    def _record(
        self, now_ms: float, state: EndpointState, message: SlotRelease, duration_ms: float
    ) -> float:
        """Record an exchange and return how long its slot stays in use, in milliseconds."""
        mean_ms = self._times.mean_ms
        if message.outcome is ReleaseOutcome.ANSWERED:
            self._times.add(duration_ms)
            self._pool.record(state, True, duration_ms, now_ms)
        elif message.outcome is ReleaseOutcome.FAILED:
            self._pool.record(state, False, duration_ms, now_ms)
            return min(mean_ms - duration_ms, FAILURE_HOLD_MAX_MS)
        elif message.outcome is ReleaseOutcome.ABANDONED:
            if duration_ms >= ABANDONED_FAILURE_FACTOR * mean_ms:
                self._pool.record(state, False, duration_ms, now_ms)
            max_hold_ms = self._service.max_run_ms + GRANT_MARGIN_MS
            return min(max(message.hold_ms, 0.0), max_hold_ms)
        return 0.0

    def tick(self, now_ms: float) -> list[Send]:
        """Process expired timers and grant free slots to waiting requests."""
        effects: list[Send] = []
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, kind, key = heapq.heappop(self._timers)
            if kind == TIMER_GRANT:
                self._expire_grant(now_ms, key)
            else:
                effects += self._expire_request(now_ms, key)
        return effects + self._grant_waiting(now_ms)

    def next_timer_ms(self) -> float | None:
        """Return the time at which ``tick`` must be called, or ``None``."""
        timer = self._timers[0][0] if self._timers else None
        probe = self._pool.next_probe_ms() if self._queue else None
        times = [time for time in (timer, probe) if time is not None]
        return min(times, default=None)

    def expected_wait_ms(self, position: int) -> float:
        """Return the expected wait behind ``position`` requests, infinite without usable slots."""
        slots = self._slots_in_rotation()
        if slots == 0:
            return math.inf
        return (position + 1) * self._times.mean_ms / slots

    def _slots_in_rotation(self) -> int:
        """Return the usable slots less those that ended grants keep in use, at least 1 if any."""
        usable = self._pool.usable_slots
        return max(min(1, usable), usable - self._ended_grant_count)

    def _new_waiting_request(
        self, now_ms: float, holder: str, message: SlotRequest
    ) -> WaitingRequest:
        reserve_ms = self._times.reserve_ms(message.timeout_ms)
        return WaitingRequest(
            request_id=message.request_id,
            holder=holder,
            caller=message.caller,
            request_class=message.request_class,
            arrived_ms=now_ms,
            latest_start_ms=now_ms + message.timeout_ms - reserve_ms,
            idempotent=message.idempotent,
            avoid=message.avoid,
        )

    def _queue_or_refuse(
        self, now_ms: float, waiting: WaitingRequest, position: int, forwarded: bool
    ) -> list[Send]:
        wait_ms = self.expected_wait_ms(position)
        if not forwarded:
            domain = self._choose_domain(now_ms, self._service.name, wait_ms)
            if domain is not None:
                return [_refuse(waiting, RefusalReason.SPILL, domain)]
        if len(self._pool) == 0:
            return [_refuse(waiting, RefusalReason.NO_ENDPOINT)]
        if wait_ms != math.inf and now_ms + wait_ms > waiting.latest_start_ms:
            return [_refuse(waiting, RefusalReason.TOO_LATE)]
        shed = self._queue.add(waiting)
        if shed is not waiting:
            self._start_timer(waiting.latest_start_ms, TIMER_REQUEST, waiting.request_id)
        effects = self._grant_waiting(now_ms) if self._pool.free_slots else []
        if shed is not None:
            reason = RefusalReason.QUEUE_FULL if shed is waiting else RefusalReason.SHED
            effects.append(_refuse(shed, reason))
        return effects

    def _may_start(self, now_ms: float, waiting: WaitingRequest) -> bool:
        return now_ms <= waiting.latest_start_ms

    def _choose_endpoint(self, now_ms: float, waiting: WaitingRequest) -> EndpointState | None:
        fast_slots = max(1, self._pool.fast_slots)
        wait_ms = (len(self._queue) + 1) * self._times.mean_ms / fast_slots
        return self._pool.choose(now_ms, waiting.avoid, waiting.idempotent, wait_ms)

    def _grant_waiting(self, now_ms: float) -> list[Send]:
        effects: list[Send] = []
        while self._queue:
            effect = self._grant_next(now_ms)
            if effect is None:
                break
            effects.append(effect)
        return effects

    def _grant_next(self, now_ms: float) -> Send | None:
        for index, waiting in enumerate(self._queue.iter_by_rank()):
            if index >= QUEUE_LOOKAHEAD:
                return None
            if not self._may_start(now_ms, waiting):
                self._queue.remove(waiting.request_id)
                return _refuse(waiting, RefusalReason.TOO_LATE)
            state = self._choose_endpoint(now_ms, waiting)
            if state is not None:
                self._queue.start(waiting)
                return self._grant(now_ms, waiting, state)
        return None

    def _grant(self, now_ms: float, waiting: WaitingRequest, state: EndpointState) -> Send:
        self._pool.take_slot(state, now_ms)
        message = SlotGrant(
            request_id=waiting.request_id,
            grant_id=self._next_grant_id(),
            service=self._service.name,
            endpoint=state.endpoint,
            address=state.address,
            waited_ms=now_ms - waiting.arrived_ms,
            start_within_ms=self._start_within_ms,
            max_run_ms=self._service.max_run_ms,
            epoch=self._epoch,
        )
        expires_at_ms = now_ms + self._start_within_ms + self._service.max_run_ms + GRANT_MARGIN_MS
        grant = Grant(
            message.grant_id, waiting.holder, state.endpoint, expires_at_ms, message=message
        )
        self._add_grant(grant)
        self._grant_id_by_request[waiting.request_id] = message.grant_id
        return Send(waiting.holder, message)

    def _repeat_grant(self, holder: str, grant_id: str) -> list[Send]:
        grant = self._grants[grant_id]
        if grant.message is None or grant.ended or grant.holder != holder:
            return []
        state = self._pool.get(grant.endpoint)
        if state is None or state.leaving or not state.listed:
            refused = SlotRefused(grant.message.request_id, RefusalReason.ENDPOINT_LEAVING)
            return [Send(holder, refused)]
        return [Send(holder, grant.message)]

    def _add_grant(self, grant: Grant) -> None:
        self._grants[grant.grant_id] = grant
        self._start_timer(grant.expires_at_ms, TIMER_GRANT, grant.grant_id)

    def _free_grant(self, grant: Grant) -> None:
        del self._grants[grant.grant_id]
        if grant.message is not None:
            self._grant_id_by_request.pop(grant.message.request_id, None)
        state = self._pool.add_unlisted(grant.endpoint)
        self._pool.release_slots(state, grant.slots)

    def _expire_grant(self, now_ms: float, grant_id: str) -> None:
        grant = self._grants.get(grant_id)
        if grant is None or grant.expires_at_ms > now_ms:
            return
        self._ended_grant_count -= grant.ended
        self._free_grant(grant)

    def _expire_request(self, now_ms: float, request_id: str) -> list[Send]:
        waiting = self._queue.get(request_id)
        if waiting is None or waiting.latest_start_ms > now_ms:
            return []
        self._queue.remove(request_id)
        return [_refuse(waiting, RefusalReason.TOO_LATE)]

    def _start_timer(self, time_ms: float, kind: str, key: str) -> None:
        self._sequence += 1
        heapq.heappush(self._timers, (time_ms, self._sequence, kind, key))


def _slot_limit(service: Service) -> int:
    return min(service.slots, service.connections)


def _refuse(waiting: WaitingRequest, reason: RefusalReason, spill_to: str = "") -> Send:
    return Send(waiting.holder, SlotRefused(waiting.request_id, reason, spill_to))
