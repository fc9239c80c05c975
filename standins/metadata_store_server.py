"""Process that serves the platform's metadata store, with one listener for each instance.

The first listener is the operator's: it has no faults and also takes the control calls ``POST
/fault`` (``listeners``, ``kind``, ``for_s``, ``share``), ``POST /drop`` (``key``: its lease ends),
``POST /pause-leases`` (``for_s``) and ``POST /remove`` (``key``).
"""

import argparse
import asyncio
import random
import signal
from dataclasses import dataclass
from typing import Any

from nutmeglb._internal.ports_file import write_ports_file
from standins.light_http import LightRequest, LightServer, NoResponse, Reply
from standins.metadata_store import MetadataStoreData

MS_PER_S = 1_000.0
MAX_HISTORY = 4_000
EXPIRY_CHECK_S = 0.02
LATE_S = (1.0, 5.0)


@dataclass(frozen=True, slots=True)
class StoreFault:
    """A fault of one listener until a time.

    ``kind`` is ``refuse`` (503), ``silent``, ``reset``, ``lose`` (effect and no response), ``late``
    (a write has its effect seconds later and no response) or ``slow``.
    """

    kind: str
    until_s: float
    share: float


class StoreProcess:
    """Serves the store's data over several listeners."""

    def __init__(self, instances: int, seed: int) -> None:
        self._data = MetadataStoreData()
        self._rng = random.Random(f"store {seed}")
        self._last_lease = 1_000
        self._changed = asyncio.Event()
        self._faults: list[list[StoreFault]] = [[] for _ in range(instances + 1)]
        self._servers = [LightServer(self._handler(number)) for number in range(instances + 1)]
        self._late_calls: set[asyncio.Task[None]] = set()

    async def start(self) -> list[str]:
        """Start the listeners and return their addresses, the operator's first."""
        for server in self._servers:
            await server.start()
        return [server.address for server in self._servers]

    async def run(self) -> None:
        """Expire leases until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(EXPIRY_CHECK_S)
            before = self._data.revision
            self._data.expire_leases(loop.time())
            if self._data.revision != before:
                self._notify()

    def _handler(self, number: int) -> Any:
        async def handle(request: LightRequest) -> Reply:
            return await self._handle(number, request)

        return handle

    async def _handle(self, number: int, request: LightRequest) -> Reply:
        if not request.path.startswith("/v1/"):
            return self._control(request)
        kinds = self._draw_faults(number)
        writes = request.method != "GET"
        if "refuse" in kinds:
            return 503, {}
        if "silent" in kinds:
            return NoResponse.SILENT
        if "reset" in kinds:
            return NoResponse.CLOSE
        if "slow" in kinds:
            await asyncio.sleep(self._rng.uniform(0, 0.5))
        if "late" in kinds and request.path == "/v1/kv-txn":
            late = asyncio.create_task(self._apply_late(request))
            self._late_calls.add(late)
            late.add_done_callback(self._late_calls.discard)
            return NoResponse.SILENT
        reply = await self._execute(request)
        return NoResponse.SILENT if "lose" in kinds and writes else reply

    async def _apply_late(self, request: LightRequest) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_S))
        await self._execute(request)

    async def _execute(self, request: LightRequest) -> Reply:
        self._data.expire_leases(asyncio.get_running_loop().time())
        call, _, number = request.path.removeprefix("/v1/").partition("/")
        match call:
            case "kv-key":
                item = self._data.items.get(request.query["key"])
                return (200 if item else 404), {**(item or {}), "as_of": self._data.revision}
            case "kv-range":
                return self._range(request.query["prefix"], request.query.get("after", ""))
            case "kv-watch":
                query = request.query
                return await self._watch(query["prefix"], int(query["after"]), query["wait_ms"])
            case "kv-txn":
                return self._commit(request.body)
            case "kv-lease":
                return self._grant(request.body["ttl_ms"] / MS_PER_S)
            case "kv-keep":
                return self._keep(int(number))
            case "kv-lease-end":
                self._data.end_lease(int(number))
                self._notify()
                return 200, {}
        return 400, {}

    def _commit(self, body: dict[str, Any]) -> Reply:
        data = self._data
        leases = {put.get("lease", 0) for put in body["puts"]} - {0}
        if not leases <= data.leases.keys():
            return 404, {}
        if data.apply(body["expected_rev"], body["puts"], body.get("remove", ())):
            self._notify()
            return 200, {"revision": data.revision}
        keys = [row["key"] for row in body["expected_rev"]]
        return 412, {"items": [data.items.get(key, {"key": key, "revision": 0}) for key in keys]}

    def _grant(self, ttl_s: float) -> Reply:
        self._last_lease += 1
        expires_at_s = asyncio.get_running_loop().time() + ttl_s
        self._data.leases[self._last_lease] = (ttl_s, expires_at_s)
        return 200, {"lease": self._last_lease, "ttl_ms": int(ttl_s * MS_PER_S)}

    def _keep(self, lease: int) -> Reply:
        if lease not in self._data.leases:
            return 404, {}
        ttl_s = self._data.leases[lease][0]
        self._data.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * MS_PER_S)}

    def _range(self, prefix: str, after: str) -> Reply:
        items = self._data.items
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page = keys[: self._data.page_size]
        listed = [items[key] for key in page]
        truncated = len(keys) > len(page)
        return 200, {"items": listed, "truncated": truncated, "as_of": self._data.revision}

    async def _watch(self, prefix: str, after: int, wait_ms: str) -> Reply:
        data = self._data
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(wait_ms) / MS_PER_S
        seen = after
        while True:
            if seen < data.compacted_revision:
                return 410, {}
            events = []
            for event in reversed(data.history):
                if event["revision"] <= seen:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            if events or loop.time() >= deadline_s:
                return 200, {"events": events[::-1], "as_of": data.revision}
            seen = data.revision
            changed = self._changed
            try:
                async with asyncio.timeout(deadline_s - loop.time()):
                    await changed.wait()
            except TimeoutError:
                continue

    def _notify(self) -> None:
        history = self._data.history
        if len(history) > 2 * MAX_HISTORY:
            self._data.compacted_revision = history[-MAX_HISTORY]["revision"]
            del history[:-MAX_HISTORY]
        self._changed.set()
        self._changed = asyncio.Event()

    def _draw_faults(self, number: int) -> set[str]:
        now_s = asyncio.get_running_loop().time()
        self._faults[number] = [f for f in self._faults[number] if f.until_s > now_s]
        return {f.kind for f in self._faults[number] if self._rng.random() < f.share}

    def _control(self, request: LightRequest) -> Reply:
        body = request.body
        now_s = asyncio.get_running_loop().time()
        match request.path:
            case "/fault":
                for number in body["listeners"]:
                    fault = StoreFault(body["kind"], now_s + body["for_s"], body.get("share", 1.0))
                    self._faults[number].append(fault)
            case "/drop":
                item = self._data.items.get(body["key"])
                if item is not None and item["lease"]:
                    self._data.end_lease(item["lease"])
            case "/pause-leases":
                for lease, (ttl_s, expires_at_s) in list(self._data.leases.items()):
                    self._data.leases[lease] = (ttl_s, expires_at_s + body["for_s"])
            case "/remove":
                self._data.revision += 1
                self._data.remove(body["key"])
        self._notify()
        return 200, {}


async def _main(arguments: argparse.Namespace) -> None:
    store = StoreProcess(arguments.instances, arguments.seed)
    write_ports_file(arguments.ports_file, {"listeners": await store.start()})
    task = asyncio.create_task(store.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        return


def main() -> None:
    """Parse the arguments and serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ports_file", required=True)
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
