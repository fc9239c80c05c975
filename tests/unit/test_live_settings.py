"""Reload of settings in a running instance: which keys apply, and which files are rejected."""

from pathlib import Path

import pytest

from nutmeglb._internal.queues.live_settings import LIVE_KEYS, LiveSettings
from nutmeglb_platform.__main__ import _load_settings

SETTINGS_TEXT = """
[instance]
id = e1
failure_domain = z1
[listen]
caller = 127.0.0.1:1
health = 127.0.0.1:2
peer = 127.0.0.1:3
[store]
address = 127.0.0.1:4
"""


@pytest.mark.parametrize(
    ("added", "list_ms", "run_lease_ms"),
    [
        ("[queues]\nlist_ms = 250\n", 250, 6_000),
        ("[queues]\nlist_ms = 250\nrun_lease_ms = 4000\n", 250, 6_000),
        ("[queues]\nlist_ms = fast\n", 500, 6_000),
        ("[queues]\nodd = 1\n", 500, 6_000),
    ],
)
def test_reload_applies_only_live_keys_of_valid_files(
    added: str, list_ms: int, run_lease_ms: int, tmp_path: Path
) -> None:
    """Guards against an invalid file that ends the process, and leases that change in a term."""
    path = tmp_path / "settings.ini"
    path.write_text(SETTINGS_TEXT)
    live = LiveSettings(_load_settings(path).unwrap(), path, _load_settings)
    path.write_text(SETTINGS_TEXT + added)
    live.reload()
    assert live.current.queues.list_ms == list_ms
    assert live.current.queues.run_lease_ms == run_lease_ms


def test_live_keys_exist(tmp_path: Path) -> None:
    path = tmp_path / "settings.ini"
    path.write_text(SETTINGS_TEXT)
    sections = _load_settings(path).unwrap().model_dump()
    for name in LIVE_KEYS:
        section, _, key = name.partition(".")
        assert key in sections[section]


def test_missing_file_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "settings.ini"
    path.write_text(SETTINGS_TEXT)
    live = LiveSettings(_load_settings(path).unwrap(), path, _load_settings)
    path.unlink()
    live.reload()
    assert live.current.queues.list_ms == 500
