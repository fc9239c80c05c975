"""Load of a soak run: callers with retries, job submitters and racing operators. Seeded."""

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
CALL_PAUSE_S = (0.0, 0.2)
TRIES = 4
BALANCER_PAUSE_S = 0.05
JOB_PAUSE_S = (0.05, 0.5)
TICKET_PAUSE_S = (1.0, 2.5)
RETRY_PAUSE_S = (0.1, 0.5)
RETRIES = 60
PLACEMENT = {JobKind.BATCH: PlacementPolicy.SPREAD, JobKind.GANG: PlacementPolicy.PACK}
TASK_SIZE = Resources(1_000, GIB)
MAX_RUN_MS = 3_000.0
# Few enough that the callers fill all slots most of the time.
SLOTS = 4


class Load:
    """Drives a cluster until it is stopped, and records what it was told."""

    def __init__(self, cluster: Cluster, rng: random.Random, records: Records) -> None:
        self.counts: Counter[str] = Counter()
        self._cluster = cluster
        self._rng = rng
        self._records = records
        self._number = 0
        self._stopping = False
        self._withdrawn: set[str] = set()
        self._workers: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start callers, submitters and operators."""
        loops = [self._caller(f"caller-{n}") for n in range(CALLERS)]
        loops += [self._submitter(), self._operators(), self._balance()]
        self._workers = [asyncio.create_task(loop) for loop in loops]

    async def stop(self) -> None:
        """Let every loop finish what it has begun."""
        self._stopping = True
        await asyncio.gather(*self._workers)

    async def _balance(self) -> None:
        """Withdraw instances that report that they are not ready, as the platform's balancer does.

        An instance that does not answer stays in use, so that callers meet its failure.
        """
        while not self._stopping:
            entries = self._cluster.entries()
            states = await asyncio.gather(*(self._cluster.readiness(e) for e in entries))
            self._withdrawn = {
                entry.name for entry, ready in zip(entries, states, strict=True) if ready is False
            }
            await asyncio.sleep(BALANCER_PAUSE_S)

    # Callers

    async def _caller(self, name: str) -> None:
        while not self._stopping:
            await self._request(name)
            await asyncio.sleep(self._rng.uniform(*CALL_PAUSE_S))

    async def _request(self, name: str) -> None:
        self._number += 1
        marker = f"m{self._number}"
        idempotent = self._rng.random() < 0.4
        keyed = not idempotent and self._rng.random() < 0.5
        request_class = "urgent" if self._rng.random() < 0.6 else "deferred"
        run_ms = min(MAX_RUN_MS / 2, self._rng.paretovariate(1.5) * 25)
        for attempt in range(1, TRIES + 1):
            request = Call(
                marker,
                run_ms,
                request_class,
                self._rng.choice((1_000.0, 3_000.0)),
                idempotent,
                f"key-{marker}" if keyed else "",
                name,
                attempt,
            )
            entry = self._rng.choice(self._entries_in_use())
            record = await self._one(entry, request)
            if record.outcome == "answered":
                return
            may_repeat = idempotent or keyed or record.outcome in ("not-run", "refused")
            if not may_repeat or self._stopping:
                return

    def _entries_in_use(self) -> list[Node]:
        entries = self._cluster.entries()
        return [entry for entry in entries if entry.name not in self._withdrawn] or entries

    async def _one(self, entry: Node, request: Call) -> CallerRecord:
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

    async def _submitter(self) -> None:
        while not self._stopping:
            self._number += 1
            await self._submit(f"job-{self._number}")
            await asyncio.sleep(self._rng.uniform(*JOB_PAUSE_S))

    async def _submit(self, name: str) -> None:
        gang = self._rng.random() < 0.3
        tasks = self._rng.randint(2, 5) if gang else self._rng.randint(1, 5)
        # Some tasks outlast a pause of their worker that is longer than the task lease.
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
        answer = await self._persist("/v1/jobs", body)
        self.counts["job_accepted" if answer else "job_not_accepted"] += 1
        if answer:
            self._add_job(answer["job"])

    def _add_job(self, job: dict[str, Any]) -> None:
        self._records.accepted_jobs[job["job_id"]] = job["spec"]["tasks"]
        if job["spec"]["kind"] == "gang":
            self._records.gangs[job["job_id"]] = job["spec"]["tasks"]

    # Operators

    async def file_first_ticket(self) -> None:
        """Declare team, policy and service before the load begins."""
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
        answer = await self._persist("/v1/tickets", write_ticket(ticket))
        assert answer, "the first ticket was not accepted"
        self._record_ticket(ticket, "", "accepted", int(answer["number"]))

    async def _operators(self) -> None:
        while not self._stopping:
            self._number += 1
            if self._rng.random() < 0.6:
                await self._race(f"race-{self._number}")
            else:
                await self._ticket_job(f"ticket-job-{self._number}")
            await asyncio.sleep(self._rng.uniform(*TICKET_PAUSE_S))

    async def _race(self, name: str) -> None:
        base = await self._base()
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
        await asyncio.gather(*(self._file(ticket, name) for ticket in tickets))

    async def _ticket_job(self, name: str) -> None:
        base = await self._base()
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
        await self._file(Ticket(name, base, "ann", "Adds a job.", jobs=(job,)), "")

    async def _file(self, ticket: Ticket, race: str) -> None:
        answer = await self._persist("/v1/tickets", write_ticket(ticket))
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

    async def _base(self) -> int | None:
        """Return the highest ticket number that a random instance reports."""
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

    async def _persist(self, path: str, body: object) -> dict[str, Any] | None:
        """Repeat a command through random instances until it has a definite answer.

        Returns the answer, ``{}`` after a conflict, or ``None`` when no definite answer came.
        """
        for _ in range(RETRIES):
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
            await asyncio.sleep(self._rng.uniform(*RETRY_PAUSE_S))
        return None
