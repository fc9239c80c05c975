"""Store calls of the journal: pages, head and snapshots, and the complete read at a takeover."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.context import CallPriority, Compare, KeyValue, Put, Store
from nutmeglb_decisions.invariants import require
from nutmeglb_decisions.journal import MAX_PAGE_RECORD_BYTES, WritePage, WriteResult
from nutmeglb_formats.exceptions import JournalError, NutmegError, StoreOutcomeUnknown
from nutmeglb_formats.identifiers import new_id
from nutmeglb_formats.models import journal as stored
from nutmeglb_formats.models.journal import JournalHead, Page
from nutmeglb_formats.models.leader import decode_epoch, encode_epoch, epoch_key

EPOCH_INVARIANT = "journal_epoch"
# Etcd allows 128 operations in a transaction; one of them writes the head.
DELETE_BATCH_PAGES = 120
# Records of a snapshot that are encoded before it yields to the event loop.
ENCODE_BATCH_RECORDS = 100


@dataclass(frozen=True, slots=True)
class LoadedJournal:
    """Journal as read from the store. ``next_seq`` is the number of the next page."""

    records: list[Any]
    next_seq: int
    head: JournalHead


class JournalStore:
    """Store calls of one failure domain's journal. Every write is fenced by the epoch."""

    def __init__(self, store: Store, domain: str, rng: random.Random) -> None:
        self._store = store
        self._domain = domain
        self._rng = rng

    async def write(self, page: WritePage, extra_conditions: Sequence[Compare] = ()) -> WriteResult:
        """Write a page if its number is unused and the stored epoch equals the page's."""
        key = stored.page_key(self._domain, page.seq)
        data = stored.join_page(page.page_id, page.epoch, page.records)
        result = await self._store.txn(
            [Compare(key, None), self._epoch_condition(page.epoch), *extra_conditions],
            [Put(key, data)],
            priority=CallPriority.JOURNAL,
        )
        if isinstance(result, Err):
            unknown = isinstance(result.err_value, StoreOutcomeUnknown)
            return WriteResult.UNKNOWN if unknown else WriteResult.NOT_APPLIED
        return WriteResult.APPLIED if result.ok_value else WriteResult.CONDITION_FAILED

    async def read_back(self, seq: int) -> Result[tuple[str | None, int], NutmegError]:
        """Read the id of a page, ``None`` if it is absent, and then the stored epoch."""
        page = await self._get(stored.page_key(self._domain, seq))
        if isinstance(page, Err):
            return Err(page.err_value)
        epoch = await self._read_epoch()
        if isinstance(epoch, Err):
            return Err(epoch.err_value)
        if page.ok_value is None:
            return Ok((None, epoch.ok_value))
        decoded = stored.decode_page(page.ok_value.value)
        if isinstance(decoded, Err):
            return Err(decoded.err_value)
        return Ok((decoded.ok_value.page_id, epoch.ok_value))

    async def load(self, epoch: int) -> Result[LoadedJournal, NutmegError]:
        """Read the journal and verify that no record is missing.

        Reads may be stale. Therefore an empty page is appended on condition that epoch and head are
        unchanged. If it is written, no other page follows and none was deleted during the read.
        """
        head = await self.read_head()
        if isinstance(head, Err):
            return Err(head.err_value)
        snapshot = await self._read_snapshot(head.ok_value)
        if isinstance(snapshot, Err):
            return Err(snapshot.err_value)
        pages = await self._read_pages(head.ok_value.snapshot)
        if isinstance(pages, Err):
            return Err(pages.err_value)
        next_seq = head.ok_value.snapshot + len(pages.ok_value) + 1
        self._check_epochs(pages.ok_value, epoch)
        confirmed = await self._confirm_end(next_seq, epoch, head.ok_value)
        if isinstance(confirmed, Err):
            return Err(confirmed.err_value)
        records = snapshot.ok_value
        for page in pages.ok_value:
            records.extend(page.records)
        return Ok(LoadedJournal(records, next_seq + 1, head.ok_value))

    async def read_head(self) -> Result[JournalHead, NutmegError]:
        """Read the head."""
        found = await self._get(stored.head_key(self._domain))
        if isinstance(found, Err):
            return Err(found.err_value)
        head = stored.decode_head(found.ok_value.value if found.ok_value else None)
        return Err(head.err_value) if isinstance(head, Err) else Ok(head.ok_value)

    async def write_snapshot(
        self, records: Sequence[Any], seq: int, epoch: int, head: JournalHead
    ) -> Result[JournalHead, NutmegError]:
        """Write the state after page ``seq`` and make it the new start of the journal."""
        slot = 1 - head.slot
        parts = 0
        async for part in _encoded_parts(records):
            data = stored.join_page(str(seq), epoch, part)
            put = Put(stored.snapshot_key(self._domain, slot, parts), data)
            # With an outdated head, this slot could hold the current snapshot.
            written = await self._fenced_txn(epoch, [put], (), self._head_condition(head))
            if isinstance(written, Err):
                return written
            parts += 1
        return await self._write_head(JournalHead(seq, slot, parts, head.oldest), head, epoch)

    async def delete_pages(self, epoch: int, head: JournalHead) -> Result[JournalHead, NutmegError]:
        """Delete a batch of the pages that the snapshot covers."""
        last = min(head.oldest + DELETE_BATCH_PAGES - 1, head.snapshot)
        old = range(head.oldest, last + 1)
        deletes = [stored.page_key(self._domain, seq) for seq in old]
        return await self._write_head(replace(head, oldest=last + 1), head, epoch, deletes)

    async def _write_head(
        self, new: JournalHead, old: JournalHead, epoch: int, deletes: Sequence[str] = ()
    ) -> Result[JournalHead, NutmegError]:
        puts = [Put(stored.head_key(self._domain), stored.encode_head(new))]
        written = await self._fenced_txn(epoch, puts, deletes, self._head_condition(old))
        return Err(written.err_value) if isinstance(written, Err) else Ok(new)

    async def _fenced_txn(
        self,
        epoch: int,
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
        *compares: Compare,
    ) -> Result[None, NutmegError]:
        result = await self._store.txn([self._epoch_condition(epoch), *compares], puts, deletes)
        if isinstance(result, Err):
            return Err(result.err_value)
        return Ok(None) if result.ok_value else Err(_fenced_error(self._domain, epoch))

    async def _read_snapshot(self, head: JournalHead) -> Result[list[Any], NutmegError]:
        records: list[Any] = []
        for part in range(head.parts):
            found = await self._get(stored.snapshot_key(self._domain, head.slot, part))
            if isinstance(found, Err):
                return Err(found.err_value)
            if found.ok_value is None:
                return Err(_incomplete_error(self._domain, "a part of the snapshot is missing"))
            page = stored.decode_page(found.ok_value.value)
            if isinstance(page, Err):
                return Err(page.err_value)
            if page.ok_value.page_id != str(head.snapshot):
                return Err(
                    _incomplete_error(
                        self._domain, "a part of the snapshot belongs to another snapshot"
                    )
                )
            records.extend(page.ok_value.records)
            await asyncio.sleep(0)
        return Ok(records)

    async def _read_pages(self, snapshot: int) -> Result[list[Page], NutmegError]:
        found = await self._store.range(
            stored.page_prefix(self._domain),
            from_key=stored.page_key(self._domain, snapshot + 1),
            priority=CallPriority.JOURNAL,
        )
        if isinstance(found, Err):
            return Err(found.err_value)
        pages: list[Page] = []
        for seq, item in enumerate(found.ok_value, start=snapshot + 1):
            if item.key != stored.page_key(self._domain, seq):
                return Err(_incomplete_error(self._domain, "a page is missing"))
            page = stored.decode_page(item.value)
            if isinstance(page, Err):
                return Err(page.err_value)
            pages.append(page.ok_value)
            await asyncio.sleep(0)
        return Ok(pages)

    def _check_epochs(self, pages: Sequence[Page], epoch: int) -> None:
        epochs = [page.epoch for page in pages]
        require(
            epochs == sorted(epochs) and all(earlier <= epoch for earlier in epochs),
            EPOCH_INVARIANT,
            "The epochs of the pages decrease or exceed the leader's epoch",
            domain=self._domain,
            epoch=epoch,
        )

    async def _confirm_end(
        self, seq: int, epoch: int, head: JournalHead
    ) -> Result[None, NutmegError]:
        marker = WritePage(seq, new_id(self._rng), epoch, ())
        result = await self.write(marker, [self._head_condition(head)])
        if result is WriteResult.UNKNOWN:
            found = await self.read_back(seq)
            if isinstance(found, Ok) and found.ok_value[0] == marker.page_id:
                return Ok(None)
        if result is WriteResult.APPLIED:
            return Ok(None)
        return Err(_incomplete_error(self._domain, "the end of the journal could not be confirmed"))

    async def _get(self, key: str) -> Result[KeyValue | None, NutmegError]:
        found = await self._store.get(key, priority=CallPriority.JOURNAL)
        return Err(found.err_value) if isinstance(found, Err) else Ok(found.ok_value)

    async def _read_epoch(self) -> Result[int, NutmegError]:
        found = await self._get(epoch_key(self._domain))
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            return Ok(0)
        decoded = decode_epoch(found.ok_value.value)
        return Err(decoded.err_value) if isinstance(decoded, Err) else Ok(decoded.ok_value)

    def _head_condition(self, head: JournalHead) -> Compare:
        data = stored.encode_head(head) if head != JournalHead() else None
        return Compare(stored.head_key(self._domain), data)

    def _epoch_condition(self, epoch: int) -> Compare:
        return Compare(epoch_key(self._domain), encode_epoch(epoch))


async def _encoded_parts(records: Sequence[Any]) -> AsyncIterator[list[bytes]]:
    """Encode records in batches and yield parts that each fit into one stored value."""
    part: list[bytes] = []
    total = 0
    for index, record in enumerate(records):
        if index % ENCODE_BATCH_RECORDS == 0:
            await asyncio.sleep(0)
        data = stored.encode_record(record)
        if part and total + len(data) > MAX_PAGE_RECORD_BYTES:
            yield part
            part, total = [], 0
        part.append(data)
        total += len(data)
    if part:
        yield part


def _incomplete_error(domain: str, cause: str) -> JournalError:
    return JournalError(
        "The journal could not be read completely",
        context={"domain": domain, "cause": cause},
        hint="The read is repeated; if this persists, check the store for stale reads",
    )


def _fenced_error(domain: str, epoch: int) -> JournalError:
    return JournalError(
        "Another leader has written to the journal",
        context={"domain": domain, "epoch": epoch},
        hint="This instance no longer leads the failure domain; no action is needed",
    )
