"""Stored form of journal pages.

The journal of a failure domain holds the durable decisions of its leader. A page is one CBOR array
``[page version, page id, epoch, [record, ...]]``. Classes of records are registered with the
decorator ``record(code, version)``.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import StoredValueError

PAGE_VERSION = 1
PAGE_LIMIT_BYTES = 1_000_000
PAGE_ITEMS = 4
PAGE_NUMBER_DIGITS = 10
HEAD_VERSION = 1

JOURNAL_RECORDS = TypeRegistry()
record = JOURNAL_RECORDS.register


@dataclass(frozen=True, slots=True)
class Page:
    """Records that are committed together with one write.

    Attributes
    ----------
    page_id
        Unique id of the write, by which the writer recognizes it after a lost answer.
    epoch
        Epoch of the leader that wrote the page.
    """

    page_id: str
    epoch: int
    records: tuple[Any, ...]


def encode_page(page: Page) -> bytes:
    """Encode a page. The caller must keep it below ``PAGE_LIMIT_BYTES``."""
    return join_page(page.page_id, page.epoch, [encode_record(item) for item in page.records])


def encode_record(value: object) -> bytes:
    """Encode one record of a page."""
    return cbor2.dumps(JOURNAL_RECORDS.to_items(value))


def join_page(page_id: str, epoch: int, records: Sequence[bytes]) -> bytes:
    """Return a page in encoded form from records that are already encoded."""
    head = [_cbor_array_head(PAGE_ITEMS), *map(cbor2.dumps, (PAGE_VERSION, page_id, epoch))]
    return b"".join([*head, _cbor_array_head(len(records)), *records])


def _cbor_array_head(length: int) -> bytes:
    """Return the CBOR head of an array of ``length`` items (RFC 8949, major type 4)."""
    if length < 24:
        return bytes([0x80 | length])
    if length < 0x100:
        return b"\x98" + length.to_bytes(1)
    if length < 0x10000:
        return b"\x99" + length.to_bytes(2)
    return b"\x9a" + length.to_bytes(4)


@dataclass(frozen=True, slots=True)
class JournalHead:
    """Head of the journal of a failure domain: its snapshot and its oldest page.

    Attributes
    ----------
    snapshot
        Number of the last page that the snapshot covers; 0 without a snapshot.
    slot, parts
        Slot of the snapshot's keys, and number of its parts. Snapshots alternate between two slots,
        so that an unfinished one never damages the one in use.
    oldest
        Number of the oldest page that has not been deleted.
    """

    snapshot: int = 0
    slot: int = 0
    parts: int = 0
    oldest: int = 1


def head_key(domain: str) -> str:
    """Return the store key of the journal's head."""
    return f"domains/{domain}/journal-head"


def page_prefix(domain: str) -> str:
    """Return the prefix of the store keys of all pages."""
    return f"domains/{domain}/journal/"


def page_key(domain: str, seq: int) -> str:
    """Return the store key of the page with the number ``seq``."""
    return f"{page_prefix(domain)}{seq:0{PAGE_NUMBER_DIGITS}}"


def snapshot_key(domain: str, slot: int, part: int) -> str:
    """Return the store key of one part of a snapshot."""
    return f"domains/{domain}/snapshot/{slot}-{part:0{PAGE_NUMBER_DIGITS}}"


def encode_head(head: JournalHead) -> bytes:
    """Return the stored form. Equal heads have equal bytes, so transactions can compare them."""
    fields = (head.snapshot, head.slot, head.parts, head.oldest)
    return json.dumps([HEAD_VERSION, *fields]).encode()


def decode_head(data: bytes | None) -> Result[JournalHead, StoredValueError]:
    """Decode a head. An absent one stands for a journal without a snapshot."""
    if data is None:
        return Ok(JournalHead())
    try:
        value = json.loads(data)
    except ValueError as error:
        return Err(_error("The journal's head is not JSON", str(error)))
    match value:
        case [1, int(snapshot), int(slot), int(parts), int(oldest)]:
            return Ok(JournalHead(snapshot, slot, parts, oldest))
    return Err(_error("The journal's head is malformed", "unexpected array items"))


def decode_page(data: bytes) -> Result[Page, StoredValueError]:
    """Decode and validate a page. Never raises on bad input."""
    loaded = load_cbor(data)
    if isinstance(loaded, Err):
        return Err(_error("The journal page is not valid CBOR", loaded.err_value))
    match loaded.ok_value:
        case [int(version), *_] if version != PAGE_VERSION:
            return Err(_error("The journal page version is not supported", str(version)))
        case [_, str(page_id), int(epoch), list(items)]:
            return _decode_records(page_id, epoch, items)
        case _:
            return Err(_error("The journal page is malformed", "unexpected array items"))


def _decode_records(page_id: str, epoch: int, items: list[Any]) -> Result[Page, StoredValueError]:
    records = []
    for item in items:
        decoded = JOURNAL_RECORDS.from_items(item)
        if isinstance(decoded, Err):
            return Err(_error("A journal record is invalid", decoded.err_value))
        records.append(decoded.ok_value)
    return Ok(Page(page_id, epoch, tuple(records)))


def _error(text: str, cause: str) -> StoredValueError:
    return StoredValueError(
        text, context={"cause": cause}, hint="Run a release of nutmeglb that can read this journal"
    )
