"""In-memory stand-in of the platform's key-value store, with the etcd v3 HTTP/JSON gateway API.

Control paths: ``POST /faults`` replaces the active fault rules (a JSON array), ``GET /counts``
returns the number of calls by path. A rule is an object:

- ``kind``: ``refuse`` (error, the call has no effect), ``timeout`` (error after the call took
  effect, as etcd reports it when its own leader changes), ``delay`` (by ``delay_ms``),
  ``lose_response`` (the call takes effect, then the connection closes), ``cut`` (the connection
  closes and the call has no effect), ``stale`` (reads return the state at the time the rule was
  set, and watches report no changes), ``pause`` (calls wait until the rule is removed).
- ``instances``: values of ``X-Client-Instance`` that the rule applies to; all callers by default.
- ``paths``: request paths that the rule applies to; all by default.
- ``times``: number of calls that the rule applies to; unlimited by default. Each message that a
  watch sends counts as a call.
"""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.options import define, options, parse_command_line
from tornado.web import Application, RequestHandler

from nutmeglb._internal.ports_file import write_ports_file
from nutmeglb_formats.clock import Clock
from standins.store_data import GatewayError, Json, StoreData, from_text

INSTANCE_HEADER = "X-Client-Instance"
EXPIRY_CHECK_MS = 50
BODY_LIMIT_BYTES = 8 * 1_048_576
RESOURCE_EXHAUSTED = 8
UNAVAILABLE = 14
HTTP_STATUS = {3: 400, 5: 404, 8: 429, 11: 400, 12: 501, 14: 503}
RANGE_PATH = "/v3/kv/range"
WATCH_PATH = "/v3/watch"


@dataclass(slots=True)
class FaultRule:
    """One active fault rule. ``removed`` is set when the rule is replaced."""

    kind: str
    instances: list[str] | None = None
    paths: list[str] | None = None
    delay_ms: float = 0.0
    times: int | None = None
    removed: asyncio.Event = field(default_factory=asyncio.Event)

    def applies_to(self, instance: str, path: str) -> bool:
        """Return whether the rule applies to a call of an instance."""
        return (
            self.times != 0
            and (self.instances is None or instance in self.instances)
            and (self.paths is None or path in self.paths)
        )

    def count_call(self) -> None:
        """Count one call against ``times``."""
        if self.times is not None:
            self.times -= 1


class StoreServer:
    """HTTP server of the stand-in in the running event loop.

    Parameters
    ----------
    port
        TCP port on 127.0.0.1; 0 picks a free port.
    clock
        Drives lease expiry.
    """

    def __init__(self, port: int = 0, clock: Clock | None = None) -> None:
        self.data = StoreData(clock or Clock())
        self.counts: Counter[str] = Counter()
        self.rules: list[FaultRule] = []
        self.watchers: set[WatchHandler] = set()
        self._port = port
        self._server: HTTPServer | None = None
        self._expiry_timer = PeriodicCallback(self.data.expire_leases, EXPIRY_CHECK_MS)

    @property
    def address(self) -> str:
        """Return ``ip:port``."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Start listening. A restart after ``stop`` uses the same port."""
        sockets = bind_sockets(self._port, "127.0.0.1")
        self._port = sockets[0].getsockname()[1]
        routes = [
            (path, CallHandler, {"server": self, "method": method})
            for path, method in (
                (RANGE_PATH, self.data.range),
                ("/v3/kv/put", self.data.put),
                ("/v3/kv/deleterange", self.data.delete),
                ("/v3/kv/txn", self.data.txn),
                ("/v3/lease/grant", self.data.lease_grant),
                ("/v3/lease/keepalive", self.data.lease_keep_alive),
                ("/v3/lease/revoke", self.data.lease_revoke),
            )
        ]
        application = Application(
            [
                *routes,
                (WATCH_PATH, WatchHandler, {"server": self}),
                ("/faults", FaultsHandler, {"server": self}),
                ("/counts", CountsHandler, {"server": self}),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application, max_body_size=BODY_LIMIT_BYTES)
        self._server.add_sockets(sockets)
        self._expiry_timer.start()

    async def stop(self) -> None:
        """Close the listener and all connections; data and leases are kept."""
        self._expiry_timer.stop()
        self.set_faults([])
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None

    def set_faults(self, rules: list[dict[str, Any]]) -> None:
        """Replace the active rules.

        Raises
        ------
        TypeError
            If a rule has an unknown field.
        """
        new_rules = [FaultRule(**rule) for rule in rules]
        for rule in self.rules:
            rule.removed.set()
        self.rules = new_rules
        self.data.freeze_reads(False)
        self.data.freeze_reads(any(rule.kind == "stale" for rule in new_rules))
        for watcher in list(self.watchers):
            watcher.close_if_partitioned()

    def rules_for(self, instance: str, path: str) -> list[FaultRule]:
        """Return the rules that apply to a call, in the order in which they were set."""
        return [rule for rule in self.rules if rule.applies_to(instance, path)]


class StoreHandler(RequestHandler):
    """Base class of the handlers of etcd paths; applies the active faults."""

    def initialize(self, server: StoreServer, method: Any = None) -> None:
        """Store the server and the ``StoreData`` method that serves the path."""
        self.server = server
        self.method = method

    @property
    def instance(self) -> str:
        """Return the id of the calling entry instance."""
        return self.request.headers.get(INSTANCE_HEADER, "")

    def cut(self) -> None:
        """Close the connection without a response."""
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def respond_error(self, fault: GatewayError) -> None:
        """Send an error response in the gateway's format."""
        self.set_status(HTTP_STATUS.get(fault.code, 500))
        self.write({"error": fault.message, "code": fault.code, "message": fault.message})

    async def apply_preceding_faults(self) -> set[str]:
        """Apply delays and pauses, and return the kinds of all faults that apply to the call."""
        kinds = set()
        for rule in self.server.rules_for(self.instance, self.request.path):
            rule.count_call()
            kinds.add(rule.kind)
            if rule.kind == "delay":
                await asyncio.sleep(rule.delay_ms / 1_000)
            elif rule.kind == "pause":
                await rule.removed.wait()
        return kinds


class CallHandler(StoreHandler):
    """Handles one unary call."""

    async def post(self) -> None:
        """Apply the call, subject to the active faults."""
        self.server.counts[self.request.path] += 1
        faults = await self.apply_preceding_faults()
        if "cut" in faults:
            self.cut()
            return
        if "refuse" in faults:
            self.respond_error(GatewayError(RESOURCE_EXHAUSTED, "etcdserver: too many requests"))
            return
        stale = {"stale": True} if "stale" in faults and self.request.path == RANGE_PATH else {}
        try:
            response: Json = self.method(json.loads(self.request.body or b"{}"), **stale)
        except GatewayError as fault:
            self.respond_error(fault)
            return
        if "lose_response" in faults:
            self.cut()
        elif "timeout" in faults:
            self.respond_error(GatewayError(UNAVAILABLE, "etcdserver: request timed out"))
        else:
            self.write(response)


class WatchHandler(StoreHandler):
    """Streams changes as newline-delimited JSON."""

    async def post(self) -> None:
        """Stream until the caller or a fault closes the connection."""
        self.server.counts[self.request.path] += 1
        faults = await self.apply_preceding_faults()
        if faults & {"cut", "lose_response"}:
            self.cut()
            return
        if "refuse" in faults:
            self.respond_error(GatewayError(RESOURCE_EXHAUSTED, "etcdserver: too many requests"))
            return
        request = json.loads(self.request.body)["create_request"]
        self._start = from_text(request["key"])
        self._end = from_text(request["range_end"]) if "range_end" in request else None
        self._queue: asyncio.Queue[Json | None] = asyncio.Queue()
        data = self.server.data
        start_revision = int(request.get("start_revision", 0))
        if start_revision and start_revision < data.oldest_revision():
            compacted = str(data.oldest_revision())
            self.write({"result": {"canceled": True, "compact_revision": compacted}})
            return
        unsubscribe = data.subscribe(self._on_events)
        self.server.watchers.add(self)
        try:
            await self._send({"header": data.header(), "created": True})
            if start_revision:
                self._on_events(data.events_since(start_revision), data.revision)
            while (result := await self._queue.get()) is not None:
                await self._send(result)
        except StreamClosedError:
            pass
        finally:
            unsubscribe()
            self.server.watchers.discard(self)

    def close_if_partitioned(self) -> None:
        """Close the connection if an active rule cuts off or refuses this caller."""
        rules = self.server.rules_for(self.instance, self.request.path)
        if any(rule.kind in ("cut", "refuse") for rule in rules):
            self._queue.put_nowait(None)
            self.cut()

    def on_connection_close(self) -> None:
        """End the stream when the caller has disconnected."""
        if self in self.server.watchers:
            self._queue.put_nowait(None)

    def _on_events(self, events: list[Json], revision: int) -> None:
        watched_events = [
            event for event in events if self._watches_key(from_text(event["kv"]["key"]))
        ]
        rules = self.server.rules_for(self.instance, self.request.path)
        if watched_events and not any(rule.kind == "stale" for rule in rules):
            self._queue.put_nowait({"header": self.server.data.header(), "events": watched_events})

    def _watches_key(self, key: bytes) -> bool:
        if self._end is None:
            return key == self._start
        return self._start <= key < self._end

    async def _send(self, result: Json) -> None:
        await self.apply_preceding_faults()
        self.write(json.dumps({"result": result}) + "\n")
        await self.flush()


class FaultsHandler(RequestHandler):
    """Handles ``POST /faults``."""

    def initialize(self, server: StoreServer) -> None:
        """Store the server."""
        self._store = server

    def post(self) -> None:
        """Replace the active rules."""
        try:
            self._store.set_faults(json.loads(self.request.body))
        except (TypeError, ValueError) as error:
            self.set_status(400)
            self.write({"error": str(error)})


class CountsHandler(RequestHandler):
    """Handles ``GET /counts``."""

    def initialize(self, server: StoreServer) -> None:
        """Store the server."""
        self._store = server

    def get(self) -> None:
        """Return the number of calls since the start, by path."""
        self.write(dict(self._store.counts))


async def _serve(port: int, ports_file: str) -> None:
    server = StoreServer(port)
    server.start()
    if ports_file:
        write_ports_file(ports_file, {"store": server.address})
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in until interrupted."""
    define("port", default=0, help="TCP port on 127.0.0.1; 0 picks a free port")
    define("ports_file", default="", help="file that receives the bound address as JSON")
    parse_command_line()
    asyncio.run(_serve(options.port, options.ports_file))


if __name__ == "__main__":
    main()
