"""Process that serves the platform's metadata store, as PROTOCOL.md describes it.

Its argument is the number of entry processes. Prints its ports on the first line of its output,
the operator's first, and runs until it is terminated.
"""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))

import standin_http as http

MAX_PAGE_ITEMS = 500
MAX_ENTRIES = 32
EXPIRY_CHECK_S = 0.02


class Store:
    """Items with revisions, leases, and the history that watches read.

    The first listener is that of the operator and the runners. Each entry process has one of its
    own, which answers 503 for some time after ``POST /control/refuse`` on the first one.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 1_000
        self.changed = asyncio.Event()
        self.refused_until_s: dict[int, float] = {}

    def handler(self, listener: int) -> http.Handler:
        """Return the handler of one listener."""

        async def handle(call: http.Call) -> Any:
            if call.path == "/control/refuse":
                until_s = time.monotonic() + call.body["for_s"]
                self.refused_until_s[call.body["listener"]] = until_s
                return 200, {}
            if time.monotonic() < self.refused_until_s.get(listener, 0.0):
                return 503, {}
            return await self.handle(call)

        return handle

    async def handle(self, call: http.Call) -> Any:
        """Carry out a call."""
        self.expire()
        name, _, number = call.path.removeprefix("/v1/").partition("/")
        if name == "kv-key":
            item = self.items.get(call.query["key"])
            return (200 if item else 404), {**(item or {}), "as_of": self.revision}
        if name == "kv-range":
            return self.list_items(call.query["prefix"], call.query.get("after", ""))
        if name == "kv-watch":
            query = call.query
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if name == "kv-txn":
            return self.commit(call.body)
        if name == "kv-lease":
            self.last_lease += 1
            ttl_s = call.body["ttl_ms"] / 1_000
            self.leases[self.last_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.last_lease, "ttl_ms": call.body["ttl_ms"]}
        if name == "kv-keep":
            lease = int(number)
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1_000)}
        if name == "kv-lease-end":
            if int(number) not in self.leases:
                return 404, {}
            self.end_lease(int(number))
            return 200, {}
        return 400, {}

    def list_items(self, prefix: str, after: str) -> Any:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:MAX_PAGE_ITEMS]]
        truncated = len(keys) > MAX_PAGE_ITEMS
        return 200, {"items": page, "truncated": truncated, "as_of": self.revision}

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Any:
        deadline_s = time.monotonic() + wait_ms / 1_000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def commit(self, body: dict[str, Any]) -> Any:
        expected, puts = body.get("expected_rev", []), body.get("puts", [])
        removals = body.get("remove", [])
        if len(expected) + len(puts) + len(removals) > MAX_ENTRIES:
            return 400, {}
        if any(put.get("lease", 0) not in {0, *self.leases} for put in puts):
            return 404, {}
        if any(self.current(row["key"]) != row["revision"] for row in expected):
            keys = [row["key"] for row in expected]
            items = [self.items.get(key, {"key": key, "revision": 0}) for key in keys]
            return 412, {"items": items}
        self.revision += 1
        for put in puts:
            former = self.items.get(put["key"])
            item = {
                "key": put["key"],
                "value": put["value"],
                "revision": self.revision,
                "created": former["created"] if former else self.revision,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.history.append(item)
        for key in removals:
            self.remove(key)
        self.notify()
        return 200, {"revision": self.revision}

    def current(self, key: str) -> int:
        return self.items[key]["revision"] if key in self.items else 0

    def remove(self, key: str) -> None:
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def end_lease(self, lease: int) -> None:
        del self.leases[lease]
        self.revision += 1
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        self.notify()

    def expire(self) -> None:
        now_s = time.monotonic()
        for lease in [lease for lease, (_, end_s) in self.leases.items() if now_s >= end_s]:
            self.end_lease(lease)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


async def main() -> None:
    """Serve until terminated."""
    store = Store()
    servers = [http.Server(store.handler(number)) for number in range(1 + int(sys.argv[1]))]
    for server in servers:
        await server.start()
    print(*(server.port for server in servers), flush=True)
    while True:
        await asyncio.sleep(EXPIRY_CHECK_S)
        store.expire()


if __name__ == "__main__":
    asyncio.run(main())
