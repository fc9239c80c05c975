"""The commit counter that a new leader loads."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Ok

from nutmeglb._internal.queues import commits, keys
from nutmeglb._internal.queues.ports import StoredItem
from nutmeglb_formats.models.queue_records import Counter, WithdrawnJob, encode_queue_record


@pytest.mark.parametrize(
    ("value", "number"),
    [
        (encode_queue_record(Counter(4, "w")), 4),
        (b"\xff", 0),
        (encode_queue_record(WithdrawnJob("n")), 0),
    ],
)
def test_malformed_counter_is_logged_and_its_revision_is_kept(value, number, monkeypatch):
    """Guards against a takeover that fails, or one that ignores a damaged counter silently."""
    errors = []
    logger = SimpleNamespace(error=lambda text, **fields: errors.append(fields["key"]))
    monkeypatch.setattr(commits, "logger", logger)

    async def get(key):
        return Ok(StoredItem(key, value, 9))

    store = SimpleNamespace(get=get)
    committer = commits.Committer(None, store, None, None, "w", 10.0, None, None)
    assert asyncio.run(committer.load_counter())
    assert (committer._number, committer._revision) == (number, 9)
    assert errors == ([] if number else [keys.COMMIT])
