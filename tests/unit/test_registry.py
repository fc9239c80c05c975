"""Peer frames: guards against a malformed frame that raises or is applied in part."""

from dataclasses import dataclass, field

import cbor2
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from nutmeglb_formats.wire import registry


@registry.message(code=9000, version=2)
@dataclass(frozen=True, slots=True)
class Sample:
    name: str
    count: int
    items: tuple[str, ...] = ()


def test_encoded_message_is_decoded_unchanged() -> None:
    data = registry.encode(Sample("a", 3, ("x",)), sender="i1", epoch=7)
    assert registry.decode(data).unwrap() == registry.Envelope("i1", 7, Sample("a", 3, ("x",)))


def test_send_time_is_carried() -> None:
    data = registry.encode(Sample("a", 3), sender="i1", epoch=7, sent_ms=12.5)
    assert registry.decode(data).unwrap().sent_ms == 12.5


@registry.message(code=9001, version=3, added=2)
@dataclass(frozen=True, slots=True)
class Grown:
    name: str
    team: str = ""
    rows: list[str] = field(default_factory=list)


@pytest.mark.parametrize(
    ("value", "items"),
    [
        (Grown("a"), [9001, 1, ["a"]]),
        (Grown("a", "t"), [9001, 2, ["a", "t"]]),
        (Grown("a", "", ["x"]), [9001, 3, ["a", "", ["x"]]]),
    ],
)
def test_added_fields_are_sent_only_if_they_are_used(value, items):
    """Guards against messages that an earlier release cannot read during an upgrade."""
    frame = registry.encode(value, sender="i1", epoch=7)
    assert cbor2.loads(frame)[3] == items
    assert registry.decode(frame).unwrap().message == value


@pytest.mark.parametrize(
    ("frame", "text"),
    [
        (b"", "not valid CBOR"),
        (b"\xff\x00garbage", "not valid CBOR"),
        (cbor2.dumps({"a": 1}), "four items"),
        (cbor2.dumps([9, "i1", 7, [9000, 2, ["a", 3, []]]]), "frame version"),
        (cbor2.dumps([1, 5, 7, [9000, 2, ["a", 3, []]]]), "header is malformed"),
        (cbor2.dumps([1, "i1", 7, [8999, 2, ["a", 3, []]]]), "type code 8999 is unknown"),
        (cbor2.dumps([1, "i1", 7, [9000, 1, ["a", 3, []]]]), "version 1"),
        (cbor2.dumps([1, "i1", 7, [9000, 2, ["a", 3]]]), "number of fields"),
        (cbor2.dumps([1, "i1", 7, [9001, 0, []]]), "version 0"),
        (cbor2.dumps([1, "i1", 7, [9001, 4, ["a", "", [], 1]]]), "version 4"),
        (cbor2.dumps([1, "i1", 7, [9001, "2", ["a", "t"]]]), "version '2'"),
        (cbor2.dumps([1, "i1", 7, [9001, 2, ["a"]]]), "number of fields"),
        (cbor2.dumps([1, "i1", 7, [9000, 2, ["a", "many", []]]]), "1 invalid fields"),
        (cbor2.dumps([1, "i1", 7, [9000, 2, ["a", 3, []]], "late"]), "header is malformed"),
        (cbor2.dumps([1, "i1", 7, [9000, 2, ["a", 3, []]], float("nan")]), "header is malformed"),
        (cbor2.dumps([1, "i1", 7, [9000, 2, ["a", 3, []]], 1.0, 2]), "optional time"),
        (b"\x00" * (registry.FRAME_LIMIT_BYTES + 1), "too large"),
    ],
)
def test_malformed_frame_is_a_typed_error(frame: bytes, text: str) -> None:
    assert text in str(registry.decode(frame).unwrap_err())


@seed(1)
@settings(max_examples=200, database=None, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_never_raise(data: bytes) -> None:
    registry.decode(data)
