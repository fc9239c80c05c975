"""Deselects the tests that KNOWN-RED.txt lists and reports them in the summary.

An entry starts with a line ``test: <pytest node id>``.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
ENTRY_PREFIX = "test:"


def _known_red_ids() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.startswith(ENTRY_PREFIX)]
    return [entry.removeprefix(ENTRY_PREFIX).strip() for entry in entries]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = set(_known_red_ids())
    left_out = [item for item in items if item.nodeid in known]
    if left_out:
        items[:] = [item for item in items if item.nodeid not in known]
        config.hook.pytest_deselected(items=left_out)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test_id in _known_red_ids():
        terminalreporter.write_line(f"known red, not run: {test_id}")
