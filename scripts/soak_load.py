"""Seeded load of a soak run: callers with retries, job submissions and concurrent tickets."""

import asyncio
import json
import random
from collections import Counter
from typing import Any

from tornado.httpclient import HTTPClientError

from nutmeglb_formats.models.config import (
    JobDefinition,
    JobKind,
    PlacementPolicy,
    Policy,
    Service,
    Team,
)
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import Ticket
from nutmeglb_formats.ticket_text import write_ticket
from scripts.soak_checks import CallerRecord, Records, TicketRecord
from tests.lib.callers import Call, call
from tests.lib.cluster import Cluster, Node

GIB = 1024**3
TEAM = "color"
CALLERS = 40
CALL_DELAY_S = (0.0, 0.2)
MAX_ATTEMPTS = 4
READINESS_POLL_INTERVAL_S = 0.05
JOB_DELAY_S = (0.05, 0.5)
TICKET_DELAY_S = (1.0, 2.5)
RETRY_DELAY_S = (0.1, 0.5)
MAX_COMMAND_ATTEMPTS = 60
PLACEMENT = {JobKind.BATCH: PlacementPolicy.SPREAD, JobKind.GANG: PlacementPolicy.PACK}
TASK_SIZE = Resources(1_000, GIB)
MAX_RUN_MS = 3_000.0
# Few enough that the callers occupy all slots most of the time.
SLOTS = 4


class Load:
    """Generates load on a cluster until it is stopped, and records the responses."""

    def __init__(self, cluster: Cluster, rng: random.Random, records: Records) -> None:
        self.counts: Counter[str] = Counter()
        self._cluster = cluster
        self._rng = rng
        self._records = records
        self._sequence_number = 0
        self._stopping = False
        self._unready_entries: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the callers, the job submissions, the ticket filing and the readiness poll."""
        loops = [self._run_caller(f"caller-{n}") for n in range(CALLERS)]
        loops += [self._submit_jobs(), self._file_tickets(), self._poll_readiness()]
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def stop(self) -> None:
        """Stop and wait until every loop has finished its current operation."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _poll_readiness(self) -> None:
        """Take instances that report not ready out of use, as the platform's load balancer does.

        An instance that does not respond stays in use, so that callers experience its failure.
        """
        while not self._stopping:
            entries = self._cluster.entries()
            states = await asyncio.gather(*(self._cluster.readiness(e) for e in entries))
            self._unready_entries = {
                entry.name for entry, ready in zip(entries, states, strict=True) if ready is False
            }
            await asyncio.sleep(READINESS_POLL_INTERVAL_S)

    # Callers

    async def _run_caller(self, name: str) -> None:
        while not self._stopping:
            await self._send_with_retries(name)
            await asyncio.sleep(self._rng.uniform(*CALL_DELAY_S))

    async def _send_with_retries(self, name: str) -> None:
        self._sequence_number += 1
        marker = f"m{self._sequence_number}"
        idempotent = self._rng.random() < 0.4
        has_key = not idempotent and self._rng.random() < 0.5
        request_class = "urgent" if self._rng.random() < 0.6 else "deferred"
        run_ms = min(MAX_RUN_MS / 2, self._rng.paretovariate(1.5) * 25)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            request = Call(
                marker,
                run_ms,
                request_class,
                self._rng.choice((1_000.0, 3_000.0)),
                idempotent,
                f"key-{marker}" if has_key else "",
                name,
                attempt,
            )
            entry = self._rng.choice(self._entries_in_use())
            record = await self._send_call(entry, request)
            if record.outcome == "answered":
                return
            may_retry = idempotent or has_key or record.outcome in ("not-run", "refused")
            if not may_retry or self._stopping:
                return

    def _entries_in_use(self) -> list[Node]:
        entries = self._cluster.entries()
        return [entry for entry in entries if entry.name not in self._unready_entries] or entries

    async def _send_call(self, entry: Node, request: Call) -> CallerRecord:
        result = await call(self._cluster, entry, request)
        record = CallerRecord(
            request.attempt_marker,
            request.key,
            request.idempotent,
            entry.name,
            result.sent_s,
            result.ended_s,
            result.outcome,
            result.echoed,
        )
        self._records.callers.append(record)
        self.counts[f"request_{result.outcome}"] += 1
        return record

    # Jobs

    async def _submit_jobs(self) -> None:
        while not self._stopping:
            self._sequence_number += 1
            await self._submit_job(f"job-{self._sequence_number}")
            await asyncio.sleep(self._rng.uniform(*JOB_DELAY_S))

    async def _submit_job(self, name: str) -> None:
        gang = self._rng.random() < 0.3
        tasks = self._rng.randint(2, 5) if gang else self._rng.randint(1, 5)
        # Some tasks must outlast a freeze of their worker that is longer than the task lease.
        run_ms = self._rng.uniform(100, 1_500) * self._rng.choice((1, 1, 4))
        body = {
            "submission_id": name,
            "name": name,
            "team": TEAM,
            "kind": "gang" if gang else "batch",
            "tasks": tasks,
            "resources": {"cpu_millis": 1_000, "memory_bytes": GIB, "accelerators": 0},
            "run_ms": run_ms * self._rng.choice((0.1, 1, 10)),
            "preemptible": True,
            "command": f"work run_ms={run_ms:.0f}",
            "domain": self._rng.choice(self._cluster.layout.domains),
        }
        answer = await self._post_until_answered("/v1/jobs", body)
        self.counts["job_accepted" if answer else "job_not_accepted"] += 1
        if answer:
            self._add_job(answer["job"])

    def _add_job(self, job: dict[str, Any]) -> None:
        self._records.accepted_jobs[job["job_id"]] = job["spec"]["tasks"]
        if job["spec"]["kind"] == "gang":
            self._records.gangs[job["job_id"]] = job["spec"]["tasks"]

    # Operators

    async def file_first_ticket(self) -> None:
        """File the ticket that declares team, policy and service, before the load starts."""
        weight = 1.0 / len(self._cluster.layout.domains)
        weights = dict.fromkeys(self._cluster.layout.domains, weight)
        ticket = Ticket(
            "soak-first",
            0,
            "soak",
            "First ticket of the run.",
            services=(self._service(5_000.0),),
            teams=(Team(TEAM, Resources(64_000, 256 * GIB)),),
            policies=(Policy("default", PLACEMENT, weights),),
        )
        answer = await self._post_until_answered("/v1/tickets", write_ticket(ticket))
        assert answer, "the first ticket was not accepted"
        self._record_ticket(ticket, "", "accepted", int(answer["number"]))

    async def _file_tickets(self) -> None:
        while not self._stopping:
            self._sequence_number += 1
            if self._rng.random() < 0.6:
                await self._file_racing_tickets(f"race-{self._sequence_number}")
            else:
                await self._file_job_ticket(f"ticket-job-{self._sequence_number}")
            await asyncio.sleep(self._rng.uniform(*TICKET_DELAY_S))

    async def _file_racing_tickets(self, name: str) -> None:
        base = await self._reported_ticket()
        if base is None:
            return
        tickets = [
            Ticket(
                f"{name}-{operator}",
                base,
                operator,
                "Change of the service by two operators at once.",
                services=(self._service(5_000.0 + self._rng.randint(0, 99)),),
            )
            for operator in ("ann", "ben")
        ]
        await asyncio.gather(*(self._file_ticket(ticket, name) for ticket in tickets))

    async def _file_job_ticket(self, name: str) -> None:
        base = await self._reported_ticket()
        if base is None:
            return
        job = JobDefinition(
            name,
            TEAM,
            self._rng.choice(self._cluster.layout.domains),
            JobKind.BATCH,
            self._rng.randint(1, 3),
            TASK_SIZE,
            command="work run_ms=300",
        )
        await self._file_ticket(Ticket(name, base, "ann", "Adds a job.", jobs=(job,)), "")

    async def _file_ticket(self, ticket: Ticket, race: str) -> None:
        answer = await self._post_until_answered("/v1/tickets", write_ticket(ticket))
        if answer is None:
            self._record_ticket(ticket, race, "unknown", 0)
        elif "number" in answer:
            self._record_ticket(ticket, race, "accepted", int(answer["number"]))
        else:
            self._record_ticket(ticket, race, "conflict", 0)

    def _record_ticket(self, ticket: Ticket, race: str, outcome: str, number: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._records.tickets.append(
            TicketRecord(ticket.ticket_id, race, ticket.base, outcome, number, now_s)
        )
        self.counts[f"ticket_{outcome}"] += 1

    async def _reported_ticket(self) -> int | None:
        """Return the ticket in force on a random instance, or ``None`` if it is not ready."""
        status = await self._cluster.status(self._rng.choice(self._cluster.entries()))
        return int(status["ticket"]) if status and status["ready"] else None

    def _service(self, timeout_ms: float) -> Service:
        return Service(
            self._cluster.layout.service,
            TEAM,
            slots=SLOTS,
            max_run_ms=MAX_RUN_MS,
            default_timeout_ms=timeout_ms,
            queue_limit=200,
        )

    async def _post_until_answered(self, path: str, body: object) -> dict[str, Any] | None:
        """Repeat a command through random instances until it is accepted or conflicts.

        Returns
        -------
        dict or None
            The response, ``{}`` after a ticket conflict, or ``None`` if ``MAX_COMMAND_ATTEMPTS``
            attempts had neither result.
        """
        for _ in range(MAX_COMMAND_ATTEMPTS):
            entry = self._rng.choice(self._cluster.entries())
            try:
                response = await self._cluster.post_json(entry.ports["admin"], path, body)
            except (OSError, HTTPClientError):
                response = None
            if response is not None and response.code in (200, 201):
                answer = json.loads(response.body)
                assert isinstance(answer, dict)
                return answer
            if response is not None and response.code == 409 and b"TicketConflict" in response.body:
                return {}
            await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_S))
        return None
