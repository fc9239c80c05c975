"""Commands and queries of callers about jobs, which any instance handles."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues.config_watch import ConfigWatch
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.leader import Leader
from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.queues.pool_reports import pools_from
from nutmeglb._internal.queues.store_gate import StoreGate
from nutmeglb._internal.queues.submissions import Cancellation, Submission, Submissions
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import admission, queries, verdicts
from nutmeglb_decisions.queues.access import JobCall, find_queue_key
from nutmeglb_decisions.queues.effects import Decision
from nutmeglb_decisions.queues.job_memory import DEFAULT_LARGEST_JOB_BYTES
from nutmeglb_decisions.queues.pools import Pool
from nutmeglb_decisions.queues.queries import JobStatus
from nutmeglb_decisions.queues.verdicts import LoadView
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import NotReady, NutmegError
from nutmeglb_formats.models.queues import QueueJob, QueueKey
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

# The leader usually answers within a round trip. After this time the store is read instead.
LEADER_TIMEOUT_MS = 350.0
# Maximum age of a reported count of waiting jobs (from the platform's protocol).
MAX_PENDING_AGE_MS = 2_000.0
# The leader's report of refusing queues expires after this time without a newer one.
MAX_LOAD_REPORT_AGE_MS = 2_000.0
# An accepted job that no leader has been notified of is offered for this long. By then a leader
# that was elected meanwhile has found it in the store.
MAX_OFFER_MS = 4_000.0
# Interval of the checks for a leader to offer such a job to.
OFFER_CHECK_MS = 30.0
# Callers choose the paths of their calls, which may be as long as a header block.
MAX_LOGGED_ADDRESS = 200
MS_PER_S = 1_000.0


def _describe_hidden_job(call: JobCall, status: JobStatus) -> Decision:
    asked_at = call.address.queue[:MAX_LOGGED_ADDRESS]
    fields = (("queue", status.queue), ("asked_at", asked_at))
    return Decision(
        "job_not_shown", "it is of another address or team", job=call.job_id, fields=fields
    )


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Answer to a submission.

    Attributes
    ----------
    retry_ms
        Time in milliseconds after which a caller whose job was not accepted may retry.
    by_team
        Whether the load or the limit of the caller's own team is the cause.
    """

    outcome: Submission
    retry_ms: float = 0.0
    by_team: bool = False


class QueueService:
    """Accepts and cancels jobs durably, and reports their states.

    Parameters
    ----------
    leader
        Returns the scheduler of this instance while it leads, otherwise ``None``.
    """

    def __init__(
        self,
        clock: Clock,
        links: PeerLinks,
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
        self._pending: dict[QueueKey, tuple[int, float]] = {}
        self._refusing: dict[QueueKey, float] = {}
        self._refusing_teams: dict[tuple[QueueKey, str], float] = {}
        self._largest_job_bytes = DEFAULT_LARGEST_JOB_BYTES
        self._load_report_ms = 0.0
        self._pools: list[Pool] = []
        links.on(JobOffered, self._on_offered)
        links.on(JobCancelled, self._on_cancelled)
        links.on(StateQuery, self._on_state_query)
        links.on(PendingQuery, self._on_pending_query)
        links.on(LoadReport, self._on_load)
        links.on(PoolsReport, self._on_pools)

    async def stop(self) -> None:
        """Stop background work."""
        await self._background.cancel()

    async def submit(self, job: QueueJob, deadline_ms: float, call: JobCall) -> SubmitAnswer:
        """Accept a job durably, or refuse it.

        Parameters
        ----------
        deadline_ms
            Monotonic time until which a write with an unknown outcome is retried.
        call
            Decides whether a job with this id that exists already is the one that was submitted.
        """
        await self._gate.wait_for_check()
        refusal = verdicts.first_refusal(job, self._load_view())
        refuses = refusal is not None or not self._gate.allows_writes
        known = await self._find_known(job.job_id) if refuses else None
        if known is not None:
            is_own = call.concerns(known.queue, known.team)
            return SubmitAnswer(Submission.REPEATED if is_own else Submission.ID_TAKEN)
        # After an attempt with an unknown outcome only the store can tell whether the job runs.
        if refusal is not None and not self._submissions.is_unresolved(job.job_id):
            age_ms = (
                round(self._clock.now_ms() - self._load_report_ms) if self._load_report_ms else 0
            )
            self._log_decision(
                "job_refused",
                refusal.cause,
                job,
                retry_ms=round(refusal.retry_ms),
                load_report_age_ms=age_ms,
            )
            return SubmitAnswer(Submission.NOT_ACCEPTED, refusal.retry_ms, refusal.by_team)
        stored = await self._submissions.submit(job, deadline_ms, call)
        outcome = stored.outcome
        if outcome == Submission.ACCEPTED:
            self._log_decision("job_accepted", "stored", job, leader=self._links.leader_id)
            self._background.spawn(self._offer(job, stored.revision))
        elif outcome == Submission.WITHDRAWN:
            self._log_decision("job_refused", "cancelled before it was stored", job)
        elif outcome not in (Submission.REPEATED, Submission.ID_TAKEN):
            self._log_decision(
                "job_refused", "not confirmed by the store", job, outcome=outcome.value
            )
        return SubmitAnswer(outcome, admission.outage_retry_ms(job))

    async def cancel(self, call: JobCall, deadline_ms: float) -> Result[Cancellation, NutmegError]:
        """Cancel a job durably, also one whose submission may still be stored."""
        cancelled = await self._submissions.cancel(call, deadline_ms)
        if isinstance(cancelled, Err):
            error = cancelled.err_value
            self._log.write([Decision("cancel_not_stored", str(error), job=call.job_id)])
            return Err(error)
        if cancelled.ok_value != Cancellation.NOT_FOUND:
            fields = (("outcome", cancelled.ok_value.value),)
            cause = "requested by the caller"
            self._log.write([Decision("cancel_stored", cause, job=call.job_id, fields=fields)])
        if cancelled.ok_value == Cancellation.STORED:
            self._background.spawn(self._notify_cancelled(call.job_id))
        return cancelled

    async def status(self, call: JobCall) -> Result[JobStatus | None, NutmegError]:
        """Return the state of the job that a call is about, or ``None`` if there is none."""
        status = await self._status_at_leader(call.job_id)
        if status is None:
            found = await self._submissions.status(call.job_id)
            if isinstance(found, Err):
                return Err(found.err_value)
            status = found.ok_value
        if status is None or call.concerns(status.queue, status.team):
            return Ok(status)
        self._log.write([_describe_hidden_job(call, status)])
        return Ok(None)

    async def pending(self, queue: QueueKey) -> Result[int, NutmegError]:
        """Return the number of jobs of a queue that have not started."""
        leader = self._leader()
        now_ms = self._clock.now_ms()
        if leader is not None and leader.loaded:
            return Ok(queries.pending(leader.cell, queue))
        peer = self._links.leader_id
        if peer:
            reply = await self._links.request(
                peer, PendingQuery(queue, by_key=True), LEADER_TIMEOUT_MS
            )
            if isinstance(reply, Ok):
                self._pending[queue] = (reply.ok_value.count, now_ms)
                return Ok(reply.ok_value.count)
        count, read_ms = self._pending.get(queue, (0, -MAX_PENDING_AGE_MS))
        if now_ms - read_ms < MAX_PENDING_AGE_MS:
            return Ok(count)
        hint = "Retry in a second"
        return Err(
            NotReady("The queue leader did not answer and no recent count is known", hint=hint)
        )

    def _load_view(self) -> LoadView:
        """Return what this instance knows of the load. An outdated report shows nothing."""
        config = self._config.current
        leader = self._leader()
        if leader is not None:
            return replace(leader.load, config=config)
        if self._clock.now_ms() - self._load_report_ms > MAX_LOAD_REPORT_AGE_MS:
            return LoadView(config=config)
        return LoadView(
            self._refusing, self._refusing_teams, self._pools, config, self._largest_job_bytes
        )

    async def _find_known(self, job_id: str) -> JobStatus | None:
        """Return the status of a job that is known to be accepted already, else ``None``.

        A refusal means that the job never runs, so a repeated submission of an accepted job must
        not be refused. The leader learns of a job some time after its acceptance, so the store is
        read as well.
        """
        status = await self._status_at_leader(job_id)
        if status is not None or not self._gate.allows_writes:
            return status
        found = await self._submissions.status(job_id)
        return found.ok_value if isinstance(found, Ok) else None

    async def _offer(self, job: QueueJob, revision: int) -> None:
        """Notify the leader of an accepted job, or the next leader if the job precedes it.

        Load pattern: a change of leader under urgent work. The store is polled once a second, and
        this instance is not connected to the new leader yet. An offer that was sent is not repeated
        to the same leader, which may only be slow to answer.
        """
        give_up_ms = self._clock.now_ms() + MAX_OFFER_MS
        unanswered_by = ""
        while self._clock.now_ms() < give_up_ms:
            leader, peer = self._leader(), self._links.leader_id
            if leader is not None:
                leader.offer(job, revision)
                return
            if peer and peer != unanswered_by:
                offer = JobOffered(job, revision)
                if isinstance(await self._links.request(peer, offer, LEADER_TIMEOUT_MS), Ok):
                    return
                unanswered_by = peer
            await asyncio.sleep(OFFER_CHECK_MS / MS_PER_S)

    async def _notify_cancelled(self, job_id: str) -> None:
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
        return JobStatus(reply.ok_value.state, reply.ok_value.queue, reply.ok_value.team)

    def _on_offered(self, sender: str, message: JobOffered) -> Noted:
        leader = self._leader()
        if leader is None:
            raise NotReady("This instance does not lead", hint="Send the offer to the leader")
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
        if status is None:
            return StateReply("", "")
        return StateReply(status.state.value, status.queue, status.team)

    def _on_pending_query(self, sender: str, message: PendingQuery) -> PendingReply | None:
        leader = self._leader()
        if leader is None or not leader.loaded:
            raise NotReady("This instance does not lead", hint="Send the query to the leader")
        if message.by_key:
            return PendingReply(queries.pending(leader.cell, QueueKey(message.queue)))
        key = find_queue_key(self._config.current, message.queue)
        return PendingReply(queries.pending(leader.cell, key) if key is not None else 0)

    def _on_load(self, sender: str, message: LoadReport) -> None:
        config = self._config.current
        self._refusing = {
            key: retry_ms
            for queue, retry_ms in message.refusing
            if (key := find_queue_key(config, queue)) is not None
        }
        self._refusing_teams = {
            (key, team): retry_ms
            for queue, team, retry_ms in message.refusing_teams
            if (key := find_queue_key(config, queue)) is not None
        }
        self._largest_job_bytes = message.largest_job_bytes or DEFAULT_LARGEST_JOB_BYTES
        self._load_report_ms = self._clock.now_ms()

    def _on_pools(self, sender: str, message: PoolsReport) -> None:
        self._pools = pools_from(message)

    def _log_decision(self, kind: str, cause: str, job: QueueJob, **fields: object) -> None:
        fields["queue"] = job.queue.name
        config = self._config.current
        if config is not None and self._config.last_contact_ms is not None:
            fields["config_version"] = config.version
            fields["config_age_ms"] = round(self._clock.now_ms() - self._config.last_contact_ms)
        self._log.write([Decision(kind, cause, job=job.job_id, fields=tuple(fields.items()))])
