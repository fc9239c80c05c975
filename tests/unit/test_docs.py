"""Documentation: guards against commands, API paths and metrics that do not exist."""

import re
import shlex
from pathlib import Path

import pytest

from nutmegctl._internal import registry
from nutmeglb._internal.admin import server
from nutmeglb_formats.command_line import resolve_command, wants_help
from nutmeglb_formats.exit_status import ExitStatus

ROOT = Path(__file__).resolve().parents[2]
PAGES = [*sorted((ROOT / "docs").glob("*.md")), ROOT / "README.md"]
COMMAND_PATTERN = re.compile(
    r"^ *(?:\.venv/bin/)?nutmegctl ([a-z]+ .*?|[a-z]+)(?: +#.*)?$", re.MULTILINE
)


def _documented_commands() -> list[tuple[str, str]]:
    return [
        (page.name, line) for page in PAGES for line in COMMAND_PATTERN.findall(page.read_text())
    ]


@pytest.mark.parametrize(("page", "line"), _documented_commands())
def test_documented_command_is_accepted(page: str, line: str) -> None:
    words = shlex.split(line)
    if wants_help(words):
        assert tuple(words[:-1]) in registry.all_commands()
        return
    component = registry.component(lambda *_: ExitStatus.OK)
    resolve_command(component, words, "nutmegctl").unwrap()


def test_examples_in_help_are_accepted() -> None:
    component = registry.component(lambda *_: ExitStatus.OK)
    for command in registry.all_commands().values():
        for example in command.examples:
            resolve_command(component, shlex.split(example)[1:], "nutmegctl").unwrap()


def test_every_api_path_is_documented() -> None:
    text = (ROOT / "docs" / "admin-api.md").read_text()
    for method, path, _ in server._AUTHENTICATED_PATHS:
        documented_path = path.replace(server._ID_PATTERN, "ID").replace("([0-9]{1,10})", "N")
        assert f"### {method} {documented_path}\n" in text


def test_metrics_in_alerts_exist() -> None:
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    folders = (ROOT / "packages", ROOT / "platform")
    sources = "".join(path.read_text() for folder in folders for path in folder.rglob("*.py"))
    missing = {name for name in re.findall(r"nutmeglb_[a-z_]+", text) if f'"{name}"' not in sources}
    assert not missing
