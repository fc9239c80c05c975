"""Composes YAML text into nodes with line numbers, in steps of bounded size.

PyYAML's own composer builds a whole document in one call, which takes half a second for the largest
ticket and would block the event loop for that time.
"""

from collections.abc import Generator, Iterator
from dataclasses import dataclass, field

import yaml
from result import Err, Ok, Result

EVENTS_PER_STEP = 100
_NULL_SCALARS = frozenset({"", "~", "null", "Null", "NULL"})
_Loader: type[yaml.SafeLoader] = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class ScalarNode:
    """A single value, as written in the file. ``line`` counts from 1 in all nodes."""

    line: int
    value: str
    is_null: bool


@dataclass(frozen=True, slots=True)
class MappingNode:
    """A mapping, as pairs of key and value in the order of the file."""

    line: int
    pairs: list[tuple["Node", "Node"]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SequenceNode:
    """A list of nodes."""

    line: int
    items: list["Node"] = field(default_factory=list)


Node = ScalarNode | MappingNode | SequenceNode


@dataclass(frozen=True, slots=True)
class YamlFault:
    """Reason why a text is rejected, with a hint and a line number that counts from 1."""

    message: str
    hint: str
    line: int


ComposeResult = Result[Node, YamlFault]
INVALID_YAML = "The file is not valid YAML"


def compose(text: str) -> Generator[None, None, ComposeResult]:
    """Compose one document, yielding after every ``EVENTS_PER_STEP`` events.

    Never raises on bad input. Anchors, aliases, tags and multiple documents are rejected: a few
    lines with aliases can expand to a gigabyte of values.
    """
    composer = _Composer()
    events = _events(text)
    count = 0
    while True:
        event = next(events, None)
        if event is None:
            break
        if isinstance(event, YamlFault):
            return Err(event)
        fault = composer.add(event)
        if fault is not None:
            return Err(fault)
        count += 1
        if count % EVENTS_PER_STEP == 0:
            yield
    if composer.root is None:
        return Err(YamlFault("The file is empty", "Start with 'format: 1'", 1))
    return Ok(composer.root)


def _events(text: str) -> Iterator[yaml.Event | YamlFault]:
    try:
        yield from yaml.parse(text, Loader=_Loader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        hint = f"Correct the YAML: {error.problem or 'syntax error'}"
        yield YamlFault(INVALID_YAML, hint, int(mark.line) + 1 if mark else 1)
    except (yaml.YAMLError, RecursionError, ValueError):
        yield YamlFault(INVALID_YAML, "Write plain UTF-8 text", 1)


class _Composer:
    """Builds a tree of nodes from parser events."""

    def __init__(self) -> None:
        self.root: Node | None = None
        self._document_count = 0
        self._open_collections: list[MappingNode | SequenceNode] = []
        # For each open collection: the key whose value has not been read yet, or None.
        self._pending_keys: list[Node | None] = []

    def add(self, event: yaml.Event) -> YamlFault | None:
        """Process one event, or return why the document is rejected."""
        line = int(event.start_mark.line) + 1 if event.start_mark else 1
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            hint = "Write the value in full"
            return YamlFault("Anchors and aliases are not supported", hint, line)
        if getattr(event, "tag", None):
            return YamlFault("Tags are not supported", "Remove the text that starts with '!'", line)
        match event:
            case yaml.DocumentStartEvent():
                self._document_count += 1
                if self._document_count > 1:
                    hint = "Write one ticket per file"
                    return YamlFault("The file has several documents", hint, line)
            case yaml.ScalarEvent():
                is_null = event.implicit[0] and event.value in _NULL_SCALARS
                self._append_node(ScalarNode(line, event.value, is_null))
            case yaml.MappingStartEvent():
                self._open_collection(MappingNode(line))
            case yaml.SequenceStartEvent():
                self._open_collection(SequenceNode(line))
            case yaml.MappingEndEvent() | yaml.SequenceEndEvent():
                self._open_collections.pop()
                self._pending_keys.pop()
        return None

    def _open_collection(self, node: MappingNode | SequenceNode) -> None:
        self._append_node(node)
        self._open_collections.append(node)
        self._pending_keys.append(None)

    def _append_node(self, node: Node) -> None:
        if not self._open_collections:
            self.root = node
            return
        parent = self._open_collections[-1]
        if isinstance(parent, SequenceNode):
            parent.items.append(node)
        elif self._pending_keys[-1] is None:
            self._pending_keys[-1] = node
        else:
            parent.pairs.append((self._pending_keys[-1], node))
            self._pending_keys[-1] = None
