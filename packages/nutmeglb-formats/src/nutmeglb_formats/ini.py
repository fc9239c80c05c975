"""Loads INI files into a pydantic model and reports every fault as a separate error.

The model has one field per section, and each section is a model with one field per key. An error
names the section, the key, the line and a remedy. It never contains the value of a key that may
hold a secret.
"""

import configparser
import difflib
import re
from collections.abc import Iterable, Mapping
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from pydantic.fields import FieldInfo
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from nutmeglb_formats.exceptions import SettingsError

ModelT = TypeVar("ModelT", bound=BaseModel)
LineNumbers = dict[tuple[str, str], int]

FILE_LIMIT_CHARACTERS = 1_000_000
# configparser uses one section as defaults for all others. No file can contain a section with this
# name, so the feature is off.
_NO_DEFAULT_SECTION = "\0"
_SECTION = re.compile(r"^\[(?P<name>[^\]]+)\]")
_KEY = re.compile(r"^(?P<name>[^\s#;=\[][^=]*?)\s*=")
_NUMBER_WITH_UNIT = re.compile(r"^[+-]?[0-9][0-9._]*\s*[a-zA-Z%]+$")
_UNITS = {"_ms": "milliseconds", "_per_s": "per second", "_s": "seconds", "_bytes": "bytes"}
_SECRET = re.compile(r"secret|token|password", re.IGNORECASE)


def unit_of(key: str) -> str:
    """Return the unit that the suffix of a key stands for, or an empty string."""
    return next((unit for suffix, unit in _UNITS.items() if key.endswith(suffix)), "")


def is_secret(section: str, key: str) -> bool:
    """Return whether the value of a key must not appear in errors and logs."""
    return bool(_SECRET.search(section) or _SECRET.search(key))


def load_ini(
    text: str, model: type[ModelT], *, file: str = "settings"
) -> Result[ModelT, tuple[SettingsError, ...]]:
    """Return the validated model, or one error per fault. Never raises on bad input."""
    if len(text) > FILE_LIMIT_CHARACTERS:
        return Err(
            (_error("The file is too large", file, hint="Remove content that is not a setting"),)
        )
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        strict=True,
        default_section=_NO_DEFAULT_SECTION,
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Err((_syntax_error(error, file),))
    line_numbers = _find_line_numbers(text)
    values = {name: dict(parser[name]) for name in parser.sections()}
    faults = [
        *_multiline_value_faults(values, line_numbers, file),
        *_unit_faults(values, model, line_numbers, file),
    ]
    if faults:
        return Err(tuple(faults))
    try:
        return Ok(model.model_validate(values))
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
        return Err(
            tuple(_to_settings_error(item, values, model, line_numbers, file) for item in details)
        )


def _find_line_numbers(text: str) -> LineNumbers:
    line_numbers: LineNumbers = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if name_match := _SECTION.match(line):
            section = name_match["name"]
            line_numbers.setdefault((section, ""), number)
        elif name_match := _KEY.match(line):
            line_numbers.setdefault((section, name_match["name"]), number)
    return line_numbers


def _error(
    message: str, file: str, section: str = "", key: str = "", line: int = 0, *, hint: str
) -> SettingsError:
    context: dict[str, object] = {"file": file}
    if section:
        context["section"] = section
    if key:
        context["key"] = key
    if line:
        context["line"] = line
    return SettingsError(message, context=context, hint=hint)


def _syntax_error(error: configparser.Error, file: str) -> SettingsError:
    match error:
        case configparser.DuplicateOptionError(section=section, option=key, lineno=line):
            hint = "Remove one of the two lines"
            return _error("The key is set twice", file, section, key, line or 0, hint=hint)
        case configparser.DuplicateSectionError(section=section, lineno=line):
            hint = "Merge the two sections"
            return _error("The section is present twice", file, section, "", line or 0, hint=hint)
        case configparser.MissingSectionHeaderError(lineno=line):
            hint = "Put a section header such as [instance] before the first key"
            return _error("A line precedes the first section", file, line=line, hint=hint)
        case configparser.ParsingError(errors=[(line, _), *_]):
            hint = "Write 'key = value', '[section]' or '# comment'"
            return _error("The line is not a setting", file, line=line, hint=hint)
    return _error("The file is not valid INI", file, hint="Write 'key = value' lines in sections")


def _multiline_value_faults(
    values: Mapping[str, Mapping[str, str]], line_numbers: LineNumbers, file: str
) -> Iterable[SettingsError]:
    for section, keys in values.items():
        for key, value in keys.items():
            if "\n" in value:
                hint = "Write the value in one line and do not indent the following line"
                line = line_numbers.get((section, key), 0)
                yield _error("The value spans several lines", file, section, key, line, hint=hint)


def _unit_faults(
    values: Mapping[str, Mapping[str, str]],
    model: type[BaseModel],
    line_numbers: LineNumbers,
    file: str,
) -> Iterable[SettingsError]:
    for section, keys in values.items():
        for key, value in keys.items():
            field = _field_of(model, section, key)
            if field is None or field.annotation not in (int, float):
                continue
            if _NUMBER_WITH_UNIT.match(value):
                line = line_numbers.get((section, key), 0)
                unit = unit_of(key) or "the unit in the documentation"
                hint = f"Write a plain number ({unit}), for example {key} = {field.default}"
                yield _error("The value includes a unit", file, section, key, line, hint=hint)


def _section_models(model: type[BaseModel]) -> dict[str, type[BaseModel]]:
    return {
        name: field.annotation
        for name, field in model.model_fields.items()
        if isinstance(field.annotation, type) and issubclass(field.annotation, BaseModel)
    }


def _field_of(model: type[BaseModel], section: str, key: str) -> FieldInfo | None:
    section_model = _section_models(model).get(section)
    return section_model.model_fields.get(key) if section_model else None


def _to_settings_error(
    item: ErrorDetails,
    values: Mapping[str, Mapping[str, str]],
    model: type[BaseModel],
    line_numbers: LineNumbers,
    file: str,
) -> SettingsError:
    context = item.get("ctx", {})
    location = [str(part) for part in item["loc"]]
    section = str(context.get("section") or (location[0] if location else ""))
    key = str(context.get("key") or (location[1] if len(location) > 1 else ""))
    line = line_numbers.get((section, key)) or line_numbers.get((section, ""), 0)
    message, hint = _message_and_hint(item, section, key, model)
    value = values.get(section, {}).get(key)
    may_show_value = key and value is not None and not is_secret(section, key)
    error = _error(message, file, section, key, line, hint=hint)
    if may_show_value:
        error.context["value"] = value
    return error


def _message_and_hint(
    item: ErrorDetails, section: str, key: str, model: type[BaseModel]
) -> tuple[str, str]:
    sections = _section_models(model)
    match item["type"]:
        case "extra_forbidden" if not key:
            return "The section is unknown", _suggest_name(section, sections, "section")
        case "extra_forbidden":
            known = sections[section].model_fields if section in sections else {}
            return "The key is unknown", _suggest_name(key, known, "key")
        case "missing" if not key:
            return "The section is missing", f"Add a section [{section}]"
        case "missing":
            field = _field_of(model, section, key)
            purpose = field.description if field and field.description else ""
            return "The key is missing", f"Add '{key} = ...' to [{section}]. {purpose}".rstrip()
        case "settings_fault":
            context = item.get("ctx", {})
            return item["msg"], str(context.get("remedy", "Change the value"))
    return "The value is not valid", f"{item['msg']} ({unit_of(key) or 'see docs/settings.md'})"


def _suggest_name(name: str, known: Iterable[str], name_kind: str) -> str:
    known = list(known)
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        unit = unit_of(close[0])
        suffix = f" ({unit})" if unit else ""
        return f"Write {close[0]!r}{suffix}"
    return f"Remove it, or use a known {name_kind}: {', '.join(known) or 'none'}"
