"""Client of the platform's store: what its answers prove."""

import asyncio

import pytest
from result import Err, Ok

from nutmeglb_formats.exceptions import StoreError, StoreListingIncomplete
from nutmeglb_platform import store as store_module
from nutmeglb_platform.http import Answer
from nutmeglb_platform.store import MetadataStore

ITEM = {"key": "p/1", "value": "eA==", "revision": 3}
OTHER_ITEM = {"key": "p/2", "value": "eA==", "revision": 4}


class ScriptedHttp:
    """Answers each call with the next of ``results``, and every further one with the last."""

    def __init__(self, *results):
        self.calls = 0
        self.timeouts_ms = []
        self._results = list(results)

    async def call(self, method, url, timeout_ms, body=None, headers=None, max_silence_s=0):
        self.calls += 1
        self.timeouts_ms.append(timeout_ms)
        return self._results.pop(0) if len(self._results) > 1 else self._results[0]


def page(items, truncated):
    return Ok(Answer(200, {"items": items, "truncated": truncated, "as_of": 9}))


def store_of(*results):
    return MetadataStore(ScriptedHttp(*results), "store:1", 100.0, 0.0)


def test_listing_of_several_pages_is_complete():
    store = store_of(page([ITEM], truncated=True), page([OTHER_ITEM], truncated=False))
    listing = asyncio.run(store.range("p/")).unwrap()
    assert [item.key for item in listing.items] == ["p/1", "p/2"]
    assert listing.revision == 9


@pytest.mark.parametrize("items", [[], [ITEM]])
def test_listing_that_was_cut_is_an_error(items, monkeypatch):
    """Guards against a new leader that takes missing records as jobs that have not started."""
    monkeypatch.setattr(store_module, "MAX_PAGES", 3)
    found = asyncio.run(store_of(page(items, truncated=True)).range("p/"))
    assert isinstance(found, Err)
    assert isinstance(found.err_value, StoreListingIncomplete)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, {}),
        (200, None),
        (200, {"items": [ITEM], "as_of": 9}),
        (200, {"items": [ITEM], "truncated": False}),
        (200, {"truncated": False, "as_of": 9}),
        (200, {"items": None, "truncated": False, "as_of": 9}),
        (404, {}),
    ],
)
def test_listing_without_a_field_is_an_error(status, body):
    found = asyncio.run(store_of(Ok(Answer(status, body))).range("p/"))
    assert isinstance(found, Err)
    assert isinstance(found.err_value, StoreError)


ODD_VALUES = ("e", "\u20ac", "eA==\u0660", 7, [], {}, True)


@pytest.mark.parametrize("value", [*ODD_VALUES, None])
def test_value_that_is_not_base64_leaves_the_other_items_of_a_page(value):
    """Guards against one item whose value ends the term of each leader that lists it."""
    items = [{**ITEM, "value": value}, OTHER_ITEM]
    listing = asyncio.run(store_of(page(items, truncated=False)).range("p/")).unwrap()
    assert [(item.key, item.value) for item in listing.items] == [("p/1", b""), ("p/2", b"x")]


@pytest.mark.parametrize("value", ODD_VALUES)
def test_value_that_is_not_base64_leaves_the_other_changes(value):
    body = {"events": [{**ITEM, "value": value}, OTHER_ITEM], "as_of": 9}
    changes = asyncio.run(store_of(Ok(Answer(200, body))).changes("p/", 3, 0)).unwrap().changes
    assert [change.value for change in changes] == [b"", b"x"]


@pytest.mark.parametrize("body", [{"as_of": 9}, {"events": None, "as_of": 9}, {"events": []}])
def test_watch_without_a_field_is_an_error(body):
    """Guards against changes that are skipped since their revision seems to have none."""
    assert isinstance(asyncio.run(store_of(Ok(Answer(200, body))).changes("p/", 3, 0)), Err)


@pytest.mark.parametrize(
    ("link_mbps", "wait_ms", "large", "timeout_ms"),
    [
        (5.0, 1_500, False, 2_200.0),
        (5.0, 1_500, True, 2_900.0),
        (5.0, 0, False, 700.0),
        (5.0, 0, True, 2_900.0),
        (1_000.0, 1_500, True, 2_233.3),
        (1_000.0, 0, True, 733.3),
    ],
)
def test_watch_allows_for_a_large_change_on_a_narrow_link(link_mbps, wait_ms, large, timeout_ms):
    """Guards against a transfer that is cut off and begun again, beyond the permitted lag."""
    http = ScriptedHttp(Ok(Answer(200, {"events": [], "as_of": 9})))
    store = MetadataStore(http, "store:1", 700.0, store_module.page_transfer_ms(link_mbps))
    asyncio.run(store.changes("p/", 3, wait_ms, large=large))
    assert http.timeouts_ms == [pytest.approx(timeout_ms, abs=0.1)]
