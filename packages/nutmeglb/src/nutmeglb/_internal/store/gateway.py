"""Messages and errors of the etcd v3 HTTP/JSON gateway.

Errors are classified by whether the call may have taken effect.
"""

import base64
import json
import socket
from collections.abc import Mapping, Sequence
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError

from nutmeglb._internal.context import Compare, KeyValue, Put
from nutmeglb_formats.exceptions import (
    StoreError,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreUnavailable,
)

Json = dict[str, Any]

HINT_UNAVAILABLE = "The call had no effect; repeat it when the store is reachable"
HINT_UNKNOWN = "Read the key back before repeating the call"
HINT_REFUSED = "Correct the call; repeating it unchanged cannot succeed"

# gRPC status codes that the store returns before a call takes effect.
REFUSED_CODES = frozenset({3, 5, 6, 7, 9, 11, 12, 16})
RESOURCE_EXHAUSTED = 8
UNAVAILABLE = 14
# Of the messages with code 14 only these are returned before the call is proposed. Others, such as
# "request timed out", are returned while the proposal may still be committed.
NOT_PROPOSED_MESSAGES = frozenset({"etcdserver: no leader", "etcdserver: not leader"})
# Phases in which the HTTP client has sent nothing, as named in its timeout errors.
NOT_SENT_TIMEOUTS = ("while connecting", "in request queue")


def encode_base64(data: bytes) -> str:
    """Return bytes as base64 text."""
    return base64.b64encode(data).decode()


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix."""
    data = bytearray(prefix.encode())
    while data and data[-1] == 0xFF:
        data.pop()
    if not data:
        return b"\0"
    data[-1] += 1
    return bytes(data)


def txn_body(compares: Sequence[Compare], puts: Sequence[Put], deletes: Sequence[str]) -> Json:
    """Return the body of ``/v3/kv/txn``."""
    writes: list[Json] = [{"request_put": _put_body(put)} for put in puts]
    writes += [{"request_delete_range": {"key": encode_base64(key.encode())}} for key in deletes]
    return {"compare": [_compare_body(compare) for compare in compares], "success": writes}


def _compare_body(compare: Compare) -> Json:
    body: Json = {"key": encode_base64(compare.key.encode()), "result": "EQUAL"}
    if compare.value is None:
        return body | {"target": "VERSION", "version": "0"}
    return body | {"target": "VALUE", "value": encode_base64(compare.value)}


def _put_body(put: Put) -> Json:
    body: Json = {"key": encode_base64(put.key.encode()), "value": encode_base64(put.value)}
    return body | {"lease": str(put.lease)} if put.lease else body


def parse_key_value(item: Mapping[str, Any]) -> KeyValue:
    """Parse an entry of a response. Raises ``ValueError`` or ``KeyError`` when malformed."""
    return KeyValue(
        base64.b64decode(item["key"], validate=True).decode(),
        base64.b64decode(item.get("value", ""), validate=True),
        int(item.get("version", 0)),
        int(item.get("mod_revision", 0)),
    )


def transport_error(error: BaseException, call: str, is_write: bool) -> StoreError:
    """Return the error of a call that got no response.

    Only a refused connection, a failed name lookup and a timeout before the request was sent prove
    that a write had no effect. A read never has one.
    """
    context = {"call": call, "cause": str(error) or type(error).__name__}
    is_unsent = isinstance(error, ConnectionRefusedError | socket.gaierror)
    if isinstance(error, HTTPTimeoutError):
        is_unsent = any(phase in str(error) for phase in NOT_SENT_TIMEOUTS)
    if is_unsent or not is_write:
        return StoreUnavailable(
            "The store cannot be reached", context=context, hint=HINT_UNAVAILABLE
        )
    return StoreOutcomeUnknown("The store did not answer", context=context, hint=HINT_UNKNOWN)


def response_error(response: HTTPResponse, call: str, is_write: bool) -> StoreError:
    """Return the error of a call by the gRPC status code of its response."""
    code, text = _parse_status(response)
    context = {"call": call, "status": response.code, "code": code, "cause": text}
    if code in REFUSED_CODES:
        return StoreRefused("The store refused a call", context=context, hint=HINT_REFUSED)
    is_unproposed = code == RESOURCE_EXHAUSTED or text in NOT_PROPOSED_MESSAGES
    if is_unproposed or not is_write:
        return StoreUnavailable(
            "The store cannot serve a call", context=context, hint=HINT_UNAVAILABLE
        )
    return StoreOutcomeUnknown("The store reported a failure", context=context, hint=HINT_UNKNOWN)


def _parse_status(response: HTTPResponse) -> tuple[int | None, str]:
    try:
        body = json.loads(response.body)
        return int(body["code"]), str(body.get("message", ""))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None, str(HTTPClientError(response.code))


def malformed_response_error(call: str, cause: str, is_write: bool) -> StoreError:
    """Return the error of a successful response whose content cannot be parsed."""
    context = {"call": call, "cause": cause}
    kind = StoreOutcomeUnknown if is_write else StoreUnavailable
    hint = HINT_UNKNOWN if is_write else HINT_UNAVAILABLE
    return kind("The store's answer is malformed", context=context, hint=hint)
