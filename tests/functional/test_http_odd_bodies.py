"""Answers whose body cannot be read: guards against a listing that ends a term, or counts as read.

A listing that fails is read again by its caller, and the last good list holds until then.
"""

import asyncio

import pytest
from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from nutmeglb_formats.exceptions import StoreError
from nutmeglb_platform.http import CallFailure, HttpCaller
from nutmeglb_platform.store import MetadataStore

PAGE = b'{"items": [], "truncated": false, "as_of": 9}'
ODD_BODIES = {
    "nested deeply": b"[" * 100_000 + b"]" * 100_000,
    "item nested deeply": b'{"items": [%s], "as_of": 9}' % (b"[" * 5_000 + b"]" * 5_000),
    "number beyond a double": PAGE.replace(b"9", b"1e400"),
    "not a number": PAGE.replace(b"9", b"NaN"),
    "not UTF-8": b"\xff\xfe",
    "cut off": PAGE[:-5],
}
ODD_PAGES = {
    "empty": b"",
    "a number": b"7",
    "a list": b"[]",
    "large revision": PAGE.replace(b"9", b"1e300"),
    "item without a key": PAGE.replace(b"[]", b'[{"value": "", "revision": 3}]'),
    "item is null": PAGE.replace(b"[]", b"[null]"),
}


class _Handler(RequestHandler):
    def initialize(self, bodies):
        self._bodies = bodies

    async def get(self):
        self.finish(self._bodies.pop(0) if len(self._bodies) > 1 else self._bodies[0])


def with_answers(bodies, scenario):
    """Run a scenario with a server that gives the bodies in turn, and then the last one."""

    async def main():
        server = HTTPServer(Application([(r"/.*", _Handler, {"bodies": list(bodies)})]))
        server.listen(0, "127.0.0.1")
        (listener,) = server._sockets.values()
        caller = HttpCaller(10)
        try:
            await scenario(caller, f"127.0.0.1:{listener.getsockname()[1]}")
        finally:
            caller.close()
            server.stop()

    asyncio.run(main())


@pytest.mark.parametrize("name", ODD_BODIES)
def test_odd_body_is_a_failed_call(name):
    async def scenario(caller, address):
        answer = await caller.call("GET", f"http://{address}/", 2_000.0)
        assert answer == Err(CallFailure.MALFORMED)
        assert isinstance(await caller.call("GET", f"http://{address}/", 2_000.0), Ok)

    with_answers([ODD_BODIES[name], PAGE], scenario)


@pytest.mark.parametrize("name", [*ODD_BODIES, *ODD_PAGES])
def test_odd_listing_is_an_error_and_the_next_one_is_read(name):
    async def scenario(caller, address):
        store = MetadataStore(caller, address, 2_000.0, 0.0)
        first = await store.range("servers/")
        assert isinstance(first, Err) and isinstance(first.err_value, StoreError)
        assert (await store.range("servers/")).unwrap().revision == 9

    with_answers([{**ODD_BODIES, **ODD_PAGES}[name], PAGE], scenario)
