"""Parses and formats quantities with units, as in tickets and on the command line."""

import re
from decimal import Decimal

from result import Err, Ok, Result

_QUANTITY = re.compile(r"^(?P<number>[0-9]+(?:\.[0-9]+)?)\s*(?P<unit>[A-Za-z]*)$")
_NUMBER_LIMIT_CHARACTERS = 20
CPU_UNITS = {"cores": 1_000, "core": 1_000, "m": 1}
MEMORY_UNITS = {
    "TiB": 1024**4,
    "GiB": 1024**3,
    "MiB": 1024**2,
    "KiB": 1024,
    "TB": 1000**4,
    "GB": 1000**3,
    "MB": 1000**2,
    "kB": 1000,
    "B": 1,
}
TIME_UNITS = {"h": 3_600_000, "min": 60_000, "s": 1_000, "ms": 1}


def parse_cpu(text: str) -> Result[int, str]:
    """Return thousandths of a core, or a hint that says how to correct the text."""
    return _parse(text, CPU_UNITS, "2 cores or 500m")


def parse_memory(text: str) -> Result[int, str]:
    """Return bytes, or a hint that says how to correct the text."""
    return _parse(text, MEMORY_UNITS, "4 GiB or 512 MiB")


def parse_duration(text: str) -> Result[int, str]:
    """Return milliseconds, or a hint that says how to correct the text."""
    return _parse(text, TIME_UNITS, "10 s, 250 ms, 5 min or 2 h")


def format_cpu(millis: int) -> str:
    """Return thousandths of a core as text, in whole cores where possible, else in ``m``."""
    if millis % CPU_UNITS["cores"]:
        return f"{millis}m"
    cores = millis // CPU_UNITS["cores"]
    return f"{cores} core" if cores == 1 else f"{cores} cores"


def format_memory(size_bytes: int) -> str:
    """Return the exact number of bytes as text, in the largest unit that divides it."""
    if size_bytes == 0:
        return "0 B"
    exact_units = [unit for unit, factor in MEMORY_UNITS.items() if size_bytes % factor == 0]
    unit = max(exact_units, key=lambda name: MEMORY_UNITS[name])
    return f"{size_bytes // MEMORY_UNITS[unit]} {unit}"


def format_duration(duration_ms: float) -> str:
    """Return the exact duration as text, in the largest unit that divides it."""
    for unit, factor in TIME_UNITS.items():
        if duration_ms and duration_ms % factor == 0:
            return f"{int(duration_ms // factor)} {unit}"
    return f"{duration_ms:g} ms"


def _parse(text: str, units: dict[str, int], example: str) -> Result[int, str]:
    quantity_match = _QUANTITY.match(text.strip())
    if quantity_match is None or len(quantity_match["number"]) > _NUMBER_LIMIT_CHARACTERS:
        return Err(f"Write a number with a unit, such as {example}")
    factor = units.get(quantity_match["unit"])
    if factor is None:
        problem = (
            f"the unit {quantity_match['unit']!r} is unknown"
            if quantity_match["unit"]
            else "the unit is missing"
        )
        return Err(f"Write a unit ({', '.join(units)}), such as {example}; {problem}")
    amount = Decimal(quantity_match["number"]) * factor
    if amount != int(amount):
        return Err(f"Write a whole number of the smallest unit, such as {example}")
    return Ok(int(amount))
