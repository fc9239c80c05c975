"""Result of one measurement case."""

import dataclasses
import json
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one policy in one case, printed as one JSON line.

    Attributes
    ----------
    case
        Name of the case.
    size
        Size of the measured system in plain words, such as ``24 endpoints x 8 slots``.
    policy
        What was measured.
    baseline
        What the figures are compared with, or an empty text.
    seed
        Seed of every random generator of the case.
    figures
        Measured values. Each name ends with its unit, such as ``wait_p99_ms``, ``answered_share``
        or ``retries_per_request``.
    targets
        Per target of the design page: its name and whether it is met, by how much.
    """

    case: str
    size: str
    policy: str
    baseline: str
    seed: int
    figures: Mapping[str, float]
    targets: Mapping[str, str] = field(default_factory=dict)

    def to_json(self) -> str:
        """Return the figures as one line of JSON."""
        return json.dumps(dataclasses.asdict(self), sort_keys=False)


Case = Callable[[], Iterator[Figures]]
