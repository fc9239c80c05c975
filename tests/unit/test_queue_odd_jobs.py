"""Jobs with odd figures: guards against a stored job that stops each leader in turn."""

import math
from dataclasses import replace

import pytest

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import StoredItem
from nutmeglb._internal.queues.stored_jobs import decode_inbox
from nutmeglb_formats.models.queue_records import AcceptedJob, encode_queue_record
from nutmeglb_formats.models.resources import Resources
from tests.lib.queues import job, step

JOB = "00000000000000aa"
OTHER = "00000000000000bb"


def stored(record):
    value = encode_queue_record(AcceptedJob(record))
    return StoredItem(keys.accepted(record.job_id), value, 3)


@pytest.mark.parametrize(
    "record",
    [
        job(JOB, step(needs=Resources(2**63, 0, 0))),
        job(JOB, step(needs=Resources(int(1e308), 0, 0))),
        job(JOB, step(needs=Resources(0, 2**70, 0))),
        job(JOB, step(needs=Resources(0, 0, -1))),
        job(JOB, step(), step(estimate_ms=math.inf)),
        job(JOB, step(estimate_ms=math.nan)),
        replace(job(JOB, step()), repeats=2, first_ms=math.nan),
        replace(job(JOB, step()), repeats=2, interval_ms=-math.inf),
    ],
)
def test_stored_job_with_an_odd_figure_is_skipped(record):
    """Guards against a job of an earlier release that ends the term of each leader."""
    inbox = decode_inbox([stored(record), stored(job(OTHER, step()))], 9)
    assert [found.job_id for found in inbox.jobs] == [OTHER]
