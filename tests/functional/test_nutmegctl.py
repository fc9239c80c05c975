"""Guards against nutmegctl commands without help or JSON output, and wrong connections."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest

from nutmegctl._internal import cli
from nutmegctl._internal.registry import all_commands
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.events import EventFilter, event_to_items
from nutmeglb_formats.models.jobs import JobState
from tests.lib.admin_fakes import OPERATOR, AdminFixture, running_admin
from tests.lib.operator_line import CommandResult, run_command_line
from tests.lib.samples import TICKET


async def _prepare(fixture: AdminFixture, directory: Path) -> None:
    (directory / "t.yaml").write_text(TICKET.replace("base: 3", "base: 0"))
    (directory / "token").write_text(OPERATOR)
    (directory / "ctl.ini").write_text(
        f"[client]\nservers = {fixture.server.address}\ntoken_file = token\n"
    )
    fixture.events.emit("job.accepted", "submitted", job="a.1")
    line = {
        "message_type": "event",
        "event": event_to_items(fixture.events.query(EventFilter(), 1)[0]),
    }
    (directory / "e1.log").write_text(json.dumps(line) + "\n{half")
    (directory / "day.txt").write_text("  1.2 e1 " + json.dumps(DECISION))


DECISION = {
    "kind": "tasks_placed",
    "cause": "room and rank",
    "job": "00aa",
    "sequence": 4,
    "at_ms": 12.5,
    "order_ms": 1_000.0,
    "message_type": "decision",
    "timestamp": 1.0,
    "instance": "e1",
}


def run(directory: Path, *lines: str) -> list[CommandResult]:
    async def main() -> list[CommandResult]:
        async with running_admin() as fixture:
            await _prepare(fixture, directory)
            finished = []
            for line in lines:
                line = line.replace("DIR", str(directory))
                finished.append(await run_command_line(f"{line} --config={directory / 'ctl.ini'}"))
                if "a.1" in fixture.jobs.jobs and "submit" in line:
                    fixture.jobs.set_state("a.1", JobState.WAITING)
            return finished

    return asyncio.run(main())


SUBMIT = "job submit nightly labs 500m '1 GiB' --submission-id=1"


@pytest.mark.parametrize(
    ("line", "text"),
    [
        ("ticket check DIR/t.yaml", "valid; it changes jobs/old-job, jobs/recalibration"),
        ("ticket list", "raise-quota"),
        ("ticket show 1", "cpu: 500m"),
        ("ticket diff 1 DIR/t.yaml", "The tickets are equal"),
        ("job list", "nightly"),
        ("job show a.1", "500m, 1 GiB"),
        ("job cancel a.1", "Job a.1 is cancelled"),
        ("why a.1", "Waits for the store"),
        ("status", "leadership"),
        ("workers", "16 cores, 64 GiB"),
        ("teams", "counters"),
        ("timeline --job=a.1 --logs=DIR/e1.log", "job.accepted"),
        ("timeline --live=false --logs=DIR/e1.log", "job.accepted"),
        ("timeline --live=false --job=00aa --logs=DIR/day.txt", "tasks_placed"),
        ("settings check DIR/ctl.ini", "valid; 1 servers"),
    ],
)
def test_commands_print_tables_and_json(line: str, text: str, tmp_path: Path) -> None:
    finished = run(tmp_path, "ticket file DIR/t.yaml", SUBMIT, line, f"{line} --json")
    assert [item.status for item in finished] == [ExitStatus.OK] * 4, finished
    assert text in finished[2].out
    assert finished[2].out.count("job.accepted") <= 1
    assert isinstance(json.loads(finished[3].out), dict)


@pytest.mark.parametrize(
    ("line", "status", "text"),
    [
        ("job show ../status", ExitStatus.REFUSED, "path is unknown"),
        ("job show a.9", ExitStatus.REFUSED, "does not exist"),
        ("ticket show one", ExitStatus.USAGE, "takes a number"),
        ("ticket show 9", ExitStatus.REFUSED, "does not exist"),
        ("ticket file DIR/absent.yaml", ExitStatus.USAGE, "cannot be read"),
        ("job submit n labs 5 '1 GiB'", ExitStatus.USAGE, "--cpu is not valid"),
        ("job submit n labs 500m '1 GiB' --kind=x", ExitStatus.USAGE, "--kind is not valid"),
        ("job submit n labs 500m '1 GiB' --tasks=0", ExitStatus.USAGE, "--tasks is not valid"),
        ("status --server=host:1", ExitStatus.USAGE, "IP address"),
        ("status --token-file=DIR/absent", ExitStatus.USAGE, "cannot be read"),
        ("status --token-file=DIR/t.yaml", ExitStatus.REFUSED, "no valid token"),
        ("settings check DIR/t.yaml", ExitStatus.REFUSED, "line=1"),
    ],
)
def test_errors_have_exit_status_and_remedy(
    line: str, status: ExitStatus, text: str, tmp_path: Path
) -> None:
    finished = run(tmp_path, line)[0]
    assert (finished.status, finished.out) == (status, ""), finished
    assert text in finished.err
    assert "Traceback" not in finished.err


def test_every_command_has_help_with_an_example(capsys: pytest.CaptureFixture[str]) -> None:
    for words in all_commands():
        assert cli.main([*words, "--help"]) == ExitStatus.OK
        assert f"nutmegctl {' '.join(words)}" in capsys.readouterr().out.partition("examples:")[2]


def test_defect_is_reported_without_a_traceback(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fail(*_: object) -> None:
        raise ZeroDivisionError("x")

    monkeypatch.setattr(cli, "connection", fail)
    assert cli.main(["status"]) == ExitStatus.ERROR
    error = capsys.readouterr().err
    assert "ZeroDivisionError" in error
    assert "Traceback" not in error


@pytest.mark.parametrize("module", ["nutmeglb", "nutmegctl"])
def test_entry_points_print_their_version(module: str) -> None:
    script = Path(sys.executable).with_name(module)
    for command in ([str(script)], [sys.executable, "-m", module]):
        finished = subprocess.run(
            [*command, "--version"], capture_output=True, text=True, timeout=60, check=False
        )
        assert (finished.returncode, finished.stderr) == (0, "")
        assert finished.stdout.startswith(f"{module} 0.")
