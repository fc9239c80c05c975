"""Election of the queue leader through a leased key in the store.

Safety does not depend on the lease: workers refuse orders with a lower fencing token, and every
commit requires the leader key to be unchanged. The lease only determines when an unresponsive
leader may be replaced.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.authority import Authority, Term
from nutmeglb._internal.queues.leader_release import (
    NO_WRITER,
    ReleaseFacts,
    ReleaseFactsFunction,
    release_puts,
)
from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.queues.ports import Commit, QueueStore, StoredItem, StoredPut
from nutmeglb._internal.queues.settings import QueueSection
from nutmeglb._internal.queues.strength import campaign_delay_ms, strength_of
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import PeerError, StoreOutcomeUnknown
from nutmeglb_formats.models.queue_records import (
    Counter,
    LeaderRecord,
    decode_queue_record,
    encode_queue_record,
)
from nutmeglb_formats.wire.queues import LeaderResigned, StoreProbe, StoreProbeResult

logger = get_logger("election")

# Cause of a lost leadership: the instance could not load the state to schedule from.
TAKEOVER_FAILED = "the jobs, their progress or the workers could not be read from the store"
# Cause of a lost leadership: a follower on a stronger machine can lead.
HANDED_OVER = "handed over to a follower on a stronger machine"
# An instance that stepped down for one of these causes delays its campaigns by COOLDOWN_DELAY_MS
# during this period, so that others win. If there are none, it leads again before leases of runs
# expire.
CAMPAIGN_COOLDOWN_MS = 8_000.0
COOLDOWN_DELAY_MS = 1_000.0
# Instances that find no leader campaign after a random delay up to this, so that one usually wins.
CAMPAIGN_JITTER_MS = 120.0
# Interval between reads of the leader key while this instance is not connected to a leader.
LEADER_CHECK_MS = 250.0
# Interval while it is connected. A watch reports the removal of the key earlier.
CONNECTED_CHECK_MS = 10_000.0
WATCH_TIMEOUT_MS = 10_000
RETRY_MS = 100.0
# Minimum interval between replacements of leaders whose lease has not ended. A leader that only
# this instance cannot reach must not be replaced repeatedly.
MIN_REPLACEMENT_INTERVAL_MS = 5_000.0
# Time for a follower's test read of the store and its reply. A slow store takes 350 ms for a read.
PROBE_TIMEOUT_MS = 500.0
# Timeout of the leader's own test read, so that its successor can start before the lease ends.
OWN_PROBE_TIMEOUT_MS = 350.0
# Number of followers asked for a test read. With a third of the instances partitioned from the
# store, at least one of these reaches it in all but one of 700 cases.
PROBED_FOLLOWERS = 6


class Election:
    """Campaigns for the leadership, renews it, and connects to the leader as a follower.

    Parameters
    ----------
    own
        Returns the leader record of this instance, without a term.
    on_elected
        Starts the scheduler for a new term.
    on_step_down
        Stops the scheduler. Called with the cause.
    """

    def __init__(
        self,
        live: LiveSettings,
        clock: Clock,
        rng: random.Random,
        store: QueueStore,
        links: PeerLinks,
        own: Callable[[], LeaderRecord],
        on_elected: Callable[[Term], Awaitable[None]],
        on_step_down: Callable[[str], Awaitable[None]],
    ) -> None:
        self._live = live
        self._clock = clock
        self._rng = rng
        self._store = store
        self._links = links
        self._own_record = own
        self._on_elected = on_elected
        self._on_step_down = on_step_down
        self._background = BackgroundTasks()
        self._wake = asyncio.Event()
        self._term: Term | None = None
        self._ended_incarnation = ""
        self._last_replacement_ms = -MIN_REPLACEMENT_INTERVAL_MS
        self._leader_record: LeaderRecord | None = None
        self._resigned = False
        self._is_releasing = False
        self._is_probing = False
        self._cooldown_until_ms = 0.0
        self._watch: asyncio.Task[None] | None = None
        links.on(LeaderResigned, self._on_resigned)
        links.on(StoreProbe, self._on_probe)

    @property
    def _settings(self) -> QueueSection:
        return self._live.current.queues

    @property
    def term(self) -> Term | None:
        """Return the current term of this instance, or ``None`` while it does not lead."""
        return self._term

    def start(self) -> None:
        """Start the election loop."""
        self._background.spawn(self._run())

    async def stop(self) -> None:
        """Stop the election loop without releasing the lease."""
        await self._background.cancel()

    def note_leader_connection_lost(self, process_gone: bool) -> None:
        """Check the leader key immediately, since the connection to the leader was lost."""
        if process_gone and self._leader_record:
            self._ended_incarnation = self._leader_record.incarnation
        self._wake.set()

    @property
    def strength(self) -> float:
        """Return the suitability of this instance as leader, from 0 (not suitable) to 1."""
        is_excluded = self._resigned or self._clock.now_ms() < self._cooldown_until_ms
        return 0.0 if is_excluded else strength_of(self._live.current.machine)

    async def resign(self, facts: ReleaseFactsFunction = ReleaseFacts) -> None:
        """Release the leadership permanently, so that another instance takes over immediately."""
        self._resigned = True
        await self._release("planned stop", facts)

    async def hand_over(self, facts: ReleaseFactsFunction) -> None:
        """Release the leadership and let other instances campaign first.

        Does nothing while the store does not answer, since nobody could be elected then.
        """
        if await self._store_answers_here():
            await self._release(HANDED_OVER, facts)

    async def _release(self, cause: str, facts: ReleaseFactsFunction) -> None:
        term = self._term
        if term is None or self._is_releasing:
            return
        # A successor may lead as soon as the lease is revoked, before the store answers here.
        term.authority.revoke()
        self._is_releasing = True
        try:
            # No orders are sent from here on, so the stored facts cover every order of this term.
            await self._store_release(term, facts())
            ended = await self._store.lease_revoke(term.lease)
        finally:
            self._is_releasing = False
        if isinstance(ended, Err):
            logger.warning("lease not revoked; it expires by itself", cause=str(ended.err_value))
        await self.step_down(cause)

    async def _store_release(self, term: Term, facts: ReleaseFacts) -> None:
        """Remove the leader key, and store what shortens the takeover of the successor."""
        puts = release_puts(term, facts, self._clock.now_ms(), self._settings.authority_ms)
        stored = await self._store.commit({keys.LEADER: term.key_revision}, puts, [keys.LEADER])
        if isinstance(stored, Err):
            logger.warning("release not stored; takeover takes longer", cause=str(stored.err_value))

    async def step_down(self, cause: str) -> None:
        """Stop leading. The lease in the store is left to expire unless it was revoked before."""
        if self._term is None or self._is_releasing:
            return
        logger.warning("leadership lost", term=self._term.number, cause=cause)
        self._term.authority.revoke()
        self._term = None
        if cause in (TAKEOVER_FAILED, HANDED_OVER):
            self._cooldown_until_ms = self._clock.now_ms() + CAMPAIGN_COOLDOWN_MS
        # Followers whose connections stay open would otherwise keep waiting for this instance.
        self._links.broadcast(LeaderResigned(self._own_record().incarnation))
        await self._on_step_down(cause)
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                delay_ms = await (self._renew() if self._term else self._check_leader())
            except Exception as error:
                logger.error("election loop failed; retrying", cause=repr(error))
                delay_ms = LEADER_CHECK_MS
            self._wake.clear()
            try:
                # asyncio.wait_for loses a cancellation that arrives together with its event.
                async with asyncio.timeout(delay_ms / 1_000):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _renew(self) -> float:
        """Send a renewal without waiting for the previous one, whose answer may be lost."""
        term = self._term
        assert term is not None
        if self._is_releasing:
            return self._settings.renew_ms
        if not term.authority.may_command:
            await self.step_down("no renewal confirmed by the store within queues.authority_ms")
            return 0.0
        self._background.spawn(self._send_renewal(term))
        return self._settings.renew_ms

    async def _send_renewal(self, term: Term) -> None:
        """Renew the lease and read the leader key, which a successor replaces before a lease ends.

        The lease alone proves nothing: it may outlast its key.
        """
        sent_ms = self._clock.now_ms()
        renewed, found = await asyncio.gather(
            self._store.lease_keep_alive(term.lease), self._store.get(keys.LEADER)
        )
        if self._term is not term or self._is_releasing:
            return
        if isinstance(renewed, Ok) and not renewed.ok_value:
            await self.step_down("the lease of the leader key has expired")
        elif isinstance(found, Ok) and not _is_key_of(term, found.ok_value):
            await self.step_down("the leader key has been removed or replaced")
        elif isinstance(renewed, Err) or isinstance(found, Err):
            await self._probe_store(term)
        else:
            term.authority.record_renewal(sent_ms)

    async def _probe_store(self, term: Term) -> None:
        """Step down when the store answers another instance but not this one.

        An unanswered renewal alone does not prove that. If a test read is answered here, only the
        answer to the renewal was lost: a successor would see the same, and further renewals are
        already being sent.
        """
        if self._is_probing:
            return
        self._is_probing = True
        try:
            own, others = await asyncio.gather(
                self._store_answers_here(), self._store_answers_a_follower()
            )
        finally:
            self._is_probing = False
        if self._term is term and others and not own:
            await self.step_down("the store answers another instance, but not this one")

    async def _store_answers_here(self) -> bool:
        try:
            async with asyncio.timeout(OWN_PROBE_TIMEOUT_MS / 1_000):
                return isinstance(await self._store.get(keys.LEADER), Ok)
        except TimeoutError:
            return False

    async def _store_answers_a_follower(self) -> bool:
        """Return whether a sample of followers, some possibly partitioned, reaches the store."""
        followers = self._links.followers
        sampled = self._rng.sample(followers, min(PROBED_FOLLOWERS, len(followers)))
        answers = await asyncio.gather(
            *(self._links.request(peer, StoreProbe(), PROBE_TIMEOUT_MS) for peer in sampled)
        )
        return any(_store_answered(answer) for answer in answers)

    def _on_resigned(self, sender: str, message: LeaderResigned) -> None:
        self._ended_incarnation = message.incarnation
        self._wake.set()

    async def _on_probe(self, sender: str, message: StoreProbe) -> StoreProbeResult:
        return StoreProbeResult(isinstance(await self._store.get(keys.LEADER), Ok))

    async def _check_leader(self) -> float:
        found = await self._store.range(keys.LEADER)
        if isinstance(found, Err):
            return LEADER_CHECK_MS
        item = next((i for i in found.ok_value.items if i.key == keys.LEADER), None)
        if item is None:
            self._links.follow(None)
            return await self._campaign(None)
        loaded = decode_queue_record(item.value, item.key)
        if isinstance(loaded, Err):
            logger.error("leader record malformed; retrying", cause=str(loaded.err_value))
            return LEADER_CHECK_MS
        record: LeaderRecord = loaded.ok_value
        self._leader_record = record
        if self._is_replaceable(record):
            return await self._campaign(item)
        self._links.follow(record)
        if self._watch is None or self._watch.done():
            self._watch = self._background.spawn(self._watch_key(found.ok_value.revision))
        return CONNECTED_CHECK_MS if self._links.leader_id else LEADER_CHECK_MS

    async def _watch_key(self, revision: int) -> None:
        """Wake the election loop when the leader key changes or is removed."""
        found = await self._store.changes(keys.LEADER, revision, WATCH_TIMEOUT_MS)
        if isinstance(found, Err):
            return
        if found.ok_value.changes or found.ok_value.history_lost:
            self._wake.set()

    def _is_replaceable(self, record: LeaderRecord) -> bool:
        """Return whether the leader's process has ended although its lease has not."""
        own = self._own_record()
        if record.instance_id == own.instance_id and record.incarnation != own.incarnation:
            return True
        now_ms = self._clock.now_ms()
        gone = self._ended_incarnation == record.incarnation
        return gone and now_ms - self._last_replacement_ms >= MIN_REPLACEMENT_INTERVAL_MS

    async def _campaign(self, former: StoredItem | None) -> float:
        if self._resigned:
            return LEADER_CHECK_MS
        delay_ms = self._rng.uniform(0, CAMPAIGN_JITTER_MS) + campaign_delay_ms(
            self._live.current.machine
        )
        if self._clock.now_ms() < self._cooldown_until_ms:
            delay_ms += COOLDOWN_DELAY_MS
        await asyncio.sleep(delay_ms / 1_000)
        counter = await self._store.get(keys.TERM)
        if isinstance(counter, Err):
            return LEADER_CHECK_MS
        item = counter.ok_value
        number, no_former_orders = 0, False
        if item is not None:
            loaded = decode_queue_record(item.value, item.key)
            if isinstance(loaded, Err):
                logger.error("stored term malformed; retrying", cause=str(loaded.err_value))
                return LEADER_CHECK_MS
            number = loaded.ok_value.number + 1
            no_former_orders = loaded.ok_value.writer == NO_WRITER
        return await self._claim(former, item.revision if item else 0, number, no_former_orders)

    async def _claim(
        self, former: StoredItem | None, term_revision: int, number: int, no_former_orders: bool
    ) -> float:
        sent_ms = self._clock.now_ms()
        granted = await self._store.lease_grant(self._settings.leader_lease_ms)
        if isinstance(granted, Err):
            return LEADER_CHECK_MS
        own = self._own_record()
        record = LeaderRecord(own.instance_id, own.incarnation, own.address, number, own.secret)
        committed = await self._store.commit(
            {keys.LEADER: former.revision if former else 0, keys.TERM: term_revision},
            [
                StoredPut(keys.LEADER, encode_queue_record(record), granted.ok_value),
                StoredPut(keys.TERM, encode_queue_record(Counter(number, own.incarnation))),
            ],
        )
        if isinstance(committed, Err):
            if not isinstance(committed.err_value, StoreOutcomeUnknown):
                return LEADER_CHECK_MS
            commit = await self._resolve_claim(record)
        else:
            commit = committed.ok_value
        if commit is None or not commit.applied:
            return RETRY_MS
        if former is not None:
            self._last_replacement_ms = sent_ms
        self._links.follow(None)
        settings = self._settings
        authority = Authority(self._clock, settings.leader_lease_ms, settings.authority_ms, sent_ms)
        revision, lease = commit.revision, granted.ok_value
        self._term = Term(number, revision, revision, lease, authority, sent_ms, no_former_orders)
        logger.info("leadership gained", term=number, fence=commit.revision)
        await self._on_elected(self._term)
        return self._settings.renew_ms

    async def _resolve_claim(self, record: LeaderRecord) -> Commit | None:
        """Return the outcome of a claim whose answer was lost, or ``None`` if it stays unknown."""
        found = await self._store.get(keys.LEADER)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        item = found.ok_value
        applied = item.value == encode_queue_record(record)
        return Commit(applied, item.revision)


def _store_answered(answer: Result[Any, PeerError]) -> bool:
    return isinstance(answer, Ok) and bool(answer.ok_value.answered)


def _is_key_of(term: Term, item: StoredItem | None) -> bool:
    return item is not None and item.revision == term.key_revision
