"""Stored form of journal pages.

A page is one CBOR array ``[page version, page id, epoch, [record, ...]]``. Record types register
themselves with ``record(code, version)``.
"""

from dataclasses import dataclass
from typing import Any

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import StoredValueError

PAGE_VERSION = 1
PAGE_LIMIT_BYTES = 1_000_000
PAGE_ITEMS = 4

RECORDS = TypeRegistry()
record = RECORDS.register


@dataclass(frozen=True, slots=True)
class Page:
    """One group commit. ``page_id`` is unique and identifies the write after a lost answer."""

    page_id: str
    epoch: int
    records: tuple[Any, ...]


def encode_page(page: Page) -> bytes:
    """Encode a page. The caller keeps pages below ``PAGE_LIMIT_BYTES``."""
    items = [RECORDS.to_items(item) for item in page.records]
    return cbor2.dumps([PAGE_VERSION, page.page_id, page.epoch, items])


def record_size_bytes(value: object) -> int:
    """Return the encoded size of one record in bytes."""
    return len(cbor2.dumps(RECORDS.to_items(value)))


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
            return Err(_error("The journal page is malformed", "wrong items"))


def _decode_records(page_id: str, epoch: int, items: list[Any]) -> Result[Page, StoredValueError]:
    records = []
    for item in items:
        decoded = RECORDS.from_items(item)
        if isinstance(decoded, Err):
            return Err(_error("A journal record is invalid", decoded.err_value))
        records.append(decoded.ok_value)
    return Ok(Page(page_id, epoch, tuple(records)))


def _error(text: str, cause: str) -> StoredValueError:
    return StoredValueError(
        text, context={"cause": cause}, hint="Start a release that can read this page"
    )
