"""Callers' commands and queries on jobs, answered by any instance."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues.config_watch import ConfigWatch
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.leader import Leader
from nutmeglb._internal.queues.links import Links
from nutmeglb._internal.queues.pool_reports import pools_from
from nutmeglb._internal.queues.store_gate import StoreGate
from nutmeglb._internal.queues.submissions import Submission, Submissions
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import admission, pools, queries
from nutmeglb_decisions.queues.effects import Decision
from nutmeglb_decisions.queues.pools import Pool
from nutmeglb_decisions.queues.queries import JobStatus
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import NotReady, NutmegError
from nutmeglb_formats.models.queues import QueueJob
from nutmeglb_formats.wire.queues import (
    JobCancelled,
    JobOffered,
    LoadReport,
    Noted,
    PendingQuery,
    PendingReply,
    PoolsReport,
    StateQuery,
    StateReply,
)

logger = get_logger("service")

# The leader answers in a round trip; beyond this the store is asked.
LEADER_TIMEOUT_MS = 350.0
# A count of waiting jobs may be this old (from the platform's protocol).
PENDING_MAX_AGE_MS = 2_000.0
# A leader's report of refusals holds this long without a newer one.
LOAD_MAX_AGE_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Answer to a submission. ``retry_ms`` is set when the job was not accepted."""

    outcome: Submission
    retry_ms: float = 0.0


class QueueService:
    """Accepts and cancels jobs durably and tells their states.

    Parameters
    ----------
    leader
        Returns the leader's work while this instance leads.
    """

    def __init__(
        self,
        clock: Clock,
        links: Links,
        submissions: Submissions,
        gate: StoreGate,
        config: ConfigWatch,
        log: DecisionLog,
        leader: Callable[[], Leader | None],
    ) -> None:
        self._clock = clock
        self._config = config
        self._links = links
        self._submissions = submissions
        self._gate = gate
        self._log = log
        self._leader = leader
        self._background = BackgroundTasks()
        self._pending: dict[str, tuple[int, float]] = {}
        self._refusing: dict[str, float] = {}
        self._refusing_ms = 0.0
        self._pools: list[Pool] = []
        links.on(JobOffered, self._on_offered)
        links.on(JobCancelled, self._on_cancelled)
        links.on(StateQuery, self._on_state_query)
        links.on(PendingQuery, self._on_pending_query)
        links.on(LoadReport, self._on_load)
        links.on(PoolsReport, self._on_pools)

    async def stop(self) -> None:
        """End background work."""
        await self._background.cancel()

    async def submit(self, job: QueueJob, until_ms: float) -> SubmitAnswer:
        """Accept a job, or say that it is not accepted and never runs."""
        retry_ms = self._refusals().get(job.queue.name)
        cause = "no room in time"
        unservable = pools.unservable_cause(job, self._known_pools())
        if unservable:
            retry_ms, cause = pools.UNSERVABLE_RETRY_MS, unservable
        refuses = retry_ms is not None or not self._gate.is_open
        if refuses and await self._is_known(job.job_id):
            return SubmitAnswer(Submission.REPEATED)
        if retry_ms is not None:
            age_ms = round(self._clock.now_ms() - self._refusing_ms) if self._refusing_ms else 0
            self._decide(
                "job_refused",
                cause,
                job,
                retry_ms=round(retry_ms),
                load_report_age_ms=age_ms,
            )
            return SubmitAnswer(Submission.NOT_ACCEPTED, retry_ms)
        stored = await self._submissions.submit(job, until_ms)
        outcome = stored.outcome
        if outcome == Submission.ACCEPTED:
            self._decide("job_accepted", "stored", job, leader=self._links.leader_id)
            self._background.spawn(self._offer(job, stored.revision))
        elif outcome != Submission.REPEATED:
            self._decide("job_refused", "the store did not take it", job, outcome=outcome.value)
        return SubmitAnswer(outcome, admission.outage_retry_ms(job))

    async def cancel(self, job_id: str, until_ms: float) -> Result[bool, NutmegError]:
        """Cancel a job durably. Return whether it exists."""
        cancelled = await self._submissions.cancel(job_id, until_ms)
        if isinstance(cancelled, Err):
            return Err(cancelled.err_value)
        if cancelled.ok_value:
            self._log.write([Decision("cancel_stored", "the caller asked for it", job=job_id)])
            self._background.spawn(self._tell_cancelled(job_id))
        return Ok(cancelled.ok_value)

    async def status(self, job_id: str) -> Result[JobStatus | None, NutmegError]:
        """Return the state of a job, or ``None`` for an unknown one."""
        known = await self._status_at_leader(job_id)
        if known is not None:
            return Ok(known)
        found = await self._submissions.status(job_id)
        if isinstance(found, Err):
            return Err(found.err_value)
        return Ok(found.ok_value)

    async def pending(self, queue: str) -> Result[int, NutmegError]:
        """Return the number of a queue's jobs that have not begun."""
        leader = self._leader()
        now_ms = self._clock.now_ms()
        if leader is not None and leader.loaded:
            return Ok(queries.pending(leader.cell, queue))
        peer = self._links.leader_id
        if peer:
            reply = await self._links.request(peer, PendingQuery(queue), LEADER_TIMEOUT_MS)
            if isinstance(reply, Ok):
                self._pending[queue] = (reply.ok_value.count, now_ms)
                return Ok(reply.ok_value.count)
        count, read_ms = self._pending.get(queue, (0, -PENDING_MAX_AGE_MS))
        if now_ms - read_ms < PENDING_MAX_AGE_MS:
            return Ok(count)
        hint = "Ask again in a second"
        return Err(NotReady("The leader of the queues is not known", hint=hint))

    def _refusals(self) -> dict[str, float]:
        leader = self._leader()
        if leader is not None:
            return leader.refusing
        if self._clock.now_ms() - self._refusing_ms > LOAD_MAX_AGE_MS:
            return {}
        return self._refusing

    async def _is_known(self, job_id: str) -> bool:
        """Return whether a job is accepted already, as far as it can be told now.

        A refusal says that the job never runs, so it must not answer a repeated submission. The
        leader hears of a job some time after its acceptance, so the store is asked too.
        """
        if await self._status_at_leader(job_id) is not None:
            return True
        if not self._gate.is_open:
            return False
        found = await self._submissions.status(job_id)
        return isinstance(found, Ok) and found.ok_value is not None

    def _known_pools(self) -> list[Pool]:
        leader = self._leader()
        if leader is not None:
            return leader.pools
        fresh = self._clock.now_ms() - self._refusing_ms <= LOAD_MAX_AGE_MS
        return self._pools if fresh else []

    async def _offer(self, job: QueueJob, revision: int) -> None:
        leader = self._leader()
        if leader is not None:
            leader.offer(job, revision)
            return
        # A leader that is not told finds the job in the store.
        if self._links.leader_id:
            await self._links.request(
                self._links.leader_id, JobOffered(job, revision), LEADER_TIMEOUT_MS
            )

    async def _tell_cancelled(self, job_id: str) -> None:
        leader = self._leader()
        if leader is not None:
            leader.cancel(job_id)
        elif self._links.leader_id:
            await self._links.request(
                self._links.leader_id, JobCancelled(job_id), LEADER_TIMEOUT_MS
            )

    async def _status_at_leader(self, job_id: str) -> JobStatus | None:
        leader = self._leader()
        if leader is not None:
            return queries.status_of(leader.cell, job_id) if leader.loaded else None
        if not self._links.leader_id:
            return None
        reply = await self._links.request(
            self._links.leader_id, StateQuery(job_id), LEADER_TIMEOUT_MS
        )
        if isinstance(reply, Err) or not reply.ok_value.state:
            return None
        return JobStatus(reply.ok_value.state, reply.ok_value.queue)

    def _on_offered(self, sender: str, message: JobOffered) -> Noted:
        leader = self._leader()
        if leader is not None:
            leader.offer(message.job, message.revision)
        return Noted()

    def _on_cancelled(self, sender: str, message: JobCancelled) -> Noted:
        leader = self._leader()
        if leader is not None:
            leader.cancel(message.job_id)
        return Noted()

    def _on_state_query(self, sender: str, message: StateQuery) -> StateReply:
        leader = self._leader()
        status = None
        if leader is not None and leader.loaded:
            status = queries.status_of(leader.cell, message.job_id)
        return StateReply(status.state.value, status.queue) if status else StateReply("", "")

    def _on_pending_query(self, sender: str, message: PendingQuery) -> PendingReply | None:
        leader = self._leader()
        if leader is None or not leader.loaded:
            raise NotReady("This instance does not lead", hint="Ask the leader")
        return PendingReply(queries.pending(leader.cell, message.queue))

    def _on_load(self, sender: str, message: LoadReport) -> None:
        self._refusing = dict(message.refusing)
        self._refusing_ms = self._clock.now_ms()

    def _on_pools(self, sender: str, message: PoolsReport) -> None:
        self._pools = pools_from(message)

    def _decide(self, kind: str, cause: str, job: QueueJob, **fields: object) -> None:
        fields["queue"] = job.queue.name
        config = self._config.current
        if config is not None and self._config.contact_ms is not None:
            fields["config_version"] = config.version
            fields["config_age_ms"] = round(self._clock.now_ms() - self._config.contact_ms)
        self._log.write([Decision(kind, cause, job=job.job_id, fields=tuple(fields.items()))])
