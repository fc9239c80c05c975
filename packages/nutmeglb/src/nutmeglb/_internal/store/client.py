"""Client of the platform's key-value store (etcd v3 HTTP/JSON gateway)."""

import asyncio
import json
import logging
import random
from collections.abc import Callable, Sequence
from typing import Any

from result import Err, Ok, Result
from tenacity import AsyncRetrying, RetryCallState, retry_if_result, stop_after_attempt
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from nutmeglb._internal.context import CallPriority, Compare, KeyValue, Metrics, Put
from nutmeglb._internal.settings.models import StoreSection
from nutmeglb._internal.store import gateway
from nutmeglb._internal.store.backoff import Backoff
from nutmeglb._internal.store.limiter import CallLimiter
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import StoreError, StoreRefused, StoreUnavailable

logger = logging.getLogger(__name__)

MS_PER_S = 1_000.0
INSTANCE_HEADER = "X-Client-Instance"
MAX_CONNECTIONS = 32
MAX_WATCHES = 8
RANGE_BATCH_KEYS = 32
BODY_LIMIT_BYTES = 64 * 1_048_576
MAX_ATTEMPTS = 2
MAX_RETRY_WAIT_S = 0.05
WATCH_TIMEOUT_S = 600.0
WATCH_LINE_LIMIT_BYTES = 8 * 1_048_576

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEP_ALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

Json = dict[str, Any]


class StoreClient:
    """HTTP client of the store; implements the ``Store`` protocol of ``context.py``.

    Each call uses a new connection. Tornado's simple client never resends a request, so the
    transport cannot apply a transaction twice.
    """

    def __init__(
        self,
        settings: StoreSection,
        instance_id: str,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._instance_id = instance_id
        self._clock = clock
        self._rng = rng
        self._limiter = CallLimiter(settings.calls_per_s, clock, metrics)
        self._backoff = Backoff(rng, settings.backoff_max_ms)
        self._backoff_until_ms = 0.0
        self._call_client: AsyncHTTPClient | None = None
        self._watch_client: AsyncHTTPClient | None = None
        self._calls_counter = metrics.counter(
            "nutmeglb_store_calls_total", "Store calls by kind and outcome."
        )
        self._call_duration = metrics.histogram(
            "nutmeglb_store_call_seconds", "Duration of store calls."
        )

    async def get(
        self, key: str, *, priority: CallPriority = CallPriority.OTHER
    ) -> Result[KeyValue | None, StoreError]:
        """Return one value, or ``None`` when the key is absent."""
        body = {"key": gateway.encode_base64(key.encode())}
        answer = await self._call(RANGE_PATH, body, priority, is_write=False)
        return answer.and_then(_parse_key_values).map(
            lambda entries: entries[0] if entries else None
        )

    async def range(
        self,
        prefix: str,
        *,
        limit: int = 0,
        from_key: str = "",
        priority: CallPriority = CallPriority.OTHER,
    ) -> Result[list[KeyValue], StoreError]:
        """Return the values under a prefix in key order, read in bounded batches."""
        entries: list[KeyValue] = []
        start = max(prefix, from_key).encode()
        while not limit or len(entries) < limit:
            batch = min(limit - len(entries), RANGE_BATCH_KEYS) if limit else RANGE_BATCH_KEYS
            body = {
                "key": gateway.encode_base64(start),
                "range_end": gateway.encode_base64(gateway.prefix_end(prefix)),
                "limit": str(batch),
            }
            answer = (await self._call(RANGE_PATH, body, priority, is_write=False)).and_then(
                _parse_key_values
            )
            if isinstance(answer, Err):
                return answer
            entries += answer.ok_value
            if len(answer.ok_value) < batch:
                break
            start = entries[-1].key.encode() + b"\0"
        return Ok(entries)

    async def txn(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
        *,
        priority: CallPriority = CallPriority.OTHER,
    ) -> Result[bool, StoreError]:
        """Apply all writes when every condition holds. Return whether they were applied."""
        body = gateway.txn_body(compares, puts, deletes)
        answer = await self._call(TXN_PATH, body, priority, is_write=True)
        return answer.map(lambda value: value.get("succeeded") is True)

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Create a lease of ``ttl_s`` seconds and return its id."""
        body = {"TTL": str(ttl_s)}
        answer = await self._call(LEASE_GRANT_PATH, body, CallPriority.LEASE, is_write=True)
        return answer.and_then(lambda value: _parse_integer(LEASE_GRANT_PATH, value, "ID"))

    async def lease_keep_alive(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease. Return whether it still existed."""
        body = {"ID": str(lease)}
        answer = await self._call(LEASE_KEEP_ALIVE_PATH, body, CallPriority.LEASE, is_write=True)
        if isinstance(answer, Err):
            return answer
        result = answer.ok_value.get("result")
        if not isinstance(result, dict):
            return Err(
                gateway.malformed_response_error(LEASE_KEEP_ALIVE_PATH, "no result", is_write=True)
            )
        return _parse_integer(LEASE_KEEP_ALIVE_PATH, {"TTL": 0} | result, "TTL").map(
            lambda ttl: ttl > 0
        )

    async def lease_revoke(self, lease: int) -> Result[None, StoreError]:
        """Revoke a lease, which deletes its keys."""
        body = {"ID": str(lease)}
        answer = await self._call(LEASE_REVOKE_PATH, body, CallPriority.LEASE, is_write=True)
        return answer.map(lambda _: None)

    async def watch(
        self, prefix: str, on_change: Callable[[KeyValue], None], *, from_revision: int = 0
    ) -> Result[None, StoreError]:
        """Deliver changes until the watch ends, and return the error that ended it, if any.

        Deleted keys are delivered with version 0. The watch times out after ten minutes, because an
        intermediate device can drop an idle connection without notice.
        """
        create_request: Json = {
            "key": gateway.encode_base64(prefix.encode()),
            "range_end": gateway.encode_base64(gateway.prefix_end(prefix)),
        }
        if from_revision:
            create_request["start_revision"] = str(from_revision)
        if self._is_backing_off():
            return Err(_backing_off_error(WATCH_PATH))
        if not await self._limiter.acquire(CallPriority.OTHER, self._settings.call_timeout_ms):
            return Err(_throttled_error(WATCH_PATH))
        stream = _WatchStream(on_change)
        request = self._build_request(
            WATCH_PATH, {"create_request": create_request}, WATCH_TIMEOUT_S
        )
        request.streaming_callback = stream.feed
        try:
            response = await _fetch(self._get_watch_client(), request)
        except Exception as error:  # transport errors have many types
            return Err(
                self._record_failure(
                    WATCH_PATH, gateway.transport_error(error, WATCH_PATH, is_write=False)
                )
            )
        if stream.fault:
            return Err(gateway.malformed_response_error(WATCH_PATH, stream.fault, is_write=False))
        if response.code != 200:
            return Err(
                self._record_failure(
                    WATCH_PATH, gateway.response_error(response, WATCH_PATH, is_write=False)
                )
            )
        self._calls_counter.inc(kind=WATCH_PATH, outcome="ok")
        return Ok(None)

    def close(self) -> None:
        """Close the HTTP clients."""
        for client in (self._call_client, self._watch_client):
            if client is not None:
                client.close()
        self._call_client = self._watch_client = None

    async def _call(
        self, path: str, body: Json, priority: CallPriority, *, is_write: bool
    ) -> Result[Json, StoreError]:
        """Call the store, and retry once when the first attempt certainly had no effect."""
        if priority is not CallPriority.LEASE and self._is_backing_off():
            self._calls_counter.inc(kind=path, outcome="backing_off")
            return Err(_backing_off_error(path))
        retrying = AsyncRetrying(
            stop=stop_after_attempt(MAX_ATTEMPTS),
            wait=self._retry_wait_s,
            retry=retry_if_result(_is_unavailable),
            retry_error_callback=lambda state: state.outcome.result() if state.outcome else None,
        )
        result: Result[Json, StoreError] = await retrying(
            self._attempt, path, body, priority, is_write
        )
        self._record_result(path, result)
        return result

    async def _attempt(
        self, path: str, body: Json, priority: CallPriority, is_write: bool
    ) -> Result[Json, StoreError]:
        if not await self._limiter.acquire(priority, self._settings.call_timeout_ms):
            return Err(_throttled_error(path))
        started_ms = self._clock.now_ms()
        request = self._build_request(path, body, self._settings.call_timeout_ms / 1_000)
        try:
            response = await _fetch(self._get_call_client(), request)
        except Exception as error:  # transport errors have many types
            return Err(gateway.transport_error(error, path, is_write))
        finally:
            self._call_duration.observe((self._clock.now_ms() - started_ms) / MS_PER_S, kind=path)
        if response.code != 200:
            return Err(gateway.response_error(response, path, is_write))
        try:
            value = json.loads(response.body)
        except ValueError as error:
            return Err(gateway.malformed_response_error(path, str(error), is_write))
        if not isinstance(value, dict):
            return Err(gateway.malformed_response_error(path, "not an object", is_write))
        return Ok(value)

    def _build_request(self, path: str, body: Json, timeout_s: float) -> HTTPRequest:
        return HTTPRequest(
            f"http://{self._settings.address}{path}",
            method="POST",
            headers={"Content-Type": "application/json", INSTANCE_HEADER: self._instance_id},
            body=json.dumps(body),
            connect_timeout=min(timeout_s, self._settings.call_timeout_ms / 1_000),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
        )

    def _record_result(self, path: str, result: Result[Json, StoreError]) -> None:
        """Count the outcome of a call, and back off while the store fails.

        The delay is random up to an exponentially growing bound, so that the instances do not all
        call a recovering store at the same time.
        """
        if isinstance(result, Err):
            self._record_failure(path, result.err_value)
            return
        self._calls_counter.inc(kind=path, outcome="ok")
        if self._backoff.failures:
            logger.info("reachable again after %d failures", self._backoff.failures)
        self._backoff.reset()
        self._backoff_until_ms = 0.0

    def _record_failure(self, path: str, error: StoreError) -> StoreError:
        self._calls_counter.inc(kind=path, outcome=error.kind)
        if not isinstance(error, StoreRefused):
            if self._backoff.failures == 0:
                logger.warning("call failed; backing off: %s", error)
            self._backoff_until_ms = self._clock.now_ms() + self._backoff.next_delay_ms()
        return error

    def _is_backing_off(self) -> bool:
        return self._clock.now_ms() < self._backoff_until_ms

    def _retry_wait_s(self, state: RetryCallState) -> float:
        return self._rng.uniform(0, MAX_RETRY_WAIT_S)

    def _get_call_client(self) -> AsyncHTTPClient:
        if self._call_client is None:
            self._call_client = _create_http_client(MAX_CONNECTIONS)
        return self._call_client

    def _get_watch_client(self) -> AsyncHTTPClient:
        if self._watch_client is None:
            self._watch_client = _create_http_client(MAX_WATCHES)
        return self._watch_client


class _WatchStream:
    """Splits the response of a watch into lines and delivers the events in them."""

    def __init__(self, on_change: Callable[[KeyValue], None]) -> None:
        self._on_change = on_change
        self._partial_line = b""
        self.fault = ""

    def feed(self, chunk: bytes) -> None:
        """Process the next chunk of the response."""
        if self.fault:
            return
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        if len(self._partial_line) > WATCH_LINE_LIMIT_BYTES:
            self.fault = "a line exceeds the size limit"
            return
        for line in filter(None, lines):
            self._deliver(line)

    def _deliver(self, line: bytes) -> None:
        try:
            events = json.loads(line)["result"].get("events", [])
            changes = [gateway.parse_key_value(event["kv"]) for event in events]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self.fault = str(error) or type(error).__name__
            return
        for change in changes:
            self._on_change(change)


async def _fetch(client: AsyncHTTPClient, request: HTTPRequest) -> HTTPResponse:
    """Fetch a response. If the caller is cancelled, the exchange continues unobserved.

    Tornado does not abort an exchange whose future is cancelled, and logs its later failure as an
    error.
    """
    future = client.fetch(request, raise_error=False)
    try:
        return await asyncio.shield(future)
    except asyncio.CancelledError:
        future.add_done_callback(lambda ended: ended.cancelled() or ended.exception())
        raise


def _create_http_client(connections: int) -> AsyncHTTPClient:
    return SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=connections,
        max_body_size=BODY_LIMIT_BYTES,
        max_buffer_size=BODY_LIMIT_BYTES,
    )


def _parse_key_values(answer: Json) -> Result[list[KeyValue], StoreError]:
    try:
        return Ok([gateway.parse_key_value(item) for item in answer.get("kvs") or []])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(gateway.malformed_response_error(RANGE_PATH, str(error), is_write=False))


def _parse_integer(call: str, answer: Json, name: str) -> Result[int, StoreError]:
    try:
        return Ok(int(answer[name]))
    except (ValueError, KeyError, TypeError):
        return Err(gateway.malformed_response_error(call, f"{name} is missing", is_write=True))


def _is_unavailable(result: Result[Json, StoreError]) -> bool:
    return isinstance(result, Err) and isinstance(result.err_value, StoreUnavailable)


def _throttled_error(call: str) -> StoreError:
    return StoreUnavailable(
        "The call limiter did not admit a store call in time",
        context={"call": call},
        hint="Raise store.calls_per_s, or find the cause of the many store calls",
    )


def _backing_off_error(call: str) -> StoreError:
    return StoreUnavailable(
        "The store failed recently; calls are suspended until the backoff has passed",
        context={"call": call},
        hint=gateway.HINT_UNAVAILABLE,
    )
