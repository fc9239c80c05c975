"""Entries of other writers among those of the workers in the platform's store."""

import json

ENTRY = {
    "backend": "pool",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 32, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 5,
    "machine": "m1",
}


def entry(**changes):
    """Return the bytes of an entry with some fields replaced."""
    return json.dumps({**ENTRY, **changes}).encode()


def with_literal(field, literal):
    """Return the bytes of an entry in which a field has a value that JSON libraries don't write."""
    text = json.dumps({**ENTRY, field: "LITERAL"}).replace('"LITERAL"', literal)
    return text.encode()


ADDRESSES = (
    "",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:+9",
    "127.0.0.1:9 ",
    "127.0.0.1:9:9",
    "127.0.0.1:9/other?x=",
    "127.0.0.1:9#x",
    "127.0.0.1:9\r\nX: y",
    "127.0.0.1\0:9",
    "127.0.0.1:\u0669",
    "user@127.0.0.1:9",
    "127.1:9",
    "0.0.0.0:9",
    "224.0.0.1:9",
    "[::]:9",
    "[fe80::1%eth0]:9",
    "::1:9",
    "worker.example:9",
    "h\u00e9:9",
    "9" * 100_000 + ":9",
)

# Field that the error names, and the bytes of the entry.
ODD_ENTRIES = {
    "nested deeply": ("json", b"[" * 100_000 + b"]" * 100_000),
    "field nested deeply": ("json", with_literal("labels", "[" * 5_000 + "]" * 5_000)),
    "number beyond a double": ("json", with_literal("born", "1e400")),
    "not a number": ("json", with_literal("born", "NaN")),
    "not UTF-8": ("json", b"\xff\xfe"),
    "lone surrogate": ("json", with_literal("machine", r'"\ud800"')),
    "empty": ("json", b""),
    "a list": ("json", b"[]"),
    "start beyond 64 bits": ("born", entry(born=2**64)),
    "start beyond 2**53": ("born", entry(born=2**53)),
    "start before the epoch": ("born", entry(born=-1)),
    "start with a fraction": ("born", entry(born=5.5)),
    "start is a truth value": ("born", entry(born=True)),
    "cpu beyond 64 bits": ("capacity", entry(capacity={"cpu": 2**64})),
    "cpu of 63 bits": ("capacity", entry(capacity={"cpu": 2**63 - 1})),
    "negative cpu": ("capacity", entry(capacity={"cpu": -1})),
    "memory beyond 64 bits in bytes": ("capacity", entry(capacity={"mem_mb": 2**50})),
    "negative memory": ("capacity", entry(capacity={"mem_mb": -(2**62)})),
    "many accelerators": ("capacity", entry(capacity={"gpu": 2**62})),
    "capacity is text": ("capacity", entry(capacity="16")),
    "many labels": ("labels", entry(labels=[f"l{number}" for number in range(60_000)])),
    "long label": ("labels", entry(labels=["l" * 900_000])),
    "label is null": ("labels", entry(labels=[None])),
    "long machine": ("machine", entry(machine="m" * 900_000)),
    "long zone": ("zone", entry(zone="z" * 900_000)),
    "long service": ("backend", entry(backend="s" * 900_000)),
    "no service": ("backend", entry(backend="")),
    "unknown state": ("state", entry(state="asleep")),
    "state is a list": ("state", entry(state=["ready"])),
    "remaining time is text": ("remaining_ms", entry(remaining_ms="nan")),
    **{f"address {address[:20]!r}": ("address", entry(address=address)) for address in ADDRESSES},
}
ODD_IDS = ("", "w 1", "w1\r\nX: y", "w\0", "w\u00e9", "\u20ac", "w" * 201)
