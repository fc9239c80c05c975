"""Reads and decodes the queue scheduler's records in the store. Malformed records are skipped."""

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import Platform, QueueStore, StoredItem
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues.state import FINAL_STATES
from nutmeglb_formats.exceptions import StoreError
from nutmeglb_formats.models.queue_records import (
    AcceptedJob,
    JobProgress,
    Waits,
    decode_queue_record,
)
from nutmeglb_formats.models.queues import QueueJob, QueueWorker

logger = get_logger("stored jobs")


@dataclass(frozen=True, slots=True)
class Inbox:
    """Accepted jobs and ids of cancelled jobs, complete up to ``revision``."""

    jobs: tuple[QueueJob, ...]
    cancelled: tuple[str, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoredState:
    """State from which a new leader schedules."""

    inbox: Inbox
    progress: dict[str, JobProgress]
    workers: tuple[QueueWorker, ...]
    waits: Waits | None


async def read_state(platform: Platform) -> Result[StoredState, StoreError]:
    """Read the state from which a new leader schedules, in parallel."""
    store = platform.store
    progress, inbox, workers, waits = await asyncio.gather(
        read_progress(store, keys.PROGRESS),
        read_inbox(store),
        read_workers(platform),
        store.get(keys.WAITS),
    )
    if isinstance(progress, Err):
        return Err(progress.err_value)
    if isinstance(inbox, Err):
        return Err(inbox.err_value)
    if isinstance(workers, Err):
        return Err(workers.err_value)
    if isinstance(waits, Err):
        return Err(waits.err_value)
    found = decode_waits(waits.ok_value)
    return Ok(StoredState(inbox.ok_value, progress.ok_value, tuple(workers.ok_value), found))


def decode_waits(item: StoredItem | None) -> Waits | None:
    """Return the time that former leaders waited for workers.

    A malformed record counts as absent, so the new leader waits for the full time.
    """
    if item is None:
        return None
    loaded = decode_queue_record(item.value, item.key)
    waits = loaded.ok_value if isinstance(loaded, Ok) else None
    if isinstance(waits, Waits) and all(math.isfinite(ms) and ms >= 0 for _, ms in waits.waited):
        return waits
    logger.error("malformed record of waits ignored", key=item.key)
    return None


async def read_progress(
    store: QueueStore, prefix: str
) -> Result[dict[str, JobProgress], StoreError]:
    """Read the progress of unfinished jobs, or the states of finished ones, by job id."""
    listing = await store.range(prefix, large=True)
    if isinstance(listing, Err):
        return Err(listing.err_value)
    found: dict[str, JobProgress] = {}
    for item in listing.ok_value.items:
        loaded = decode_queue_record(item.value, item.key)
        progress = loaded.ok_value if isinstance(loaded, Ok) else None
        if isinstance(progress, JobProgress) and _is_valid(progress):
            found[item.key.removeprefix(prefix)] = progress
        else:
            logger.error("malformed progress record skipped", key=item.key)
    return Ok(found)


def _is_valid(progress: JobProgress) -> bool:
    """Return whether a record has a known state and no negative step or task numbers."""
    steps_are_valid = all(
        step.step >= 0 and min(step.done, default=0) >= 0 for step in progress.steps
    )
    return progress.final in ("", *FINAL_STATES) and steps_are_valid


def _has_valid_steps(job: QueueJob) -> bool:
    """Return whether every step has tasks and depends only on earlier steps."""
    return all(
        step.count > 0 and all(0 <= before < number for before in step.after)
        for number, step in enumerate(job.steps)
    )


async def read_inbox(store: QueueStore) -> Result[Inbox, StoreError]:
    """Read all accepted jobs and cancellations."""
    listing = await store.range(keys.ACCEPTED, large=True)
    if isinstance(listing, Err):
        return Err(listing.err_value)
    return Ok(decode_inbox(listing.ok_value.items, listing.ok_value.revision))


def decode_inbox(items: Iterable[StoredItem], revision: int) -> Inbox:
    """Decode jobs and cancellations."""
    jobs, cancelled = [], []
    for item in items:
        job_id = item.key.removeprefix(keys.ACCEPTED)
        if job_id.endswith(keys.CANCEL_SUFFIX):
            cancelled.append(job_id.removesuffix(keys.CANCEL_SUFFIX))
            continue
        loaded = decode_queue_record(item.value, item.key)
        if isinstance(loaded, Err):
            logger.error("malformed job skipped", key=item.key, cause=str(loaded.err_value))
        elif isinstance(loaded.ok_value, AcceptedJob):
            job = loaded.ok_value.job
            if _has_valid_steps(job):
                jobs.append(job)
            else:
                logger.error(
                    "job skipped: a step has no tasks or depends on one that is not earlier",
                    key=item.key,
                )
    return Inbox(tuple(jobs), tuple(cancelled), revision)


async def read_workers(platform: Platform) -> Result[list[QueueWorker], StoreError]:
    """Read the entries of all workers."""
    listing = await platform.store.range(platform.workers_prefix, large=True)
    if isinstance(listing, Err):
        return Err(listing.err_value)
    workers = []
    for item in listing.ok_value.items:
        decoded = platform.decode_worker(item)
        if isinstance(decoded, Err):
            logger.warning("malformed worker entry ignored", cause=str(decoded.err_value))
        else:
            workers.append(decoded.ok_value)
    return Ok(workers)
