"""Leadership of a failure domain, as a state machine without I/O.

Authority is based on a store lease, counted from the time its renewal was sent. During a store
outage it is based on promises by all other instances of the domain not to campaign, counted from
the time they were requested. The epoch grows with every new term and serves as a fencing token: the
store refuses writes of a former leader.
"""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from nutmeglb_decisions import leadership_events as ev
from nutmeglb_decisions.authority import (
    NEVER_MS,
    DomainPeers,
    ElectionAttempt,
    GivenPromise,
    HeldTerm,
)
from nutmeglb_decisions.invariants import require
from nutmeglb_decisions.pledge_round import PledgeRound
from nutmeglb_formats.identifiers import new_id
from nutmeglb_formats.models.leader import LeaderRecord

INVARIANT = "single_leader"
CAMPAIGN_JITTER_MS = 200.0
# Renewals are often late by up to half an interval. After that, promises are collected in advance,
# so that authority continues without a gap if the store does not recover.
PROMISE_DELAY_RENEWALS = 1.5
PROMISE_ROUNDS_PER_RENEWAL = 2
NOTICE_TIMEOUT_RENEWALS = 2
# A leader that cannot reach the store accepts no jobs. After this time it hands over to an instance
# that can. Shorter outages end before a handover would be complete.
HANDOVER_AFTER_RENEWALS = 10
# Attempts with unknown outcome that are kept, because the store may still report them as applied.
MAX_UNRESOLVED_ATTEMPTS = 16


class LeadershipCore:
    """State machine that follows, wins, holds and releases leadership for one instance.

    Parameters
    ----------
    now_ms
        Start of the process. A new process does not campaign for the duration of a promise,
        because it may have given one before a restart.
    """

    def __init__(
        self, instance: str, times: ev.LeadershipTimes, rng: random.Random, now_ms: float
    ) -> None:
        self._instance = instance
        self._times = times
        self._rng = rng
        self._peers = DomainPeers(now_ms)
        self._known_epoch = 0
        self._leader: str | None = None
        self._last_notice_ms = NEVER_MS
        self._read_at_ms = now_ms
        self._campaign_at_ms: float | None = None
        self._campaign_not_before_ms = now_ms + times.promise_ms + times.margin_ms
        self._attempt: ElectionAttempt | None = None
        self._unresolved_attempts: OrderedDict[str, ElectionAttempt] = OrderedDict()
        self._held: HeldTerm | None = None
        self._renew_at_ms = now_ms
        self._request_promises_at_ms = now_ms
        self._promise = GivenPromise()
        self._last_store_read_ms = NEVER_MS
        self._last_round_id = 0
        self._pledge_round: PledgeRound | None = None
        self._settled = False
        self._stopped = False
        self._last_report = ev.LeadershipChanged(0, None, False, False)

    @property
    def known_epoch(self) -> int:
        """Return the highest epoch seen."""
        return self._known_epoch

    @property
    def leader(self) -> str | None:
        """Return the instance last known to lead, ``None`` if there is none."""
        return self._leader

    @property
    def settled(self) -> bool:
        """Return whether the pledge round has ended: former grants are known or have expired."""
        return self._settled

    @property
    def is_campaigning(self) -> bool:
        """Return whether an election attempt of this instance is in progress."""
        return self._attempt is not None

    def lease_authority_expires_at_ms(self) -> float:
        """Return the time at which the authority based on the store lease ends."""
        return self._held.lease_authority_expires_at_ms(self._times) if self._held else NEVER_MS

    def promise_authority_expires_at_ms(self) -> float:
        """Return the time at which the authority based on promises of the other instances ends."""
        if self._held is None:
            return NEVER_MS
        return self._held.promise_authority_expires_at_ms(self._peers, self._times)

    def authority_expires_at_ms(self, now_ms: float) -> float:
        """Return the time at which the authority ends, ``-inf`` without authority."""
        if self._stopped or self._promise.in_force(now_ms):
            return NEVER_MS
        return max(self.lease_authority_expires_at_ms(), self.promise_authority_expires_at_ms())

    def has_authority(self, now_ms: float) -> bool:
        """Return whether this instance holds authority, including during its pledge round."""
        return now_ms < self.authority_expires_at_ms(now_ms)

    def handle(self, event: ev.Event, now_ms: float) -> list[ev.Effect]:
        """Process one event at monotonic time ``now_ms`` and return the effects."""
        effects = self._dispatch(event, now_ms)
        return effects + self._report(now_ms)

    def _dispatch(self, event: ev.Event, now_ms: float) -> list[ev.Effect]:
        handlers: dict[type[Any], Callable[[Any, float], list[ev.Effect]]] = {
            ev.Tick: self._on_tick,
            ev.LeaderRead: self._on_leader_read,
            ev.LeaderReadFailed: self._on_leader_read_failed,
            ev.LeaseGranted: self._on_lease_granted,
            ev.LeaderWritten: self._on_leader_written,
            ev.LeaseRenewed: self._on_lease_renewed,
            ev.PledgeRequested: self._on_pledge_requested,
            ev.PledgeAnswered: self._on_pledge_answered,
            ev.PromiseRequested: self._on_promise_requested,
            ev.PromiseAnswered: self._on_promise_answered,
            ev.NoticeReceived: self._on_notice_received,
            ev.ReleaseReceived: self._on_release_received,
            ev.StopRequested: self._on_stop_requested,
        }
        return handlers[type(event)](event, now_ms)

    def _on_tick(self, tick: ev.Tick, now_ms: float) -> list[ev.Effect]:
        # A pause of this length may have outlasted every lease and promise, so another instance
        # may have been elected unnoticed.
        pause_ms = now_ms - self._peers.updated_ms
        if self._held is not None and pause_ms >= self._times.lease_ms - self._times.margin_ms:
            self._held.is_unpaused = False
        listed = None if tick.listed is None else tick.listed - {self._instance}
        self._peers.update(listed, tick.reachable - {self._instance}, now_ms)
        if self._stopped:
            return []
        if self._held is not None:
            return self._lead(self._held, now_ms)
        return self._follow(now_ms)

    def _follow(self, now_ms: float) -> list[ev.Effect]:
        if self._attempt is not None:
            return []
        if self._campaign_at_ms is not None and now_ms >= self._campaign_at_ms:
            self._campaign_at_ms = None
            return self._campaign(self._known_epoch + 1, now_ms)
        notice_timeout_ms = NOTICE_TIMEOUT_RENEWALS * self._times.renew_ms
        if now_ms < self._read_at_ms or now_ms - self._last_notice_ms < notice_timeout_ms:
            return []
        self._read_at_ms = now_ms + self._times.renew_ms * self._rng.uniform(0.25, 0.5)
        return [ev.ReadLeader()]

    def _lead(self, held: HeldTerm, now_ms: float) -> list[ev.Effect]:
        effects: list[ev.Effect] = []
        if now_ms >= self._renew_at_ms:
            self._renew_at_ms = now_ms + self._times.renew_ms
            if held.lease is not None:
                effects.append(ev.RenewLease(held.lease, now_ms))
            elif self._attempt is None:
                effects.append(ev.ReadLeader())
            if self.has_authority(now_ms):
                effects.append(ev.SendNotice(held.epoch))
        effects += self._request_promises(held, now_ms)
        return effects + self._advance_pledge_round(held, now_ms)

    def _request_promises(self, held: HeldTerm, now_ms: float) -> list[ev.Effect]:
        promise_delay_ms = PROMISE_DELAY_RENEWALS * self._times.renew_ms
        confirmed = held.lease is not None and now_ms < held.lease_confirmed_ms + promise_delay_ms
        if confirmed or now_ms < self._request_promises_at_ms:
            return []
        self._request_promises_at_ms = now_ms + self._times.renew_ms / PROMISE_ROUNDS_PER_RENEWAL
        return [ev.SendPromise(name, held.epoch, now_ms) for name in sorted(self._peers.reachable)]

    def _advance_pledge_round(self, held: HeldTerm, now_ms: float) -> list[ev.Effect]:
        if self._settled or not self.has_authority(now_ms):
            return []
        if self._pledge_round is None:
            self._last_round_id += 1
            self._pledge_round = PledgeRound(held.epoch, self._last_round_id, now_ms, self._times)
        pledges = self._pledge_round.pledges_due(
            self._peers.instance_names(), self._peers.reachable, now_ms
        )
        return [*pledges, *self._finish_pledge_round(now_ms)]

    def _finish_pledge_round(self, now_ms: float) -> list[ev.Effect]:
        pledge_round = self._pledge_round
        if pledge_round is None or not self.has_authority(now_ms):
            return []
        if pledge_round.must_wait(self._peers, now_ms):
            return []
        self._pledge_round = None
        self._settled = True
        grants = tuple(pledge_round.grants)
        unknown = tuple(pledge_round.missing(self._peers.instance_names()))
        self._last_report = ev.LeadershipChanged(pledge_round.epoch, self._instance, True, True)
        return [
            ev.LeadershipChanged(pledge_round.epoch, self._instance, True, True, grants, unknown)
        ]

    def _campaign(self, epoch: int, now_ms: float) -> list[ev.Effect]:
        if not self._may_campaign(now_ms):
            self._read_at_ms = now_ms + self._times.renew_ms / 2
            return []
        record = LeaderRecord(self._instance, epoch, new_id(self._rng))
        self._attempt = ElectionAttempt(record, self._known_epoch)
        return [ev.GrantLease(record.attempt)]

    def _may_campaign(self, now_ms: float) -> bool:
        if self._stopped or self._attempt is not None or self._promise.in_force(now_ms):
            return False
        # Before the first epoch no leader existed to which a promise could have been given.
        return self._known_epoch == 0 or now_ms >= self._campaign_not_before_ms

    def _on_leader_read(self, read: ev.LeaderRead, now_ms: float) -> list[ev.Effect]:
        if read.epoch < self._known_epoch:
            return []
        self._last_store_read_ms = now_ms
        self._learn_epoch(read.epoch)
        record = read.leader
        unresolved = self._unresolved_attempts.get(record.attempt) if record is not None else None
        if unresolved is not None and unresolved.record.epoch == self._known_epoch:
            return self._assume_leadership(unresolved, now_ms)
        if self._held is not None:
            if record is None and self._held.lease is None:
                return self._campaign(self._held.epoch, now_ms)
            return []
        if record is None:
            self._leader = None
            delay_ms = self._rng.uniform(0, CAMPAIGN_JITTER_MS)
            self._campaign_at_ms = self._campaign_at_ms or now_ms + delay_ms
            return []
        self._campaign_at_ms = None
        # A record of this instance from an unknown attempt was written before a restart.
        self._leader = record.instance if record.instance != self._instance else None
        return []

    def _on_leader_read_failed(self, failed: ev.LeaderReadFailed, now_ms: float) -> list[ev.Effect]:
        self._read_at_ms = now_ms + self._times.renew_ms
        return []

    def _on_lease_granted(self, granted: ev.LeaseGranted, now_ms: float) -> list[ev.Effect]:
        attempt = self._attempt
        if granted.lease is None:
            if attempt is not None and attempt.record.attempt == granted.attempt:
                self._attempt = None
                self._read_at_ms = now_ms + self._times.renew_ms
            return []
        if attempt is None or attempt.record.attempt != granted.attempt:
            return [ev.RevokeLease(granted.lease)]
        if attempt.expected_epoch != self._known_epoch or self._promise.in_force(now_ms):
            self._attempt = None
            return [ev.RevokeLease(granted.lease)]
        attempt.lease = granted.lease
        attempt.lease_requested_ms = granted.sent_ms
        return [ev.WriteLeader(attempt.record, attempt.expected_epoch, granted.lease)]

    def _on_leader_written(self, written: ev.LeaderWritten, now_ms: float) -> list[ev.Effect]:
        attempt = self._attempt
        if attempt is None or attempt.record.attempt != written.attempt:
            return []
        self._attempt = None
        self._read_at_ms = now_ms
        match written.outcome:
            case ev.WriteOutcome.APPLIED:
                return self._assume_leadership(attempt, now_ms)
            case ev.WriteOutcome.UNKNOWN:
                self._unresolved_attempts[attempt.record.attempt] = attempt
                if len(self._unresolved_attempts) > MAX_UNRESOLVED_ATTEMPTS:
                    self._unresolved_attempts.popitem(last=False)
                return [ev.ReadLeader()]
            case ev.WriteOutcome.NOT_APPLIED:
                self._read_at_ms = now_ms + self._times.renew_ms
        return [ev.RevokeLease(attempt.lease)]

    def _assume_leadership(self, attempt: ElectionAttempt, now_ms: float) -> list[ev.Effect]:
        epoch = attempt.record.epoch
        if epoch < self._known_epoch or self._stopped:
            return [ev.RevokeLease(attempt.lease)]
        held = self._held
        if held is None or held.epoch != epoch:
            self._learn_epoch(epoch)
            held = self._held = HeldTerm(epoch, attempt.lease, attempt.lease_requested_ms)
        else:
            held.lease = attempt.lease
            held.lease_confirmed_ms = attempt.lease_requested_ms
            held.is_unpaused = True
        self._leader = self._instance
        self._unresolved_attempts.clear()
        self._renew_at_ms = now_ms
        return self._lead(held, now_ms)

    def _on_lease_renewed(self, renewed: ev.LeaseRenewed, now_ms: float) -> list[ev.Effect]:
        held = self._held
        if held is None or held.lease != renewed.lease:
            return []
        if renewed.outcome is ev.RenewOutcome.RENEWED:
            held.lease_confirmed_ms = max(held.lease_confirmed_ms, renewed.sent_ms)
            held.is_unpaused = True
        elif renewed.outcome is ev.RenewOutcome.LEASE_NOT_FOUND:
            held.lease = None
            return [ev.ReadLeader()]
        return []

    def _on_pledge_requested(self, request: ev.PledgeRequested, now_ms: float) -> list[ev.Effect]:
        self._learn_leader(request.sender, request.epoch, now_ms)
        is_bound = self._promise.forbids(request.epoch, now_ms)
        accepted = request.epoch >= self._known_epoch and not is_bound
        return [ev.Answer(accepted, self._known_epoch)]

    def _on_pledge_answered(self, answered: ev.PledgeAnswered, now_ms: float) -> list[ev.Effect]:
        self._learn_epoch(answered.known_epoch)
        if self._pledge_round is None or self._pledge_round.round_id != answered.round_id:
            return []
        if answered.accepted:
            self._pledge_round.record_pledge(answered.sender, answered.grants)
        return self._finish_pledge_round(now_ms)

    def _on_promise_requested(self, request: ev.PromiseRequested, now_ms: float) -> list[ev.Effect]:
        self._learn_leader(request.sender, request.epoch, now_ms)
        is_bound = self._promise.forbids(request.epoch, now_ms)
        granted = request.epoch >= self._known_epoch and not is_bound and self._attempt is None
        if granted:
            self._promise.give(request.epoch, now_ms + self._times.promise_ms)
            self._campaign_at_ms = None
        since_store_read_ms = now_ms - self._last_store_read_ms
        reachable = since_store_read_ms < NOTICE_TIMEOUT_RENEWALS * self._times.renew_ms
        return [ev.Answer(granted, self._known_epoch, reachable), *self._probe_store(now_ms)]

    def _probe_store(self, now_ms: float) -> list[ev.Effect]:
        """Read the leader key if due, so that a leader without the store learns of its recovery."""
        if now_ms < self._read_at_ms or self._attempt is not None:
            return []
        self._read_at_ms = now_ms + self._times.renew_ms
        return [ev.ReadLeader()]

    def _on_promise_answered(self, answered: ev.PromiseAnswered, now_ms: float) -> list[ev.Effect]:
        self._learn_epoch(answered.known_epoch)
        if self._held is not None and self._held.epoch == answered.epoch and answered.granted:
            promises = self._held.promises
            previous_ms = promises.get(answered.sender, NEVER_MS)
            promises[answered.sender] = max(previous_ms, answered.sent_ms)
            delay_ms = HANDOVER_AFTER_RENEWALS * self._times.renew_ms
            if answered.store_reachable and now_ms - self._held.lease_confirmed_ms >= delay_ms:
                return self._release()
        return []

    def _on_notice_received(self, notice: ev.NoticeReceived, now_ms: float) -> list[ev.Effect]:
        self._learn_leader(notice.sender, notice.epoch, now_ms)
        return []

    def _on_release_received(self, released: ev.ReleaseReceived, now_ms: float) -> list[ev.Effect]:
        self._promise.release(released.epoch)
        if released.epoch == self._known_epoch and released.sender == self._leader:
            self._leader = None
            self._last_notice_ms = NEVER_MS
            self._read_at_ms = now_ms
        return []

    def _on_stop_requested(self, requested: ev.StopRequested, now_ms: float) -> list[ev.Effect]:
        self._stopped = True
        self._attempt = None
        return self._release()

    def _release(self) -> list[ev.Effect]:
        held, self._held = self._held, None
        if held is None:
            return []
        self._leader = None
        self._settled = False
        self._pledge_round = None
        return [ev.ReleaseLeadership(held.lease, held.epoch)]

    def _learn_leader(self, sender: str, epoch: int, now_ms: float) -> None:
        require(
            self._held is None or self._held.epoch != epoch or sender == self._instance,
            INVARIANT,
            "Two instances lead under the same epoch",
            epoch=epoch,
            instance=self._instance,
            other=sender,
        )
        if epoch < self._known_epoch:
            return
        self._learn_epoch(epoch)
        self._leader = sender
        self._last_notice_ms = now_ms
        self._campaign_at_ms = None

    def _learn_epoch(self, epoch: int) -> None:
        if epoch <= self._known_epoch:
            return
        self._known_epoch = epoch
        self._leader = None
        self._held = None
        self._pledge_round = None
        self._settled = False

    def _report(self, now_ms: float) -> list[ev.Effect]:
        has_authority = self.has_authority(now_ms)
        if not has_authority:
            # Subscribers are notified of the loss, so regained authority needs a new pledge round.
            self._pledge_round = None
            self._settled = False
        leading = self._held is not None
        require(
            not has_authority
            or now_ms
            < max(self.lease_authority_expires_at_ms(), self.promise_authority_expires_at_ms()),
            INVARIANT,
            "An instance has authority without a valid lease or promises",
            instance=self._instance,
        )
        leader = self._leader if has_authority or not leading else None
        settled = has_authority and self._settled
        current = ev.LeadershipChanged(self._known_epoch, leader, has_authority, settled)
        if current == self._last_report:
            return []
        self._last_report = current
        return [current]
