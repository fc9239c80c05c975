"""Entries of the workers in the metadata store, as the platform of the queue soak writes them."""

import asyncio
import itertools
import json
import random
import zlib
from typing import Any

from scripts.queue_soak_cell import SoakCell

BEAT_S = 1.5
EXPIRY_S = 3 * BEAT_S
# The workers' beats are spread over this many steps of a beat.
PHASES = 5
NESTING = 50_000
# Part of the ids of odd entries.
ODD = "-odd-"
UNUSED_ADDRESS = "127.0.0.1:9"


class WorkerEntries:
    """Writes changed entries with the next beat, and removes those of silent workers.

    Attributes
    ----------
    held
        Workers whose entries a fault writes itself.
    """

    def __init__(self, cell: SoakCell) -> None:
        self.held: set[str] = set()
        self._cell = cell
        self._stored: dict[str, Any] = {}
        self._beat_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def ids(self) -> list[str]:
        """Return the ids of the workers that have an entry."""
        return sorted(self._stored)

    async def start(self) -> None:
        """Read the first entries, which are stored, and start the beats."""
        self._stored = await self._cell.fleet("GET", "/entries")
        now_s = asyncio.get_running_loop().time()
        self._beat_s = dict.fromkeys(self._stored, now_s)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the beats."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def write(self, worker_id: str) -> None:
        """Write the current entry of a worker, if it is up."""
        entries = await self._cell.fleet("GET", "/entries")
        if entries and worker_id in entries:
            await self._write(worker_id, entries[worker_id])

    async def _run(self) -> None:
        for step in itertools.count():
            await asyncio.sleep(BEAT_S / PHASES)
            entries = await self._cell.fleet("GET", "/entries")
            if entries is not None:
                await self.beat(entries, step % PHASES, asyncio.get_running_loop().time())

    async def beat(self, entries: dict[str, Any], phase: int, now_s: float) -> None:
        """Write the changed entries of a phase's workers, and remove those of silent ones."""
        for worker_id, entry in entries.items():
            if beat_phase(worker_id) != phase:
                continue
            self._beat_s[worker_id] = now_s
            if worker_id not in self.held and entry != self._stored.get(worker_id):
                await self._write(worker_id, entry)
        for worker_id in [each for each in self._stored if each not in entries]:
            if now_s - self._beat_s[worker_id] >= EXPIRY_S:
                await self._cell.store("/remove", {"key": f"servers/{worker_id}"})
                del self._stored[worker_id]

    async def _write(self, worker_id: str, entry: Any) -> None:
        if await self._cell.put(f"servers/{worker_id}", entry):
            self._stored[worker_id] = entry
            self._beat_s.setdefault(worker_id, asyncio.get_running_loop().time())


def beat_phase(worker_id: str) -> int:
    """Return the step of a beat at which a worker reports."""
    return zlib.crc32(worker_id.encode()) % PHASES


def odd_entry(rng: random.Random) -> tuple[str, bytes]:
    """Return kind and bytes of an entry that names no worker to use."""
    entry = {
        "backend": "pool",
        "address": UNUSED_ADDRESS,
        "zone": "east",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 64_000, "mem_mb": 65_536, "gpu": 0},
        "labels": ["a", "r1-0"],
        "born": 1,
        "seq": 1,
    }
    text = json.dumps(entry)
    variants = {
        "nested": text.replace('["a", "r1-0"]', "[" * NESTING + "]" * NESTING),
        "nested_open": text.replace('["a", "r1-0"]', "[" * NESTING),
        # Nested little enough for a parser of JSON.
        "nested_parsed": text.replace('["a", "r1-0"]', "[" * 500 + "]" * 500),
        "largest_integer": text.replace("64000", str(2**64 - 1)),
        "largest_float": text.replace("64000", "1.7e308"),
        "negative": text.replace("64000", "-64000"),
        "huge_integer": text.replace("64000", "9" * 400),
        "infinite": text.replace("64000", "1e999"),
        "long_number": text.replace("64000", "9" * 5_000),
        "port": text.replace(UNUSED_ADDRESS, "127.0.0.1:99999"),
        "negative_port": text.replace(UNUSED_ADDRESS, "127.0.0.1:-1"),
        "port_zero": text.replace(UNUSED_ADDRESS, "127.0.0.1:0"),
        "no_port": text.replace(UNUSED_ADDRESS, "127.0.0.1"),
        "no_host": text.replace(UNUSED_ADDRESS, ":9"),
        "control": text.replace(UNUSED_ADDRESS, "127.0.0.1\\r\\n:9"),
        "type": text.replace('"state": "ready"', '"state": ["ready"]'),
        "state": text.replace('"state": "ready"', '"state": "asleep"'),
        "missing": text.replace('"address"', '"port"'),
        "list": "[1, 2]",
    }
    kind = rng.choice([*variants, "bytes", "empty"])
    if kind in ("bytes", "empty"):
        return kind, b"\xff\xfe\x00{" if kind == "bytes" else b""
    return kind, variants[kind].encode()
