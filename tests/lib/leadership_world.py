"""Simulated instances of one failure domain with a store, peer connections and faults."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from nutmeglb_decisions import leadership_events as ev
from nutmeglb_decisions.leadership import LeadershipCore
from nutmeglb_formats.models.leader import LeaderRecord

TICK_MS = 100.0
CALL_TIMEOUT_MS = 2_000.0
PEER_TIMEOUT_MS = 1_000.0
SUSPECT_MS = 3_000.0


@dataclass
class SimulatedStore:
    """Store with the leader key, the epoch key, and leases that expire exactly on time."""

    leader: LeaderRecord | None = None
    leader_lease: int = 0
    epoch: int = 0
    leases: dict[int, float] = field(default_factory=dict)
    numbers: Any = field(default_factory=lambda: itertools.count(1))

    def expire(self, now_ms: float) -> None:
        for lease in [n for n, deadline in self.leases.items() if deadline <= now_ms]:
            self.revoke(lease)

    def grant(self, now_ms: float, lease_ms: float) -> int:
        lease = next(self.numbers)
        self.leases[lease] = now_ms + lease_ms
        return lease

    def revoke(self, lease: int) -> None:
        self.leases.pop(lease, None)
        if self.leader_lease == lease:
            self.leader, self.leader_lease = None, 0

    def write(self, effect: ev.WriteLeader) -> ev.WriteOutcome:
        if effect.lease not in self.leases:
            return ev.WriteOutcome.NOT_APPLIED
        if self.leader is not None or self.epoch != effect.expected_epoch:
            return ev.WriteOutcome.CONDITION_FAILED
        self.leader, self.leader_lease = effect.record, effect.lease
        self.epoch = effect.record.epoch
        return ev.WriteOutcome.APPLIED


class Process:
    """Lifetime of one process of an instance. Events during a pause are handled after it."""

    def __init__(self, world: "World", name: str) -> None:
        self.core = LeadershipCore(name, world.times, world.rng, world.now_ms)
        self.paused_from_ms = 0.0
        self.paused_until_ms = 0.0
        self.waiting: list[Callable[[], None]] = []
        self.changes: list[ev.LeadershipChanged] = []
        self.alive = True


class World:
    """Runs processes on a simulated clock and checks for a single leader at every step."""

    def __init__(self, names: list[str], seed: int) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.times = ev.LeadershipTimes()
        self.names = names
        self.listed = frozenset(names)
        self.store = SimulatedStore()
        self.stale: tuple[LeaderRecord | None, int] | None = None
        self.store_fault: dict[str, str] = dict.fromkeys(names, "ok")
        self.store_latency_ms = 2.0
        self.response_latency_ms = 2.0
        self.drop_notices = False
        self.partitioned_pairs: set[frozenset[str]] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.processes = {name: Process(self, name) for name in names}
        self.elections: list[tuple[int, str]] = []
        self.at(0.0, self._tick_all)

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._event_numbers), action))

    def advance(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            self.store.expire(self.now_ms)
            self.check()
            action()
            self.check()
        self.now_ms = end_ms

    def check(self) -> None:
        leaders = [n for n, p in self.processes.items() if p.core.has_authority(self.now_ms)]
        assert len(leaders) <= 1, f"{leaders} have authority at {self.now_ms}"

    def leaders(self) -> list[str]:
        return [
            name
            for name, process in self.processes.items()
            if process.core.has_authority(self.now_ms) and process.core.settled
        ]

    def pause(self, name: str, duration_ms: float) -> None:
        process = self.processes[name]
        if self.now_ms >= process.paused_until_ms:
            process.paused_from_ms = self.now_ms
        process.paused_until_ms = max(process.paused_until_ms, self.now_ms + duration_ms)

    def restart(self, name: str) -> None:
        self.processes[name].alive = False
        self.processes[name] = Process(self, name)

    def stop(self, name: str) -> None:
        self.feed(self.processes[name], name, ev.StopRequested())

    def connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.partitioned_pairs

    def heal(self) -> None:
        self.store_fault = dict.fromkeys(self.names, "ok")
        self.stale = None
        self.store_latency_ms = 2.0
        self.response_latency_ms = 2.0
        self.drop_notices = False
        self.partitioned_pairs.clear()

    def _tick_all(self) -> None:
        for name, process in self.processes.items():
            if self.now_ms < process.paused_until_ms:
                continue
            pending, process.waiting = process.waiting, []
            for action in pending:
                action()
            reachable = frozenset(
                o for o in self.names if o != name and self._is_reachable(name, o)
            )
            self.feed(process, name, ev.Tick(self.listed, reachable))
        self.at(TICK_MS, self._tick_all)

    def _is_reachable(self, name: str, other: str) -> bool:
        process = self.processes[other]
        is_paused = self.now_ms < process.paused_until_ms
        silent = is_paused and self.now_ms - process.paused_from_ms > SUSPECT_MS
        return self.connected(name, other) and not silent

    def feed(self, process: Process, name: str, event: Any) -> ev.Answer | None:
        answer = None
        for effect in process.core.handle(event, self.now_ms):
            if isinstance(effect, ev.Answer):
                answer = effect
            elif isinstance(effect, ev.LeadershipChanged):
                process.changes.append(effect)
            else:
                self._apply_effect(process, name, effect)
        return answer

    def _deliver(self, process: Process, name: str, event: Any) -> None:
        if not process.alive:
            return
        if self.now_ms < process.paused_until_ms:
            process.waiting.append(lambda: self._deliver(process, name, event))
            return
        self.feed(process, name, event)

    def _apply_effect(self, process: Process, name: str, effect: Any) -> None:
        match effect:
            case ev.SendPledge() | ev.SendPromise():
                self._request_from_peer(process, name, effect)
            case ev.SendNotice(epoch):
                if not self.drop_notices:
                    self._broadcast(name, ev.NoticeReceived(name, epoch))
            case ev.ReleaseLeadership(lease, epoch):
                if lease is not None:
                    self._call(process, name, ev.RevokeLease(lease))
                self._broadcast(name, ev.ReleaseReceived(name, epoch))
            case _:
                self._call(process, name, effect)

    def _broadcast(self, name: str, event: Any) -> None:
        for other in self.names:
            if other != name and self.connected(name, other):
                target = self.processes[other]
                self.at(
                    self._random_latency_ms(), lambda t=target, o=other: self._deliver(t, o, event)
                )

    def _random_latency_ms(self) -> float:
        return self.rng.choice((0.5, 0.5, 5.0, 300.0))

    def _request_from_peer(self, process: Process, name: str, effect: Any) -> None:
        other = effect.instance
        if not self.connected(name, other):
            return
        target = self.processes[other]
        deadline_ms = self.now_ms + PEER_TIMEOUT_MS

        def deliver_request() -> None:
            if not target.alive:
                return
            if self.now_ms < target.paused_until_ms:
                target.waiting.append(deliver_request)
                return
            request_event = (
                ev.PledgeRequested if isinstance(effect, ev.SendPledge) else ev.PromiseRequested
            )
            answer = self.feed(target, other, request_event(name, effect.epoch))
            if answer is not None and self.connected(name, other):
                self.at(self._random_latency_ms(), lambda: deliver_answer(answer))

        def deliver_answer(answer: ev.Answer) -> None:
            if self.now_ms > deadline_ms:
                return
            granted, known = answer.accepted, answer.known_epoch
            if isinstance(effect, ev.SendPledge):
                event: Any = ev.PledgeAnswered(other, effect.round_id, granted, known)
            else:
                event = ev.PromiseAnswered(
                    other, effect.epoch, effect.sent_ms, granted, known, answer.store_reachable
                )
            self._deliver(process, name, event)

        self.at(self._random_latency_ms(), deliver_request)

    def _call(self, process: Process, name: str, effect: Any) -> None:
        """Simulate a store call: request latency, effect, and a response that may be lost."""
        sent_ms = self.now_ms
        fault = self.store_fault[name]
        has_replied = [False]

        def reply(result: Any, failure: bool) -> None:
            if not has_replied[0]:
                has_replied[0] = True
                event = _reply(effect, sent_ms, result, failure, unknown=fault != "refuse")
                if event is not None:
                    self._deliver(process, name, event)

        if fault == "refuse":
            self.at(1.0, lambda: reply(None, True))
            return

        def apply() -> None:
            result = self._apply(effect)
            if fault != "lose_response":
                self.at(self.response_latency_ms, lambda: reply(result, False))

        # A call that hangs can still take effect long after its caller has timed out.
        delay_ms = self.rng.uniform(2_500, 9_000) if fault == "hang" else self.store_latency_ms
        self.at(delay_ms, apply)
        self.at(CALL_TIMEOUT_MS, lambda: reply(None, True))

    def _apply(self, effect: Any) -> Any:
        store = self.store
        match effect:
            case ev.ReadLeader():
                return self.stale or (store.leader, store.epoch)
            case ev.GrantLease():
                return store.grant(self.now_ms, self.times.lease_ms)
            case ev.WriteLeader():
                outcome = store.write(effect)
                if outcome is ev.WriteOutcome.APPLIED:
                    self.elections.append((effect.record.epoch, effect.record.instance))
                return outcome
            case ev.RenewLease(lease):
                if lease in store.leases:
                    store.leases[lease] = self.now_ms + self.times.lease_ms
                return lease in store.leases
            case ev.RevokeLease(lease):
                return store.revoke(lease)
        raise AssertionError(effect)


def _reply(effect: Any, sent_ms: float, result: Any, failure: bool, unknown: bool) -> Any:
    match effect:
        case ev.ReadLeader():
            return ev.LeaderReadFailed() if failure else ev.LeaderRead(*result)
        case ev.GrantLease(attempt):
            return ev.LeaseGranted(attempt, sent_ms, None if failure else result)
        case ev.WriteLeader():
            lost = ev.WriteOutcome.UNKNOWN if unknown else ev.WriteOutcome.NOT_APPLIED
            return ev.LeaderWritten(effect.record.attempt, lost if failure else result)
        case ev.RenewLease(lease):
            outcome = ev.RenewOutcome.RENEWED if result else ev.RenewOutcome.LEASE_NOT_FOUND
            return ev.LeaseRenewed(lease, sent_ms, ev.RenewOutcome.FAILED if failure else outcome)
    return None
