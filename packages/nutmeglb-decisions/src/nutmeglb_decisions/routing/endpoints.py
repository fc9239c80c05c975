"""Slots, health and choice of the endpoints of one service in one domain."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from sortedcontainers import SortedSet

from nutmeglb_decisions.invariants import require

ERROR_WEIGHT = 0.2
# Four failures in a row exceed this rate; an endpoint with one failure in five does not.
EJECT_ERROR_RATE = 0.5
# At most this share of the endpoints is ejected: if all fail, the fault is not theirs.
EJECT_SHARE = 0.5
BACKOFF_FIRST_MS = 1_000.0
BACKOFF_MAX_MS = 30_000.0
BACKOFF_JITTER = 0.2
# Time after which a probe may use a request that cannot be repeated.
PROBE_PATIENCE_MS = 10_000.0
# Due probes examined per request, so that the cost does not grow with the endpoints.
PROBE_LOOKAHEAD = 4
SPEED_WEIGHT = 0.05
SPEED_MIN_SAMPLES = 20
# Ratio to the service's usual time from which an endpoint counts as slow. The weighted mean of
# heavy-tailed times varies by a factor of 1.6 at most.
SLOW_RATIO = 3.0
SLOW_SAMPLE_MS = 1_000.0
SMALLEST_DURATION_MS = 0.1

OrderKey = tuple[float, int, str]


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint as the instance list shows it."""

    endpoint: str
    address: str
    leaving: bool = False


@dataclass(slots=True)
class EndpointState:
    """Ledger and health of one endpoint."""

    endpoint: str
    address: str
    limit: int
    leaving: bool = False
    listed: bool = True
    in_use: int = 0
    last_used: int = 0
    error_rate: float = 0.0
    ejected: bool = False
    probe_from_ms: float = 0.0
    backoff_ms: float = BACKOFF_FIRST_MS
    log_duration: float = 0.0
    samples: int = 0
    slowness: float = 1.0
    sampled_ms: float = -math.inf
    key: OrderKey | None = None

    @property
    def usable(self) -> bool:
        """Return whether new grants are possible apart from free slots."""
        return self.listed and not self.leaving and not self.ejected

    @property
    def probe_allowed(self) -> bool:
        """Return whether the endpoint is ejected and may be probed when its backoff has passed."""
        return self.ejected and self.listed and not self.leaving and self.in_use == 0


class EndpointPool:
    """Chooses the least loaded endpoint with a free slot.

    The load of an endpoint is the number of slots in use after the grant times its slowness.
    Choice and update cost O(log n) in the number of endpoints.

    Parameters
    ----------
    limit
        Grants per endpoint at any time: the smaller of slots and connections.
    """

    def __init__(self, limit: int, rng: random.Random) -> None:
        self._limit = limit
        self._rng = rng
        self._endpoints: dict[str, EndpointState] = {}
        self._free = SortedSet()
        self._ejected = 0
        self._probes = SortedSet()
        self._uses = 0
        self._log_duration = 0.0
        self._samples = 0
        self.usable_slots = 0
        self.free_slots = 0
        self.fast_slots = 0

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, endpoint: str) -> EndpointState | None:
        """Return the state of an endpoint, or ``None``."""
        return self._endpoints.get(endpoint)

    def all(self) -> Iterable[EndpointState]:
        """Return all endpoints, also those that left but still hold grants."""
        return self._endpoints.values()

    def set_limit(self, limit: int) -> None:
        """Change the limit of every endpoint. Grants above a lower limit run to their end."""
        self._limit = limit
        for state in self._endpoints.values():
            self._uncount(state)
            state.limit = limit
            self._count(state)

    def set_listed(self, views: Iterable[EndpointView]) -> None:
        """Apply the instance list. An endpoint that is no longer listed gets no new grants."""
        seen = {view.endpoint: view for view in views}
        for view in seen.values():
            state = self._endpoints.get(view.endpoint)
            if state is None:
                state = EndpointState(view.endpoint, view.address, self._limit)
                self._endpoints[view.endpoint] = state
                self._count(state)
            self._update_listed(state, view)
        for endpoint in [name for name in self._endpoints if name not in seen]:
            state = self._endpoints[endpoint]
            self._uncount(state)
            state.listed = False
            self._count(state)
            self._forget_if_unused(state)

    def _update_listed(self, state: EndpointState, view: EndpointView) -> None:
        self._uncount(state)
        # An announced departure is kept until the endpoint has disappeared from the list.
        state.leaving = view.leaving or (state.leaving and state.listed)
        state.listed = True
        state.address = view.address
        self._count(state)

    def add_unlisted(self, endpoint: str) -> EndpointState:
        """Return the state of an endpoint that holds grants but is not listed."""
        state = self._endpoints.get(endpoint)
        if state is None:
            state = EndpointState(endpoint, "", self._limit, listed=False)
            self._endpoints[endpoint] = state
        return state

    def mark_leaving(self, endpoint: str) -> None:
        """Give no new grants to an endpoint that announced its departure."""
        state = self._endpoints.get(endpoint)
        if state is None:
            return
        self._uncount(state)
        state.leaving = True
        self._count(state)

    def choose(
        self, now_ms: float, avoid: tuple[str, ...], idempotent: bool, wait_ms: float
    ) -> EndpointState | None:
        """Return the endpoint for a request, or ``None`` when it should wait.

        Parameters
        ----------
        wait_ms
            Expected wait for a slot of an endpoint that is not slow.
        """
        probe = self._probe(now_ms, avoid, idempotent)
        if probe is not None:
            return probe
        for key in self._free:
            state = self._endpoints[key[2]]
            if state.endpoint in avoid and self._has_other(avoid):
                continue
            return None if self._better_to_wait(state, now_ms, wait_ms) else state
        return None

    def _has_other(self, avoid: tuple[str, ...]) -> bool:
        avoided = sum(1 for name in set(avoid) if self._is_usable(name))
        return self.usable_slots > avoided * self._limit

    def _is_usable(self, endpoint: str) -> bool:
        state = self._endpoints.get(endpoint)
        return state is not None and state.usable

    def _better_to_wait(self, state: EndpointState, now_ms: float, wait_ms: float) -> bool:
        if state.slowness < SLOW_RATIO or self.fast_slots == 0:
            return False
        if state.in_use == 0 and now_ms - state.sampled_ms >= SLOW_SAMPLE_MS:
            return False
        usual_ms = math.exp(self._log_duration)
        return wait_ms < (state.slowness - 1.0) * usual_ms

    def _probe(
        self, now_ms: float, avoid: tuple[str, ...], idempotent: bool
    ) -> EndpointState | None:
        for due_ms, endpoint in self._probes.islice(0, PROBE_LOOKAHEAD):
            if now_ms < due_ms:
                return None
            patient = now_ms < due_ms + PROBE_PATIENCE_MS
            if endpoint not in avoid and (idempotent or not patient):
                return self._endpoints[endpoint]
        return None

    def take(self, state: EndpointState, now_ms: float) -> None:
        """Count one slot as granted.

        Raises
        ------
        InvariantViolation
            When the endpoint has no free slot or is leaving.
        """
        context = {"endpoint": state.endpoint, "in_use": state.in_use, "limit": state.limit}
        require(state.in_use < state.limit, "capacity", "A slot is granted twice", **context)
        leaving = state.leaving or not state.listed
        require(not leaving, "leaving", "A leaving endpoint gets a grant", **context)
        self._uncount(state)
        self._uses += 1
        state.last_used = self._uses
        state.in_use += 1
        state.sampled_ms = now_ms
        self._count(state)

    def occupy(self, state: EndpointState, slots: int = 1) -> None:
        """Count slots that earlier grants hold, as far as the limit allows."""
        self._uncount(state)
        state.in_use += slots
        self._count(state)

    def give_back(self, state: EndpointState, slots: int = 1) -> None:
        """Count slots as free.

        Raises
        ------
        InvariantViolation
            When more slots are freed than were in use.
        """
        require(state.in_use >= slots, "capacity", "A slot is freed twice", endpoint=state.endpoint)
        self._uncount(state)
        state.in_use -= slots
        self._count(state)
        self._forget_if_unused(state)

    def record(self, state: EndpointState, ok: bool, duration_ms: float, now_ms: float) -> None:
        """Record the result of an exchange."""
        state.error_rate += ERROR_WEIGHT * ((0.0 if ok else 1.0) - state.error_rate)
        if ok:
            self._record_speed(state, duration_ms)
        if state.ejected:
            self._uncount(state)
            self._record_probe(state, ok, now_ms)
            self._count(state)
        elif state.error_rate > EJECT_ERROR_RATE and self._may_eject():
            self._uncount(state)
            self._ejected += 1
            state.ejected = True
            state.probe_from_ms = now_ms + self._jittered(state.backoff_ms)
            self._count(state)

    def _record_probe(self, state: EndpointState, ok: bool, now_ms: float) -> None:
        if ok:
            self._readmit(state)
            return
        state.backoff_ms = min(2 * state.backoff_ms, BACKOFF_MAX_MS)
        state.probe_from_ms = now_ms + self._jittered(state.backoff_ms)

    def _readmit(self, state: EndpointState) -> None:
        state.ejected = False
        state.error_rate = 0.0
        state.backoff_ms = BACKOFF_FIRST_MS
        self._ejected -= 1

    def _may_eject(self) -> bool:
        return self._ejected + 1 <= EJECT_SHARE * len(self._endpoints)

    def _jittered(self, delay_ms: float) -> float:
        return delay_ms * (1.0 + BACKOFF_JITTER * self._rng.random())

    def _record_speed(self, state: EndpointState, duration_ms: float) -> None:
        value = math.log(max(duration_ms, SMALLEST_DURATION_MS))
        state.samples += 1
        self._samples += 1
        state.log_duration += (value - state.log_duration) * max(SPEED_WEIGHT, 1 / state.samples)
        weight = max(SPEED_WEIGHT / max(len(self._endpoints), 1), 1 / self._samples)
        self._log_duration += (value - self._log_duration) * weight
        ratio = math.exp(state.log_duration - self._log_duration)
        slow = state.samples >= SPEED_MIN_SAMPLES and ratio >= SLOW_RATIO
        slowness = ratio if slow else 1.0
        if slowness != state.slowness:
            self._uncount(state)
            state.slowness = slowness
            self._count(state)

    def next_probe_ms(self) -> float | None:
        """Return the time of the next probe of an ejected endpoint, or ``None``."""
        return float(self._probes[0][0]) if self._probes else None

    def _count(self, state: EndpointState) -> None:
        if state.probe_allowed:
            self._probes.add((state.probe_from_ms, state.endpoint))
        if not state.usable:
            return
        self.usable_slots += state.limit
        self.free_slots += max(0, state.limit - state.in_use)
        if state.slowness < SLOW_RATIO:
            self.fast_slots += state.limit
        if state.in_use < state.limit:
            state.key = ((state.in_use + 1) * state.slowness, state.last_used, state.endpoint)
            self._free.add(state.key)

    def _uncount(self, state: EndpointState) -> None:
        if state.probe_allowed:
            self._probes.discard((state.probe_from_ms, state.endpoint))
        if not state.usable:
            return
        self.usable_slots -= state.limit
        self.free_slots -= max(0, state.limit - state.in_use)
        if state.slowness < SLOW_RATIO:
            self.fast_slots -= state.limit
        if state.key is not None:
            self._free.discard(state.key)
            state.key = None

    def _forget_if_unused(self, state: EndpointState) -> None:
        if not state.listed and state.in_use == 0:
            self._endpoints.pop(state.endpoint, None)
            self._ejected -= state.ejected
