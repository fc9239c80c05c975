"""Election of the leader of the queues by a leased key in the store.

Safety does not rest on the lease: workers refuse a lower fence token, and each commit names the
leader key's revision. The lease only tells when a silent leader may be replaced.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.authority import MAX_CLOCK_DRIFT, Authority, Term
from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.queues.ports import Commit, QueueStore, StoredItem, StoredPut
from nutmeglb._internal.queues.settings import QueueSection
from nutmeglb._internal.queues.strength import campaign_delay_ms, strength_of
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import PeerError, StoreOutcomeUnknown
from nutmeglb_formats.models.queue_records import Counter, LeaderRecord, Waits, dump, load
from nutmeglb_formats.wire.queues import LeaderResigned, StoreProbe, StoreProbeResult

logger = get_logger("election")

# Cause of a lost leadership: the instance could not read what it has to schedule.
TAKEOVER_FAILED = "what has to be scheduled could not be read"
# Rows of worker and time in milliseconds that leaders have waited for it.
WaitsFunction = Callable[[], Sequence[tuple[str, float]]]
# Writer of the stored term while no leader, present or former, sends orders.
NO_WRITER = ""
# Cause of a lost leadership: a follower on a stronger machine can lead.
HANDED_OVER = "a stronger instance follows"
# An instance with one of these causes campaigns after the others for this long, and later than they
# do by this time. With nobody else it leads again before the leases of runs end.
CAMPAIGN_COOLDOWN_MS = 8_000.0
COOLDOWN_DELAY_MS = 1_000.0
# Instances that find no leader campaign after a random part of this, so that one usually wins.
CAMPAIGN_JITTER_MS = 120.0
# Between two looks at the leader key while this instance has no leader.
LEADER_CHECK_MS = 250.0
# While connected to the leader, the key is looked at this seldom; a watch tells of its removal.
CONNECTED_CHECK_MS = 10_000.0
WATCH_MS = 10_000
RETRY_MS = 100.0
# A leader that cannot be reached by one instance alone must not be replaced again and again.
MIN_REPLACEMENT_INTERVAL_MS = 5_000.0


# A follower tries a read of the store in this time, which a slow store takes 350 ms for.
PROBE_TIMEOUT_MS = 500.0
# The leader's own read takes this long at most, so that its successor can begin before the lease
# ends.
OWN_PROBE_TIMEOUT_MS = 350.0
# Followers that are asked. With a third of the instances cut off from the store, one of these
# reaches it but for one time in 700.
PROBED_FOLLOWERS = 6


class Election:
    """Campaigns, renews and follows.

    Parameters
    ----------
    on_elected
        Starts the work of a leader.
    on_deposed
        Ends it. Called with the cause.
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
        """Return the present leadership of this instance."""
        return self._term

    def start(self) -> None:
        """Start looking for a leader."""
        self._background.spawn(self._run())

    async def stop(self) -> None:
        """End the loop without giving up the lease."""
        await self._background.cancel()

    def note_leader_connection_lost(self, process_gone: bool) -> None:
        """Look at the leader key at once, since the connection to the leader ended."""
        if process_gone and self._leader_record:
            self._ended_incarnation = self._leader_record.incarnation
        self._wake.set()

    @property
    def strength(self) -> float:
        """Return how well this instance could lead now, from 0 to 1."""
        in_cooldown = self._resigned or self._clock.now_ms() < self._cooldown_until_ms
        return 0.0 if in_cooldown else strength_of(self._live.current.machine)

    async def resign(self, waits: WaitsFunction = tuple) -> None:
        """Give up the leadership for good, so that another instance takes over at once.

        Parameters
        ----------
        waits
            Returns what has been waited for workers, for the successor.
        """
        self._resigned = True
        await self._release("planned stop", waits)

    async def hand_over(self, waits: WaitsFunction) -> None:
        """Give up the leadership, unless nobody can be elected, and campaign after the others."""
        if await self._store_answers_here():
            await self._release(HANDED_OVER, waits)

    async def _release(self, cause: str, waits: WaitsFunction) -> None:
        term = self._term
        if term is None or self._is_releasing:
            return
        # A successor may lead from the end of the lease on, before its end is answered.
        term.authority.revoke()
        self._is_releasing = True
        try:
            # From here on no worker gets an order that these do not count with.
            await self._store_release(term, waits())
            ended = await self._store.lease_revoke(term.lease)
        finally:
            self._is_releasing = False
        if isinstance(ended, Err):
            logger.warning("the lease was not ended", cause=str(ended.err_value))
        await self.step_down(cause)

    async def _store_release(self, term: Term, waited: Sequence[tuple[str, float]]) -> None:
        """Remove the leader key, and store what shortens the waits of the successor.

        In the first seconds of a term the leader before it may still send orders.
        """
        puts = [StoredPut(keys.WAITS, dump(Waits(term.number, list(waited))))]
        age_ms = (self._clock.now_ms() - term.claimed_ms) * (1 - MAX_CLOCK_DRIFT)
        if term.no_former_orders or age_ms >= self._settings.authority_ms:
            puts.append(StoredPut(keys.TERM, dump(Counter(term.number, NO_WRITER))))
        announced = await self._store.commit({keys.LEADER: term.key_revision}, puts, [keys.LEADER])
        if isinstance(announced, Err):
            logger.warning("the end of orders is not stored", cause=str(announced.err_value))

    async def step_down(self, cause: str) -> None:
        """End the work as leader."""
        if self._term is None or self._is_releasing:
            return
        logger.warning("leadership lost", term=self._term.number, cause=cause)
        self._term.authority.revoke()
        self._term = None
        if cause in (TAKEOVER_FAILED, HANDED_OVER):
            self._cooldown_until_ms = self._clock.now_ms() + CAMPAIGN_COOLDOWN_MS
        # Followers whose connection stays open would wait for this instance otherwise.
        self._links.broadcast(LeaderResigned(self._own_record().incarnation))
        await self._on_step_down(cause)
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                delay_ms = await (self._renew() if self._term else self._check_leader())
            except Exception as error:
                logger.error("the election loop failed", cause=repr(error))
                delay_ms = LEADER_CHECK_MS
            self._wake.clear()
            try:
                # A wait_for loses a cancellation that comes together with its event.
                async with asyncio.timeout(delay_ms / 1_000):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _renew(self) -> float:
        """Send a renewal without waiting for the former one, whose answer may be lost."""
        term = self._term
        assert term is not None
        if self._is_releasing:
            return self._settings.renew_ms
        if not term.authority.may_command:
            await self.step_down("the store was not reached for the time of the authority")
            return 0.0
        self._background.spawn(self._send_renewal(term))
        return self._settings.renew_ms

    async def _send_renewal(self, term: Term) -> None:
        sent_ms = self._clock.now_ms()
        kept = await self._store.lease_keep_alive(term.lease)
        if self._term is not term or self._is_releasing:
            return
        if isinstance(kept, Err):
            await self._probe_store(term)
            return
        if kept.ok_value:
            term.authority.record_renewal(sent_ms)
        else:
            await self.step_down("the lease had ended")

    async def _probe_store(self, term: Term) -> None:
        """Step down when the store answers another instance but not this one.

        An unanswered renewal alone does not show that. When a read is answered here, the store has
        lost the answer, and a successor would fare no better; the next renewals are on their way.
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
        """Ask some of the followers, of which the network may have cut off some."""
        followers = self._links.followers
        asked = self._rng.sample(followers, min(PROBED_FOLLOWERS, len(followers)))
        answers = await asyncio.gather(
            *(self._links.request(peer, StoreProbe(), PROBE_TIMEOUT_MS) for peer in asked)
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
        loaded = load(item.value, item.key)
        if isinstance(loaded, Err):
            logger.error("the leader record is malformed", cause=str(loaded.err_value))
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
        """Look at once when the leader key changes or is removed."""
        found = await self._store.changes(keys.LEADER, revision, WATCH_MS)
        if isinstance(found, Err):
            return
        if found.ok_value.changes or found.ok_value.history_lost:
            self._wake.set()

    def _is_replaceable(self, record: LeaderRecord) -> bool:
        """Return whether the leader's process is gone although its lease has not ended."""
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
            loaded = load(item.value, item.key)
            if isinstance(loaded, Err):
                logger.error("the term is malformed", cause=str(loaded.err_value))
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
                StoredPut(keys.LEADER, dump(record), granted.ok_value),
                StoredPut(keys.TERM, dump(Counter(number, own.incarnation))),
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
        """Return the outcome of a claim whose answer was lost, if it can be told."""
        found = await self._store.get(keys.LEADER)
        if isinstance(found, Err) or found.ok_value is None:
            return None
        item = found.ok_value
        applied = item.value == dump(record)
        return Commit(applied, item.revision)


def _store_answered(answer: Result[Any, PeerError]) -> bool:
    return isinstance(answer, Ok) and bool(answer.ok_value.answered)
