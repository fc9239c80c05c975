"""Dispatch of requests to endpoints, with a new connection for each exchange."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from nutmeglb_decisions.invariants import require
from nutmeglb_decisions.routing.request_types import Dispatch, ExchangeEnd, ExchangeResult
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.wire.routing import HeaderList, RefusalReason

# Concurrent exchanges. Others wait in the HTTP client, where their grants can expire.
MAX_EXCHANGES = 512
CONNECT_TIMEOUT_MS = 1_000.0
MS_PER_S = 1_000.0
REQUEST_ID_HEADER = "X-Request-Id"
LEAVING_HEADER = "X-Endpoint-Leaving"
BODILESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
# Errors with which the endpoint ended the exchange. With any other error libcurl closed the
# connection, and the endpoint may still be working on the request.
ENDPOINT_CLOSED_ERRORS = frozenset(
    {pycurl.E_GOT_NOTHING, pycurl.E_RECV_ERROR, pycurl.E_SEND_ERROR, pycurl.E_PARTIAL_FILE}
)
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@dataclass(frozen=True, slots=True)
class Payload:
    """Request for an endpoint. ``path`` starts with a slash and includes the query."""

    request_id: str
    method: str
    path: str
    headers: HeaderList
    body: bytes


@dataclass(slots=True)
class _Exchange:
    """An exchange in progress. ``sent`` is set before the first byte of the request is sent."""

    dispatch: Dispatch
    request_id: str
    sent: bool = False
    aborted: bool = False
    expired: bool = False
    done: Callable[[ExchangeResult], None] = field(default=lambda result: None)


class Dispatcher:
    """Sends requests through tornado's curl client.

    Every exchange uses its own connection, because libcurl resends a POST unasked when a
    kept-alive connection closes without a response. libcurl's prerequest callback runs after the
    connection is open and before the first byte of the request is sent. It checks the start limit
    and records whether the request may have reached the endpoint.

    Parameters
    ----------
    response_limit_bytes
        Largest response body.
    may_send
        Returns whether an endpoint may receive a request now: false once it is leaving.
    on_leaving
        Called with an endpoint that announced its departure in a response header.
    """

    def __init__(
        self,
        clock: Clock,
        response_limit_bytes: int,
        may_send: Callable[[str], bool] = lambda endpoint: True,
        on_leaving: Callable[[str], None] = lambda endpoint: None,
    ) -> None:
        self._clock = clock
        self._may_send = may_send
        self._on_leaving = on_leaving
        self._exchanges: dict[str, _Exchange] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_EXCHANGES,
            max_body_size=response_limit_bytes,
            defaults={"follow_redirects": False, "decompress_response": False},
        )

    @property
    def in_flight(self) -> int:
        """Return the number of exchanges in progress."""
        return len(self._exchanges)

    def send(
        self,
        dispatch: Dispatch,
        payload: Payload,
        timeout_ms: float,
        done: Callable[[ExchangeResult], None],
    ) -> None:
        """Start an exchange. ``done`` is called once with its result, unless it is aborted.

        Parameters
        ----------
        timeout_ms
            Time after which the connection is closed.
        """
        exchange_id = dispatch.exchange_id
        require(
            exchange_id not in self._exchanges,
            "at_most_once",
            "An exchange would be sent twice",
            exchange=exchange_id,
        )
        exchange = _Exchange(dispatch, payload.request_id, done=done)
        self._exchanges[exchange_id] = exchange
        task = asyncio.create_task(self._run(exchange, payload, timeout_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def was_sent(self, exchange_id: str) -> bool:
        """Return whether a byte of the request may have been sent."""
        exchange = self._exchanges.get(exchange_id)
        return exchange is None or exchange.sent

    def abort(self, exchange_id: str) -> None:
        """Close the connection of an exchange. Its result is dropped."""
        exchange = self._exchanges.get(exchange_id)
        if exchange is not None:
            exchange.aborted = True

    async def stop(self) -> None:
        """Close every connection."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def _run(self, exchange: _Exchange, payload: Payload, timeout_ms: float) -> None:
        exchange_id = exchange.dispatch.exchange_id
        try:
            result = await self._fetch(exchange, payload, timeout_ms)
        finally:
            del self._exchanges[exchange_id]
        if not exchange.aborted:
            exchange.done(result)

    async def _fetch(
        self, exchange: _Exchange, payload: Payload, timeout_ms: float
    ) -> ExchangeResult:
        if not self._may_start(exchange):
            return _failed_result(
                exchange, ExchangeEnd.NOT_SENT, reason=self._not_sent_reason(exchange)
            )
        request = HTTPRequest(
            f"http://{exchange.dispatch.grant.address}{payload.path}",
            method=payload.method,
            headers=_request_headers(payload),
            body=payload.body or None,
            connect_timeout=min(CONNECT_TIMEOUT_MS, timeout_ms) / MS_PER_S,
            request_timeout=timeout_ms / MS_PER_S,
            allow_nonstandard_methods=True,
            prepare_curl_callback=lambda curl: self._configure_curl(curl, exchange),
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return self._result_of_error(exchange, error.errno, error.message or "")
        except (ValueError, KeyError, pycurl.error) as error:
            exchange_end = ExchangeEnd.ABORTED if exchange.sent else ExchangeEnd.NOT_SENT
            return _failed_result(exchange, exchange_end, reason=f"invalid_request: {error}")
        return self._result_of_response(exchange, payload, response)

    def _configure_curl(self, curl: Any, exchange: _Exchange) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PREREQFUNCTION, lambda *addresses: self._before_send(exchange))
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, lambda *progress: int(exchange.aborted))

    def _before_send(self, exchange: _Exchange) -> int:
        if exchange.aborted or not self._may_start(exchange):
            return int(pycurl.PREREQFUNC_ABORT)
        exchange.sent = True
        return int(pycurl.PREREQFUNC_OK)

    def _may_start(self, exchange: _Exchange) -> bool:
        exchange.expired = self._clock.now_ms() >= exchange.dispatch.start_by_ms
        return not exchange.expired and self._may_send(exchange.dispatch.grant.endpoint)

    @staticmethod
    def _not_sent_reason(exchange: _Exchange) -> str:
        expired, leaving = RefusalReason.GRANT_EXPIRED, RefusalReason.ENDPOINT_LEAVING
        return str(expired if exchange.expired else leaving)

    def _result_of_response(
        self, exchange: _Exchange, payload: Payload, response: HTTPResponse
    ) -> ExchangeResult:
        if response.headers.get(LEAVING_HEADER) == "1":
            self._on_leaving(exchange.dispatch.grant.endpoint)
        fault = _response_fault(exchange, payload, response)
        if fault:
            return _failed_result(exchange, ExchangeEnd.CLOSED, reason=fault)
        return ExchangeResult(
            exchange.dispatch.exchange_id,
            exchange.request_id,
            ExchangeEnd.RESPONSE,
            response.code,
            _response_headers(response.headers, payload.method),
            response.body or b"",
        )

    def _result_of_error(self, exchange: _Exchange, errno: int | None, text: str) -> ExchangeResult:
        if not exchange.sent:
            is_connect_failure = errno != pycurl.E_ABORTED_BY_CALLBACK
            reason = (
                str(RefusalReason.CONNECT_FAILED)
                if is_connect_failure
                else self._not_sent_reason(exchange)
            )
            return _failed_result(exchange, ExchangeEnd.NOT_SENT, reason=reason)
        exchange_end = (
            ExchangeEnd.CLOSED if errno in ENDPOINT_CLOSED_ERRORS else ExchangeEnd.ABORTED
        )
        return _failed_result(exchange, exchange_end, reason=f"exchange_failed: {text}")


def _failed_result(exchange: _Exchange, exchange_end: ExchangeEnd, reason: str) -> ExchangeResult:
    exchange_id = exchange.dispatch.exchange_id
    return ExchangeResult(exchange_id, exchange.request_id, exchange_end, reason=reason)


def _response_fault(exchange: _Exchange, payload: Payload, response: HTTPResponse) -> str:
    """Return why a response must not be passed on, or an empty text."""
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != exchange.request_id:
        return "response_of_another_request"
    if response.code < FIRST_FINAL_STATUS:
        return "no_final_response"
    if payload.method == "HEAD" or response.code in BODILESS_STATUSES:
        return ""
    # Without a length, a truncated body cannot be distinguished from a complete one.
    if "Content-Length" not in response.headers and "Transfer-Encoding" not in response.headers:
        return "response_without_length"
    return ""


def _request_headers(payload: Payload) -> HTTPHeaders:
    headers = HTTPHeaders()
    for name, value in payload.headers:
        if name.lower() not in HOP_BY_HOP_HEADERS:
            headers.add(name, value)
    headers[REQUEST_ID_HEADER] = payload.request_id
    return headers


def _response_headers(headers: HTTPHeaders, method: str) -> HeaderList:
    internal_headers = {REQUEST_ID_HEADER.lower(), LEAVING_HEADER.lower()}
    passed_on = [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in internal_headers
    ]
    if method == "HEAD" and "Content-Length" in headers:
        passed_on.append(("Content-Length", headers["Content-Length"]))
    return tuple(passed_on)
