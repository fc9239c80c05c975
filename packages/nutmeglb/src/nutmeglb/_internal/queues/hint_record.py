"""A stored record that a leader writes as a hint for the next one."""

from typing import Any

from result import Err, Ok

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import QueueStore, StoredPut
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.models.queue_records import decode_queue_record, encode_queue_record

logger = get_logger("hints")


class HintRecord:
    """Reads and writes one record.

    It is written without a retry, and only while the leader key is that of this term, so that a
    former leader does not replace it. Without a valid record the next leader does without the hint.

    Parameters
    ----------
    record_type
        Class of the registered record.
    key_revision
        Store revision of the leader key of this term.
    """

    def __init__(
        self, store: QueueStore, key: str, record_type: type[Any], key_revision: int
    ) -> None:
        self._store = store
        self._key = key
        self._type = record_type
        self._key_revision = key_revision
        self._stored: object = None

    async def load(self) -> Any | None:
        """Return the record of a former leader, or ``None`` if the store has no valid one."""
        found = await self._store.get(self._key)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        loaded = decode_queue_record(found.ok_value.value, self._key)
        if not isinstance(loaded, Ok) or not isinstance(loaded.ok_value, self._type):
            logger.error("malformed record ignored", key=self._key)
            return None
        return loaded.ok_value

    async def save(self, record: object) -> None:
        """Store a record, unless it equals the last stored one."""
        if record == self._stored:
            return
        put = StoredPut(self._key, encode_queue_record(record))
        saved = await self._store.commit({keys.LEADER: self._key_revision}, [put])
        if isinstance(saved, Ok) and saved.ok_value.applied:
            self._stored = record
