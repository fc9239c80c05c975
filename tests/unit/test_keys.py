"""Keys of teams: their decoding, the decision on a call, and what must not leak."""

import asyncio
import json
import logging
import math
from types import SimpleNamespace

import pytest
from result import Err
from tornado.log import gen_log

from nutmeglb._internal.queues.ports import StoredItem
from nutmeglb._internal.telemetry import bridge
from nutmeglb._internal.telemetry.bridge import QUIETED_LOGGERS as QUIETED
from nutmeglb_decisions.queues.access import (
    AccessLimits,
    Admission,
    Caller,
    Denial,
    JobCall,
    QueueIndex,
    decide_access,
    parse_job_address,
)
from nutmeglb_formats.models.queues import Queue, queue_key
from nutmeglb_formats.models.resources import Resources
from nutmeglb_platform import wire_config

SECRET = "gkcuyj8pjbvk9m68k7b2"
ROUTE = {"name": "r", "host": "h", "prefix": "/p/", "backend": "pool"}
ONE = {"name": "one", "api_keys": ["k1", "k2"], "priority": 1, "weight": 3}
TWO = {"name": "two", "api_keys": ["k3"], "max_count": {"cpu": 5, "mem_mb": 1, "gpu": 0}}
LIMITS = AccessLimits(negative_age_ms=100.0)
STRICT = AccessLimits(negative_age_ms=100.0, known_key_age_ms=500.0)
REQUIRED = AccessLimits(negative_age_ms=100.0, key_required=True)


def item(tenants=None, routes=(ROUTE,), **fields):
    content = {"version": 4, "routes": list(routes), "backends": [], **fields}
    if tenants is not None:
        content["tenants"] = tenants
    return StoredItem("op/config", json.dumps(content).encode(), 7)


def config(tenants=None, **fields):
    return wire_config.decode_config(item(tenants, **fields)).unwrap()


def queue(prefix="/p/", host="h", **fields):
    return Queue(prefix, host, prefix, "pool", 0, 1, 1.0, 0.0, **fields)


def test_teams_are_decoded():
    decoded = config([ONE, TWO])
    assert decoded.teams is not None
    assert (decoded.teams["one"].priority, decoded.teams["one"].weight) == (1, 3.0)
    assert decoded.teams["one"].limit == Resources(0, 0, 0)
    assert decoded.teams["two"].limit == Resources(5, 1 << 20, 0)
    assert decoded.team_names_by_key == {"k1": "one", "k2": "one", "k3": "two"}
    assert config(None).teams is None


@pytest.mark.parametrize(
    ("tenants", "names_by_key", "findings"),
    [
        ([], {}, []),
        ([TWO], {"k3": "two"}, []),
        ([{**TWO, "api_keys": []}], {}, ["teams without keys: two"]),
        ([{**TWO, "api_keys": None}], {}, ["teams without keys: two"]),
        ([{**TWO, "api_keys": ["", "k3"]}], {"k3": "two"}, []),
        ([ONE], {"k1": "one", "k2": "one"}, ["teams without limits: one"]),
        (
            [TWO, {**TWO, "name": "six"}],
            {"k3": "two"},
            ["teams 'two' and 'six' have 1 keys in common, which count for 'two'"],
        ),
        (
            [TWO, {**TWO, "api_keys": ["k4"], "weight": 9}],
            {"k3": "two", "k4": "two"},
            ["teams listed more than once: two"],
        ),
        (
            [{**TWO, "max_count": {"cpu": -1, "gpu": 1}}],
            {"k3": "two"},
            ["teams with a negative figure, which counts as 0: two"],
        ),
        ([{**TWO, "max_count": {"cpu": 0.5}}], {"k3": "two"}, []),
    ],
)
def test_faulty_teams_are_taken_and_reported(tenants, names_by_key, findings):
    parsed = [wire_config._Tenant.model_validate(tenant) for tenant in tenants]
    table = wire_config.build_team_table(parsed)
    assert (table.names_by_key, table.findings) == (names_by_key, findings)
    assert not any(key in finding for key in names_by_key for finding in table.findings)
    assert config(tenants).team_names_by_key == names_by_key


@pytest.mark.parametrize(
    ("value", "place"),
    [
        ({"tenants": [ONE] * 60 + [{"name": "two", "api_keys": [SECRET, 3]}]}, "tenants.60.api"),
        ({"tenants": [{"name": "two", "api_keys": {SECRET: 1}}]}, "tenants.0.api_keys"),
        ({"tenants": {SECRET: 1}}, "tenants.0"),
        ({"tenants": [SECRET]}, "tenants.0"),
        ({"routes": [{**ROUTE, "prefix": [SECRET]}]}, "routes.0.prefix"),
        ({"version": SECRET}, "version"),
        ([SECRET], "value"),
        (b'{"tenants": "' + SECRET.encode(), "not JSON"),
    ],
)
def test_error_of_a_malformed_configuration_names_the_place_and_no_content(value, place):
    if isinstance(value, dict):
        value = {"version": 1, "backends": [], **value}
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    decoded = wire_config.decode_config(StoredItem("op/config", data, 7))
    assert isinstance(decoded, Err)
    shown = f"{decoded.err_value} {decoded.err_value!r} {decoded.err_value.context}"
    assert place in shown and SECRET not in shown


def test_keys_do_not_appear_in_the_representation_of_a_configuration():
    assert SECRET not in repr(config([{"name": "two", "api_keys": [SECRET]}]))


def test_malformed_header_is_not_logged(monkeypatch):
    """Guards against a key in the HTTP library's line about a malformed request."""
    lines = []
    output = SimpleNamespace(write=lambda *line, **_: lines.append(line))
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", root.handlers)
    previous = [(logger, logger.level) for logger in (root, *map(logging.getLogger, QUIETED))]
    try:
        bridge.install(output, "info")
        gen_log.info("Malformed HTTP message: Invalid header value %r", SECRET)
        gen_log.warning("other")
    finally:
        for logger, level in previous:
            logger.setLevel(level)
    assert [line[2] for line in lines] == ["other"]


@pytest.mark.parametrize(
    ("tenants", "public", "key", "age_ms", "limits", "decision"),
    [
        (None, False, "", 0, LIMITS, Caller(sees_all=True)),
        (None, False, "k1", 9_999, STRICT, Caller(sees_all=True)),
        (None, False, "", 0, REQUIRED, Denial.KEY_UNKNOWN),
        ([], False, "", 0, LIMITS, Caller(sees_all=True)),
        ([], False, "k1", 0, REQUIRED, Denial.KEY_UNKNOWN),
        ([ONE, TWO], False, "k2", 0, LIMITS, Caller("one")),
        ([ONE, TWO], False, "k2", 9_999, LIMITS, Caller("one")),
        ([ONE, TWO], False, "k2", 500, STRICT, Caller("one")),
        ([ONE, TWO], False, "k2", 501, STRICT, Denial.KEY_EXPIRED),
        ([ONE, TWO], False, "", 100, LIMITS, Denial.KEY_UNKNOWN),
        ([ONE, TWO], False, "k", 100, LIMITS, Denial.KEY_UNKNOWN),
        ([ONE, TWO], False, "k1,k1", 100, LIMITS, Denial.KEY_UNKNOWN),
        ([ONE, TWO], False, "k" * 60_000, 100, LIMITS, Denial.KEY_UNKNOWN),
        ([ONE, TWO], False, "\udcff\x00", 100, LIMITS, Denial.KEY_UNKNOWN),
        ([ONE, TWO], False, "k", 101, LIMITS, Denial.KEY_UNCONFIRMED),
        ([ONE, TWO], False, "k", math.inf, STRICT, Denial.KEY_UNCONFIRMED),
        ([ONE, TWO], True, "", 9_999, STRICT, Caller("", sees_all=True)),
        ([ONE, TWO], True, "k3", 0, LIMITS, Caller("two", sees_all=True)),
        ([ONE, TWO], True, "k", 0, LIMITS, Caller("", sees_all=True)),
    ],
)
def test_decision_on_a_call(tenants, public, key, age_ms, limits, decision):
    found = decide_access(config(tenants), queue(public=public), key, age_ms, limits)
    assert (found.caller if isinstance(found, Admission) else found) == decision


@pytest.mark.parametrize(
    ("known", "age_ms", "decision"),
    [
        (True, 100, Denial.QUEUE_UNKNOWN),
        (True, 101, Denial.QUEUE_UNCONFIRMED),
        (False, 0, Denial.QUEUE_UNCONFIRMED),
    ],
)
def test_unknown_queue_is_denied_only_by_a_confirmed_configuration(known, age_ms, decision):
    assert decide_access(config([]) if known else None, None, "k1", age_ms, LIMITS) == decision


@pytest.mark.parametrize(
    ("caller", "team", "visible"),
    [
        (Caller("one"), "one", True),
        (Caller("one"), "two", False),
        (Caller("one"), "", True),
        (Caller("", sees_all=True), "two", True),
        (Caller(""), "two", False),
    ],
)
def test_jobs_of_other_teams_are_not_visible(caller, team, visible):
    assert caller.may_see(team) == visible


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("h", "/p/x", "/p/"),
        ("h", "/p/q/x", "/p/q/"),
        ("h", "/p/qx", "/p/"),
        ("h", "/p", None),
        ("h", "", None),
        ("other", "/p/x", "/"),
        ("unknown", "/p/x", None),
        ("h", "/n1899/x", "/n1899/"),
    ],
)
def test_longest_prefix_selects_the_queue(host, path, prefix):
    many = [queue(f"/n{number}/") for number in range(1_900)]
    index = QueueIndex([queue("/p/"), queue("/p/q/"), queue("/", host="other"), *many])
    found = index.find(host, path)
    assert (found.prefix if found else None) == prefix


def test_many_teams_are_decoded_in_slices_with_the_same_result():
    """Guards against a stall of the event loop, for which calls and leases would have to wait."""
    routes = [{**ROUTE, "prefix": f"/n{number}/"} for number in range(1_900)]
    tenants = [
        {"name": f"t{team}", "api_keys": [f"k-{team}-{number}" for number in range(20)]}
        for team in range(230)
    ]
    large = item(tenants, routes)

    async def scenario():
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counter = asyncio.create_task(count_turns())
        decoded = await wire_config.decode_config_in_slices(large)
        counter.cancel()
        return decoded.unwrap(), turns

    decoded, turns = asyncio.run(scenario())
    assert decoded == wire_config.decode_config(large).unwrap()
    assert len(decoded.queues) == 1_900 and len(decoded.team_names_by_key) == 4_600
    rows = len(routes) + len(tenants)
    assert turns >= rows / wire_config.SLICE_SIZE


OWN, OTHER = queue_key("h", "/p/"), queue_key("h", "/other/")


@pytest.mark.parametrize(
    ("stored_queue", "team", "caller", "serving", "is_concerned"),
    [
        (OWN, "", Caller(), "/p/", True),
        (OTHER, "", Caller(), "/p/", False),
        (queue_key("g", "/p/"), "", Caller(), "/p/", False),
        (OWN, "one", Caller("two"), "/p/", False),
        (OWN, "one", Caller("", sees_all=True), "/p/", True),
        # The queue of the address was removed, and one with a shorter prefix serves the call.
        (OWN, "one", Caller("one"), "/", True),
        (OWN, "one", Caller("", sees_all=True), "/", False),
        # Records of earlier releases contain the name of the queue.
        ("/p/", "", Caller(), "/p/", True),
        ("/other/", "", Caller(), "/p/", False),
        ("/removed/", "", Caller(), "/p/", True),
        ("/removed/", "one", Caller("two"), "/p/", False),
        ("/removed/", "one", Caller("one"), "/p/", True),
    ],
)
def test_call_concerns_the_jobs_of_its_address_and_team(
    stored_queue, team, caller, serving, is_concerned
):
    """Guards against accepted jobs that are answered 410 after a change (review, case 10)."""
    routes = [{**ROUTE, "name": "/p/"}, {**ROUTE, "name": "/other/", "prefix": "/other/"}]
    address = parse_job_address("h", "/p/00000000000000aa")
    admission = Admission(queue(serving, public=caller.sees_all), caller)
    call = JobCall(address, admission, config(None, routes=routes))
    assert call.concerns(stored_queue, team) == is_concerned
    assert not JobCall(address, admission, None).concerns("/removed/", team)


@pytest.mark.parametrize("names", [("a", "b"), ("b", "a"), ("a", "a"), ("c", "d")])
def test_call_concerns_the_same_jobs_by_any_version_of_the_configuration(names):
    """Guards against answers that differ while instances have different versions."""
    routes = [{**ROUTE, "name": names[0]}, {**ROUTE, "name": names[1], "prefix": "/other/"}]
    address = parse_job_address("h", "/p/00000000000000aa")
    call = JobCall(address, Admission(queue(), Caller()), config(None, routes=routes))
    assert call.concerns(OWN, "") and not call.concerns(OTHER, "")


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/p/00000000000000aa", ("//h/p/", "00000000000000aa")),
        ("00000000000000aa", ("//h", "00000000000000aa")),
        ("/p/100000000000000aa", ("//h/p/1", "00000000000000aa")),
        ("/p/0000000000000AA", None),
        ("/p/", None),
        ("", None),
    ],
)
def test_address_of_a_job_is_split_into_queue_and_id(path, expected):
    address = parse_job_address("h", path)
    assert (address and (address.queue, address.job_id)) == expected
