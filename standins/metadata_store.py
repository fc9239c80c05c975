"""HTTP stand-in of the platform's metadata store, with fault injection."""

import asyncio
import base64
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import orjson
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

POLL_INTERVAL_S = 0.005
MS_PER_S = 1_000.0


class Fault(StrEnum):
    """Fault that applies to all calls."""

    NONE = "none"
    REFUSE = "refuse"
    SILENT = "silent"
    # Writes and lease renewals take effect, but their responses are lost.
    LOSE_ANSWERS = "lose_answers"
    # Writes get no response and take effect only when the fault ends.
    LATE = "late"


@dataclass
class MetadataStoreData:
    """Items, leases, and the change history that watches read."""

    revision: int = 1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    page_size: int = 500

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one item without conditions, as operators and workers do."""
        self.apply([], [{"key": key, "value": base64.b64encode(value).decode(), "lease": lease}])

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or ``None`` if it is absent."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def apply(
        self, expected: list[dict[str, Any]], puts: list[dict[str, Any]], removes: Any = ()
    ) -> bool:
        """Apply a transaction if its conditions hold, and return whether they did."""
        for row in expected:
            present = self.items.get(row["key"])
            if (present["revision"] if present else 0) != row["revision"]:
                return False
        self.revision += 1
        for put in puts:
            previous = self.items.get(put["key"])
            item = {
                "key": put["key"],
                "value": put["value"],
                "revision": self.revision,
                "created": previous["created"] if previous else self.revision,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.history.append(item)
        for key in removes:
            self.remove(key)
        return True

    def remove(self, key: str) -> None:
        """Remove a key if present."""
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def compact_history(self) -> None:
        """Drop the history; watches from an earlier revision must start again from a listing."""
        self.history.clear()
        self.compacted_revision = self.revision

    def expire_leases(self, now_s: float) -> None:
        """End the leases that have expired."""
        for lease, (_, expires_at_s) in list(self.leases.items()):
            if now_s >= expires_at_s:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        self.revision += 1
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)


class MetadataStoreStandin:
    """HTTP server for ``StoreData`` on a free port of the loopback interface.

    Parameters
    ----------
    data
        Data to share with another stand-in, so that each can apply its own faults to its callers.
    """

    def __init__(self, data: MetadataStoreData | None = None) -> None:
        self.data = data or MetadataStoreData()
        self.fault = Fault.NONE
        self.late: list[dict[str, Any]] = []
        # Duration of ``kv-range`` calls by prefix; 0 for other prefixes.
        self.range_delays_s: dict[str, float] = {}
        self.calls = 0
        self._server: HTTPServer | None = None
        self.address = ""

    async def start(self) -> None:
        """Bind the listener."""
        handlers = [(r"/v1/([a-z-]+)(?:/(\d+))?", _StoreHandler, {"standin": self})]
        self._server = HTTPServer(Application(handlers, log_function=lambda _: None))
        self._server.listen(0, "127.0.0.1")
        (listener,) = self._server._sockets.values()
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"

    def heal(self) -> None:
        """End the fault and apply the writes that it delayed."""
        self.fault = Fault.NONE
        for body in self.late:
            self.data.apply(body["expected_rev"], body["puts"], body.get("remove", ()))
        self.late.clear()

    async def stop(self) -> None:
        """Close the listener."""
        if self._server:
            self._server.stop()
            await self._server.close_all_connections()


class _StoreHandler(RequestHandler):
    def initialize(self, standin: MetadataStoreStandin) -> None:
        self._standin = standin
        self._data = standin.data

    async def prepare(self) -> None:
        standin = self._standin
        standin.calls += 1
        self._data.expire_leases(asyncio.get_running_loop().time())
        if standin.fault == Fault.REFUSE:
            self.send(503, {})
        elif standin.fault == Fault.SILENT:
            await self._wait_forever()

    async def get(self, call: str, _: str | None) -> None:
        query = {name: self.get_query_argument(name) for name in self.request.query_arguments}
        if call == "kv-key":
            item = self._data.items.get(query["key"])
            self.send(200 if item else 404, {**(item or {}), "as_of": self._data.revision})
        elif call == "kv-range":
            await asyncio.sleep(self._standin.range_delays_s.get(query["prefix"], 0.0))
            self._range(query["prefix"], query.get("after", ""))
        else:
            await self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))

    async def post(self, call: str, number: str | None) -> None:
        body = orjson.loads(self.request.body)
        standin, data = self._standin, self._data
        now_s = asyncio.get_running_loop().time()
        if call == "kv-lease":
            lease = 1_000 + len(data.leases) + data.revision
            data.leases[lease] = (body["ttl_ms"] / MS_PER_S, now_s + body["ttl_ms"] / MS_PER_S)
            self.send(200, {"lease": lease, "ttl_ms": body["ttl_ms"]})
        elif call == "kv-keep":
            lease = int(number or 0)
            if lease not in data.leases:
                self.send(404, {})
                return
            ttl_s = data.leases[lease][0]
            data.leases[lease] = (ttl_s, now_s + ttl_s)
            if standin.fault == Fault.LOSE_ANSWERS:
                await self._wait_forever()
            self.send(200, {"ttl_ms": ttl_s * MS_PER_S})
        elif standin.fault == Fault.LATE:
            standin.late.append(body)
            await self._wait_forever()
        else:
            await self._transaction(body)

    async def delete(self, call: str, number: str | None) -> None:
        self._data.end_lease(int(number or 0))
        self.send(200, {})

    async def _transaction(self, body: dict[str, Any]) -> None:
        applied = self._data.apply(body["expected_rev"], body["puts"], body.get("remove", ()))
        if self._standin.fault == Fault.LOSE_ANSWERS:
            await self._wait_forever()
        if applied:
            self.send(200, {"revision": self._data.revision})
            return
        keys = [row["key"] for row in body["expected_rev"]]
        current_items = [self._data.items.get(key, {"key": key, "revision": 0}) for key in keys]
        self.send(412, {"items": current_items})

    def _range(self, prefix: str, after: str) -> None:
        keys = sorted(k for k in self._data.items if k.startswith(prefix) and k > after)
        page = keys[: self._data.page_size]
        items = [self._data.items[key] for key in page]
        truncated = len(keys) > len(page)
        self.send(200, {"items": items, "truncated": truncated, "as_of": self._data.revision})

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> None:
        loop = asyncio.get_running_loop()
        wait_until_s = loop.time() + wait_ms / MS_PER_S
        while True:
            self._data.expire_leases(loop.time())
            if after < self._data.compacted_revision:
                self.send(410, {})
                return
            history = self._data.history
            events = [e for e in history if e["revision"] > after and e["key"].startswith(prefix)]
            if events or loop.time() >= wait_until_s:
                self.send(200, {"events": events, "as_of": self._data.revision})
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def send(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(body))

    async def _wait_forever(self) -> None:
        await asyncio.Event().wait()
