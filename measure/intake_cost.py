"""Memory of connections, requests and accepted jobs, each in a process of its own."""

import asyncio
import gc
import multiprocessing
import socket
import tracemalloc
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tornado.web import Application, RequestHandler

from measure.figures import Figures
from nutmeglb._internal.intake.listener import BoundedListener
from nutmeglb._internal.intake.requests import RequestCosts
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_decisions.intake.limits import ListenerLimits
from nutmeglb_decisions.queues.state import Job
from nutmeglb_formats.clock import Clock
from nutmeglb_platform.wire import decode_job
from tests.lib.queues import job, step

SEED = 0
CONNECTIONS = 200
BODY_BYTES = 262_144
PAGE_BYTES = 4_096
SETTLE_S = 0.5
FIELDS = 2_600
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
JOBS = 1_000

# What each connection sends.
REQUESTS = {
    "no request": b"",
    "request in progress": HEAD + b"Content-Length: 0\r\n\r\n",
    "header block of 16,000 bytes without an end": HEAD + b"X: " + b"a" * 15_970,
    f"header block of {FIELDS} fields": HEAD
    + b"".join(b"%x:\r\n" % number for number in range(FIELDS))
    + b"Content-Length: 9\r\n\r\n",
    "body of 262,143 of 262,144 bytes": HEAD
    + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    + b" " * (BODY_BYTES - 1),
}
BODIES = {
    "empty objects": b'{"steps": [{}], "x": [' + b",".join([b"{}"] * 87_000) + b"]}",
    "wide text": b'{"steps": [{"image": "' + "\U0001f600".encode() + b"a" * 262_000 + b'"}]}',
    "long list": b'{"steps": [{}, {"after": [' + b",".join([b"0"] * 131_000) + b"]}]}",
}


class _Handler(RequestHandler):
    async def post(self) -> None:
        await asyncio.Event().wait()


def _resident_bytes() -> int:
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def _bytes_per_connection(sent: bytes) -> float:
    return asyncio.run(_measure_connections(sent))


async def _measure_connections(sent: bytes) -> float:
    room = 1_000 * BODY_BYTES
    listener = BoundedListener(
        "measured",
        Application([(r"/", _Handler)], log_function=lambda handler: None),
        ListenerLimits(CONNECTIONS, 10 * room, 0, room),
        RequestCosts(BODY_BYTES, 65_536, 1.0),
        Clock(),
        MetricsRegistry(),
    )
    host, _, port = listener.listen("127.0.0.1:0").rpartition(":")
    loop = asyncio.get_running_loop()
    before = _resident_bytes()
    clients = [socket.socket() for _ in range(CONNECTIONS)]
    for client in clients:
        client.setblocking(False)
        await loop.sock_connect(client, (host, int(port)))
    await asyncio.gather(*(loop.sock_sendall(client, sent) for client in clients))
    await asyncio.sleep(SETTLE_S)
    taken = _resident_bytes() - before
    assert listener.table.connections == CONNECTIONS
    return taken / CONNECTIONS


def _bytes_per_job(tasks: int, steps: int) -> float:
    before = _resident_bytes()
    kept = []
    for number in range(JOBS):
        created = Job(job(f"{number:016x}", *(step(tasks) for _ in range(steps))), 0.0)
        created.add_occurrence(0)
        kept.append(created)
    return (_resident_bytes() - before) / len(kept)


def _decoding_peak_bytes(body: bytes) -> float:
    tracemalloc.start()
    decode_job(body)
    return float(tracemalloc.get_traced_memory()[1])


def _in_own_process(function: Callable[..., float], *arguments: object) -> float:
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context) as executor:
        return executor.submit(function, *arguments).result()


def intake_cost() -> Iterator[Figures]:
    """Measure the memory of a connection, a job, and the decoding of a body."""
    for name, sent in REQUESTS.items():
        taken = _in_own_process(_bytes_per_connection, sent)
        yield Figures("intake_cost", name, "", "", SEED, {"bytes_each": round(taken)})
    for tasks, steps in ((1, 1), (100, 1), (1, 10)):
        taken = _in_own_process(_bytes_per_job, tasks, steps)
        name = f"job of {steps} steps of {tasks} tasks"
        yield Figures("intake_cost", name, "", "", SEED, {"bytes_each": round(taken)})
    for name, body in BODIES.items():
        taken = _in_own_process(_decoding_peak_bytes, body)
        figures = {"peak_bytes": round(taken), "body_bytes": len(body)}
        yield Figures("intake_cost", f"decoding of {name}", "", "", SEED, figures)


CASES = {"intake_cost": intake_cost}
