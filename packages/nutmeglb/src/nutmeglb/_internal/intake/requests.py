"""Admits the parts of one request before they are read, and refuses it for want of memory."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from nutmeglb_decisions.intake.connections import Verdict

KIB = 1_024
# Objects of a header field beyond its text.
FIELD_BYTES = 256
# A body that is being read, with the part by which its buffer grows ahead.
READ_FACTOR = 1.25
# A chunked body is charged this much until it exceeds it, and then like the largest body.
FIRST_CHUNKED_BYTES = 16 * KIB
RETRY_AFTER_S = 1
MAX_LENGTH_DIGITS = 18
FORM_TYPES = ("application/x-www-form-urlencoded", "multipart/form-data")


@dataclass(frozen=True, slots=True)
class RequestCosts:
    """What the requests of a listener cost.

    Attributes
    ----------
    body_bytes
        Largest body.
    header_bytes
        Largest header block.
    processing_factor
        Memory of a body with all that is made of it, as a multiple of its length.
    answer_bytes
        Memory of an answer that the client does not read.
    parses_forms
        Whether handlers use the fields of forms. Otherwise the type of a form's body is removed,
        since its fields take many times the memory of its text.
    """

    body_bytes: int
    header_bytes: int
    processing_factor: float
    answer_bytes: int = 0
    parses_forms: bool = False

    @property
    def largest_request_bytes(self) -> int:
        """Return the charge of the largest request."""
        return (
            FIELD_BYTES * (self.header_bytes // 4)
            + int(self.processing_factor * self.body_bytes)
            + self.answer_bytes
        )


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answer to a request for which there is no memory. It promises that the request never runs."""

    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b"{}"


class RequestCharges(Protocol):
    """Keeps the charges of the connections of a listener."""

    def reserve(self, number: int, request_bytes: int) -> Verdict:
        """Raise the charge of a request."""

    def wait(self, number: int) -> asyncio.Future[bool]:
        """Return whether a waiting request is admitted, as soon as that is decided."""

    def note_running(self, number: int) -> None:
        """Note that the request has been read completely."""

    def note_refused(self, number: int) -> None:
        """Note that the request is refused, and what it still sends is discarded."""


class BoundedRequest(HTTPMessageDelegate):
    """Passes the parts of a request on to its handler as far as there is memory for them."""

    def __init__(
        self,
        charges: RequestCharges,
        number: int,
        connection: HTTPConnection,
        inner: HTTPMessageDelegate,
        costs: RequestCosts,
        refusal: Refusal,
    ) -> None:
        self._charges = charges
        self._number = number
        self._connection = connection
        self._inner = inner
        self._costs = costs
        self._refusal = refusal
        self._method = ""
        self._header_charge = 0
        self._received_bytes = 0
        self._is_chunked = False
        self._is_started = False
        self._is_refused = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Reserve memory for the body, and start the handler."""
        assert isinstance(start_line, RequestStartLine)
        self._method = start_line.method
        self._header_charge = _header_charge(headers)
        self._is_chunked = "Transfer-Encoding" in headers
        body_bytes = FIRST_CHUNKED_BYTES if self._is_chunked else _declared_length(headers)
        if not self._costs.parses_forms and _is_form(headers):
            del headers["Content-Type"]

        def start() -> Awaitable[None] | None:
            self._is_started = True
            return self._inner.headers_received(start_line, headers)

        # A body beyond the limit is refused by its length and never read.
        return self._when_admitted(min(body_bytes, self._costs.body_bytes), start)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body."""
        if self._is_refused:
            return None
        former_bytes = self._received_bytes
        self._received_bytes += len(chunk)
        if self._is_chunked and former_bytes <= FIRST_CHUNKED_BYTES < self._received_bytes:
            return self._when_admitted(
                self._costs.body_bytes, lambda: self._inner.data_received(chunk)
            )
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        """Process the request, now or when there is memory for what is made of its body."""
        if self._is_refused:
            self._connection.finish()
            return
        processing_bytes = int(self._costs.processing_factor * self._received_bytes)
        wanted = self._header_charge + processing_bytes + self._costs.answer_bytes
        verdict = self._charges.reserve(self._number, wanted)
        if verdict is Verdict.WAITING:
            self._charges.wait(self._number).add_done_callback(self._finish_waiting)
        else:
            self._finish_decided(verdict is Verdict.ADMITTED)

    def on_connection_close(self) -> None:
        """End the handler, if it was started."""
        if self._is_started and not self._is_refused:
            self._inner.on_connection_close()

    def _finish_waiting(self, waiter: asyncio.Future[bool]) -> None:
        if waiter.cancelled():
            self._inner.on_connection_close()
        else:
            self._finish_decided(waiter.result())

    def _finish_decided(self, is_admitted: bool) -> None:
        if is_admitted:
            self._charges.note_running(self._number)
            self._inner.finish()
        else:
            self._refuse()
            self._connection.finish()

    def _when_admitted(
        self, body_bytes: int, action: Callable[[], Awaitable[None] | None]
    ) -> Awaitable[None] | None:
        wanted = self._header_charge + int(READ_FACTOR * body_bytes)
        verdict = self._charges.reserve(self._number, wanted)
        if verdict is Verdict.ADMITTED:
            return action()
        if verdict is Verdict.WAITING:
            return self._wait(self._charges.wait(self._number), action)
        self._refuse()
        return None

    async def _wait(
        self, waiter: asyncio.Future[bool], action: Callable[[], Awaitable[None] | None]
    ) -> None:
        if not await waiter:
            self._refuse()
            return
        following = action()
        if following is not None:
            await following

    def _refuse(self) -> None:
        """Answer 503. The rest of the body is read and discarded, so that the answer arrives."""
        if self._is_started:
            self._inner.on_connection_close()
        self._is_refused = True
        self._charges.note_refused(self._number)
        headers = HTTPHeaders(
            {
                "Connection": "close",
                "Retry-After": str(RETRY_AFTER_S),
                "Content-Type": "application/json",
                "Content-Length": str(len(self._refusal.body)),
                **self._refusal.headers,
            }
        )
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._connection.write_headers(
            ResponseStartLine("HTTP/1.1", status.value, status.phrase),
            headers,
            self._refusal.body if self._method != "HEAD" else None,
        )


def _header_charge(headers: HTTPHeaders) -> int:
    return sum(FIELD_BYTES + len(name) + len(value) for name, value in headers.get_all())


def _declared_length(headers: HTTPHeaders) -> int:
    length = headers.get("Content-Length", "")
    is_number = length.isascii() and length.isdigit() and len(length) <= MAX_LENGTH_DIGITS
    return int(length) if is_number else 0


def _is_form(headers: HTTPHeaders) -> bool:
    return headers.get("Content-Type", "").lower().startswith(FORM_TYPES)
