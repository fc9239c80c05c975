"""Keys of the queue scheduler in the platform's store. Each value contains its format version."""

PREFIX = "nutmeglb/"
LEADER = PREFIX + "leader"
TERM = PREFIX + "term"
COMMIT = PREFIX + "commit"
WAITS = PREFIX + "waits"
LEARNED = PREFIX + "learned"
ADDRESSES = PREFIX + "addresses"
ACCEPTED = PREFIX + "in/"
PROGRESS = PREFIX + "st/"
FINAL = PREFIX + "fin/"
WITHDRAWN = PREFIX + "wd/"
CANCEL_SUFFIX = ".cancel"


def accepted(job_id: str) -> str:
    """Return the key of an accepted job."""
    return ACCEPTED + job_id


def cancelled(job_id: str) -> str:
    """Return the key whose presence cancels a job."""
    return ACCEPTED + job_id + CANCEL_SUFFIX


def withdrawn(job_id: str, scope: str) -> str:
    """Return the key whose presence bars submissions of a job, for one address and its teams."""
    return f"{WITHDRAWN}{job_id}/{scope}"


def progress(job_id: str) -> str:
    """Return the key of an unfinished job's progress, which only the leader writes."""
    return PROGRESS + job_id


def final(job_id: str) -> str:
    """Return the key of a finished job's state, which only the leader writes.

    Finished jobs have a separate prefix, so that a new leader first reads only unfinished jobs.
    """
    return FINAL + job_id
