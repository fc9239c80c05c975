"""Keys of the queue soak: changes by the operator, calls with them, and checks of the answers."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from scripts.queue_soak_cell import CONFIG, PREFIXES, SoakCell
from scripts.queue_soak_checks import SeenViolation

TEAMS = ("one", "two", "three")
KEYS_PER_TEAM = 2
# The instances use the default of configuration.max_lag_ms.
MAX_LAG_S = 3.0
# An instance without disturbance for this long is in touch with the store.
STABLE_S = 4.0
CHANGE_GAP_S = (0.5, 4.0)
PROBE_GAP_S = (0.02, 0.1)
KEY_BITS = 80


@dataclass(slots=True)
class KeyLife:
    """Life of a key in the configuration. Times are those of the monotonic clock in seconds.

    Attributes
    ----------
    added_s
        Acknowledgement of the version that added the key; infinite before.
    removal_sent_s, removed_s
        Sending and acknowledgement of the version that removed it; infinite before.
    """

    team: str
    added_s: float = float("inf")
    removal_sent_s: float = float("inf")
    removed_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class KeyCall:
    """A call with a key, and its answer. ``is_foreign``: for a job of another team."""

    sent_s: float
    answered_s: float
    key: str
    status: int
    method: str
    is_foreign: bool = False

    @property
    def succeeded(self) -> bool:
        """Return whether the call was answered with success."""
        return 200 <= self.status < 300


@dataclass(slots=True)
class KeyRecord:
    """All keys and all calls with keys of a run."""

    lives: dict[str, KeyLife] = field(default_factory=dict)
    calls: list[KeyCall] = field(default_factory=list)


def check_keys(
    record: KeyRecord, disturbances: Sequence[tuple[float, float]]
) -> list[SeenViolation]:
    """Return the calls whose answers contradict the configuration.

    Parameters
    ----------
    disturbances
        Start and end of each disturbance of an instance or of its calls to the store. A removed
        key may be served from the start of one until ``STABLE_S`` after its end.
    """
    violations = []
    for call in record.calls:
        detail = _contradiction(call, record.lives.get(call.key), disturbances)
        if detail:
            violations.append(SeenViolation("KEYS", call.sent_s, (), f"{call.method} {detail}"))
    return violations


def _contradiction(
    call: KeyCall, life: KeyLife | None, disturbances: Sequence[tuple[float, float]]
) -> str:
    """Return what is wrong with the answer to a call; empty if nothing is."""
    if life is None:
        return "served with a key that was never configured" if call.succeeded else ""
    if call.is_foreign and call.succeeded:
        return "served for a job of another team"
    is_in_force = call.sent_s > life.added_s + MAX_LAG_S and call.answered_s < life.removal_sent_s
    if call.status == 401 and is_in_force:
        return "refused with 401 though the key is configured"
    is_removed = call.sent_s > life.removed_s + MAX_LAG_S
    if call.succeeded and is_removed and _is_calm(call, life.removed_s, disturbances):
        return f"served {call.sent_s - life.removed_s:.1f} s after the removal of its key"
    return ""


def _is_calm(call: KeyCall, removed_s: float, disturbances: Iterable[tuple[float, float]]) -> bool:
    """Return whether no disturbance can have kept the removal of a key from the instance."""
    return not any(
        start_s < call.answered_s and end_s + STABLE_S > removed_s
        for start_s, end_s in disturbances
    )


class KeyChanges:
    """Adds and removes keys of the teams, and sends calls with known, removed and unknown keys."""

    def __init__(self, cell: SoakCell, seed: int) -> None:
        self.record = KeyRecord()
        self.counts: Counter[str] = Counter()
        self._cell = cell
        self._rng = random.Random(f"keys {seed}")
        self._keys: dict[str, list[str]] = {team: [] for team in TEAMS}
        self._version = CONFIG["version"]
        self._jobs: dict[str, str] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def store_first(self) -> None:
        """Store the first configuration with teams."""
        for team in TEAMS:
            self._keys[team] = [self._new_key(team) for _ in range(KEYS_PER_TEAM)]
        await self._store()

    def some_key(self) -> str:
        """Return a key that is configured."""
        return self._keys[TEAMS[0]][-1]

    def start(self) -> None:
        """Start the changes and the probes."""
        self._tasks = [asyncio.create_task(each) for each in (self._change(), self._probe())]

    async def stop(self) -> None:
        """Stop the changes and the probes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def call(
        self, team: str, instance: int, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a call with the oldest key of a team, which every instance should know."""
        if method == "POST":
            self._jobs[path] = team
        return await self._send(self._keys[team][0], instance, method, path, body)

    async def _send(
        self, key: str, instance: int, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        status, content = await self._cell.submit(instance, method, path, body, key)
        life, owner = self.record.lives.get(key), self._jobs.get(path, "")
        is_foreign = life is not None and owner not in ("", life.team)
        self.record.calls.append(KeyCall(sent_s, loop.time(), key, status, method, is_foreign))
        return status, content

    async def _change(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_GAP_S))
            team = self._rng.choice(TEAMS)
            self._keys[team].append(self._new_key(team))
            removed = self._keys[team].pop(0)
            await self._store(removed)
            self.counts["changes"] += 1

    async def _store(self, removed: str = "") -> None:
        loop = asyncio.get_running_loop()
        if removed:
            self.record.lives[removed].removal_sent_s = loop.time()
        self._version += 1
        tenants = [{"name": team, "api_keys": keys} for team, keys in self._keys.items()]
        await self._cell.put("op/config", {**CONFIG, "version": self._version, "tenants": tenants})
        if removed:
            self.record.lives[removed].removed_s = loop.time()
        for keys in self._keys.values():
            for key in keys:
                life = self.record.lives[key]
                life.added_s = min(life.added_s, loop.time())

    async def _probe(self) -> None:
        """Send calls with keys of all kinds; the answers are checked at the end."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PROBE_GAP_S))
            running = [n for n, each in enumerate(self._cell.instances) if each.running]
            if not running:
                continue
            kind, key, method, path = self._draw_probe()
            self.counts[f"probe_{kind}"] += 1
            body = {"steps": [{"count": 1, "cpu": 1}]} if method == "POST" else None
            await self._send(key, self._rng.choice(running), method, path, body)

    def _draw_probe(self) -> tuple[str, str, str, str]:
        rng = self._rng
        path = rng.choice(PREFIXES)
        job_path = f"{path}{rng.getrandbits(64):016x}"
        kind = rng.choice(("unknown", "removed", "known", "foreign"))
        if kind == "unknown":
            method = rng.choice(("GET", "POST"))
            return (
                kind,
                f"{rng.getrandbits(KEY_BITS):x}",
                method,
                path if method == "GET" else job_path,
            )
        if kind == "removed":
            removed = [k for k, life in self.record.lives.items() if life.removed_s < float("inf")]
            return kind, rng.choice(removed or [""]), "GET", path
        team = rng.choice(TEAMS)
        others = [job for job, owner in self._jobs.items() if owner != team]
        if kind == "foreign" and others:
            return kind, self._keys[team][0], rng.choice(("GET", "DELETE")), rng.choice(others)
        return "known", rng.choice(self._keys[team]), "GET", path

    def _new_key(self, team: str) -> str:
        key = f"{self._rng.getrandbits(KEY_BITS):x}"
        self.record.lives[key] = KeyLife(team)
        return key
