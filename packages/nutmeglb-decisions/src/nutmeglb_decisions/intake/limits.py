"""Divides the memory and the descriptors of a process among its listeners.

What a listener may hold is a sum: objects of the process for each connection, bytes that the kernel
holds unread, header blocks, bodies, and what they are decoded into. ``docs/CAPACITY.md`` has the
sum for the smallest machine.
"""

from dataclasses import dataclass

BYTES_PER_MIB = 1_048_576
KIB = 1_024
# Part of the memory of a process for connections and requests. The rest is for its own state.
INTAKE_SHARE = 0.25
# Receive buffer of a connection. The kernel doubles it to account for its own overhead.
RECEIVE_BUFFER_BYTES = 16 * KIB
# Objects of a connection and of the request on it, without its header block and body.
CONNECTION_OBJECT_BYTES = 16 * KIB
CONNECTION_BYTES = CONNECTION_OBJECT_BYTES + 2 * RECEIVE_BUFFER_BYTES
# Part of the memory for requests that only small requests may use.
SMALL_RESERVE_SHARE = 0.25
# Charge up to which a request counts as small.
SMALL_REQUEST_BYTES = 64 * KIB
MIN_CONNECTIONS = 4
# Part of the memory for clients that connections in their opening handshake have.
HANDSHAKE_SHARE = 0.15
# Connection of another instance whose opening handshake is not complete, and what it has sent.
HANDSHAKE_BYTES = 32 * KIB
# Descriptors for files, and for connections to the platform's services.
FILE_DESCRIPTORS = 200
SERVICE_DESCRIPTORS = 400
# Shares of all descriptors: one in so many.
CALLER_DIVISOR = 6
HEALTH_DIVISOR = 64
HANDSHAKE_DIVISOR = 16
PEER_DIVISOR = 16


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What the clients of one listener may hold together.

    Attributes
    ----------
    connections
        Most connections at once.
    request_bytes
        Memory for header blocks, bodies and what they are decoded into.
    small_reserve_bytes
        Part of that memory which only small requests may use.
    small_request_bytes
        Charge up to which a request counts as small.
    """

    connections: int
    request_bytes: int
    small_reserve_bytes: int
    small_request_bytes: int = SMALL_REQUEST_BYTES

    @property
    def total_bytes(self) -> int:
        """Return the most that all clients of the listener are charged."""
        return self.connections * CONNECTION_BYTES + self.request_bytes


@dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """Descriptors by use. Their sum does not exceed the limit of the process."""

    callers: int
    health: int
    handshakes: int
    peers: int
    services: int
    files: int
    workers: int


def divide_descriptors(max_descriptors: int) -> DescriptorPlan:
    """Divide the descriptors of a process among its uses."""
    callers = max_descriptors // CALLER_DIVISOR
    health = max_descriptors // HEALTH_DIVISOR
    handshakes = max_descriptors // HANDSHAKE_DIVISOR
    peers = max_descriptors // PEER_DIVISOR
    taken = callers + health + handshakes + peers + SERVICE_DESCRIPTORS + FILE_DESCRIPTORS
    workers = max(0, max_descriptors - taken)
    return DescriptorPlan(
        callers, health, handshakes, peers, SERVICE_DESCRIPTORS, FILE_DESCRIPTORS, workers
    )


def intake_bytes(memory_mb: int) -> int:
    """Return the memory for connections and requests of all listeners of a process."""
    return int(memory_mb * BYTES_PER_MIB * INTAKE_SHARE)


def limit_handshakes(memory_mb: int, max_descriptors: int) -> int:
    """Return how many connections of other instances may be in their opening handshake."""
    budget_bytes = int(HANDSHAKE_SHARE * intake_bytes(memory_mb))
    descriptors = divide_descriptors(max_descriptors).handshakes
    return max(MIN_CONNECTIONS, min(descriptors, budget_bytes // HANDSHAKE_BYTES))


def limit_listener(
    memory_mb: int, share: float, descriptors: int, largest_request_bytes: int
) -> ListenerLimits:
    """Return the limits of a listener.

    Parameters
    ----------
    memory_mb
        Memory of the process in MiB.
    share
        Part of the memory for clients that this listener has. The parts of all HTTP listeners of a
        process and ``HANDSHAKE_SHARE`` add up to 1 at most.
    descriptors
        Most connections, if the memory suffices. They take at most half of it.
    largest_request_bytes
        Charge of the largest legal request. One of them fits at least, so that it is served when
        nothing else is in progress.
    """
    budget_bytes = int(share * intake_bytes(memory_mb))
    connections = max(MIN_CONNECTIONS, min(descriptors, budget_bytes // 2 // CONNECTION_BYTES))
    least_bytes = int(largest_request_bytes / (1 - SMALL_RESERVE_SHARE)) + 1
    request_bytes = max(least_bytes, budget_bytes - connections * CONNECTION_BYTES)
    return ListenerLimits(connections, request_bytes, int(request_bytes * SMALL_RESERVE_SHARE))
