"""Command lines: guards against commands that run despite a mistyped flag, and altered values."""

import pytest

from nutmeglb._internal import cli
from nutmeglb_formats.command_line import resolve_command
from nutmeglb_formats.exit_status import ExitStatus
from tests.lib.samples import SETTINGS

RECORDED_CALLS: list[tuple[object, ...]] = []


def file(path: str, author: str = "", limit: int = 3, json: bool = False) -> str:
    RECORDED_CALLS.append((path, author, limit, json))
    return "done"


COMPONENT = {"ticket": {"file": file}, "status": lambda: "status"}


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("ticket file a", ("a", "", 3, False)),
        ("ticket file 1e3 --author=10_000", ("1e3", "10_000", 3, False)),
        ("ticket file --json 007 --author None", ("007", "None", 3, True)),
        ("ticket file a --limit 5 --json=false", ("a", "", 5, False)),
        ("ticket file [1,2] --author {x}", ("[1,2]", "{x}", 3, False)),
    ],
)
def test_text_values_are_not_converted(line: str, expected: tuple[object, ...]) -> None:
    RECORDED_CALLS.clear()
    call = resolve_command(COMPONENT, line.split(), "p").unwrap()
    assert RECORDED_CALLS == []
    assert call() == "done"
    assert [expected] == RECORDED_CALLS


@pytest.mark.parametrize(
    ("line", "text"),
    [
        ("ticket file a --jsn", "--jsn is unknown"),
        ("ticket file a --json=maybe", "does not take the value"),
        ("ticket file a --limit=many", "takes a number"),
        ("ticket file a --author", "has no value"),
        ("ticket file a --author --json", "has no value"),
        ("ticket file a --json --json", "given twice"),
        ("ticket file a b c d e", "not valid"),
        ("ticket file a x 3 true _function", "not valid"),
        ("ticket file", "not valid"),
        ("ticket file a -- --interactive", "'--' is not supported"),
        ("ticket file a - upper", "'-' is not supported"),
        ("ticket file a -j", "'-j' is not supported"),
        ("ticket fil a", "not valid"),
        ("ticket", "command is missing"),
        ("", "command is missing"),
    ],
)
def test_invalid_line_is_refused_before_the_command_runs(line: str, text: str) -> None:
    RECORDED_CALLS.clear()
    error = resolve_command(COMPONENT, line.split(), "p").unwrap_err()
    assert text in str(error)
    assert error.hint
    assert RECORDED_CALLS == []


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        (["--version"], ExitStatus.OK, "nutmeglb 0."),
        (["--help"], ExitStatus.OK, "nutmeglb FILE"),
        (["--check", "{good}"], ExitStatus.OK, "valid"),
        (["--check", "{bad}"], ExitStatus.ERROR, "key=poll_mss, line=7"),
        (["{bad}"], ExitStatus.ERROR, "key=poll_mss, line=7"),
        (["--check", "{absent}"], ExitStatus.ERROR, "cannot be read"),
        (["--chek", "{good}"], ExitStatus.USAGE, "--chek is unknown"),
        ([], ExitStatus.USAGE, "nutmeglb --check FILE"),
    ],
)
def test_daemon_command_line(
    arguments: list[str],
    status: ExitStatus,
    text: str,
    tmp_path_factory: pytest.TempPathFactory,
    capsys: pytest.CaptureFixture[str],
) -> None:
    directory = tmp_path_factory.mktemp("settings")
    paths = {name: directory / f"{name}.ini" for name in ("good", "bad", "absent")}
    paths["good"].write_text(SETTINGS)
    paths["bad"].write_text(SETTINGS.replace("[platform]", "[platform]\npoll_mss = 1"))
    assert cli.main([argument.format(**paths) for argument in arguments]) == status
    output = capsys.readouterr()
    assert text in output.out + output.err
    assert "Traceback" not in output.err
