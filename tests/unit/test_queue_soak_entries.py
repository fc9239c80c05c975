"""Entries of workers that the queue soak writes, and those of other writers."""

import asyncio
import json
import random

import pytest

from scripts.queue_soak_entries import EXPIRY_S, PHASES, WorkerEntries, beat_phase, odd_entry

PHASE = beat_phase("w00")
OTHER_PHASE = (PHASE + 1) % PHASES


class CellDouble:
    """Keeps the calls to the store; the fleet has the given entries."""

    def __init__(self):
        self.entries = {"w00": {"born": 1}}
        self.calls = []

    async def fleet(self, method, path):
        return self.entries

    async def put(self, key, value):
        self.calls.append(("put", key, value["born"]))
        return True

    async def store(self, path, body):
        self.calls.append((path, body["key"]))


@pytest.mark.parametrize(
    ("beats", "held", "calls"),
    [
        ([({"w00": 1}, PHASE, 1.5)], set(), []),
        ([({"w00": 2}, PHASE, 1.5)], set(), [("put", "servers/w00", 2)]),
        ([({"w00": 2}, OTHER_PHASE, 1.5)], set(), []),
        ([({"w00": 2}, PHASE, 1.5)], {"w00"}, []),
        ([({"w00": 2}, PHASE, 1.5), ({"w00": 2}, PHASE, 3.0)], set(), [("put", "servers/w00", 2)]),
        ([({}, PHASE, EXPIRY_S - 0.1)], set(), []),
        ([({}, PHASE, EXPIRY_S)], set(), [("/remove", "servers/w00")]),
        ([({}, PHASE, EXPIRY_S), ({}, PHASE, 2 * EXPIRY_S)], set(), [("/remove", "servers/w00")]),
        ([({"w00": 1}, PHASE, 3.0), ({}, PHASE, EXPIRY_S)], set(), []),
        (
            [({}, PHASE, EXPIRY_S), ({"w00": 2}, PHASE, 2 * EXPIRY_S)],
            set(),
            [("/remove", "servers/w00"), ("put", "servers/w00", 2)],
        ),
    ],
    ids=[
        "unchanged", "changed", "no beat yet", "held", "written once", "silent", "expired",
        "removed once", "silent since a beat", "back",
    ],
)  # fmt: skip
def test_entry_follows_its_worker(beats, held, calls):
    async def scenario():
        cell = CellDouble()
        entries = WorkerEntries(cell)
        await entries.start()
        await entries.stop()
        start_s = asyncio.get_running_loop().time()
        entries.held.update(held)
        for listed, phase, at_s in beats:
            current = {worker_id: {"born": born} for worker_id, born in listed.items()}
            await entries.beat(current, phase, start_s + at_s)
        assert cell.calls == calls

    asyncio.run(scenario())


def is_sound(content):
    """Return whether an entry names a worker that can be called and added up."""
    try:
        entry = json.loads(content)
        host, _, port = entry["address"].rpartition(":")
        sound_host = host.replace(".", "").isdigit()
        sound_state = entry["state"] in ("ready", "draining")
        sound_labels = all(isinstance(label, str) for label in entry["labels"])
        cpu = entry["capacity"]["cpu"]
        sound_figures = 0 < int(port) < 65_536 and 0 <= cpu < 2**31
        return sound_host and sound_state and sound_labels and sound_figures
    except (ValueError, TypeError, KeyError, RecursionError):
        return False


def test_odd_entries_of_all_kinds_name_no_worker():
    drawn = dict(odd_entry(random.Random(seed)) for seed in range(500))
    assert len(drawn) == 21
    assert len(set(drawn.values())) == 21
    assert not [kind for kind, content in drawn.items() if is_sound(content)]
