"""Stand-in of the platform's instance list.

Serves the Prometheus HTTP service discovery format with an ETag under ``/list``. ``POST /control``
takes ``{"put": [entry, ...]}``, ``{"remove": [key, ...]}`` or ``{"leaving": [key, ...]}``, where a
key is ``"<role>/<instance>"``. ``POST /faults`` takes
``{"refuse": bool, "delay_ms": n, "stale": bool, "cut": [instance, ...]}``: ``stale`` serves the
list as it was when the fault was set, and ``cut`` closes the connections of the instances that it
lists, identified by ``X-Client-Instance``.
"""

import asyncio
import hashlib
import json
import signal
from typing import Any

import fire
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from nutmeglb._internal.ports_file import write_ports_file

Entry = dict[str, Any]
CLIENT_HEADER = "X-Client-Instance"


class ListState:
    """Listed entries and active faults."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.faults: dict[str, Any] = {}
        self._stale_body: bytes | None = None

    def control(self, command: dict[str, Any]) -> None:
        """Apply a command that adds, changes or removes entries or marks them as leaving."""
        for entry in command.get("put", []):
            labels = entry["labels"]
            self.entries[f"{labels['role']}/{labels['instance']}"] = entry
        for key in command.get("remove", []):
            self.entries.pop(key, None)
        for key in command.get("leaving", []):
            self.entries[key]["labels"]["state"] = "leaving"

    def set_faults(self, faults: dict[str, Any]) -> None:
        """Replace all faults."""
        self._stale_body = self._render() if faults.get("stale") else None
        self.faults = faults

    def body(self) -> bytes:
        """Return the list as JSON, or its old content under the ``stale`` fault."""
        return self._render() if self._stale_body is None else self._stale_body

    def _render(self) -> bytes:
        return json.dumps([self.entries[key] for key in sorted(self.entries)]).encode()


class ListHandler(RequestHandler):
    """Serves the list with an ETag, subject to the active faults."""

    def initialize(self, state: ListState) -> None:
        self._state = state

    async def get(self) -> None:
        faults = self._state.faults
        if self.request.headers.get(CLIENT_HEADER, "") in faults.get("cut", ()):
            self.detach().close()
            return
        await asyncio.sleep(faults.get("delay_ms", 0) / 1_000)
        if faults.get("refuse"):
            self.send_error(503)
            return
        body = self._state.body()
        etag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        self.set_header("ETag", etag)
        self.set_header("Content-Type", "application/json")
        if self.request.headers.get("If-None-Match") == etag:
            self.set_status(304)
            return
        self.finish(body)


class CommandHandler(RequestHandler):
    """Applies a control command or sets faults."""

    def initialize(self, apply: Any) -> None:
        self._apply = apply

    def post(self) -> None:
        self._apply(json.loads(self.request.body))
        self.finish({})


def make_app(state: ListState) -> Application:
    """Return the HTTP application."""
    return Application(
        [
            ("/list", ListHandler, {"state": state}),
            ("/control", CommandHandler, {"apply": state.control}),
            ("/faults", CommandHandler, {"apply": state.set_faults}),
        ],
        log_function=lambda handler: None,
    )


async def serve(port: int, ports_file: str) -> None:
    """Serve until SIGTERM and write ``{"list": "127.0.0.1:<port>"}`` to the ports file."""
    sockets = bind_sockets(port, "127.0.0.1")
    server = HTTPServer(make_app(ListState()))
    server.add_sockets(sockets)
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    if ports_file:
        write_ports_file(ports_file, {"list": address})
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()


def main(port: int = 0, ports_file: str = "") -> None:
    """Run the stand-in."""
    asyncio.run(serve(port, ports_file))


if __name__ == "__main__":
    fire.Fire(main)
