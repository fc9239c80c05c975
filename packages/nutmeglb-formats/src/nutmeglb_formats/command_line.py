"""Parses command lines with fire and validates every argument before a command runs.

On its own, fire calls a function before it reads the remaining arguments, so a mistyped flag is
reported after the command has acted. It also evaluates arguments as Python values, which turns the
identifier ``1e3`` into a number. This module uses fire only to bind arguments to parameters: values
stay text, and the caller runs the function after every argument has been accepted and converted to
its annotated type.
"""

import contextlib
import functools
import inspect
import io
import re
import types
import typing
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import fire
from fire import decorators
from result import Err, Ok, Result

from nutmeglb_formats.exceptions import UsageError

HELP_FLAGS = ("--help", "-h")
_SHORT_FLAG = re.compile(r"^-[a-zA-Z]")
_FLAG = re.compile(r"^--(?P<name>[a-zA-Z][a-zA-Z0-9_-]*)(?P<value>=.*)?$", re.DOTALL)
_TRUE, _FALSE = "True", "False"

Function = Callable[..., Any]
Component = Function | Mapping[str, "Component"]


class BoundCall:
    """A function with its arguments as text.

    It has no public attributes, so fire cannot call or index the result of a binding.
    """

    __slots__ = ("_arguments", "_function")

    def __init__(self, function: Function, arguments: Mapping[str, Any]) -> None:
        self._function = function
        self._arguments = arguments


def resolve_command(
    component: Component, arguments: Sequence[str], program: str
) -> Result[Callable[[], Any], UsageError]:
    """Return the call that a command line describes, without making the call.

    Parameters
    ----------
    component
        A function, or a mapping from command words to functions or further mappings. Parameters
        are annotated with ``str``, ``int``, ``float`` or ``bool``, or a union of one of these and
        ``None``.
    arguments
        Command-line arguments without the program name.
    program
        Name of the program in error messages.
    """
    function, word_count = _find_function(component, arguments)
    parameter_types = _parameter_types(function) if function else {}
    checked = _check_flags(arguments[word_count:], parameter_types, program)
    if isinstance(checked, Err):
        return checked
    bound = _bind(component, [*arguments[:word_count], *checked.ok_value], program)
    if isinstance(bound, Err):
        return bound
    deferred = bound.ok_value
    values = {}
    for name, text in deferred._arguments.items():
        converted = _convert_value(name, text, parameter_types[name])
        if isinstance(converted, Err):
            return converted
        values[name] = converted.ok_value
    return Ok(functools.partial(deferred._function, **values))


def wants_help(arguments: Sequence[str]) -> bool:
    """Return whether the arguments contain a help flag."""
    return any(flag in arguments for flag in HELP_FLAGS)


def _find_function(component: Component, arguments: Sequence[str]) -> tuple[Function | None, int]:
    """Return the function that the leading command words select, and the number of these words."""
    word_count = 0
    for argument in arguments:
        if not isinstance(component, Mapping) or argument not in component:
            break
        component = component[argument]
        word_count += 1
    return (None if isinstance(component, Mapping) else component), word_count


def _parameter_types(function: Function) -> dict[str, type[Any]]:
    hints = typing.get_type_hints(function)
    return {name: _strip_optional(hints[name]) for name in inspect.signature(function).parameters}


def _strip_optional(hint: Any) -> type[Any]:
    if isinstance(hint, types.UnionType):
        hint = next(item for item in typing.get_args(hint) if item is not types.NoneType)
    return typing.cast(type[Any], hint)


def _check_flags(
    arguments: Sequence[str], parameter_types: Mapping[str, type[Any]], program: str
) -> Result[list[str], UsageError]:
    """Reject arguments that fire would misread, and give boolean flags an explicit value."""
    checked: list[str] = []
    seen: set[str] = set()
    for index, argument in enumerate(arguments):
        if argument in ("-", "--") or _SHORT_FLAG.match(argument):
            return Err(
                _usage_error(f"The argument {argument!r} is not supported", "Write --name=value")
            )
        flag_match = _FLAG.match(argument)
        if flag_match is None:
            checked.append(argument)
            continue
        name = flag_match["name"].replace("-", "_")
        if name not in parameter_types:
            return Err(_unknown_flag(argument, parameter_types, program))
        if name in seen:
            return Err(
                _usage_error(f"The flag --{flag_match['name']} is given twice", "Give it once")
            )
        seen.add(name)
        next_arguments = arguments[index + 1 : index + 2]
        if flag_match["value"] is None and parameter_types[name] is bool:
            argument = f"{argument}={_TRUE}"
        elif flag_match["value"] is None and (
            not next_arguments or next_arguments[0].startswith("-")
        ):
            hint = f"Write --{flag_match['name']}=VALUE"
            return Err(_usage_error(f"The flag --{flag_match['name']} has no value", hint))
        checked.append(argument)
    return Ok(checked)


def _unknown_flag(
    argument: str, parameter_types: Mapping[str, type[Any]], program: str
) -> UsageError:
    flags = ", ".join(f"--{name.replace('_', '-')}" for name in parameter_types)
    hint = f"Use one of {flags}" if flags else f"Run '{program} --help'"
    return _usage_error(f"The flag {argument.partition('=')[0]} is unknown", hint)


def _bind(
    component: Component, arguments: Sequence[str], program: str
) -> Result[BoundCall, UsageError]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        try:
            value = fire.Fire(
                _with_bound_calls(component),
                command=list(arguments),
                name=program,
                serialize=lambda _: None,
            )
        except fire.core.FireExit as stopped:
            problem = stopped.trace.elements[-1].ErrorAsStr()
            return Err(
                _usage_error(f"The command line is not valid: {problem}", _help_hint(program))
            )
    if not isinstance(value, BoundCall):
        given = " ".join(arguments) or "nothing"
        return Err(_usage_error(f"A command is missing after {given!r}", _help_hint(program)))
    return Ok(value)


def _help_hint(program: str) -> str:
    return f"Run '{program} --help' for the commands and their flags"


def _with_bound_calls(component: Component) -> Any:
    if isinstance(component, Mapping):
        return {word: _with_bound_calls(item) for word, item in component.items()}
    function = component

    @functools.wraps(function)
    def deferred(*positional: Any, **named: Any) -> BoundCall:
        bound = inspect.signature(function).bind(*positional, **named)
        return BoundCall(function, bound.arguments)

    return decorators.SetParseFn(str)(deferred)


def _convert_value(name: str, text: Any, target_type: type[Any]) -> Result[Any, UsageError]:
    if not isinstance(text, str) or target_type is str:
        return Ok(text)
    flag = f"--{name.replace('_', '-')}"
    if target_type is bool:
        capitalized = text.capitalize()
        if capitalized in (_TRUE, _FALSE):
            return Ok(capitalized == _TRUE)
        return Err(
            _usage_error(
                f"{flag} does not take the value {text!r}", f"Write {flag} or {flag}=false"
            )
        )
    try:
        return Ok(target_type(text))
    except ValueError:
        hint = f"Write {flag}=NUMBER"
        return Err(_usage_error(f"{flag} takes a number, not {text!r}", hint))


def _usage_error(message: str, hint: str) -> UsageError:
    return UsageError(message, hint=hint)


def iter_flags(function: Function) -> Iterator[tuple[str, str]]:
    """Yield each parameter as it is written on a command line, with its default as text."""
    parameter_types = _parameter_types(function)
    for name, parameter in inspect.signature(function).parameters.items():
        flag = name.replace("_", "-")
        if parameter.default is inspect.Parameter.empty:
            yield flag.upper(), ""
        elif parameter_types[name] is bool:
            yield f"--{flag}", ""
        else:
            default = parameter.default
            yield f"--{flag}={flag.upper()}", "" if default in (None, "") else str(default)
