"""Connections of the clients of one listener, and what each of them is charged.

Load pattern: clients that are not under control open many connections, send large bodies whole or
in pieces, stop short of the end and stay. Memory and descriptors are charged before they are used.
When they run short, connections without progress are closed first, and what does not fit waits
unread for a moment and is then refused.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from nutmeglb_decisions.intake.limits import ListenerLimits

# A connection on which no byte has moved for this long may be closed in favour of another one.
STALL_MS = 1_000.0
# The same for a request that is still being read after this time, however often a byte arrives.
SLOW_REQUEST_MS = 10_000.0
# A request waits this long for memory. What a stalled connection holds is free by then.
MAX_WAIT_MS = 1_500.0
# A refused request is read and discarded for this long, so that its client can read the refusal.
LINGER_MS = 1_000.0


class Phase(Enum):
    """What a connection is used for."""

    IDLE = "idle"
    READING = "reading"
    WAITING = "waiting"
    RUNNING = "running"
    ANSWERING = "answering"
    REFUSED = "refused"
    # The client has gone while its request is processed.
    ABANDONED = "abandoned"


# Phases in which time alone brings about a decision.
TIMED_PHASES = (Phase.WAITING, Phase.REFUSED)


class Verdict(Enum):
    """Decision on a reservation."""

    ADMITTED = "admitted"
    WAITING = "waiting"
    REFUSED = "refused"


class Cause(Enum):
    """Why a connection was closed or a request was refused."""

    CONNECTIONS = "connections"
    DESCRIPTORS = "descriptors"
    MEMORY = "memory"
    LINGER = "linger"


@dataclass(frozen=True, slots=True)
class Opened:
    """Decision on a new connection. ``number`` is ``None`` if the connection is to be closed."""

    number: int | None
    closed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Reserved:
    """Decision on a reservation, with the connections to close for it."""

    verdict: Verdict
    closed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Changes:
    """Decisions that time has brought about. Admitted and refused requests had been waiting."""

    admitted: tuple[int, ...] = ()
    refused: tuple[int, ...] = ()
    closed: tuple[int, ...] = ()
    expired: tuple[int, ...] = ()


@dataclass(slots=True)
class _Connection:
    number: int
    address: str
    phase: Phase
    # Last time at which a byte moved in either direction.
    progress_ms: float
    phase_ms: float
    request_bytes: int = 0
    wanted_bytes: int = 0


class ConnectionTable:
    """State of the connections of one listener. It alone changes their charges.

    Times are monotonic milliseconds. Numbers are never used again.
    """

    def __init__(self, limits: ListenerLimits) -> None:
        self._limits = limits
        self._connections: dict[int, _Connection] = {}
        self._next_number = 1
        self._abandoned = 0
        self._timed = 0
        self._request_bytes = 0
        self._large_bytes = 0

    @property
    def limits(self) -> ListenerLimits:
        """Return the limits of the listener."""
        return self._limits

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections) - self._abandoned

    @property
    def request_bytes(self) -> int:
        """Return what all requests together are charged."""
        return self._request_bytes

    @property
    def needs_time(self) -> bool:
        """Return whether ``advance`` has something to decide while time passes."""
        return self._timed > 0

    def phase_of(self, number: int) -> Phase | None:
        """Return the phase of a connection, or ``None`` if it is closed."""
        connection = self._connections.get(number)
        return connection.phase if connection is not None else None

    def open(self, address: str, now_ms: float) -> Opened:
        """Admit a new connection, if need be in place of one that makes no progress."""
        closed: tuple[int, ...] = ()
        # A request whose client has gone keeps its place, since its objects are still there.
        if len(self._connections) >= self._limits.connections:
            victim = self._stalled_connection(now_ms)
            if victim is None:
                return Opened(None)
            self.close(victim.number)
            closed = (victim.number,)
        number = self._next_number
        self._next_number += 1
        self._connections[number] = _Connection(number, address, Phase.IDLE, now_ms, now_ms)
        return Opened(number, closed)

    def close(self, number: int) -> None:
        """Release the charges of a connection. Does nothing if it is closed already.

        A request that is being processed keeps its charge and its place until ``end_run``.
        """
        connection = self._connections.get(number)
        if connection is None or connection.phase is Phase.ABANDONED:
            return
        if connection.phase is Phase.RUNNING:
            self._enter(connection, Phase.ABANDONED, connection.progress_ms)
        else:
            self._remove(connection)

    def end_run(self, number: int, now_ms: float) -> None:
        """Note that a request has been processed, whether or not its answer can be written."""
        connection = self._connections.get(number)
        if connection is not None and connection.phase is Phase.ABANDONED:
            self._remove(connection)
        else:
            self.answer(number, now_ms)

    def note_progress(self, number: int, now_ms: float) -> None:
        """Note that bytes have arrived on a connection or have left it."""
        connection = self._connections.get(number)
        if connection is None:
            return
        connection.progress_ms = now_ms
        if connection.phase is Phase.IDLE:
            self._enter(connection, Phase.READING, now_ms)

    def expect_request(self, number: int, now_ms: float) -> None:
        """Release the charge of the last request, whose answer has been sent.

        One that is still being processed has lost its client, and keeps its charge.
        """
        connection = self._connections.get(number)
        if connection is not None and connection.phase not in (Phase.RUNNING, Phase.ABANDONED):
            self._charge(connection, 0)
            connection.progress_ms = now_ms
            self._enter(connection, Phase.IDLE, now_ms)

    def grow(self, number: int, request_bytes: int, now_ms: float) -> Reserved:
        """Raise the charge of a request that cannot wait, such as a header block."""
        return self._reserve(number, request_bytes, now_ms, may_wait=False)

    def reserve(self, number: int, request_bytes: int, now_ms: float) -> Reserved:
        """Raise the charge of a request to a total. A waiting request must not be read on.

        A request that is charged more already keeps its charge.
        """
        return self._reserve(number, request_bytes, now_ms, may_wait=True)

    def run(self, number: int, now_ms: float) -> None:
        """Note that a request has been read completely and is being processed."""
        self._change_phase(number, Phase.READING, Phase.RUNNING, now_ms)

    def answer(self, number: int, now_ms: float) -> None:
        """Note that the answer of a request that was processed is being sent."""
        self._change_phase(number, Phase.RUNNING, Phase.ANSWERING, now_ms)

    def refuse(self, number: int, now_ms: float) -> None:
        """Release the charge of a request whose rest is discarded."""
        connection = self._connections.get(number)
        if connection is not None:
            self._charge(connection, 0)
            self._enter(connection, Phase.REFUSED, now_ms)

    def advance(self, now_ms: float, late_ms: float = 0.0) -> Changes:
        """Decide on waiting requests, and close refused ones that do not end.

        Parameters
        ----------
        late_ms
            Time in which this process did not run. It counts against no client.
        """
        for connection in self._connections.values() if late_ms else ():
            connection.progress_ms = min(now_ms, connection.progress_ms + late_ms)
            connection.phase_ms = min(now_ms, connection.phase_ms + late_ms)
        expired = [
            connection.number
            for connection in self._connections.values()
            if connection.phase is Phase.REFUSED and now_ms - connection.phase_ms >= LINGER_MS
        ]
        for number in expired:
            self.close(number)
        waiting = [each for each in self._connections.values() if each.phase is Phase.WAITING]
        if not waiting:
            return Changes(expired=tuple(expired))
        stalled = self._stalled_requests(now_ms)
        admitted, refused, closed = [], [], []
        for connection in sorted(waiting, key=lambda each: each.phase_ms):
            victims = self._victims_for(connection, connection.wanted_bytes, stalled)
            if victims is not None:
                closed += self._admit(connection, connection.wanted_bytes, victims, now_ms)
                stalled = [each for each in stalled if each.number in self._connections]
                admitted.append(connection.number)
            elif now_ms - connection.phase_ms >= MAX_WAIT_MS:
                self.refuse(connection.number, now_ms)
                refused.append(connection.number)
        return Changes(tuple(admitted), tuple(refused), tuple(closed), tuple(expired))

    def relieve(self, now_ms: float) -> tuple[int, ...]:
        """Close the idlest connection, since the process has no descriptor left."""
        candidates = [each for each in self._connections.values() if _is_closable(each)]
        if not candidates:
            return ()
        victim = min(candidates, key=lambda each: each.progress_ms)
        self.close(victim.number)
        return (victim.number,)

    def _reserve(
        self, number: int, request_bytes: int, now_ms: float, *, may_wait: bool
    ) -> Reserved:
        connection = self._connections.get(number)
        if connection is None or connection.phase not in (Phase.IDLE, Phase.READING):
            return Reserved(Verdict.REFUSED)
        connection.progress_ms = now_ms
        if request_bytes <= connection.request_bytes:
            self._enter(connection, Phase.READING, now_ms)
            return Reserved(Verdict.ADMITTED)
        victims = self._victims_for(connection, request_bytes, ())
        if victims is None:
            stalled = self._stalled_requests(now_ms)
            victims = self._victims_for(connection, request_bytes, stalled)
        if victims is not None:
            closed = self._admit(connection, request_bytes, victims, now_ms)
            return Reserved(Verdict.ADMITTED, tuple(closed))
        if not may_wait or request_bytes > self._largest_bytes:
            return Reserved(Verdict.REFUSED)
        connection.wanted_bytes = request_bytes
        self._enter(connection, Phase.WAITING, now_ms)
        return Reserved(Verdict.WAITING)

    @property
    def _largest_bytes(self) -> int:
        return self._limits.request_bytes - self._limits.small_reserve_bytes

    def _admit(
        self,
        connection: _Connection,
        request_bytes: int,
        victims: Iterable[_Connection],
        now_ms: float,
    ) -> list[int]:
        closed = [victim.number for victim in victims]
        for number in closed:
            self.close(number)
        self._charge(connection, request_bytes)
        connection.progress_ms = now_ms
        self._enter(connection, Phase.READING, now_ms)
        return closed

    def _victims_for(
        self, connection: _Connection, request_bytes: int, stalled: Iterable[_Connection]
    ) -> list[_Connection] | None:
        """Return the fewest stalled connections whose memory suffices, or ``None``."""
        added = request_bytes - connection.request_bytes
        total = self._request_bytes + added
        large = self._large_bytes
        if self._is_large(request_bytes):
            counted = connection.request_bytes if self._is_large(connection.request_bytes) else 0
            large += request_bytes - counted
        victims: list[_Connection] = []
        if self._fits(total, large, request_bytes):
            return victims
        for victim in stalled:
            if victim is connection:
                continue
            if total <= self._limits.request_bytes and not self._is_large(victim.request_bytes):
                continue
            victims.append(victim)
            total -= victim.request_bytes
            if self._is_large(victim.request_bytes):
                large -= victim.request_bytes
            if self._fits(total, large, request_bytes):
                return victims
        return None

    def _fits(self, total: int, large: int, request_bytes: int) -> bool:
        if total > self._limits.request_bytes:
            return False
        return not self._is_large(request_bytes) or large <= self._largest_bytes

    def _stalled_requests(self, now_ms: float) -> list[_Connection]:
        """Return connections that may be closed for a request, the idlest first."""
        stalled = [
            each
            for each in self._connections.values()
            if each.request_bytes and _is_closable(each) and _is_stalled(each, now_ms)
        ]
        return sorted(stalled, key=lambda each: each.progress_ms)

    def _stalled_connection(self, now_ms: float) -> _Connection | None:
        """Return the connection to close in favour of a new one.

        An address that has most of the connections gives one up first.
        """
        connections = self._connections.values()
        stalled = [each for each in connections if _is_closable(each) and _is_stalled(each, now_ms)]
        if not stalled:
            return None
        counts = Counter(each.address for each in self._connections.values())
        address, count = counts.most_common(1)[0]
        if 2 * count > self.connections:
            stalled = [each for each in stalled if each.address == address] or stalled
        return min(stalled, key=lambda each: (each.phase is not Phase.REFUSED, each.progress_ms))

    def _charge(self, connection: _Connection, request_bytes: int) -> None:
        self._request_bytes += request_bytes - connection.request_bytes
        if self._is_large(connection.request_bytes):
            self._large_bytes -= connection.request_bytes
        if self._is_large(request_bytes):
            self._large_bytes += request_bytes
        connection.request_bytes = request_bytes

    def _is_large(self, request_bytes: int) -> bool:
        return request_bytes > self._limits.small_request_bytes

    def _change_phase(self, number: int, former: Phase, phase: Phase, now_ms: float) -> None:
        connection = self._connections.get(number)
        if connection is not None and connection.phase is former:
            connection.progress_ms = now_ms
            self._enter(connection, phase, now_ms)

    def _enter(self, connection: _Connection, phase: Phase, now_ms: float) -> None:
        if connection.phase is phase:
            return
        self._timed += (phase in TIMED_PHASES) - (connection.phase in TIMED_PHASES)
        self._abandoned += (phase is Phase.ABANDONED) - (connection.phase is Phase.ABANDONED)
        connection.phase = phase
        connection.phase_ms = now_ms

    def _remove(self, connection: _Connection) -> None:
        self._charge(connection, 0)
        self._enter(connection, Phase.IDLE, connection.progress_ms)
        del self._connections[connection.number]


def _is_closable(connection: _Connection) -> bool:
    """Return whether closing the connection interrupts no work of the process itself."""
    return connection.phase not in (Phase.RUNNING, Phase.WAITING, Phase.ABANDONED)


def _is_stalled(connection: _Connection, now_ms: float) -> bool:
    if now_ms - connection.progress_ms >= STALL_MS:
        return True
    is_slow = now_ms - connection.phase_ms >= SLOW_REQUEST_MS
    return connection.phase is Phase.READING and is_slow
