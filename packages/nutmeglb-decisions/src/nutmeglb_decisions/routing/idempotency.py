"""Idempotency keys: owner domains, claims, stored responses and expiry."""

import hashlib
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from nutmeglb_formats.models.idempotency import (
    KEY_RETENTION_MS,
    STORED_BODY_LIMIT_BYTES,
    KeyClaimed,
    KeyCompleted,
    KeyReleased,
    KeyUnknown,
)
from nutmeglb_formats.wire.routing import (
    ClaimState,
    KeyAnswer,
    KeyClaim,
    KeyResult,
    RequestOutcome,
)

DIGEST_BYTES = 8
# Keys removed per call, so that many simultaneous expiries do not block the event loop.
MAX_EXPIRED_PER_CALL = 100

KeyId = tuple[str, str]
KeyRecord = KeyClaimed | KeyCompleted | KeyReleased | KeyUnknown


def owner_domain(service: str, key: str, domains: Sequence[str]) -> str:
    """Return the domain that owns a key, by rendezvous hashing over the configured domains.

    Raises
    ------
    ValueError
        If ``domains`` is empty.
    """
    if not domains:
        raise ValueError("no domain is configured; set domain_weights in the policy")
    return max(domains, key=lambda domain: (_rendezvous_weight(service, key, domain), domain))


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes different requests with the same key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _rendezvous_weight(service: str, key: str, domain: str) -> bytes:
    data = "\0".join((service, key, domain)).encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class _Phase(StrEnum):
    CLAIMING = "claiming"
    RUNNING = "running"
    STORED = "stored"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Entry:
    claimed: KeyClaimed
    phase: _Phase
    completed: KeyCompleted | None = None


@dataclass(frozen=True, slots=True)
class CommitRecord:
    """Effect: commit a record to the journal, then call ``committed`` or ``not_committed``."""

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Reply:
    """Effect: answer the instance that sent the message."""

    answer: KeyAnswer


KeyEffect = CommitRecord | Reply


class KeyTable:
    """Idempotency keys owned by a domain, kept by its leader.

    A claim is answered with ``claimed`` only after its record has been committed. All times are
    wall-clock milliseconds, because claims outlive the process. Each operation takes constant time,
    except ``load`` and ``snapshot``.
    """

    def __init__(self) -> None:
        self._entries: dict[KeyId, _Entry] = {}
        self._by_age: deque[tuple[float, KeyId, str]] = deque()

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, wall_ms: float, message: KeyClaim) -> KeyEffect:
        """Claim a key, or answer with the state of an earlier claim."""
        self.expire(wall_ms)
        key_id = (message.service, message.key)
        entry = self._entries.get(key_id)
        if entry is not None:
            return Reply(self._answer(wall_ms, entry, message))
        record = KeyClaimed(
            message.service,
            message.key,
            message.request_id,
            message.fingerprint,
            wall_ms,
            message.run_limit_ms,
        )
        self._add(record, _Phase.CLAIMING)
        return CommitRecord(record)

    def _answer(self, wall_ms: float, entry: _Entry, message: KeyClaim) -> KeyAnswer:
        if entry.claimed.fingerprint != message.fingerprint:
            return KeyAnswer(ClaimState.REUSED)
        if entry.phase is _Phase.STORED and entry.completed is not None:
            completed = entry.completed
            if not completed.complete:
                return KeyAnswer(ClaimState.UNKNOWN)
            return KeyAnswer(ClaimState.STORED, completed.status, completed.headers, completed.body)
        if entry.phase is _Phase.UNKNOWN:
            return KeyAnswer(ClaimState.UNKNOWN)
        if wall_ms > entry.claimed.claimed_wall_ms + entry.claimed.run_limit_ms:
            return KeyAnswer(ClaimState.UNKNOWN)
        return KeyAnswer(ClaimState.IN_PROGRESS)

    def committed(self, record: KeyRecord) -> KeyAnswer:
        """Apply a committed record and return the answer for the sender of its message."""
        if not isinstance(record, KeyClaimed):
            return KeyAnswer(ClaimState.CLAIMED)
        entry = self._find_entry(record.service, record.key, record.request_id)
        if entry is None:
            return KeyAnswer(ClaimState.REFUSED)
        entry.phase = _Phase.RUNNING
        return KeyAnswer(ClaimState.CLAIMED)

    def not_committed(self, record: KeyRecord) -> KeyAnswer:
        """Undo a claim whose record is not known to be committed. Its request is not dispatched."""
        if isinstance(record, KeyClaimed):
            entry = self._find_entry(record.service, record.key, record.request_id)
            if entry is not None and entry.phase is _Phase.CLAIMING:
                del self._entries[(record.service, record.key)]
        return KeyAnswer(ClaimState.REFUSED)

    def result(self, message: KeyResult) -> KeyEffect:
        """Record the outcome of a claimed request. A repeated result has no effect.

        A claim that is not yet committed may be withdrawn with outcome ``NOT_RUN``, because its
        sender no longer waits for it.
        """
        entry = self._find_entry(message.service, message.key, message.request_id)
        if entry is None:
            return Reply(KeyAnswer(ClaimState.REFUSED))
        withdrawn = message.outcome is RequestOutcome.NOT_RUN and entry.phase is _Phase.CLAIMING
        if entry.phase is not _Phase.RUNNING and not withdrawn:
            return Reply(KeyAnswer(ClaimState.CLAIMED))
        record = _result_record(message)
        self._apply(record)
        return CommitRecord(record)

    def _find_entry(self, service: str, key: str, request_id: str) -> _Entry | None:
        entry = self._entries.get((service, key))
        if entry is None or entry.claimed.request_id != request_id:
            return None
        return entry

    def load(self, wall_ms: float, records: Iterable[object]) -> None:
        """Rebuild the table from ordered journal records. Other record types are ignored."""
        self._entries.clear()
        self._by_age.clear()
        for record in records:
            if isinstance(record, KeyClaimed):
                self._add(record, _Phase.RUNNING)
            elif isinstance(record, KeyCompleted | KeyReleased | KeyUnknown):
                self._apply(record)
        self.expire(wall_ms)

    def snapshot(self) -> list[KeyRecord]:
        """Return the records that describe the full state.

        Claims whose commit is pending are included, because their page may precede the snapshot.
        """
        records: list[KeyRecord] = []
        for entry in self._entries.values():
            records.append(entry.claimed)
            if entry.completed is not None:
                records.append(entry.completed)
            elif entry.phase is _Phase.UNKNOWN:
                claimed = entry.claimed
                records.append(KeyUnknown(claimed.service, claimed.key, claimed.request_id))
        return records

    def expire(self, wall_ms: float) -> None:
        """Remove keys past the retention time, at most ``MAX_EXPIRED_PER_CALL`` per call."""
        for _ in range(MAX_EXPIRED_PER_CALL):
            if not self._by_age or wall_ms < self._by_age[0][0] + KEY_RETENTION_MS:
                return
            _, key_id, request_id = self._by_age.popleft()
            if self._find_entry(*key_id, request_id) is not None:
                del self._entries[key_id]

    def _add(self, record: KeyClaimed, phase: _Phase) -> None:
        key_id = (record.service, record.key)
        self._entries[key_id] = _Entry(record, phase)
        self._by_age.append((record.claimed_wall_ms, key_id, record.request_id))

    def _apply(self, record: KeyCompleted | KeyReleased | KeyUnknown) -> None:
        entry = self._find_entry(record.service, record.key, record.request_id)
        if entry is None:
            return
        if isinstance(record, KeyReleased):
            del self._entries[(record.service, record.key)]
        elif isinstance(record, KeyUnknown):
            entry.phase = _Phase.UNKNOWN
        else:
            entry.phase = _Phase.STORED
            entry.completed = record


def _result_record(message: KeyResult) -> KeyCompleted | KeyReleased | KeyUnknown:
    key_fields = (message.service, message.key, message.request_id)
    if message.outcome is RequestOutcome.NOT_RUN:
        return KeyReleased(*key_fields)
    if message.outcome is RequestOutcome.UNKNOWN:
        return KeyUnknown(*key_fields)
    complete = message.complete and len(message.body) <= STORED_BODY_LIMIT_BYTES
    body = message.body if complete else b""
    headers = message.headers if complete else ()
    return KeyCompleted(*key_fields, message.status, headers, body, complete)
