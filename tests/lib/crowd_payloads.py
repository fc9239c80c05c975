"""Requests that a crowd sends: legal in size, and most of them never finished."""

from collections.abc import Iterator

from tests.lib.crowd import Crowd

MISSING_BYTES = 1


def head(method: str, path: str, host: str, *fields: str) -> bytes:
    """Return the header block of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _cut(data: bytes, size: int) -> Iterator[bytes]:
    for start in range(0, len(data), size):
        yield data[start : start + size]


def unfinished_body(target: tuple[str, str], size: int, piece: int) -> list[bytes]:
    """Return a body of a stated length that stops short of its end, in pieces."""
    start = head("POST", *target, "Content-Type: application/json", f"Content-Length: {size}")
    return [start, *_cut(b" " * (size - MISSING_BYTES), piece)]


def unfinished_chunks(target: tuple[str, str], size: int, chunk: int, piece: int) -> list[bytes]:
    """Return a chunked body that stops short of its end, in pieces."""
    start = head("POST", *target, "Content-Type: application/json", "Transfer-Encoding: chunked")
    framed = b"%x\r\n%s\r\n" % (chunk, b" " * chunk)
    body = framed * ((size - MISSING_BYTES) // chunk)
    return [start, *_cut(body, piece)]


def whole_body(target: tuple[str, str], body: bytes, content_type: str) -> list[bytes]:
    """Return a complete request."""
    fields = (f"Content-Type: {content_type}", f"Content-Length: {len(body)}")
    return [head("POST", *target, *fields) + body]


def unfinished_header(target: tuple[str, str], size: int) -> list[bytes]:
    """Return a header block without an end, in fields of a few thousand bytes."""
    path, host = target
    start = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n".encode()
    field = b"X-Filler-%03d: " + b"a" * 4_000 + b"\r\n"
    fields = b"".join(field % number for number in range(size // 4_000 + 1))
    return [(start + fields)[:size]]


def pipelined(target: tuple[str, str], requests: int) -> list[bytes]:
    """Return many requests in one go, whose answers nobody reads."""
    return [head("GET", *target) * requests]


def crowd_of(connections: int, pieces: list[bytes]) -> Crowd:
    """Return a crowd whose connections all send the same."""
    return Crowd(connections, lambda number: pieces)


def crowd_of_jobs(connections: int, jobs: int, prefix: str, host: str, body: bytes) -> Crowd:
    """Return a crowd whose connections each submit several jobs with ids of their own."""

    def pieces(number: int) -> list[bytes]:
        first = number * jobs
        return [
            whole_body((f"{prefix}{job:016x}", host), body, "application/json")[0]
            for job in range(first, first + jobs)
        ]

    return Crowd(connections, pieces)
