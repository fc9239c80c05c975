"""Registry of versioned dataclasses and their compact CBOR form.

A value is encoded as ``[type code, version, fields]``. ``fields`` is an array in declaration order,
so the names of the top-level fields are not transmitted. Nested dataclasses are maps by field name.

A version may add one field with a default at the end. A value whose last fields have their defaults
is encoded in the oldest version that can hold it, so that earlier releases read it.

A nested dataclass may gain a field without a new version if earlier releases can do without it:
they ignore names that they do not know. The field has a default and ``OMITTED_IF_EMPTY``.
"""

from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields, is_dataclass
from types import MappingProxyType
from typing import Any, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

ValueT = TypeVar("ValueT")
# Metadata of a field of a nested dataclass that is left out while it is empty.
OMITTED_IF_EMPTY: Mapping[str, bool] = MappingProxyType({"omitted_if_empty": True})
_PLAIN_TYPES = frozenset({str, int, float, bool, bytes, type(None)})


@dataclass(frozen=True, slots=True)
class RegisteredType:
    """Registration of a class.

    Attributes
    ----------
    field_names
        Names of the fields in declaration order, which is their order in the encoded array.
    latest_wins
        For peer messages: whether a newer message of the same type replaces one that still waits
        in the send queue.
    added
        Defaults of the last fields, of which each was added by one version, in that order.
    """

    code: int
    version: int
    cls: type[Any]
    adapter: TypeAdapter[Any]
    field_names: tuple[str, ...]
    latest_wins: bool
    added: tuple[Any, ...] = ()


class TypeRegistry:
    """Maps type codes to dataclasses, and converts values to arrays and back."""

    def __init__(self) -> None:
        self._by_code: dict[int, RegisteredType] = {}
        self._by_class: dict[type[Any], RegisteredType] = {}
        self._last_encoded: tuple[object, list[Any]] | None = None

    def register(
        self, code: int, version: int, *, latest_wins: bool = False, added: int = 0
    ) -> Callable[[type[ValueT]], type[ValueT]]:
        """Return a class decorator that registers a frozen dataclass under a type code.

        Parameters
        ----------
        added
            Number of fields at the end that were added by one version each.
        """

        def decorate(cls: type[ValueT]) -> type[ValueT]:
            if not is_dataclass(cls):
                raise TypeError(f"{cls.__name__} is not a dataclass; apply @dataclass(frozen=True)")
            if code in self._by_code:
                raise ValueError(
                    f"type code {code} is already registered for {self._by_code[code].cls.__name__}"
                )
            field_names = tuple(field.name for field in fields(cls))
            defaults = _defaults(cls, added)
            entry = RegisteredType(
                code, version, cls, TypeAdapter(cls), field_names, latest_wins, defaults
            )
            self._by_code[code] = entry
            self._by_class[cls] = entry
            return cls

        return decorate

    def entry_of(self, value: object) -> RegisteredType:
        """Return the registration of the class of ``value``."""
        return self._by_class[type(value)]

    def to_items(self, value: object) -> list[Any]:
        """Return ``[type code, version, fields]`` of a value of a registered class.

        The array of the last value is cached, because a broadcast encodes the same value for every
        peer. Callers must not modify it.
        """
        if self._last_encoded is not None and self._last_encoded[0] is value:
            return self._last_encoded[1]
        entry = self.entry_of(value)
        plain = [_to_plain(getattr(value, n)) for n in entry.field_names]
        version = entry.version
        for default in reversed(entry.added):
            if plain[-1] != default:
                break
            plain.pop()
            version -= 1
        items = [entry.code, version, plain]
        self._last_encoded = (value, items)
        return items

    def from_items(self, items: object) -> Result[Any, str]:
        """Return the value of ``[type code, version, fields]``, or why it is rejected."""
        if not isinstance(items, list) or len(items) != 3:
            return Err("the value is not an array of three items")
        code, version, values = items
        if type(code) is not int or code not in self._by_code:
            return Err(f"the type code {code!r} is unknown")
        entry = self._by_code[code]
        missing = entry.version - version if type(version) is int else -1
        if not 0 <= missing <= len(entry.added):
            return Err(f"version {version!r} of type code {code} is not supported")
        names = entry.field_names[: len(entry.field_names) - missing]
        if not isinstance(values, list) or len(values) != len(names):
            return Err(f"the number of fields of type code {code} is wrong")
        try:
            return Ok(entry.adapter.validate_python(dict(zip(names, values, strict=True))))
        except ValidationError as error:
            return Err(f"{error.error_count()} invalid fields in type code {code}")


def _defaults(cls: type[Any], count: int) -> tuple[Any, ...]:
    """Return the plain defaults of the last ``count`` fields of a dataclass."""
    defaults = []
    for field in fields(cls)[len(fields(cls)) - count :]:
        default = field.default if field.default is not MISSING else None
        if field.default_factory is not MISSING:
            default = field.default_factory()
        elif field.default is MISSING:
            raise TypeError(f"{cls.__name__}.{field.name} was added later; give it a default")
        defaults.append(_to_plain(default))
    return tuple(defaults)


def load_cbor(data: bytes) -> Result[Any, str]:
    """Decode one CBOR item. Never raises on bad input."""
    try:
        return Ok(cbor2.loads(data))
    except (cbor2.CBORError, ValueError, TypeError, RecursionError, OverflowError) as error:
        return Err(str(error))


def _to_plain(value: Any) -> Any:
    if type(value) in _PLAIN_TYPES:
        return value
    if is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _to_plain(getattr(value, field.name))
            for field in fields(value)
            if getattr(value, field.name) or "omitted_if_empty" not in field.metadata
        }
    if isinstance(value, list | tuple):
        return [_to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: _to_plain(item) for key, item in value.items()}
    return value
