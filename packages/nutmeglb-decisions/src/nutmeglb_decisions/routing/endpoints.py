"""Slots, health and selection of the endpoints of one service in one domain."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from sortedcontainers import SortedSet

from nutmeglb_decisions.invariants import require

ERROR_RATE_WEIGHT = 0.2
# Four consecutive failures exceed this rate; one failure in five does not.
EJECT_ERROR_RATE = 0.5
# Limits ejection, because a failure of all endpoints has a cause outside of them.
MAX_EJECTED_SHARE = 0.5
BACKOFF_INITIAL_MS = 1_000.0
BACKOFF_MAX_MS = 30_000.0
BACKOFF_JITTER = 0.2
# Time for which a due probe waits for an idempotent request before it uses any request.
PROBE_IDEMPOTENT_ONLY_MS = 10_000.0
# Due probes examined per request, so that the cost does not grow with the number of endpoints.
PROBE_LOOKAHEAD = 4
DURATION_WEIGHT = 0.05
SLOW_MIN_SAMPLES = 20
# Ratio of an endpoint's mean duration to the service's from which it counts as slow. The weighted
# mean of heavy-tailed durations varies by a factor of 1.6 at most.
SLOW_RATIO = 3.0
# An idle slow endpoint gets a request after this time, so that its recovery is noticed.
SLOW_RETRY_INTERVAL_MS = 1_000.0
MIN_DURATION_MS = 0.1

# Load, number of the last grant and endpoint.
OrderKey = tuple[float, int, str]


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint as it appears in the instance list."""

    endpoint: str
    address: str
    leaving: bool = False


@dataclass(slots=True)
class EndpointState:
    """Slots in use and health of one endpoint.

    Attributes
    ----------
    mean_log_duration
        Weighted mean of the natural logarithm of durations in milliseconds.
    slowness
        Ratio of the endpoint's mean duration to the service's; 1 unless the endpoint is slow.
    key
        Sort key among the endpoints with free slots, ``None`` if it is not among them.
    """

    endpoint: str
    address: str
    limit: int
    leaving: bool = False
    listed: bool = True
    in_use: int = 0
    last_grant_number: int = 0
    error_rate: float = 0.0
    ejected: bool = False
    probe_due_ms: float = 0.0
    backoff_ms: float = BACKOFF_INITIAL_MS
    mean_log_duration: float = 0.0
    sample_count: int = 0
    slowness: float = 1.0
    last_granted_ms: float = -math.inf
    key: OrderKey | None = None

    @property
    def is_usable(self) -> bool:
        """Return whether the endpoint may receive grants if it has a free slot."""
        return self.listed and not self.leaving and not self.ejected

    @property
    def is_probe_candidate(self) -> bool:
        """Return whether the endpoint is ejected and may be probed once its backoff has passed."""
        return self.ejected and self.listed and not self.leaving and self.in_use == 0


class EndpointPool:
    """Selects the least loaded endpoint with a free slot.

    The load of an endpoint is its slots in use after the grant, multiplied by its slowness.
    Selection and updates cost O(log n) in the number of endpoints.

    Parameters
    ----------
    limit
        Maximum number of concurrent grants per endpoint: the smaller of slots and connections.
    """

    def __init__(self, limit: int, rng: random.Random) -> None:
        self._limit = limit
        self._rng = rng
        self._endpoints: dict[str, EndpointState] = {}
        self._by_load = SortedSet()
        self._ejected = 0
        self._probe_schedule = SortedSet()
        self._grant_count = 0
        self._mean_log_duration = 0.0
        self._sample_count = 0
        self.usable_slots = 0
        self.free_slots = 0
        self.fast_slots = 0

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, endpoint: str) -> EndpointState | None:
        """Return the state of an endpoint, or ``None`` if it is unknown."""
        return self._endpoints.get(endpoint)

    def all_states(self) -> Iterable[EndpointState]:
        """Return all endpoints, including unlisted ones with slots in use."""
        return self._endpoints.values()

    def set_limit(self, limit: int) -> None:
        """Change the limit of every endpoint. Grants above a lowered limit are not revoked."""
        self._limit = limit
        for state in self._endpoints.values():
            self._remove_from_totals(state)
            state.limit = limit
            self._add_to_totals(state)

    def set_listed(self, views: Iterable[EndpointView]) -> None:
        """Apply the instance list. An endpoint that is no longer listed receives no more grants."""
        views_by_endpoint = {view.endpoint: view for view in views}
        for view in views_by_endpoint.values():
            state = self._endpoints.get(view.endpoint)
            if state is None:
                state = EndpointState(view.endpoint, view.address, self._limit)
                self._endpoints[view.endpoint] = state
                self._add_to_totals(state)
            self._update_listed(state, view)
        for endpoint in [name for name in self._endpoints if name not in views_by_endpoint]:
            state = self._endpoints[endpoint]
            self._remove_from_totals(state)
            state.listed = False
            self._add_to_totals(state)
            self._remove_if_unused(state)

    def _update_listed(self, state: EndpointState, view: EndpointView) -> None:
        self._remove_from_totals(state)
        # An announced departure stays in effect until the endpoint is removed from the list.
        state.leaving = view.leaving or (state.leaving and state.listed)
        state.listed = True
        state.address = view.address
        self._add_to_totals(state)

    def add_unlisted(self, endpoint: str) -> EndpointState:
        """Return the state of an endpoint with grants, and add it as unlisted if it is unknown."""
        state = self._endpoints.get(endpoint)
        if state is None:
            state = EndpointState(endpoint, "", self._limit, listed=False)
            self._endpoints[endpoint] = state
        return state

    def mark_leaving(self, endpoint: str) -> None:
        """Issue no more grants for an endpoint that announced its departure."""
        state = self._endpoints.get(endpoint)
        if state is None:
            return
        self._remove_from_totals(state)
        state.leaving = True
        self._add_to_totals(state)

    def choose(
        self, now_ms: float, avoid: tuple[str, ...], idempotent: bool, wait_ms: float
    ) -> EndpointState | None:
        """Return the endpoint for a request, or ``None`` if the request should wait.

        Parameters
        ----------
        wait_ms
            Expected waiting time for a slot of an endpoint that is not slow.
        """
        probe = self._probe(now_ms, avoid, idempotent)
        if probe is not None:
            return probe
        for key in self._by_load:
            state = self._endpoints[key[2]]
            if state.endpoint in avoid and self._has_alternative(avoid):
                continue
            return None if self._should_wait(state, now_ms, wait_ms) else state
        return None

    def _has_alternative(self, avoid: tuple[str, ...]) -> bool:
        avoided = sum(1 for name in set(avoid) if self._is_usable(name))
        return self.usable_slots > avoided * self._limit

    def _is_usable(self, endpoint: str) -> bool:
        state = self._endpoints.get(endpoint)
        return state is not None and state.is_usable

    def _should_wait(self, state: EndpointState, now_ms: float, wait_ms: float) -> bool:
        if state.slowness < SLOW_RATIO or self.fast_slots == 0:
            return False
        if state.in_use == 0 and now_ms - state.last_granted_ms >= SLOW_RETRY_INTERVAL_MS:
            return False
        typical_ms = math.exp(self._mean_log_duration)
        return wait_ms < (state.slowness - 1.0) * typical_ms

    def _probe(
        self, now_ms: float, avoid: tuple[str, ...], idempotent: bool
    ) -> EndpointState | None:
        for due_ms, endpoint in self._probe_schedule.islice(0, PROBE_LOOKAHEAD):
            if now_ms < due_ms:
                return None
            is_idempotent_only = now_ms < due_ms + PROBE_IDEMPOTENT_ONLY_MS
            if endpoint not in avoid and (idempotent or not is_idempotent_only):
                return self._endpoints[endpoint]
        return None

    def take_slot(self, state: EndpointState, now_ms: float) -> None:
        """Count a slot as granted.

        Raises
        ------
        InvariantViolation
            If the endpoint has no free slot or is leaving.
        """
        context = {"endpoint": state.endpoint, "in_use": state.in_use, "limit": state.limit}
        require(
            state.in_use < state.limit,
            "capacity",
            "A slot of a full endpoint would be granted twice",
            **context,
        )
        leaving = state.leaving or not state.listed
        require(not leaving, "leaving", "A leaving endpoint would receive a grant", **context)
        self._remove_from_totals(state)
        self._grant_count += 1
        state.last_grant_number = self._grant_count
        state.in_use += 1
        state.last_granted_ms = now_ms
        self._add_to_totals(state)

    def occupy_slots(self, state: EndpointState, slots: int = 1) -> None:
        """Count slots held by earlier grants as in use, even beyond the limit."""
        self._remove_from_totals(state)
        state.in_use += slots
        self._add_to_totals(state)

    def release_slots(self, state: EndpointState, slots: int = 1) -> None:
        """Count slots as free.

        Raises
        ------
        InvariantViolation
            If more slots are released than are in use.
        """
        require(
            state.in_use >= slots,
            "capacity",
            "A slot would be released twice",
            endpoint=state.endpoint,
        )
        self._remove_from_totals(state)
        state.in_use -= slots
        self._add_to_totals(state)
        self._remove_if_unused(state)

    def record(self, state: EndpointState, ok: bool, duration_ms: float, now_ms: float) -> None:
        """Record the result of an exchange."""
        state.error_rate += ERROR_RATE_WEIGHT * ((0.0 if ok else 1.0) - state.error_rate)
        if ok:
            self._record_duration(state, duration_ms)
        if state.ejected:
            self._remove_from_totals(state)
            self._record_probe(state, ok, now_ms)
            self._add_to_totals(state)
        elif state.error_rate > EJECT_ERROR_RATE and self._may_eject():
            self._remove_from_totals(state)
            self._ejected += 1
            state.ejected = True
            state.probe_due_ms = now_ms + self._jittered(state.backoff_ms)
            self._add_to_totals(state)

    def _record_probe(self, state: EndpointState, ok: bool, now_ms: float) -> None:
        if ok:
            self._readmit(state)
            return
        state.backoff_ms = min(2 * state.backoff_ms, BACKOFF_MAX_MS)
        state.probe_due_ms = now_ms + self._jittered(state.backoff_ms)

    def _readmit(self, state: EndpointState) -> None:
        state.ejected = False
        state.error_rate = 0.0
        state.backoff_ms = BACKOFF_INITIAL_MS
        self._ejected -= 1

    def _may_eject(self) -> bool:
        return self._ejected + 1 <= MAX_EJECTED_SHARE * len(self._endpoints)

    def _jittered(self, delay_ms: float) -> float:
        return delay_ms * (1.0 + BACKOFF_JITTER * self._rng.random())

    def _record_duration(self, state: EndpointState, duration_ms: float) -> None:
        value = math.log(max(duration_ms, MIN_DURATION_MS))
        state.sample_count += 1
        self._sample_count += 1
        state.mean_log_duration += (value - state.mean_log_duration) * max(
            DURATION_WEIGHT, 1 / state.sample_count
        )
        weight = max(DURATION_WEIGHT / max(len(self._endpoints), 1), 1 / self._sample_count)
        self._mean_log_duration += (value - self._mean_log_duration) * weight
        ratio = math.exp(state.mean_log_duration - self._mean_log_duration)
        slow = state.sample_count >= SLOW_MIN_SAMPLES and ratio >= SLOW_RATIO
        slowness = ratio if slow else 1.0
        if slowness != state.slowness:
            self._remove_from_totals(state)
            state.slowness = slowness
            self._add_to_totals(state)

    def next_probe_ms(self) -> float | None:
        """Return the time at which the next probe of an ejected endpoint is due, or ``None``."""
        return float(self._probe_schedule[0][0]) if self._probe_schedule else None

    def _add_to_totals(self, state: EndpointState) -> None:
        """Include an endpoint in the slot totals, the load order and the probe schedule."""
        if state.is_probe_candidate:
            self._probe_schedule.add((state.probe_due_ms, state.endpoint))
        if not state.is_usable:
            return
        self.usable_slots += state.limit
        self.free_slots += max(0, state.limit - state.in_use)
        if state.slowness < SLOW_RATIO:
            self.fast_slots += state.limit
        if state.in_use < state.limit:
            state.key = (
                (state.in_use + 1) * state.slowness,
                state.last_grant_number,
                state.endpoint,
            )
            self._by_load.add(state.key)

    def _remove_from_totals(self, state: EndpointState) -> None:
        """Undo ``_add_to_totals``. Must be called before the state changes."""
        if state.is_probe_candidate:
            self._probe_schedule.discard((state.probe_due_ms, state.endpoint))
        if not state.is_usable:
            return
        self.usable_slots -= state.limit
        self.free_slots -= max(0, state.limit - state.in_use)
        if state.slowness < SLOW_RATIO:
            self.fast_slots -= state.limit
        if state.key is not None:
            self._by_load.discard(state.key)
            state.key = None

    def _remove_if_unused(self, state: EndpointState) -> None:
        if not state.listed and state.in_use == 0:
            self._endpoints.pop(state.endpoint, None)
            self._ejected -= state.ejected
