"""Journal records and effects that wait to be handed to the I/O layer."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from nutmeglb_decisions.tasks.events import Append, Decision, Effect
from nutmeglb_formats.exceptions import NutmegError

OnCommit = Callable[[float], None]
OnFailure = Callable[[float, NutmegError], None]


@dataclass(slots=True)
class _PendingWrite:
    record: Any
    on_commit: OnCommit
    on_failure: OnFailure


class Outbox:
    """Collects the records of a flush into one ``Append`` and keeps their callbacks."""

    def __init__(self) -> None:
        self._writes: list[_PendingWrite] = []
        self._effects: list[Effect] = []
        self._in_flight: dict[int, list[_PendingWrite]] = {}
        self._next_batch = 1
        self._open_records = 0

    @property
    def open_records(self) -> int:
        """Return the number of flushed records whose append has no outcome yet."""
        return self._open_records

    def write(self, record: Any, on_commit: OnCommit, on_failure: OnFailure) -> None:
        """Append a record with the next flush, and call one of the callbacks on the outcome."""
        self._writes.append(_PendingWrite(record, on_commit, on_failure))

    def add(self, effect: Effect) -> None:
        """Queue an effect for the next flush."""
        self._effects.append(effect)

    def log_decision(
        self,
        kind: str,
        cause: str,
        *,
        job: str | None = None,
        task: str | None = None,
        worker: str | None = None,
        **fields: object,
    ) -> None:
        """Queue a decision for the timeline."""
        self._effects.append(Decision(kind, cause, job, task, worker, fields))

    def flush(self) -> list[Effect]:
        """Return all effects since the last flush, with the records as one ``Append``."""
        effects, self._effects = self._effects, []
        if self._writes:
            effects.append(Append(self._next_batch, tuple(w.record for w in self._writes)))
            self._in_flight[self._next_batch] = self._writes
            self._open_records += len(self._writes)
            self._writes = []
            self._next_batch += 1
        return effects

    def committed(self, batch: int, now_ms: float) -> None:
        """Call the commit callbacks of a batch. A repeated outcome is ignored."""
        for write in self._pop_batch(batch):
            write.on_commit(now_ms)

    def failed(self, batch: int, now_ms: float, error: NutmegError) -> None:
        """Call the failure callbacks of a batch, whose records may have been appended."""
        for write in self._pop_batch(batch):
            write.on_failure(now_ms, error)

    def _pop_batch(self, batch: int) -> list[_PendingWrite]:
        writes = self._in_flight.pop(batch, [])
        self._open_records -= len(writes)
        return writes
