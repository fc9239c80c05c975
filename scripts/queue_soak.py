"""Randomized run of queues on real processes under load and faults.

Checked for TWICE, LIMIT, BUDGET, LOST, KEYS, and processes that end by themselves.
"""

import argparse
import asyncio
import json
import logging
import random
import statistics
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Any

from scripts.queue_soak_cell import CONFIG, SoakCell
from scripts.queue_soak_checks import SeenViolation, check_record, read_record
from scripts.queue_soak_entries import ODD, WorkerEntries
from scripts.queue_soak_faults import QueueFaults
from scripts.queue_soak_jobs import Span, check_jobs, describe_crashes
from scripts.queue_soak_keys import KeyChanges, check_keys
from scripts.queue_soak_load import SoakLoad, extra_time_s
from scripts.queue_soak_logs import SoakLogs
from scripts.queue_soak_stops import merge_events
from scripts.queue_soak_trace import describe, describe_pairs
from tests.lib.processes import exit_on_sigterm

# Of each rule.
SHOWN_VIOLATIONS = 10
# The end of a run that counts as done may be acknowledged after the last start.
SETTLE_S = 3.0
# After the last fault and the end of the load: limit until all jobs have ended, and the time from
# which a job that waits is checked. The faults of workers last up to 8 s longer.
FINISH_S = 45.0
CALM_AFTER_S = 14.0
# Numbers of workers in a process that may be stopped.
PROCESS_SIZES = (1, 1, 2, 4)
WATCH_INTERVAL_S = 0.5
# What the protocol leaves open, with default and meaning.
FLEET_ARGUMENTS: dict[str, tuple[Any, str]] = {
    "listed_stopping_share": (0.5, "Share of the workers that list a run while it is stopped."),
    "kind_change_share": (0.5, "Share of the restarts that may change a worker's capacity."),
    "late_calls_cross_lives": (1, "Whether a late call has its effect on a restarted worker."),
    "clock": ("any", "After a stop of a process: 'runs on', 'stands still' or 'any'."),
    "new_id_share": (0.5, "Share of the crashed workers that are back under another id."),
}


def process_sizes(seed: int, processes: int, workers: int) -> list[int]:
    """Return the numbers of workers in processes that may be stopped, at most half of all.

    The others are enough for gangs and for steps that need tickets.
    """
    rng = random.Random(f"processes {seed}")
    sizes: list[int] = []
    for _ in range(processes):
        sizes.append(min(rng.choice(PROCESS_SIZES), workers // 2 - sum(sizes)))
    return [size for size in sizes if size > 0]


def first_of_each_rule(violations: Iterable[SeenViolation]) -> Iterator[SeenViolation]:
    """Return the violations to show, so that many of one rule do not hide another one."""
    seen: Counter[str] = Counter()
    for violation in violations:
        seen[violation.rule] += 1
        if seen[violation.rule] <= SHOWN_VIOLATIONS:
            yield violation


def read_events(path: Path) -> list[dict[str, Any]]:
    """Read a record."""
    with path.open() as lines:
        return [json.loads(line) for line in lines]


async def run(arguments: argparse.Namespace) -> int:
    """Run once, print one JSON line and return the exit status."""
    directory = Path(tempfile.mkdtemp(prefix=f"queue-soak-{arguments.seed}-"))
    cell = SoakCell(
        directory,
        arguments.seed,
        arguments.instances,
        arguments.workers,
        [f"--{name}={getattr(arguments, name)}" for name in FLEET_ARGUMENTS],
        stoppable=process_sizes(arguments.seed, arguments.worker_processes, arguments.workers),
    )
    usage: list[float] = []
    exits: list[SeenViolation] = []
    loop = asyncio.get_running_loop()
    try:
        keys = KeyChanges(cell, arguments.seed)
        await cell.start(keys.store_first, keys.some_key)
        work_ms = (arguments.shortest_ms, arguments.longest_ms)
        load = SoakLoad(cell, keys, arguments.seed, arguments.callers, work_ms)
        entries = WorkerEntries(cell)
        await entries.start()
        load.start()
        keys.start()
        kinds = arguments.faults.split(",")
        longest_s = arguments.longest_stop_s
        faults = QueueFaults(cell, entries, load, arguments.seed, kinds, longest_s)
        sampler = asyncio.create_task(_sample_usage(cell, usage))
        watch = asyncio.create_task(_watch_processes(cell, exits))
        await faults.run(arguments.duration_s)
        calm_s = loop.time() + CALM_AFTER_S
        sampler.cancel()
        await load.finish(FINISH_S + extra_time_s(arguments.longest_ms))
        calm = Span(calm_s, loop.time())
        await keys.stop()
        await asyncio.sleep(SETTLE_S)
        watch.cancel()
        await entries.stop()
        await cell.stop()
    finally:
        cell.kill()
    context = {
        "jobs": [asdict(job) for job in load.jobs],
        "calm": asdict(calm),
        "store_disturbances": faults.store_disturbances,
    }
    (directory / "context.json").write_text(json.dumps(context))
    records = [read_events(process.record_file) for process in cell.fleet_processes.all]
    record = read_record(merge_events([*records, cell.fleet_processes.signals]))
    attempts = CONFIG["routes"][0]["attempts"]
    violations = [
        *check_record(record, faults.store_disturbances),
        *check_jobs(load.jobs, record, attempts, calm),
        *check_keys(keys.record, faults.disturbances),
        *exits,
    ]
    logs = SoakLogs([instance.log_file for instance in cell.instances])
    for violation in first_of_each_rule(violations):
        print(describe(violation, record, logs), file=sys.stderr)
    summary = {
        "seed": arguments.seed,
        "duration_s": arguments.duration_s,
        "faults": dict(sorted(faults.counts.items())),
        "keys": dict(sorted(keys.counts.items())),
        "jobs": dict(sorted(load.counts.items())),
        "runs": dict(sorted(Counter(run.how or "active" for run in record.runs).items())),
        "crashes": describe_crashes(record.crashes),
        "odd_entries_listed": logs.listed(ODD),
        "stops": sum(len(spans) for spans in record.stops.values()),
        "usage": round(statistics.fmean(usage), 2) if usage else None,
        "errors": logs.errors(),
        "standin_errors": cell.standin_errors(),
        "releases": dict(Counter(logs.cause(violation) for violation in violations)),
        "pairs": describe_pairs(violations, record),
        "violations": dict(Counter(violation.rule for violation in violations)),
        "directory": str(directory),
    }
    print(json.dumps(summary), flush=True)
    return 1 if violations or summary["standin_errors"] else 0


async def _sample_usage(cell: SoakCell, samples: list[float]) -> None:
    while True:
        await asyncio.sleep(1.0)
        usage = await cell.fleet("GET", "/usage")
        if usage:
            samples.append(usage["used"] / usage["cpu"])


async def _watch_processes(cell: SoakCell, exits: list[SeenViolation]) -> None:
    """Note processes that end without a signal, and start them again."""
    while True:
        await asyncio.sleep(WATCH_INTERVAL_S)
        for instance in cell.instances:
            if instance.has_ended_by_itself:
                at_s = asyncio.get_running_loop().time()
                detail = f"{instance.name} ended with status {instance.exit_status}"
                exits.append(SeenViolation("EXIT", at_s, (), detail))
                instance.start()


def main() -> int:
    """Parse the arguments, run and return the exit status."""
    exit_on_sigterm()
    # Tornado reports every call that is still open when the callers are stopped.
    logging.getLogger("tornado.application").setLevel(logging.CRITICAL)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration_s", type=float, default=60.0)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument(
        "--worker_processes", type=int, default=3, help="Processes of workers that may be stopped."
    )
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--shortest_ms", type=int, default=300, help="Shortest estimate of tasks.")
    parser.add_argument("--longest_ms", type=int, default=4_000, help="Longest estimate of tasks.")
    parser.add_argument(
        "--longest_stop_s", type=float, default=14.0, help="Longest stop of a worker process."
    )
    parser.add_argument("--faults", default="all", help="Kinds of faults, separated by commas.")
    for name, (default, text) in FLEET_ARGUMENTS.items():
        parser.add_argument(f"--{name}", type=type(default), default=default, help=text)
    return asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
