"""Registry of commands. Every module in ``commands`` registers one."""

import functools
import importlib
import inspect
import pkgutil
import typing
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Concatenate, ParamSpec

from nutmegctl._internal import commands
from nutmegctl._internal.session import Session
from nutmeglb_formats.exit_status import ExitStatus

Parameters = ParamSpec("Parameters")
CommandFunction = Callable[Concatenate[Session, Parameters], Awaitable[ExitStatus]]


@dataclass(frozen=True, slots=True)
class Command:
    """A command and the words that select it, such as ``ticket file``."""

    words: tuple[str, ...]
    function: Callable[..., Awaitable[ExitStatus]]
    summary: str
    details: str
    examples: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Options:
    """Flags that every command takes."""

    server: str = ""
    token_file: str = ""
    config: str = ""
    json: bool = False


CommandRunner = Callable[[Command, Options, dict[str, Any]], ExitStatus]
_COMMANDS: dict[tuple[str, ...], Command] = {}


def command(
    *words: str, examples: tuple[str, ...]
) -> Callable[[CommandFunction[Parameters]], CommandFunction[Parameters]]:
    """Return a decorator that registers a command. Its docstring is the help text."""

    def register(function: CommandFunction[Parameters]) -> CommandFunction[Parameters]:
        summary, _, details = inspect.cleandoc(function.__doc__ or "").partition("\n\n")
        _COMMANDS[words] = Command(words, function, summary, details, examples)
        return function

    return register


def all_commands() -> dict[tuple[str, ...], Command]:
    """Import the command modules and return every command by its words, sorted."""
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")
    return dict(sorted(_COMMANDS.items()))


def component(run: CommandRunner) -> dict[str, Any]:
    """Return nested functions by command word, for ``command_line.resolve_command``."""
    tree: dict[str, Any] = {}
    for words, registered in all_commands().items():
        branch = tree
        for word in words[:-1]:
            branch = branch.setdefault(word, {})
        branch[words[-1]] = with_options(registered, run)
    return tree


def with_options(registered: Command, run: CommandRunner) -> Callable[..., ExitStatus]:
    """Wrap a command as a synchronous function that also takes the common flags."""

    def call(**values: Any) -> ExitStatus:
        options = Options(**{name: values.pop(name) for name in option_names if name in values})
        return run(registered, options, values)

    _, *own = inspect.signature(registered.function).parameters.values()
    common_parameters = [
        item.replace(kind=inspect.Parameter.KEYWORD_ONLY)
        for item in inspect.signature(Options).parameters.values()
    ]
    option_names = [item.name for item in common_parameters]
    type_hints = typing.get_type_hints(registered.function)
    call.__signature__ = inspect.Signature([*own, *common_parameters])  # type: ignore[attr-defined]
    call.__annotations__ = {item.name: type_hints[item.name] for item in own}
    call.__annotations__ |= typing.get_type_hints(Options)
    return functools.update_wrapper(call, registered.function, assigned=("__name__",), updated=())
