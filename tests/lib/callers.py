"""HTTP caller that records the outcome of each request as the caller saw it."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from tests.lib.cluster import Cluster, Node

OUTCOME_HEADER = "X-Request-Outcome"
# Added to the deadline of the request, so that the entry instance responds before the time-out.
RESPONSE_MARGIN_S = 5.0


@dataclass(frozen=True, slots=True)
class Call:
    """Request of a caller.

    Attributes
    ----------
    marker
        Unique text in the body. It is the same in every repetition.
    attempt
        Number of the repetition. It is sent in a header, so that the body stays the same.
    """

    marker: str
    run_ms: float = 10.0
    request_class: str = "urgent"
    timeout_ms: float = 5_000.0
    idempotent: bool = False
    key: str = ""
    caller: str = "caller"
    attempt: int = 1

    @property
    def attempt_marker(self) -> str:
        """Return a text that is unique for each repetition."""
        return f"{self.marker}#{self.attempt}"


@dataclass(frozen=True, slots=True)
class CallResult:
    """Outcome of a request as the caller saw it.

    Attributes
    ----------
    outcome
        ``answered``, ``not-run`` or ``unknown`` as stated in the response, ``refused`` if no
        connection could be opened, ``closed`` if the connection ended early, ``gave-up`` if the
        caller timed out, ``missing`` if the response states no outcome.
    echoed
        Marker in the body of an answered request.
    """

    outcome: str
    status: int
    echoed: str
    sent_s: float
    ended_s: float


async def call(cluster: Cluster, entry: Node, request: Call) -> CallResult:
    """Send one request through an entry instance, without retries."""
    loop = asyncio.get_running_loop()
    sent_s = loop.time()
    timeout_s = request.timeout_ms / 1_000 + RESPONSE_MARGIN_S
    http_request = HTTPRequest(
        f"http://{entry.ports['caller']}/services/{cluster.layout.service}/work",
        method="POST",
        headers=_headers(request),
        body=json.dumps({"marker": request.marker}),
        connect_timeout=timeout_s,
        request_timeout=timeout_s,
        follow_redirects=False,
    )
    outcome, status, echoed = "closed", 0, ""
    try:
        response = await cluster.http.fetch(http_request, raise_error=False)
        outcome, status, echoed = _parse_response(response)
    except HTTPTimeoutError:
        outcome = "gave-up"
    except ConnectionRefusedError:
        outcome = "refused"
    except (HTTPStreamClosedError, StreamClosedError, ConnectionError):
        outcome = "closed"
    return CallResult(outcome, status, echoed, sent_s, loop.time())


def _headers(request: Call) -> Mapping[str, str]:
    headers = {
        "X-Request-Class": request.request_class,
        "X-Request-Timeout-Ms": f"{request.timeout_ms:.0f}",
        "X-Idempotent": "true" if request.idempotent else "false",
        "X-Caller": request.caller,
        "X-Marker": request.attempt_marker,
        "X-Run-Ms": f"{request.run_ms:.1f}",
        "Content-Type": "application/json",
    }
    return headers | ({"Idempotency-Key": request.key} if request.key else {})


def _parse_response(response: HTTPResponse) -> tuple[str, int, str]:
    outcome = response.headers.get(OUTCOME_HEADER, "missing")
    if outcome != "answered":
        return outcome, response.code, ""
    try:
        return outcome, response.code, str(json.loads(response.body)["marker"])
    except (ValueError, KeyError, TypeError):
        return outcome, response.code, response.body[:100].decode(errors="replace")
