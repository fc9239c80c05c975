"""Encoding of the ticket log's snapshot in batches."""

import asyncio
from typing import Any

from nutmeglb_decisions.ticket_log import TicketLog
from nutmeglb_formats.models.stored_ticket import encode_object, join_snapshot, snapshot_objects

# Objects encoded before yielding to the event loop. Encoding one takes about 0.1 ms.
ENCODE_BATCH_OBJECTS = 20


class SnapshotEncoder:
    """Encodes snapshots, caching every object so that only changed ones are encoded again."""

    def __init__(self, log: TicketLog) -> None:
        self._log = log
        self._encoded_objects: dict[str, tuple[Any, bytes]] = {}

    async def encode(self) -> bytes:
        """Return the encoded state of the log at the time of the call."""
        snapshot = self._log.snapshot()
        previous, current = self._encoded_objects, dict[str, tuple[Any, bytes]]()
        encoded_count = 0
        for entry, item in snapshot_objects(snapshot.config):
            cached = previous.get(entry)
            if cached is not None and cached[0] is item:
                current[entry] = cached
                continue
            current[entry] = (item, encode_object(item))
            encoded_count += 1
            if encoded_count % ENCODE_BATCH_OBJECTS == 0:
                await asyncio.sleep(0)
        self._encoded_objects = current
        return join_snapshot(snapshot, [data for _, data in current.values()])
