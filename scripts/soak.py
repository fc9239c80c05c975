"""Randomized run of a whole cell under load and faults, checked against guarantees G1 to G8."""

import argparse
import asyncio
import json
import random
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict

from nutmeglb_formats.models.resources import Resources
from scripts import soak_checks as checks
from scripts.soak_checks import Records, Violation
from scripts.soak_faults import FaultInjector, wait_ready
from scripts.soak_load import MAX_RUN_MS, SLOTS, Load
from scripts.soak_records import Recorder
from tests.lib.cluster import Cluster, Layout, eventually
from tests.lib.processes import exit_on_sigterm

CONNECTIONS = 64
WORKER_CPU_MILLIS = 4_000
WORKER_MEMORY_BYTES = 16 * 1024**3
FINISH_LIMIT_S = 120.0
SHOWN_VIOLATIONS = 20
GUARANTEES = tuple(f"G{number}" for number in range(1, 9))

LAYOUT = Layout(
    domains=("east", "west"),
    instances=2,
    endpoints=2,
    workers=3,
    worker_arguments=(
        f"--cpu_millis={WORKER_CPU_MILLIS}",
        f"--memory_bytes={WORKER_MEMORY_BYTES}",
    ),
)


def check_records(records: Records) -> Iterator[Violation]:
    """Apply all checks to the records of a run."""
    yield from checks.check_slots(records.runs, SLOTS, MAX_RUN_MS / 1_000)
    yield from checks.check_connections(records.peak_connections, CONNECTIONS)
    yield from checks.check_capacity(records.tasks, records.capacities)
    yield from checks.check_single_run(records.tasks)
    yield from checks.check_completion(records.tasks, records.accepted_jobs)
    yield from checks.check_gangs(records.tasks, records.gangs)
    yield from checks.check_response_owner(records.callers)
    yield from checks.check_not_run(records.callers, records.runs)
    yield from checks.check_at_most_once(records.callers, records.runs)
    yield from checks.check_leaving(records.runs, records.leaving)
    yield from checks.check_planned_stops(records.callers, records.planned_stops)
    yield from checks.check_tickets(records.tickets, records.samples, records.unreachable)


class Soak:
    """One soak run: a cell, its load, and the faults injected into it."""

    def __init__(self, cluster: Cluster, seed: int, duration_s: float) -> None:
        self._cluster = cluster
        self._seed = seed
        self._duration_s = duration_s
        self._records = Records()
        self._recorder = Recorder(cluster, self._records)
        self._load_generator = Load(cluster, random.Random(f"load {seed}"), self._records)
        self._fault_injector = FaultInjector(
            cluster, random.Random(f"faults {seed}"), self._records, self._recorder
        )

    async def run(self) -> list[Violation]:
        """Run load and faults, wait until all jobs have finished, and return the violations."""
        for entry in self._cluster.entries():
            await wait_ready(self._cluster, entry)
        for worker in self._cluster.of_role("worker"):
            capacity = Resources(WORKER_CPU_MILLIS, WORKER_MEMORY_BYTES)
            self._records.capacities[worker.name] = capacity
        await self._load_generator.file_first_ticket()
        sampler = asyncio.create_task(self._recorder.sample_tickets())
        self._load_generator.start()
        deadline_s = asyncio.get_running_loop().time() + self._duration_s
        await self._fault_injector.run(deadline_s)
        await self._load_generator.stop()
        job_violations = await self._wait_for_jobs()
        sampler.cancel()
        await self._recorder.read_all()
        violations = [
            *self._fault_injector.failures,
            *job_violations,
            *check_records(self._records),
        ]
        return violations + await self._invariant_violations()

    def summary(self, violations: list[Violation]) -> dict[str, object]:
        """Return the summary that is printed as one line of JSON."""
        counts_by_guarantee = Counter(violation.guarantee for violation in violations)
        counts = self._load_generator.counts
        return {
            "seed": self._seed,
            "duration_s": self._duration_s,
            "faults": dict(sorted(self._fault_injector.counts.items())),
            "requests": _counts_with_prefix(counts, "request_"),
            "jobs": _counts_with_prefix(counts, "job_"),
            "tasks": dict(sorted(Counter(task.outcome for task in self._records.tasks).items())),
            "tickets": _counts_with_prefix(counts, "ticket_"),
            "violations": {name: counts_by_guarantee.pop(name, 0) for name in GUARANTEES}
            | dict(counts_by_guarantee),
        }

    def describe(self, violation: Violation) -> str:
        """Return a violation as JSON, with the faults active in the 10 s before it."""
        active_faults = [
            f"{kind} {start_s:.1f}-{end_s:.1f}"
            for kind, start_s, end_s in self._recorder.fault_times
            if start_s <= violation.at_s and violation.at_s - 10 <= end_s
        ]
        return json.dumps(asdict(violation) | {"faults_near": active_faults})

    async def _wait_for_jobs(self) -> list[Violation]:
        """Wait until all accepted jobs have finished; return a violation on time-out."""
        try:
            async with asyncio.timeout(FINISH_LIMIT_S):
                for job in self._records.accepted_jobs:
                    await self._wait_until_finished(job)
        except (TimeoutError, AssertionError) as error:
            now_s = asyncio.get_running_loop().time()
            return [Violation("G2", f"jobs do not finish after repair: {error}", now_s)]
        return []

    async def _wait_until_finished(self, job: str) -> None:
        async def is_finished() -> bool:
            entry = self._cluster.entries()[0]
            try:
                answer = await self._cluster.get_json(entry.ports["admin"], f"/v1/jobs/{job}")
            except Exception:
                return False
            return answer["job"]["state"] == "finished"

        await eventually(is_finished, f"{job} has finished")

    async def _invariant_violations(self) -> list[Violation]:
        violations = []
        for entry in self._cluster.entries():
            for line in (await self._cluster.get_text(entry.ports["admin"], "/metrics")).split(
                "\n"
            ):
                name, _, value = line.rpartition(" ")
                if name.startswith("nutmeglb_invariant_violations_total") and float(value) > 0:
                    violations.append(Violation("invariant", f"{entry.name}: {line}", 0.0))
        return violations


def _counts_with_prefix(counts: Counter[str], prefix: str) -> dict[str, int]:
    chosen = {name.removeprefix(prefix): n for name, n in counts.items() if name.startswith(prefix)}
    return dict(sorted(chosen.items()))


async def run(seed: int, duration_s: float, keep: bool) -> int:
    """Run once, print one JSON line and return the exit status."""
    async with Cluster(LAYOUT, keep=keep) as cluster:
        soak = Soak(cluster, seed, duration_s)
        violations = await soak.run()
        for violation in violations[:SHOWN_VIOLATIONS]:
            print(f"soak: {soak.describe(violation)}", file=sys.stderr)
        print(json.dumps(soak.summary(violations)), flush=True)
    return 1 if violations else 0


def main() -> int:
    """Parse the arguments, run and return the exit status."""
    exit_on_sigterm()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration_s", type=float, default=60.0)
    parser.add_argument("--keep", action="store_true", help="Keep settings and logs.")
    arguments = parser.parse_args()
    return asyncio.run(run(arguments.seed, arguments.duration_s, arguments.keep))


if __name__ == "__main__":
    sys.exit(main())
