"""Resource vectors of workers and tasks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=False)
class Resources:
    """Amounts of processors, memory and accelerators.

    Attributes
    ----------
    cpu_millis
        Processor time in thousandths of a core.
    memory_bytes
        Memory in bytes.
    accelerators
        Number of accelerators.
    """

    cpu_millis: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def component_min(self, other: "Resources") -> "Resources":
        """Return the smaller amount of each component."""
        return Resources(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_bytes, other.memory_bytes),
            min(self.accelerators, other.accelerators),
        )

    def component_max(self, other: "Resources") -> "Resources":
        """Return the larger amount of each component."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_bytes, other.memory_bytes),
            max(self.accelerators, other.accelerators),
        )

    def scaled(self, factor: int) -> "Resources":
        """Return the vector multiplied by a whole number."""
        return Resources(
            self.cpu_millis * factor, self.memory_bytes * factor, self.accelerators * factor
        )

    def fits_in(self, free: "Resources") -> bool:
        """Return whether no component exceeds that of ``free``."""
        return (
            self.cpu_millis <= free.cpu_millis
            and self.memory_bytes <= free.memory_bytes
            and self.accelerators <= free.accelerators
        )

    def is_non_negative(self) -> bool:
        """Return whether no component is below zero."""
        return self.cpu_millis >= 0 and self.memory_bytes >= 0 and self.accelerators >= 0

    def dominant_share(self, capacity: "Resources") -> float:
        """Return the largest ratio of a component to the same component of ``capacity``.

        The result exceeds 1 when the vector does not fit. If a component of ``capacity`` is zero,
        its ratio is infinite when the component is used, and zero otherwise.
        """
        shares = (
            _ratio(self.cpu_millis, capacity.cpu_millis),
            _ratio(self.memory_bytes, capacity.memory_bytes),
            _ratio(self.accelerators, capacity.accelerators),
        )
        return max(shares)


def _ratio(used: int, capacity: int) -> float:
    if used == 0:
        return 0.0
    if capacity == 0:
        return float("inf")
    return used / capacity
