"""Typed access to YAML nodes, and readers of single values.

A reader returns ``None`` after it has reported a fault, so that one pass over a file finds all
faults. Each fault has a line, a path and a remedy.
"""

import difflib
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import TypeVar

from result import Err, Ok, Result

from nutmeglb_formats.exceptions import TicketInvalid
from nutmeglb_formats.names import NAME_HINT, is_name
from nutmeglb_formats.yaml_nodes import MappingNode, Node, ScalarNode, SequenceNode

ValueT = TypeVar("ValueT")
Reader = Callable[["Cursor"], ValueT]

TEXT_LIMIT_CHARACTERS = 10_000
MAX_FAULTS = 50


class FaultCollector:
    """Collects the faults of one ticket file."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._errors: list[TicketInvalid] = []

    def add(self, message: str, hint: str, *, line: int, path: str) -> None:
        """Add a fault, or drop it if ``MAX_FAULTS`` have been collected."""
        if len(self._errors) >= MAX_FAULTS:
            return
        context: dict[str, object] = {"file": self._file, "line": line}
        if path:
            context["path"] = path
        self._errors.append(TicketInvalid(message, context=context, hint=hint))

    def errors(self) -> tuple[TicketInvalid, ...]:
        """Return the collected faults in the order in which they were found."""
        return tuple(self._errors)


@dataclass(frozen=True, slots=True)
class Cursor:
    """A node with its path in the document.

    Attributes
    ----------
    key
        Node of the mapping key whose value ``node`` is; ``None`` for other nodes.
    """

    node: Node
    path: str
    faults: FaultCollector
    key: ScalarNode | None = None

    @property
    def line(self) -> int:
        """Return the line of the key, or of the node if it has no key. Lines count from 1."""
        return (self.key or self.node).line

    def fault(self, message: str, hint: str) -> None:
        """Report a fault at this node."""
        self.faults.add(message, hint, line=self.line, path=self.path)

    def child(self, name: str, key: ScalarNode, node: Node) -> "Cursor":
        """Return the cursor of a mapping's value under the key ``name``."""
        return Cursor(node, f"{self.path}.{name}" if self.path else name, self.faults, key)

    def text(self) -> str | None:
        """Return the text of a scalar unchanged, or report a fault and return ``None``."""
        if not isinstance(self.node, ScalarNode) or self.node.is_null:
            self.fault("A single value is expected", "Write one value after the colon")
            return None
        value = self.node.value
        if len(value) > TEXT_LIMIT_CHARACTERS:
            self.fault("The value is too long", f"Use at most {TEXT_LIMIT_CHARACTERS} characters")
            return None
        return value

    def items(self) -> dict[str, "Cursor"]:
        """Return the children of a mapping by key. Repeated keys are reported as faults."""
        return dict(self.iter_items())

    def iter_items(self) -> Iterator[tuple[str, "Cursor"]]:
        """Yield the children of a mapping with their keys. Repeated keys are reported as faults."""
        if not isinstance(self.node, MappingNode):
            self.fault("A mapping is expected", "Write indented 'key: value' lines")
            return
        seen: set[str] = set()
        for key_node, value_node in self.node.pairs:
            key = Cursor(key_node, self.path, self.faults).text()
            if key is None or not isinstance(key_node, ScalarNode):
                continue
            child = self.child(key, key_node, value_node)
            if key in seen:
                child.fault("The key is present twice", "Remove one of the two")
                continue
            seen.add(key)
            yield key, child

    def elements(self) -> list["Cursor"]:
        """Return the items of a list."""
        if not isinstance(self.node, SequenceNode):
            self.fault("A list is expected", "Write [a, b] or indented '- a' lines")
            return []
        return [
            Cursor(node, f"{self.path}[{index}]", self.faults)
            for index, node in enumerate(self.node.items)
        ]

    def known_items(self, known: Iterable[str]) -> dict[str, "Cursor"]:
        """Return the children of a mapping. Keys outside ``known`` are reported as faults."""
        names = list(known)
        children = self.items()
        for key in [key for key in children if key not in names]:
            close = difflib.get_close_matches(key, names, n=1)
            hint = f"Write {close[0]!r}" if close else f"Use one of: {', '.join(names)}"
            children.pop(key).fault("The key is unknown", hint)
        return children


def name(cursor: Cursor) -> str | None:
    """Read the name of an object, instance or failure domain."""
    value = cursor.text()
    if value is None:
        return None
    if not is_name(value):
        cursor.fault("The name is not valid", NAME_HINT)
        return None
    return value


def text(cursor: Cursor) -> str | None:
    """Read a text of at most ``TEXT_LIMIT_CHARACTERS`` characters."""
    return cursor.text()


def boolean(cursor: Cursor) -> bool | None:
    """Read ``true`` or ``false``."""
    value = cursor.text()
    if value is None:
        return None
    if value not in ("true", "false"):
        cursor.fault("The value is neither true nor false", "Write true or false")
        return None
    return value == "true"


def integer(minimum: int, maximum: int) -> Reader[int | None]:
    """Return a reader of whole numbers from ``minimum`` to ``maximum``, both inclusive."""

    def read(cursor: Cursor) -> int | None:
        value = cursor.text()
        if value is None:
            return None
        hint = f"Write a whole number from {minimum} to {maximum}"
        if not (value.isascii() and value.isdigit() and len(value) <= len(str(maximum))):
            cursor.fault("The value is not a valid whole number", hint)
            return None
        number = int(value)
        if not minimum <= number <= maximum:
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
        cursor.fault("The value is not a fraction", "Write a number from 0 to 1, such as 0.25")
        return None
    return number


def choice(values: Mapping[str, ValueT]) -> Reader[ValueT | None]:
    """Return a reader that maps a word of the file to its value in ``values``."""

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
    parse: Callable[[str], Result[int, str]], minimum: int, maximum: int, limits: str
) -> Reader[int | None]:
    """Return a reader of a quantity with a unit.

    Parameters
    ----------
    parse
        Converts the text to the smallest unit, or returns a hint.
    minimum, maximum
        Inclusive limits in the smallest unit.
    limits
        The limits in words, for the hint of a fault.
    """

    def read(cursor: Cursor) -> int | None:
        value = cursor.text()
        if value is None:
            return None
        match parse(value):
            case Ok(amount) if minimum <= amount <= maximum:
                return amount
            case Ok(_):
                cursor.fault("The quantity is out of range", f"Use {limits}")
            case Err(hint):
                cursor.fault("The quantity is not valid", hint)
        return None

    return read
