"""Command line of an entry instance."""

import asyncio
import gc
import logging
import sys
from collections.abc import Iterable, Sequence
from importlib import metadata
from pathlib import Path

from result import Err

from nutmeglb._internal.settings.loader import load_file
from nutmeglb._internal.settings.models import Settings
from nutmeglb._internal.telemetry import bridge, logs
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.command_line import resolve_command, wants_help
from nutmeglb_formats.exceptions import NutmegError, UsageError
from nutmeglb_formats.exit_status import ExitStatus

PROGRAM = "nutmeglb"
HELP = """\
Runs one entry instance of the nutmeglb cluster scheduler.

  nutmeglb FILE           run with the settings in FILE until SIGTERM
  nutmeglb --check FILE   check the settings in FILE and exit
  nutmeglb --version      print the version and exit

docs/settings.md describes the settings.
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if wants_help(arguments):
        print(HELP, end="")
        return ExitStatus.OK
    resolved = resolve_command(_command, arguments, PROGRAM)
    if isinstance(resolved, Err):
        _print_errors([resolved.err_value])
        return ExitStatus.USAGE
    return int(resolved.ok_value())


def _command(file: str = "", check: str = "", version: bool = False) -> ExitStatus:
    selected_forms = [bool(file), bool(check), version]
    if selected_forms.count(True) != 1:
        hint = "Run 'nutmeglb FILE', 'nutmeglb --check FILE' or 'nutmeglb --version'"
        _print_errors([UsageError("Exactly one of the three forms is required", hint=hint)])
        return ExitStatus.USAGE
    if version:
        print(f"{PROGRAM} {metadata.version(PROGRAM)}")
        return ExitStatus.OK
    loaded = load_file(Path(check or file))
    if isinstance(loaded, Err):
        _print_errors(loaded.err_value)
        return ExitStatus.ERROR
    if check:
        print(f"{check}: the settings are valid")
        return ExitStatus.OK
    return _run(loaded.ok_value)


def _run(settings: Settings) -> ExitStatus:
    # Imported late so that --check and --version work without loading the servers.
    from nutmeglb._internal import node

    secrets = [settings.peer.secret, settings.tokens.operator, *settings.tokens.teams().values()]
    try:
        output = logs.configure(
            clock=Clock(),
            level=settings.log.level,
            file=settings.log.file,
            instance_id=settings.instance.id,
            secrets=secrets,
        )
    except OSError as error:
        cause = {"file": settings.log.file, "cause": error.strerror}
        hint = "Correct [log] file or the permissions of its directory"
        _print_errors([NutmegError("The log file cannot be opened", context=cause, hint=hint)])
        return ExitStatus.ERROR
    bridge.install(output, settings.log.level)
    # Loaded modules never become garbage. Excluding them shortens a full collection during the
    # parsing of the largest ticket from 54 ms to 25 ms.
    gc.collect()
    gc.freeze()
    try:
        return asyncio.run(node.run(settings))
    except OSError as error:
        cause = {"cause": error.strerror or str(error)}
        hint = "Check the addresses in [listen]: each must be local and free"
        _print_errors([NutmegError("The instance cannot start", context=cause, hint=hint)])
        return ExitStatus.ERROR
    except Exception:
        logging.getLogger(__name__).exception("Unexpected error; the instance stops")
        hint = "Report the error with its traceback and the preceding lines of the log"
        _print_errors(
            [NutmegError("The instance stopped because of an unexpected error", hint=hint)]
        )
        return ExitStatus.ERROR


def _print_errors(errors: Iterable[NutmegError]) -> None:
    for error in errors:
        print(f"{PROGRAM}: error: {error}", file=sys.stderr)
