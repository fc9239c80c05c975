"""Idempotency keys, claimed at the leader of the owner domain and stored in its journal."""

import asyncio
from collections.abc import Mapping, Sequence

from result import Err, Ok

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Context, LeadershipChange
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.routing.idempotency import CommitRecord, KeyEffect, KeyTable, owner_domain
from nutmeglb_formats.wire.routing import (
    ClaimState,
    KeyAnswer,
    KeyClaim,
    KeyResult,
    RequestOutcome,
)

logger = get_logger("routing")
# Covers two group commits of the journal and the path between domains, also with a slow store.
CLAIM_TIMEOUT_MS = 2_000.0
LOAD_RETRY_DELAY_MS = 500.0
MS_PER_S = 1_000.0
REFUSED = KeyAnswer(ClaimState.REFUSED)


class IdempotencyKeyService:
    """Claims keys for this instance's requests, and owns its domain's keys while it leads."""

    name = "idempotency"

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._table = KeyTable()
        self._loaded_epoch = -1
        self._background = BackgroundTasks()
        ctx.peers.on(KeyClaim, self._on_message)
        ctx.peers.on(KeyResult, self._on_message)
        ctx.journal.add_snapshot_source(self._snapshot)

    async def start(self) -> None:
        """Subscribe to changes of leadership."""
        self._ctx.leadership.subscribe(self._on_leadership)

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: results are sent when requests end."""

    async def stop(self) -> None:
        """Cancel background tasks."""
        await self._background.cancel()

    def status(self) -> Mapping[str, object]:
        """Return the number of owned keys and whether they are loaded."""
        return {"owned": len(self._table), "loaded": self._is_owner()}

    def owner(self, service: str, key: str) -> str:
        """Return the domain that owns a key.

        The owner is chosen among the domains with a weight in the policy. Without weights it is
        chosen among the known domains, which is only safe while that set does not change.
        """
        weights = self._ctx.config.current().policy.domain_weights
        domains: Sequence[str] = sorted(weights)
        if not domains:
            known_domains = {member.domain for member in self._ctx.peers.members()}
            domains = sorted(known_domains | {self._ctx.domain})
        return owner_domain(service, key, domains)

    async def claim(self, message: KeyClaim, timeout_ms: float) -> KeyAnswer:
        """Claim a key. A ``refused`` claim may still be committed."""
        answer = await self._request_owner(message, min(timeout_ms, CLAIM_TIMEOUT_MS))
        if answer is not None:
            return answer
        # The claim may have been committed although its answer was lost. The request is not run, so
        # the owner is asked to release the key.
        self.report(
            KeyResult(message.service, message.key, message.request_id, RequestOutcome.NOT_RUN)
        )
        return REFUSED

    def report(self, message: KeyResult) -> None:
        """Send a result to the owner. If it is lost, the outcome stored for the key is unknown."""
        self._background.spawn(self._request_owner(message, CLAIM_TIMEOUT_MS))

    async def _request_owner(
        self, message: KeyClaim | KeyResult, timeout_ms: float
    ) -> KeyAnswer | None:
        owner = self.owner(message.service, message.key)
        if owner == self._ctx.domain and self._is_owner():
            return await self._apply(message)
        target = self._owner_instance(owner)
        if target is None:
            return REFUSED
        answer = await self._ctx.peers.request(target, message, timeout_ms)
        if isinstance(answer, Err):
            logger.warning(
                "message to the owner of an idempotency key failed; refusing the claim or "
                "dropping the result",
                owner=owner,
                cause=str(answer.err_value),
            )
            return None if answer.err_value.context.get("sent", True) else REFUSED
        return answer.ok_value if isinstance(answer.ok_value, KeyAnswer) else None

    def _owner_instance(self, owner: str) -> str | None:
        if owner != self._ctx.domain:
            return self._ctx.peers.relay_of(owner)
        leader = self._ctx.leadership.leader_instance
        return None if leader == self._ctx.instance_id else leader

    async def _on_message(self, sender: str, message: KeyClaim | KeyResult) -> KeyAnswer:
        if self.owner(message.service, message.key) != self._ctx.domain:
            return REFUSED
        if self._is_owner():
            return await self._apply(message)
        own = {member.instance_id for member in self._ctx.peers.members(self._ctx.domain)}
        if sender in own:
            return REFUSED
        answer = await self._request_owner(message, CLAIM_TIMEOUT_MS)
        return answer or REFUSED

    def _is_owner(self) -> bool:
        leadership = self._ctx.leadership
        return leadership.is_leader() and self._loaded_epoch == leadership.epoch

    async def _apply(self, message: KeyClaim | KeyResult) -> KeyAnswer:
        table = self._table
        effect: KeyEffect
        if isinstance(message, KeyClaim):
            effect = table.claim(self._ctx.clock.wall_ms(), message)
        else:
            effect = table.result(message)
        if not isinstance(effect, CommitRecord):
            return effect.answer
        append_result = await self._ctx.journal.append([effect.record])
        if table is not self._table:
            return REFUSED
        if isinstance(append_result, Ok):
            return table.committed(effect.record)
        logger.warning(
            "record of an idempotency key not committed; answering with a refusal",
            cause=str(append_result.err_value),
        )
        return table.not_committed(effect.record)

    def _snapshot(self) -> Sequence[object] | None:
        return self._table.snapshot() if self._is_owner() else None

    def _on_leadership(self, change: LeadershipChange) -> None:
        if change.is_self and change.settled:
            if change.epoch != self._loaded_epoch:
                self._background.spawn(self._load(change.epoch, KeyTable()))
        else:
            self._loaded_epoch = -1
            self._table = KeyTable()

    async def _load(self, epoch: int, table: KeyTable) -> None:
        """Load the keys from the journal. Claims are refused until they are loaded."""
        while self._is_leader_in_epoch(epoch):
            loaded = await self._ctx.journal.load()
            if isinstance(loaded, Ok) and self._is_leader_in_epoch(epoch):
                table.load(self._ctx.clock.wall_ms(), loaded.ok_value)
                self._table = table
                self._loaded_epoch = epoch
                self._ctx.events.emit("keys_loaded", "a new leader took over", keys=len(table))
                return
            await asyncio.sleep(LOAD_RETRY_DELAY_MS / MS_PER_S)

    def _is_leader_in_epoch(self, epoch: int) -> bool:
        return self._ctx.leadership.is_leader() and self._ctx.leadership.epoch == epoch
