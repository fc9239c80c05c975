"""Checks that the settings pages match the settings models; ``--write`` generates the pages."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb._internal.settings.models import Settings
from nutmeglb_formats.ini import unit_of

DOCS = Path(__file__).resolve().parent.parent / "docs"
PLATFORM_INTRODUCTION = """\
# Settings of an entry instance on the users' platform

`deploy/settings.ini` is the template from which the platform renders the file that
`NUTMEGLB_BOOT` names. `python -m nutmeglb_platform --check FILE` checks a rendered file.

The file is read at the start, at SIGHUP, and within 2 s of a change without a signal. These keys
then take effect at once: `queues.list_ms`, `queues.inbox_ms`, `queues.status_s`,
`log.lines_per_s`, `stop.balancer_notice_ms`, `stop.drain_limit_ms`. The log line `settings
reloaded` names them under `applied`, and under `after_restart` the changed keys that wait for the
next start. A file with errors changes nothing; the errors are logged.

This page is generated from the models by `python -m scripts.check_settings_docs --write`;
`make check` compares them.

These rules relate several keys to each other:

- `queues.leader_lease_ms` is at least twice `queues.renew_ms`.
- `queues.authority_ms` is at least `queues.leader_lease_ms`.
- `queues.max_run_lease_ms` shortens `queues.run_lease_ms`.
- `queues.worker_stable_ms` exceeds `queues.worker_timeout_ms` and `queues.list_ms` together.
"""
INTRODUCTION = """\
# Settings of an entry instance

`nutmeglb FILE` reads one INI file; `nutmeglb --check FILE` only checks it. A key is
`name = value` in one line, and `#` starts a comment line. Values are plain numbers: the unit
follows from the key and is never written in the value. Unknown sections and keys, values out of
range, repeated keys and settings that contradict each other are errors, and each error names
section, key, line and remedy. Settings are read once, at the start.

This page is generated from the models by `python -m scripts.check_settings_docs --write`;
`make check` compares them.

These rules relate several keys to each other:

- `leadership.lease_s` is at least twice `leadership.renew_ms` and twice `leadership.margin_ms`.
- `leadership.promise_ms` and `peer.suspect_ms` are at least twice `peer.heartbeat_ms`.
- `tasks.task_lease_ms` is at least twice `tasks.sync_wait_ms`.
- Listeners have different addresses, unless their port is 0.
- All tokens differ.
"""
TEAM_TOKEN_ROW = "| `team.<name>` | text | none | 8 or more characters | Token of one team. |"
UNITS = {"int": "count", "float": "number", "str": "text", "bool": "true or false"}
SPECIAL_UNITS = {
    "instance.id": "name",
    "instance.failure_domain": "name",
    "instance.region": "name",
    "platform.list_url": "URL",
    "log.file": "path",
    "listen.ports_file": "path",
    "log.level": "word",
    "routing.retry_budget": "share",
    "advice.address": "`ip:port`",
}


def _limits(field: FieldInfo) -> dict[str, Any]:
    limits: dict[str, Any] = {}
    for item in field.metadata:
        for name in ("ge", "gt", "le", "lt", "min_length", "max_length", "pattern"):
            value = getattr(item, name, None)
            if value is not None:
                limits[name] = value
    return limits


def _range(field: FieldInfo) -> str:
    limits = _limits(field)
    if "pattern" in limits:
        return limits["pattern"].strip("^$()").replace("|", ", ")
    lowest = limits.get("ge", limits.get("gt"))
    highest = limits.get("le", limits.get("lt"))
    if lowest is not None or highest is not None:
        return f"{lowest if lowest is not None else '...'} to {highest or '...'}"
    if "min_length" in limits and "max_length" in limits:
        return f"{limits['min_length']} to {limits['max_length']} characters"
    if "min_length" in limits:
        return f"{limits['min_length']} or more characters"
    if "max_length" in limits:
        return f"at most {limits['max_length']} characters"
    return "text"


def _row(section: str, key: str, field: FieldInfo) -> str:
    kind = field.annotation.__name__ if field.annotation else "str"
    is_address = "ip:port" in (field.description or "") or section == "listen"
    unit = SPECIAL_UNITS.get(f"{section}.{key}") or unit_of(key)
    unit = unit or ("`ip:port`" if is_address else UNITS[kind])
    if field.is_required():
        default = "none, required"
    else:
        default = "empty" if field.default == "" else f"`{field.default}`"
    allowed = "port 0 to 65535" if unit == "`ip:port`" else _range(field)
    purpose = (field.description or "").replace("``", "`")
    if not purpose:
        raise SystemExit(f"[{section}] {key} has no description; add one to the model")
    return f"| `{key}` | {unit} | {default} | {allowed} | {purpose} |"


def _section(name: str, model: type[BaseModel]) -> Iterator[str]:
    yield f"\n## [{name}]\n"
    yield (model.__doc__ or "").strip().replace("``", "`") + "\n"
    yield "| key | unit | default | range | meaning |"
    yield "|---|---|---|---|---|"
    for key, field in model.model_fields.items():
        yield _row(name, key, field)
    if name == "tokens":
        yield TEAM_TOKEN_ROW


PAGES: dict[str, tuple[str, type[BaseModel]]] = {
    "settings.md": (INTRODUCTION, Settings),
    "settings-platform.md": (PLATFORM_INTRODUCTION, QueueSettings),
}


def page(introduction: str, settings: type[BaseModel]) -> str:
    """Return the text of a settings page."""
    lines = [introduction.rstrip("\n")]
    for name, field in settings.model_fields.items():
        model = field.annotation
        assert isinstance(model, type) and issubclass(model, BaseModel)
        lines.extend(_section(name, model))
    return "\n".join(lines) + "\n"


def main(arguments: list[str]) -> int:
    """Compare or write the pages and return the exit status."""
    outdated = []
    for name, (introduction, settings) in PAGES.items():
        path, text = DOCS / name, page(introduction, settings)
        if arguments == ["--write"]:
            path.write_text(text)
        elif not path.exists() or path.read_text() != text:
            outdated.append(name)
    for name in outdated:
        print(f"docs/{name} is out of date; run python -m scripts.check_settings_docs --write")
    if not outdated:
        print("settings pages: ok")
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
