"""Worker entries of other writers: guards against one that is used, or that hides other workers."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from result import Err, Ok

from nutmeglb._internal.queues import worker_entries
from nutmeglb._internal.queues.ports import Listing, StoredItem
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.wire.registry import FRAME_LIMIT_BYTES
from nutmeglb_platform.wire_workers import decode_worker
from tests.lib.odd_entries import ENTRY, ODD_ENTRIES, ODD_IDS, entry


def decode(value, worker_id="w1"):
    return decode_worker("servers/", StoredItem(f"servers/{worker_id}", value, 7))


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_is_an_error_that_names_the_field(name):
    field, value = ODD_ENTRIES[name]
    decoded = decode(value)
    assert isinstance(decoded, Err)
    context = decoded.err_value.context
    assert (context["key"], context["revision"], context["field"]) == ("servers/w1", 7, field)
    assert decoded.err_value.hint
    assert len(str(decoded.err_value)) < 1_000


@pytest.mark.parametrize("worker_id", ODD_IDS)
def test_id_that_cannot_be_sent_as_a_header_is_an_error(worker_id):
    decoded = decode(entry(), worker_id)
    assert isinstance(decoded, Err)
    assert decoded.err_value.context["field"] == "id"


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"address": "10.0.0.1:65535"},
        {"address": "[::1]:1"},
        {"capacity": {}},
        {"capacity": {"cpu": 1_000_000_000, "mem_mb": 2**30, "gpu": 1_000_000}},
        {"labels": []},
        {"labels": ["l" * 200] * 64},
        {"remaining_ms": 0},
        {"born": 2**53 - 1},
        {"unheard_of": [[1e300]]},
    ],
)
def test_entry_within_the_bounds_is_decoded(changes):
    """Guards against bounds that leave out a worker that can be used."""
    worker = decode(entry(**changes)).unwrap()
    assert worker.address == changes.get("address", ENTRY["address"])


def test_amounts_of_many_workers_stay_below_64_bits():
    largest = decode(entry(capacity={"cpu": 1_000_000_000, "mem_mb": 2**30, "gpu": 1_000_000}))
    total = largest.unwrap().capacity.scaled(5_000)
    assert max(total.cpu_millis, total.memory_bytes, total.accelerators) < 2**63


def test_labels_of_one_worker_fit_in_a_message():
    """Guards against a list of labels that keeps the report of pools from the followers."""
    widest = json.dumps(["l" * 200] * 64)
    assert len(widest) * 100 < FRAME_LIMIT_BYTES


class ListedStore:
    """Store whose listing is set by a test."""

    def __init__(self):
        self.items = {}
        self.revision = 0

    def put(self, key, value):
        self.revision += 1
        self.items[key] = StoredItem(key, value, self.revision)

    async def range(self, prefix, *, large=False):
        return Ok(Listing(tuple(self.items.values()), self.revision))


class ListReader:
    """The reader of the list with its log and its counter."""

    def __init__(self, monkeypatch, decode=decode_worker):
        self.store = ListedStore()
        self.metrics = MetricsRegistry()
        self.defects = []
        self.warnings = []
        platform = SimpleNamespace(
            store=self.store,
            workers_prefix="servers/",
            decode_worker=lambda item: decode("servers/", item),
        )
        decisions = SimpleNamespace(defect=lambda part, error: self.defects.append((part, error)))
        self.entries = worker_entries.WorkerEntries(platform, self.metrics, decisions)
        log = SimpleNamespace(
            warning=lambda text, **fields: self.warnings.append(fields["cause"]),
            error=lambda text, **fields: self.warnings.append(text),
        )
        monkeypatch.setattr(worker_entries, "logger", log)

    def read(self, times=1):
        for _ in range(times):
            workers = asyncio.run(self.entries.read()).unwrap()
        return [worker.worker_id for worker in workers]

    def count(self, reason):
        name = "nutmeglb_queue_entries_ignored_total"
        return self.metrics.counter(name, "").value(reason=reason)


def test_odd_entries_leave_out_only_themselves(monkeypatch):
    reader = ListReader(monkeypatch)
    for number, (_, value) in enumerate(ODD_ENTRIES.values()):
        reader.store.put(f"servers/odd{number}", value)
        reader.store.put(f"servers/w{number}", entry())
    for worker_id in ODD_IDS:
        reader.store.put(f"servers/{worker_id}", entry())
    assert reader.read() == [f"w{number}" for number in range(len(ODD_ENTRIES))]
    assert len(reader.warnings) == len(ODD_ENTRIES) + len(ODD_IDS)
    assert not reader.defects


def test_ignored_entry_is_logged_once_and_counted_by_version(monkeypatch):
    """Guards against two log lines a second for an entry that nobody corrects."""
    reader = ListReader(monkeypatch)
    reader.store.put("servers/w1", entry(state="asleep"))
    reader.read(times=3)
    assert (len(reader.warnings), reader.count("state")) == (1, 1)
    reader.store.put("servers/w1", entry(state="asleep", seq=2))
    reader.read(times=3)
    assert (len(reader.warnings), reader.count("state")) == (1, 2)
    reader.store.put("servers/w1", entry(address="127.0.0.1:0"))
    reader.read(times=3)
    assert (len(reader.warnings), reader.count("address")) == (2, 1)
    reader.store.put("servers/w1", entry())
    assert reader.read() == ["w1"]
    reader.store.put("servers/w1", entry(state="asleep"))
    reader.read(times=3)
    assert (len(reader.warnings), reader.count("state")) == (3, 3)


def test_known_ignored_entries_are_bounded(monkeypatch):
    monkeypatch.setattr(worker_entries, "MAX_REPORTED", 3)
    reader = ListReader(monkeypatch)
    for number in range(10):
        reader.store.put(f"servers/w{number}", b"")
    reader.read(times=3)
    assert len(reader.warnings) == 4
    assert reader.count("json") == 3


def test_defect_in_decoding_an_entry_leaves_out_only_this_entry(monkeypatch):
    """Guards against leaders that step down one after another because of the same entry."""

    def failing(prefix, item):
        if item.key == "servers/odd":
            raise RecursionError("unexpected entry")
        return decode_worker(prefix, item)

    reader = ListReader(monkeypatch, failing)
    reader.store.put("servers/odd", entry())
    reader.store.put("servers/w1", entry())
    assert reader.read(times=3) == ["w1"]
    assert [part for part, _ in reader.defects] == ["worker entry"]
    assert reader.count("defect") == 1


def test_defect_in_applying_the_list_does_not_end_the_reading(monkeypatch):
    reader = ListReader(monkeypatch)
    reader.store.put("servers/w1", entry())
    lists = []

    async def refresh():
        lists.append(await reader.entries.read())
        if len(lists) < 4:
            raise ValueError("unexpected list")
        raise InvariantViolation("ends the term", context={}, hint="")

    with pytest.raises(InvariantViolation):
        asyncio.run(reader.entries.run(lambda: 0.0, refresh))
    assert len(reader.defects) == 1
