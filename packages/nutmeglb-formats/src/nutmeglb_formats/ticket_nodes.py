"""Typed access to YAML nodes. Faults are collected with line, path and remedy."""

import difflib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

import yaml
from result import Err, Ok, Result

from nutmeglb_formats.exceptions import TicketInvalid

ValueT = TypeVar("ValueT")
Reader = Callable[["Cursor"], ValueT]

NAME_LIMIT_CHARACTERS = 100
TEXT_LIMIT_CHARACTERS = 10_000
MAX_FAULTS = 50
NULL_TAG = "tag:yaml.org,2002:null"
_Loader: type[yaml.SafeLoader] = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Faults:
    """Collects faults of one file."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._errors: list[TicketInvalid] = []

    def add(self, message: str, hint: str, *, line: int, path: str) -> None:
        """Add one fault. Further faults are dropped when there are ``MAX_FAULTS``."""
        if len(self._errors) >= MAX_FAULTS:
            return
        context: dict[str, object] = {"file": self._file, "line": line}
        if path:
            context["path"] = path
        self._errors.append(TicketInvalid(message, context=context, hint=hint))

    def errors(self) -> tuple[TicketInvalid, ...]:
        """Return all faults in the order in which they were found."""
        return tuple(self._errors)


@dataclass(frozen=True, slots=True)
class Cursor:
    """A node with its path. ``key`` is the node of its key, if it has one."""

    node: yaml.Node
    path: str
    faults: Faults
    key: yaml.Node | None = None

    @property
    def line(self) -> int:
        """Return the line of the key, or of a node without key, from 1."""
        return int((self.key or self.node).start_mark.line) + 1

    def fault(self, message: str, hint: str) -> None:
        """Add a fault at this node."""
        self.faults.add(message, hint, line=self.line, path=self.path)

    def child(self, name: str, key: yaml.Node, node: yaml.Node) -> "Cursor":
        """Return the cursor of a child."""
        return Cursor(node, f"{self.path}.{name}" if self.path else name, self.faults, key)

    def text(self) -> str | None:
        """Return the text of a scalar as it is written, or add a fault."""
        if not isinstance(self.node, yaml.ScalarNode) or self.node.tag == NULL_TAG:
            self.fault("A single value is expected", "Write one value after the colon")
            return None
        value: str = self.node.value
        if len(value) > TEXT_LIMIT_CHARACTERS:
            self.fault("The value is too long", f"Use at most {TEXT_LIMIT_CHARACTERS} characters")
            return None
        return value

    def items(self) -> dict[str, "Cursor"]:
        """Return the children of a mapping by key. Repeated keys are faults."""
        if not isinstance(self.node, yaml.MappingNode):
            self.fault("A mapping is expected", "Write indented 'key: value' lines")
            return {}
        children: dict[str, Cursor] = {}
        for key_node, value_node in self.node.value:
            key = Cursor(key_node, self.path, self.faults).text()
            if key is None:
                continue
            if key in children:
                hint = "Remove one of the two"
                self.child(key, key_node, value_node).fault("The key is present twice", hint)
                continue
            children[key] = self.child(key, key_node, value_node)
        return children

    def elements(self) -> list["Cursor"]:
        """Return the children of a list."""
        if not isinstance(self.node, yaml.SequenceNode):
            self.fault("A list is expected", "Write [a, b] or indented '- a' lines")
            return []
        return [
            Cursor(node, f"{self.path}[{index}]", self.faults)
            for index, node in enumerate(self.node.value)
        ]

    def known_items(self, known: Iterable[str]) -> dict[str, "Cursor"]:
        """Return the children of a mapping. Keys that are not known are faults."""
        names = list(known)
        children = self.items()
        for key in [key for key in children if key not in names]:
            close = difflib.get_close_matches(key, names, n=1)
            hint = f"Write {close[0]!r}" if close else f"Use one of: {', '.join(names)}"
            children.pop(key).fault("The key is unknown", hint)
        return children


def open_document(text: str, faults: Faults) -> Cursor | None:
    """Parse YAML without constructing values. Anchors, aliases and tags are refused."""
    try:
        node = yaml.compose(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = int(mark.line) + 1 if mark else 1
        hint = f"Correct the YAML: {error.problem or 'syntax error'}"
        faults.add("The file is not valid YAML", hint, line=line, path="")
        return None
    except (yaml.YAMLError, RecursionError, ValueError):
        faults.add("The file is not valid YAML", "Write plain UTF-8 text", line=1, path="")
        return None
    if node is None:
        faults.add("The file is empty", "Start with 'format: 1'", line=1, path="")
        return None
    root = Cursor(node, "", faults)
    return root if _is_plain(root) else None


def _is_plain(root: Cursor) -> bool:
    """Refuse aliases, because a few lines of them can stand for a gigabyte of values."""
    seen: set[int] = set()
    stack = [root.node]
    while stack:
        node = stack.pop()
        where = Cursor(node, "", root.faults)
        if id(node) in seen:
            where.fault("Anchors and aliases are not supported", "Write the value in full")
            return False
        seen.add(id(node))
        if not node.tag.startswith("tag:yaml.org,2002:"):
            where.fault("Tags are not supported", "Remove the text that starts with '!'")
            return False
        if isinstance(node, yaml.MappingNode):
            stack.extend(part for pair in node.value for part in pair)
        elif isinstance(node, yaml.SequenceNode):
            stack.extend(node.value)
    return True


def name(cursor: Cursor) -> str | None:
    """Read an identifier."""
    value = cursor.text()
    if value is None:
        return None
    if not is_name(value):
        cursor.fault("The name is not valid", NAME_HINT)
        return None
    return value


NAME_HINT = f"Use 1 to {NAME_LIMIT_CHARACTERS} letters, digits, '.', '_' or '-'"


def is_name(value: str) -> bool:
    """Return whether a text can name an object."""
    allowed = value.replace(".", "").replace("_", "").replace("-", "")
    plain = allowed.isascii() and allowed.isalnum()
    return plain and len(value) <= NAME_LIMIT_CHARACTERS


def text(cursor: Cursor) -> str | None:
    """Read any text."""
    return cursor.text()


def flag(cursor: Cursor) -> bool | None:
    """Read true or false."""
    value = cursor.text()
    if value is None:
        return None
    if value not in ("true", "false"):
        cursor.fault("The value is neither true nor false", "Write true or false")
        return None
    return value == "true"


def whole(least: int, most: int) -> Reader[int | None]:
    """Return a reader of whole numbers within limits."""

    def read(cursor: Cursor) -> int | None:
        value = cursor.text()
        if value is None:
            return None
        hint = f"Write a whole number from {least} to {most}"
        if not (value.isascii() and value.isdigit() and len(value) <= len(str(most))):
            cursor.fault("The value is not a valid whole number", hint)
            return None
        number = int(value)
        if not least <= number <= most:
            cursor.fault("The number is out of range", hint)
            return None
        return number

    return read


def fraction(cursor: Cursor) -> float | None:
    """Read a number from 0 to 1."""
    value = cursor.text()
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number <= 1:
        cursor.fault("The value is not a share", "Write a number from 0 to 1, such as 0.25")
        return None
    return number


def choice(values: Mapping[str, ValueT]) -> Reader[ValueT | None]:
    """Return a reader of one of several words."""

    def read(cursor: Cursor) -> ValueT | None:
        value = cursor.text()
        if value is None:
            return None
        if value not in values:
            cursor.fault("The value is unknown", f"Use one of: {', '.join(values)}")
            return None
        return values[value]

    return read


def quantity(
    parse: Callable[[str], Result[int, str]], least: int, most: int, limits: str
) -> Reader[int | None]:
    """Return a reader of a quantity with a unit, within limits described by ``limits``."""

    def read(cursor: Cursor) -> int | None:
        value = cursor.text()
        if value is None:
            return None
        match parse(value):
            case Ok(amount) if least <= amount <= most:
                return amount
            case Ok(_):
                cursor.fault("The quantity is out of range", f"Use {limits}")
            case Err(hint):
                cursor.fault("The quantity is not valid", hint)
        return None

    return read
