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
        Description of the size of the measured system, such as ``24 endpoints x 8 slots``.
    policy
        Name of the measured policy or state.
    baseline
        What the figures are compared with, or an empty string.
    seed
        Seed of every random generator of the case.
    figures
        Measured values. A name ends with its unit, such as ``wait_p99_ms``, ``answered_share`` or
        ``retries_per_request``, unless the value is a count.
    targets
        Result for each target of the design document: whether it is met, in some cases with the
        measured value.
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
