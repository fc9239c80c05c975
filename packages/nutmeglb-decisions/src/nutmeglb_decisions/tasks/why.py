"""Explains why a job waits."""

from collections.abc import Collection

from nutmeglb_decisions.tasks.gangs import could_fit
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.state import Job
from nutmeglb_formats.models.jobs import WaitReason

QUARANTINE_TEXT = "The workers that it fits on are quarantined, leaving or unreachable."


def wait_reason(life: Lifecycle, job: Job, now_ms: float) -> tuple[WaitReason, str]:
    """Return why a job waits, as a kind and as a sentence."""
    if job.waiting == 0:
        return WaitReason.NONE, ""
    if job.not_before_ms > now_ms:
        return WaitReason.BACKOFF, "Its tasks fail on every worker; it is retried later."
    quotas = life.capacity.quotas
    limit = quotas.limit(job.spec.team)
    together = job.shape.resources.scaled(job.shape.together)
    if limit is None or not together.fits_in(limit):
        return WaitReason.QUOTA, "It exceeds the team's quota in this failure domain."
    accounts = life.capacity.ledger.accounts()
    if not _fits_on(life, job, accounts):
        return WaitReason.FITS_NOWHERE, "It is larger than the workers of this failure domain."
    if not _fits_on(life, job, life.capacity.engine.enabled()):
        return WaitReason.QUARANTINE, QUARANTINE_TEXT
    if not quotas.admits(job.spec.team, together):
        return WaitReason.QUOTA, "The team's quota is in use."
    if now_ms < life.journal_hold_until_ms:
        return WaitReason.STORE_OUTAGE, "The journal cannot be written."
    if job.job_id in life.held_jobs:
        return WaitReason.GANG_HOLD, "Workers are being kept free for it."
    return WaitReason.QUEUED, "It waits for free resources."


def _fits_on(life: Lifecycle, job: Job, workers: Collection[str]) -> bool:
    accounts = life.capacity.ledger.accounts()
    shape = job.shape
    return could_fit(shape.resources, (accounts[name] for name in workers), shape.together)
