"""Data model of the store stand-in: revisions, transactions, leases and event history.

Follows the published etcd v3 JSON API: int64 values are decimal strings, bytes are base64 text, and
fields with zero values are omitted from responses.
"""

import base64
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedDict

from nutmeglb_formats.clock import Clock

VALUE_LIMIT_BYTES = 1_048_576
TXN_OPERATIONS_LIMIT = 128
HISTORY_LIMIT = 10_000
INVALID_ARGUMENT = 3
NOT_FOUND = 5
OUT_OF_RANGE = 11
UNIMPLEMENTED = 12

Json = dict[str, Any]
Subscriber = Callable[[list[Json], int], None]


class GatewayError(Exception):
    """Error response of the gateway: gRPC status code and message."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


@dataclass(frozen=True, slots=True)
class StoredKey:
    """A key with its value. ``version`` counts writes since the key was created."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def as_json(self) -> Json:
        """Return the key in the gateway's JSON format."""
        item: Json = {
            "key": to_text(self.key),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
        }
        if self.value:
            item["value"] = to_text(self.value)
        if self.lease:
            item["lease"] = str(self.lease)
        return item


@dataclass(slots=True)
class Lease:
    """A lease and its keys. ``deadline_ms`` is in monotonic time."""

    ttl_s: int
    deadline_ms: float
    keys: set[bytes] = field(default_factory=set)


class StoreData:
    """Keys, leases and event history of the store.

    Parameters
    ----------
    clock
        Drives lease expiry.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._keys: SortedDict = SortedDict()
        self._leases: dict[int, Lease] = {}
        self._last_lease_id = 1_000
        self._history: list[tuple[int, Json]] = []
        self._frozen_keys: SortedDict | None = None
        self._subscribers: list[Subscriber] = []
        self.revision = 1

    def freeze_reads(self, frozen: bool) -> None:
        """Keep a copy of the current state for stale reads, or drop it."""
        if not frozen:
            self._frozen_keys = None
        elif self._frozen_keys is None:
            self._frozen_keys = self._keys.copy()

    def subscribe(self, subscriber: Subscriber) -> Callable[[], None]:
        """Call ``subscriber`` with the events of each new revision; return a function to cancel."""
        self._subscribers.append(subscriber)
        return lambda: self._subscribers.remove(subscriber)

    def header(self) -> Json:
        """Return the header of a response."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}

    def range(self, body: Json, *, stale: bool = False) -> Json:
        """Handle ``/v3/kv/range``, from the frozen state if ``stale`` is set."""
        frozen = self._frozen_keys if stale else None
        return self._range(self._keys if frozen is None else frozen, body)

    def put(self, body: Json) -> Json:
        """Handle ``/v3/kv/put``."""
        self._check_put(body)
        self._commit([("put", body)])
        return {"header": self.header()}

    def delete(self, body: Json) -> Json:
        """Handle ``/v3/kv/deleterange``."""
        deleted = self._commit([("delete", body)])
        return {"header": self.header(), "deleted": str(deleted)}

    def txn(self, body: Json) -> Json:
        """Handle ``/v3/kv/txn``."""
        branches = [body.get("success", []), body.get("failure", [])]
        compares = body.get("compare", [])
        if max(len(compares), *(len(branch) for branch in branches)) > TXN_OPERATIONS_LIMIT:
            raise GatewayError(INVALID_ARGUMENT, "etcdserver: too many operations in txn request")
        succeeded = all(self._compare_holds(compare) for compare in compares)
        operations = branches[0] if succeeded else branches[1]
        writes = []
        for operation in operations:
            if "request_put" in operation:
                self._check_put(operation["request_put"])
                writes.append(("put", operation["request_put"]))
            elif "request_delete_range" in operation:
                writes.append(("delete", operation["request_delete_range"]))
            elif "request_range" not in operation:
                raise GatewayError(
                    INVALID_ARGUMENT,
                    "unknown operation in txn; use request_put, request_delete_range or "
                    "request_range",
                )
        self._commit(writes)
        response: Json = {
            "header": self.header(),
            "responses": [
                {"response_range": self._range(self._keys, operation["request_range"])}
                for operation in operations
                if "request_range" in operation
            ],
        }
        if succeeded:
            response["succeeded"] = True
        return response

    def lease_grant(self, body: Json) -> Json:
        """Handle ``/v3/lease/grant``."""
        ttl_s = int(body.get("TTL", 0))
        if ttl_s <= 0:
            raise GatewayError(OUT_OF_RANGE, "etcdserver: too small lease TTL")
        self._last_lease_id += 1
        deadline_ms = self._clock.now_ms() + ttl_s * 1_000
        self._leases[self._last_lease_id] = Lease(ttl_s, deadline_ms)
        return {"header": self.header(), "ID": str(self._last_lease_id), "TTL": str(ttl_s)}

    def lease_keep_alive(self, body: Json) -> Json:
        """Handle ``/v3/lease/keepalive``. The response for an unknown lease has no TTL."""
        self.expire_leases()
        number = int(body.get("ID", 0))
        result: Json = {"header": self.header(), "ID": str(number)}
        lease = self._leases.get(number)
        if lease is not None:
            lease.deadline_ms = self._clock.now_ms() + lease.ttl_s * 1_000
            result["TTL"] = str(lease.ttl_s)
        return {"result": result}

    def lease_revoke(self, body: Json) -> Json:
        """Handle ``/v3/lease/revoke``."""
        number = int(body.get("ID", 0))
        if number not in self._leases:
            raise GatewayError(NOT_FOUND, "etcdserver: requested lease not found")
        self._end_lease(number)
        return {"header": self.header()}

    def expire_leases(self) -> None:
        """End the leases whose deadline has passed and delete their keys."""
        now_ms = self._clock.now_ms()
        for number in [n for n, lease in self._leases.items() if lease.deadline_ms <= now_ms]:
            self._end_lease(number)

    def events_since(self, revision: int) -> list[Json]:
        """Return the recorded events at or after ``revision``."""
        return [event for at, event in self._history if at >= revision]

    def oldest_revision(self) -> int:
        """Return the oldest revision that a watch can start from."""
        return self._history[0][0] if len(self._history) >= HISTORY_LIMIT else 1

    def _end_lease(self, number: int) -> None:
        keys = self._leases[number].keys
        self._commit([("delete", {"key": to_text(key)}) for key in sorted(keys)])
        del self._leases[number]

    def _range(self, keys: SortedDict, body: Json) -> Json:
        matches = list(self._select(keys, body))
        limit = int(body.get("limit", 0))
        returned = matches[:limit] if limit else matches
        response: Json = {"header": self.header(), "kvs": [item.as_json() for item in returned]}
        if matches:
            response["count"] = str(len(matches))
        if len(returned) < len(matches):
            response["more"] = True
        return response

    def _select(self, keys: SortedDict, body: Json) -> Iterable[StoredKey]:
        start = from_text(body["key"])
        if "range_end" not in body:
            return [keys[start]] if start in keys else []
        end = from_text(body["range_end"])
        names = keys.irange(start, None if end == b"\0" else end, inclusive=(True, False))
        return [keys[name] for name in names]

    def _compare_holds(self, compare: Json) -> bool:
        if compare.get("result", "EQUAL") != "EQUAL":
            raise GatewayError(UNIMPLEMENTED, "only EQUAL is supported by this stand-in")
        stored = self._keys.get(from_text(compare["key"]))
        match compare.get("target", "VERSION"):
            case "VALUE":
                wanted = from_text(compare.get("value", ""))
                return stored is not None and stored.value == wanted
            case "VERSION":
                return int(compare.get("version", 0)) == (stored.version if stored else 0)
            case "MOD":
                actual = stored.mod_revision if stored else 0
                return int(compare.get("mod_revision", 0)) == actual
            case "CREATE":
                actual = stored.create_revision if stored else 0
                return int(compare.get("create_revision", 0)) == actual
        raise GatewayError(
            INVALID_ARGUMENT, "unknown compare target; use VALUE, VERSION, MOD or CREATE"
        )

    def _check_put(self, body: Json) -> None:
        self.expire_leases()
        if len(from_text(body.get("value", ""))) > VALUE_LIMIT_BYTES:
            raise GatewayError(INVALID_ARGUMENT, "etcdserver: request is too large")
        lease = int(body.get("lease", 0))
        if lease and lease not in self._leases:
            raise GatewayError(NOT_FOUND, "etcdserver: requested lease not found")

    def _commit(self, writes: list[tuple[str, Json]]) -> int:
        revision = self.revision + 1
        events: list[Json] = []
        for kind, body in writes:
            if kind == "put":
                events.append({"kv": self._put(body, revision).as_json()})
            else:
                events.extend(self._delete(body, revision))
        if not events:
            return 0
        self.revision = revision
        self._history.extend((revision, event) for event in events)
        del self._history[:-HISTORY_LIMIT]
        for subscriber in list(self._subscribers):
            subscriber(events, revision)
        return len(events)

    def _put(self, body: Json, revision: int) -> StoredKey:
        key = from_text(body["key"])
        old: StoredKey | None = self._keys.get(key)
        lease = int(body.get("lease", 0))
        stored = StoredKey(
            key,
            from_text(body.get("value", "")),
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            lease,
        )
        self._detach_from_lease(old)
        if lease:
            self._leases[lease].keys.add(key)
        self._keys[key] = stored
        return stored

    def _delete(self, body: Json, revision: int) -> list[Json]:
        events = []
        for stored in self._select(self._keys, body):
            self._detach_from_lease(stored)
            del self._keys[stored.key]
            tombstone = {"key": to_text(stored.key), "mod_revision": str(revision)}
            events.append({"type": "DELETE", "kv": tombstone})
        return events

    def _detach_from_lease(self, stored: StoredKey | None) -> None:
        if stored is not None and stored.lease in self._leases:
            self._leases[stored.lease].keys.discard(stored.key)


def to_text(data: bytes) -> str:
    """Return bytes as base64 text."""
    return base64.b64encode(data).decode()


def from_text(text: str) -> bytes:
    """Return the bytes of base64 text."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise GatewayError(INVALID_ARGUMENT, "a key or value is not valid base64") from error
