"""Command line of nutmegctl."""

import asyncio
import functools
import os
import sys
from collections.abc import Callable, Sequence
from importlib import metadata
from typing import Any

from result import Err

from nutmegctl._internal import output, registry
from nutmegctl._internal.connection import connection
from nutmegctl._internal.help import help_text
from nutmegctl._internal.registry import Command, Options
from nutmegctl._internal.session import CommandFailed, Session
from nutmeglb_formats.command_line import HELP_FLAGS, resolve_command, wants_help
from nutmeglb_formats.exceptions import (
    NutmegError,
    RequestOutcomeUnknown,
    StoreOutcomeUnknown,
    TicketConflict,
    Unreachable,
    UsageError,
)
from nutmeglb_formats.exit_status import ExitStatus

PROGRAM = "nutmegctl"
VERSION_FLAG = "--version"
INTERRUPTED_STATUS = 130
_EXIT_STATUSES: tuple[tuple[type[NutmegError], ExitStatus], ...] = (
    (UsageError, ExitStatus.USAGE),
    (TicketConflict, ExitStatus.CONFLICT),
    (Unreachable, ExitStatus.UNREACHABLE),
    (StoreOutcomeUnknown, ExitStatus.ERROR),
    (RequestOutcomeUnknown, ExitStatus.ERROR),
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit status."""
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    if arguments == [VERSION_FLAG]:
        print(f"{PROGRAM} {metadata.version(PROGRAM)}")
        return ExitStatus.OK
    if wants_help(arguments) or not arguments:
        print(help_text([item for item in arguments if item not in HELP_FLAGS]), end="")
        return ExitStatus.OK if arguments else ExitStatus.USAGE
    resolved = resolve_command(registry.component(_run_in_new_loop), arguments, PROGRAM)
    if isinstance(resolved, Err):
        output.errors([resolved.err_value])
        return ExitStatus.USAGE
    return _invoke(resolved.ok_value)


def _invoke(call: Callable[[], ExitStatus]) -> int:
    """Run a parsed command and return its exit status. No failure ends in a traceback."""
    try:
        status = int(call())
        sys.stdout.flush()
        return status
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS
    except BrokenPipeError:
        # The reader of the pipe, such as ``head``, has closed it. Without the null device Python
        # would report the failing flush again at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitStatus.OK
    except Exception as error:
        hint = "This is a defect of nutmegctl; report it with the command line"
        defect = NutmegError("Unexpected error", context={"cause": repr(error)}, hint=hint)
        output.errors([defect])
        return ExitStatus.ERROR


def _run_in_new_loop(command: Command, options: Options, values: dict[str, Any]) -> ExitStatus:
    return asyncio.run(run(command, options, values))


async def run(command: Command, options: Options, values: dict[str, Any]) -> ExitStatus:
    """Run a command on the current event loop and return its exit status."""
    connect = functools.partial(connection, options.server, options.token_file, options.config)
    session = Session(connect, output.Output(options.json))
    try:
        return await command.function(session, **values)
    except CommandFailed as failed:
        output.errors(failed.errors)
        return exit_status(failed.errors[0])


def exit_status(error: NutmegError) -> ExitStatus:
    """Return the exit status for the class of an error."""
    for kind, status in _EXIT_STATUSES:
        if isinstance(error, kind):
            return status
    # The base class is used for error kinds that this release does not know.
    return ExitStatus.ERROR if type(error) is NutmegError else ExitStatus.REFUSED
