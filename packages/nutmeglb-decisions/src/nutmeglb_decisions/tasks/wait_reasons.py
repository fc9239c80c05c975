"""Explanations for callers of why a job is waiting."""

from collections.abc import Collection

from nutmeglb_decisions.tasks.gangs import fits_when_empty
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.state import Job
from nutmeglb_formats.models.jobs import WaitReason

QUARANTINE_TEXT = "The workers that it fits on are quarantined, leaving or unreachable."


def wait_reason(lifecycle: Lifecycle, job: Job, now_ms: float) -> tuple[WaitReason, str]:
    """Return why a job is waiting, as a reason code and as a sentence for the caller."""
    if job.waiting == 0:
        return WaitReason.NONE, ""
    if job.not_before_ms > now_ms:
        return WaitReason.BACKOFF, "Its tasks fail on every worker; it is retried later."
    quotas = lifecycle.capacity.quotas
    limit = quotas.limit(job.spec.team)
    needed = job.shape.resources.scaled(job.shape.gang_size)
    if limit is None or not needed.fits_in(limit):
        return WaitReason.QUOTA, "It exceeds the team's quota in this failure domain."
    accounts = lifecycle.capacity.ledger.accounts()
    if not _fits_on(lifecycle, job, accounts):
        return WaitReason.FITS_NOWHERE, "It is larger than the workers of this failure domain."
    if not _fits_on(lifecycle, job, lifecycle.capacity.engine.enabled()):
        return WaitReason.QUARANTINE, QUARANTINE_TEXT
    if not quotas.admits(job.spec.team, needed):
        return WaitReason.QUOTA, "The team's quota is in use."
    if now_ms < lifecycle.journal_backoff_until_ms:
        return WaitReason.STORE_OUTAGE, "The journal cannot be written."
    if job.job_id in lifecycle.jobs_with_hold:
        return WaitReason.GANG_HOLD, "Workers are being kept free for it."
    return WaitReason.QUEUED, "It waits for free resources."


def _fits_on(lifecycle: Lifecycle, job: Job, workers: Collection[str]) -> bool:
    accounts = lifecycle.capacity.ledger.accounts()
    shape = job.shape
    return fits_when_empty(shape.resources, (accounts[name] for name in workers), shape.gang_size)
