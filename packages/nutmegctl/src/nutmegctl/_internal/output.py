"""Output of commands: tables, JSON, progress and errors."""

import json
import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from pydantic import BaseModel

from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.quantities import format_cpu, format_memory

COLUMN_GAP = "  "
MS_PER_S = 1_000
GIB_BYTES = 1024**3
MAX_EXACT_MEMORY_CHARACTERS = 10
PROGRAM = "nutmegctl"


class Output:
    """Writes answers to standard output and progress to standard error."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json
        self._last_progress = ""

    def answer(
        self, body: BaseModel, headings: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Write an answer as a table, or as JSON with ``--json``."""
        if self._as_json:
            print(body.model_dump_json(indent=2))
        else:
            print(format_table(headings, rows))

    def text(self, body: BaseModel | dict[str, object], text: str) -> None:
        """Write a text, or ``body`` as JSON with ``--json``."""
        if not self._as_json:
            print(text)
        elif isinstance(body, BaseModel):
            print(body.model_dump_json(indent=2))
        else:
            print(json.dumps(body, indent=2))

    def progress(self, text: str) -> None:
        """Show what a command waits for, if that has changed since the last call."""
        if text != self._last_progress:
            self._last_progress = text
            print(f"{PROGRAM}: {text}", file=sys.stderr, flush=True)


def errors(found: Iterable[NutmegError]) -> None:
    """Write errors with their hints to standard error."""
    for error in found:
        print(f"{PROGRAM}: error: {error}", file=sys.stderr)


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as text with aligned columns. Empty cells are shown as ``-``."""
    lines = [[str(heading).upper() for heading in headings]]
    lines += [["-" if cell in (None, "") else str(cell) for cell in row] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    padded = (
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)


def format_time(wall_ms: float) -> str:
    """Return a wall-clock time as text in UTC, with milliseconds."""
    moment = datetime.fromtimestamp(wall_ms / MS_PER_S, UTC)
    return moment.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")


def format_resources(resources: Resources) -> str:
    """Return amounts with units. Long byte counts, such as measured usage, are rounded to GiB."""
    memory = format_memory(resources.memory_bytes)
    if len(memory) > MAX_EXACT_MEMORY_CHARACTERS:
        memory = f"{resources.memory_bytes / GIB_BYTES:.2f} GiB"
    text = f"{format_cpu(resources.cpu_millis)}, {memory}"
    return f"{text}, {resources.accelerators} acc" if resources.accelerators else text
