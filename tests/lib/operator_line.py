"""Runs a command line of nutmegctl on the current event loop."""

import contextlib
import io
import shlex
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err

from nutmegctl._internal import cli, output, registry
from nutmegctl._internal.registry import Command, Options
from nutmeglb_formats.command_line import resolve_command
from nutmeglb_formats.exit_status import ExitStatus


@dataclass(frozen=True)
class CommandResult:
    """Exit status and output of a command line."""

    status: int
    out: str
    err: str


async def run_command_line(line: str) -> CommandResult:
    """Run a command line as ``cli.main`` does, but on the current event loop."""
    pending: list[tuple[Command, Options, dict[str, Any]]] = []

    def record_call(*call: Any) -> ExitStatus:
        pending.append(call)
        return ExitStatus.OK

    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        resolved = resolve_command(registry.component(record_call), shlex.split(line), cli.PROGRAM)
        if isinstance(resolved, Err):
            output.errors([resolved.err_value])
            return CommandResult(ExitStatus.USAGE, out.getvalue(), err.getvalue())
        call: Callable[[], Any] = resolved.ok_value
        call()
        status = await cli.run(*pending[0])
    return CommandResult(status, out.getvalue(), err.getvalue())
