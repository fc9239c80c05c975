"""Time series for a report, built from the events of all instances."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from nutmeglb_formats.models.events import Event

MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class Span:
    """Time from ``begin_s`` to ``end_s`` in which an instance was in some state."""

    instance: str
    begin_s: float
    end_s: float


@dataclass(slots=True)
class Series:
    """Data of a report. Lists are indexed by second, from 0.

    Attributes
    ----------
    accepted, refused
        Submissions by second; the refused ones also by cause.
    waits_s
        Times until the first task was placed, by queue and second of acceptance.
    running
        Number of runs placed and not ended, at the end of each second.
    ended
        Ended jobs by final state and second.
    leaders, without_store
        Spans in which an instance was leader, or could not reach the store.
    """

    seconds: int
    accepted: Counter[int] = field(default_factory=Counter)
    refused: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    waits_s: dict[str, dict[int, list[float]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(list))
    )
    running: list[int] = field(default_factory=list)
    ended: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    leaders: list[Span] = field(default_factory=list)
    without_store: list[Span] = field(default_factory=list)


def build_series(events: Sequence[Event]) -> Series:
    """Return the series for events that are in causal order."""
    if not events:
        return Series(0)
    begin_ms = min(event.wall_ms for event in events)
    last_s = (max(event.wall_ms for event in events) - begin_ms) / MS_PER_S
    series = Series(int(last_s) + 1)
    accepted: dict[str, tuple[float, str]] = {}
    changes: Counter[int] = Counter()
    for event in events:
        at_s = (event.wall_ms - begin_ms) / MS_PER_S
        _count_event(series, event, int(at_s))
        if event.kind == "job_accepted" and event.job:
            accepted[event.job] = (at_s, str(event.fields.get("queue", "")))
        elif event.kind == "tasks_placed" and event.job:
            changes[int(at_s)] += len(str(event.fields.get("runs", "")).split())
            acceptance = accepted.pop(event.job, None)
            if acceptance is not None:
                series.waits_s[acceptance[1]][int(acceptance[0])].append(at_s - acceptance[0])
        elif event.kind == "runs_ended":
            changes[int(at_s)] -= len(str(event.fields.get("runs", "")).split())
    total = 0
    for second in range(series.seconds):
        total += changes[second]
        series.running.append(max(0, total))
    series.leaders = _state_spans(events, begin_ms, last_s, _leadership_change)
    series.without_store = _state_spans(events, begin_ms, last_s, _store_loss_change)
    return series


def _count_event(series: Series, event: Event, second: int) -> None:
    if event.kind == "job_accepted":
        series.accepted[second] += 1
    elif event.kind == "job_refused":
        series.refused[event.cause][second] += 1
    elif event.kind in ("job_completed", "job_failed", "job_cancelled"):
        series.ended[event.kind.removeprefix("job_")][second] += 1


def _leadership_change(event: Event) -> bool | None:
    if event.kind == "leader" and event.cause == "took over":
        return True
    gone = event.kind == "election" and event.cause == "leadership lost"
    started = event.kind == "node" and event.cause == "started"
    return False if gone or started else None


def _store_loss_change(event: Event) -> bool | None:
    if event.kind == "store_lost":
        return True
    started = event.kind == "node" and event.cause == "started"
    return False if event.kind == "store_regained" or started else None


def _state_spans(
    events: Iterable[Event],
    begin_ms: float,
    last_s: float,
    state: Callable[[Event], bool | None],
) -> list[Span]:
    """Return the spans in which a state held.

    ``state`` returns whether an event begins (``True``) or ends (``False``) the state. The state of
    an instance that was killed ends when the instance starts again.
    """
    since: dict[str, float] = {}
    spans = []
    for event in events:
        state_holds = state(event)
        at_s = (event.wall_ms - begin_ms) / MS_PER_S
        if state_holds:
            since.setdefault(event.instance, at_s)
        elif state_holds is False and event.instance in since:
            spans.append(Span(event.instance, since.pop(event.instance), at_s))
    spans += [Span(instance, begin_s, last_s) for instance, begin_s in since.items()]
    return spans
