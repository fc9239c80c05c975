"""Settings: guards against invalid ones that are accepted, or refused without place and remedy."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from nutmeglb._internal.settings.loader import load_text
from tests.lib.samples import SETTINGS


def test_valid_settings_have_defaults_and_team_tokens() -> None:
    loaded = load_text(SETTINGS).unwrap()
    assert loaded.platform.poll_ms == 500
    assert loaded.tokens.teams() == {"counters": "counters-token-1", "labs": "labs-token-1"}


@pytest.mark.parametrize(
    ("old", "new", "section", "key", "line", "text"),
    [
        ("[platform]", "[platform]\npoll_mss = 5", "platform", "poll_mss", 7, "poll_ms"),
        ("[platform]", "[platform]\npoll_ms = 5", "platform", "poll_ms", 7, "50"),
        ("[platform]", "[platform]\npoll_ms = 1 s", "platform", "poll_ms", 7, "milliseconds"),
        ("[platform]", "[platform]\npoll_ms = nan", "platform", "poll_ms", 7, "finite"),
        ("[platform]", "[platform]\nlist_url = http://a\n[x]", "x", None, 8, "known section"),
        ("address = 127.0.0.1:2379", "", "store", "address", 4, "Add 'address"),
        ("127.0.0.1:2379", "store:2379", "store", "address", 5, "IP address"),
        ("127.0.0.1:2379", "127.0.0.1:99999", "store", "address", 5, "port"),
        ("id = e1", "id = e1\nid = e2", "instance", "id", 3, "twice"),
        ("[peer]", "[store]", "store", None, 8, "twice"),
        ("[peer]", "[leadership]\nlease_s = 1\n[peer]", "leadership", "lease_s", 9, "twice"),
        (
            "[peer]",
            "[leadership]\nmargin_ms = 1200\n[peer]",
            "leadership",
            "lease_s",
            8,
            "too little time",
        ),
        ("team.labs = labs-token-1", "labs = labs-token-1", "tokens", "labs", 13, "team.<name>"),
        ("labs-token-1", "counters-token-1", "tokens", "team.labs", 13, "different"),
        ("team.labs", "team.la/bs", "tokens", "team.la/bs", 13, "letters"),
        ("id = e1", "id = e/1", "instance", "id", 2, "letters"),
        ("failure_domain = a", "failure_domain = a b", "instance", "failure_domain", 3, "letters"),
        ("labs-token-1", "short", "tokens", "team.labs", 13, "8 characters"),
        ("id = e1", "id", None, None, 2, "key = value"),
        ("[instance]", "", None, None, 2, "section"),
        ("id = e1", "id = e1\n  more", "instance", "id", 2, "one line"),
        (
            "[store]",
            "[listen]\nadmin = 127.0.0.1:7\npeer = 127.0.0.1:7\n[store]",
            "listen",
            "peer",
            6,
            "separate port",
        ),
    ],
)
def test_error_names_location_and_remedy(
    old: str, new: str, section: str | None, key: str | None, line: int, text: str
) -> None:
    errors = load_text(SETTINGS.replace(old, new, 1)).unwrap_err()
    first_error = errors[0]
    assert first_error.context.get("section") == section
    assert first_error.context.get("key") == key
    assert first_error.context.get("line") == line
    assert text in str(first_error)


def test_error_does_not_show_a_secret() -> None:
    broken = SETTINGS.replace("counters-token-1", "pw-1234").replace("peer-secret-1", "pw-5")
    errors = load_text(broken).unwrap_err()
    assert errors
    assert not any("pw-" in str(error) for error in errors)


SETTINGS_LINES = st.sampled_from(
    [*SETTINGS.splitlines(), "poll_ms = 1e999", "[", "=", " x", "a=\x00", "é=1"]
)


@seed(2)
@settings(max_examples=200, database=None, deadline=None)
@given(st.lists(SETTINGS_LINES | st.text(max_size=40), max_size=20))
def test_malformed_text_never_raises(lines: list[str]) -> None:
    load_text("\n".join(lines))
