"""Cost of a domain leader's state by number of jobs: memory, stored bytes and recovery time."""

import random
import time
import tracemalloc
from collections.abc import Iterator

from measure.figures import Case, Figures
from nutmeglb_decisions.tasks.scheduler import Scheduler
from nutmeglb_formats.models.config import Config, JobKind, Policy, Team
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.journal import encode_record
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import AttemptStarted, JobAccepted

SEED = 1
DOMAIN = "a"
GIB = 1024**3
TEAMS = 230
WORKERS = 100
# The design size has 3,700 running tasks and 5,500 jobs a day in 10 failure domains.
SIZES = ((550, 370), (2_200, 1_480))
LEASE_MS = 15_000.0
MARGIN_MS = 500.0
BYTES_PER_MB = 1_000_000.0
MS_PER_S = 1_000.0


def _make_records(jobs: int, running: int) -> list[JobAccepted | AttemptStarted]:
    records: list[JobAccepted | AttemptStarted] = []
    for number in range(jobs):
        spec = JobSpec(
            submission_id=f"submission-{number}",
            name=f"work-{number % 50}",
            team=f"team{number % TEAMS:03}",
            kind=JobKind.BATCH,
            tasks=1,
            resources=Resources(1_000, 2 * GIB, 0),
            command="run",
        )
        records.append(JobAccepted(f"{DOMAIN}.{number:032x}", spec, 0.0))
    for number in range(running):
        worker = f"worker-{number % WORKERS}"
        records.append(AttemptStarted(f"{DOMAIN}.{number:032x}", 0, 1, worker, 1, LEASE_MS, 0, ()))
    return records


def _make_config() -> Config:
    teams = {f"team{n:03}": Team(f"team{n:03}", Resources(10**9, 10**15, 0)) for n in range(TEAMS)}
    policy = Policy("default", domain_weights={DOMAIN: 1.0})
    return Config(1, teams=teams, policies={"default": policy})


def leader_state() -> Iterator[Figures]:
    """Measure how a new leader recovers jobs and running tasks from the journal."""
    for jobs, running in SIZES:
        records = _make_records(jobs, running)
        stored_bytes = sum(len(encode_record(item)) for item in records)
        config = _make_config()
        tracemalloc.start()
        before_bytes, _ = tracemalloc.get_traced_memory()
        core = _recover(config, records)
        after_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_s = time.perf_counter()
        _recover(config, records)
        recover_ms = (time.perf_counter() - started_s) * MS_PER_S
        figures = {
            "memory_mb": round((after_bytes - before_bytes) / BYTES_PER_MB, 2),
            "stored_mb": round(stored_bytes / BYTES_PER_MB, 3),
            "recover_ms": round(recover_ms, 1),
            "jobs_recovered": len(core.lifecycle.jobs),
        }
        size = f"{jobs} jobs, {running} running tasks, {TEAMS} teams"
        yield Figures("leader_state", size, "recover from the journal", "", SEED, figures)


def _recover(config: Config, records: list[JobAccepted | AttemptStarted]) -> Scheduler:
    return Scheduler(
        domain=DOMAIN,
        epoch=2,
        config=config,
        records=records,
        lease_ms=LEASE_MS,
        margin_ms=MARGIN_MS,
        now_ms=0.0,
        wall_ms=0.0,
        rng=random.Random(SEED),
    )


CASES: dict[str, Case] = {"leader_state": leader_state}
