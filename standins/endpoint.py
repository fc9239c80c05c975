"""Stand-in of an HTTP endpoint that serves requests of a service.

The service time of a request is drawn from the configured distribution. The JSON response echoes
the request's ``X-Marker`` and ``X-Request-Id`` in body and headers, so that a response can be
matched to its request. A request keeps running when its connection is closed early.

``GET /record`` returns every run with its start and end (monotonic seconds) and the peak numbers of
concurrent runs and connections. ``POST /control`` changes ``fault``, ``fault_share``, ``leaving``,
``halted`` and the service time. A request can override the fault with ``X-Fault`` and its service
time with ``X-Run-Ms``. Faults:

- ``fail``: respond 500 immediately;
- ``slow``: take ten times as long;
- ``truncate``: declare the full length and close after half of the body;
- ``close``: run the request, then close without a response;
- ``freeze``: never respond;
- ``garbage``: respond with bytes that are not HTTP;
- ``endless``: respond without a content length and close;
- ``mixed``: respond with the request id and marker of the previous request;
- ``redirect``: respond with a 302 redirect to another path;
- ``gzip``: respond with a compressed body.
"""

import argparse
import asyncio
import gzip
import json
import math
import random
from dataclasses import asdict, dataclass, field
from typing import Any

from nutmeglb._internal.ports_file import write_ports_file

MS_PER_S = 1_000.0
FAULTS = (
    "",
    *("fail", "slow", "truncate", "close", "freeze", "garbage", "endless", "mixed"),
    *("redirect", "gzip"),
)
SLOW_FACTOR = 10.0
HEADER_LIMIT_BYTES = 256 * 1024
Headers = dict[str, str]


@dataclass(slots=True)
class Run:
    """Record of one request at the endpoint."""

    request_id: str
    marker: str
    key: str
    method: str
    path: str
    started_s: float
    ended_s: float | None = None


@dataclass(slots=True)
class Behaviour:
    """Service time distribution and injected faults.

    Attributes
    ----------
    mean_ms, sigma
        Log-normal service time; a ``sigma`` of 0 makes it constant.
    fault_share
        Share of the requests to which ``fault`` applies.
    leaving
        Whether responses carry ``X-Endpoint-Leaving: 1``.
    halted
        Whether new requests are neither run nor answered, so that the record that was read is
        still complete when the process is killed.
    """

    mean_ms: float = 5.0
    sigma: float = 0.0
    fault: str = ""
    fault_share: float = 1.0
    leaving: bool = False
    halted: bool = False


@dataclass(slots=True)
class Record:
    """Runs and connections since the start of the process."""

    slots: int
    runs: list[Run] = field(default_factory=list)
    running: int = 0
    peak_running: int = 0
    connections: int = 0
    peak_connections: int = 0


class Endpoint:
    """HTTP server of the endpoint."""

    def __init__(self, behaviour: Behaviour, slots: int = 8, seed: int = 1) -> None:
        self.behaviour = behaviour
        self.record = Record(slots)
        self.port = 0
        self._rng = random.Random(seed)
        self._previous_identity = ("", "")
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on the loopback interface; port 0 picks a free port."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", port, limit=HEADER_LIMIT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and cancel all runs."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        is_counted = True
        self.record.connections += 1
        try:
            method, path, headers, body = await _read_request(reader)
            if path in ("/record", "/control"):
                is_counted = False
                self.record.connections -= 1
                await _send(writer, 200, self._handle_control(path, body))
                return
            peak = max(self.record.peak_connections, self.record.connections)
            self.record.peak_connections = peak
            await self._run_request(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.record.connections -= is_counted
            self._tasks.discard(task)
            writer.close()

    def _handle_control(self, path: str, body: bytes) -> dict[str, Any]:
        if path == "/control":
            for name, value in json.loads(body or b"{}").items():
                if name == "fault" and value not in FAULTS:
                    raise ValueError(f"unknown fault {value}")
                setattr(self.behaviour, name, value)
        return asdict(self.record)

    async def _run_request(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        if self.behaviour.halted:
            await asyncio.Event().wait()
        fault = self._choose_fault(headers)
        marker, request_id = headers.get("x-marker", ""), headers.get("x-request-id", "")
        loop = asyncio.get_running_loop()
        key = headers.get("idempotency-key", "")
        run = Run(request_id, marker, key, method, path, loop.time())
        self.record.runs.append(run)
        self.record.running += 1
        self.record.peak_running = max(self.record.peak_running, self.record.running)
        try:
            await asyncio.sleep(self._draw_run_ms(fault, headers) / MS_PER_S)
        finally:
            self.record.running -= 1
            run.ended_s = loop.time()
        answered = (request_id, marker)
        if fault == "mixed":
            answered = self._previous_identity
        self._previous_identity = (request_id, marker)
        await self._respond(writer, fault, answered, method, path, headers, body)

    def _choose_fault(self, headers: Headers) -> str:
        requested_fault = headers.get("x-fault")
        if requested_fault is not None:
            return requested_fault
        return self.behaviour.fault if self._rng.random() < self.behaviour.fault_share else ""

    def _draw_run_ms(self, fault: str, headers: Headers) -> float:
        if fault == "fail":
            return 0.0
        if fault == "freeze":
            return math.inf
        mean_ms, sigma = self.behaviour.mean_ms, self.behaviour.sigma
        run_ms = float(headers.get("x-run-ms", 0.0))
        if run_ms == 0.0 and mean_ms > 0.0:
            run_ms = self._rng.lognormvariate(math.log(mean_ms) - sigma**2 / 2, sigma)
        return run_ms * (SLOW_FACTOR if fault == "slow" else 1.0)

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        fault: str,
        answered: tuple[str, str],
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
    ) -> None:
        request_id, marker = answered
        extra_headers = {"X-Request-Id": request_id, "X-Marker": marker}
        if self.behaviour.leaving:
            extra_headers["X-Endpoint-Leaving"] = "1"
        content = {
            "request_id": request_id,
            "marker": marker,
            "method": method,
            "path": path,
            "body_bytes": len(body),
            "headers": headers,
        }
        if fault == "close":
            return
        if fault == "garbage":
            writer.write(b"\x00\xffnot http at all\r\n\r\n" * 10)
            await writer.drain()
        elif fault == "redirect":
            await _send(writer, 302, content, {**extra_headers, "Location": "/elsewhere"})
        elif fault == "gzip":
            compressed = gzip.compress(json.dumps(content).encode())
            await _send(writer, 200, compressed, {**extra_headers, "Content-Encoding": "gzip"})
        elif fault == "fail":
            await _send(writer, 500, content, extra_headers)
        else:
            await _send(writer, 200, content, extra_headers, fault=fault, head=method == "HEAD")


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str, Headers, bytes]:
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = text.rstrip().split("\r\n")
    method, path, _ = request_line.split(" ")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, path, headers, body


async def _send(
    writer: asyncio.StreamWriter,
    status: int,
    content: dict[str, Any] | bytes,
    extra_headers: Headers | None = None,
    *,
    fault: str = "",
    head: bool = False,
) -> None:
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    headers = {"Content-Type": "application/json", "Connection": "close", **(extra_headers or {})}
    if fault != "endless":
        headers["Content-Length"] = str(len(body))
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {text}" for name, text in headers.items())]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
    if fault == "truncate":
        body = body[: len(body) // 2]
    writer.write(b"" if head else body)
    await writer.drain()


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ports_file", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--mean_ms", type=float, default=5.0)
    parser.add_argument("--sigma", type=float, default=0.0)
    parser.add_argument("--fault", choices=FAULTS, default="")
    parser.add_argument("--fault_share", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


async def _main(options: argparse.Namespace) -> None:
    behaviour = Behaviour(options.mean_ms, options.sigma, options.fault, options.fault_share)
    endpoint = Endpoint(behaviour, options.slots, options.seed)
    await endpoint.start(options.port)
    if options.ports_file:
        write_ports_file(options.ports_file, {"endpoint": f"127.0.0.1:{endpoint.port}"})
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(_arguments()))
