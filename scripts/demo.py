"""Runs a small cell on loopback with two failure domains, a ticket, urgent requests and jobs."""

import argparse
import asyncio
import json
import random
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tests.lib.callers import Call, CallResult, call
from tests.lib.cluster import OPERATOR_TOKEN, ROOT, Cluster, Layout, Node, eventually, main_address
from tests.lib.processes import exit_on_sigterm

SEED = 1
REQUESTS_PER_ENTRY = 100
REQUESTS_AT_ONCE = 6
RUN_MS = 20.0
MS_PER_S = 1_000.0
TIMEOUT_S = 55.0
CLIENT_SETTINGS = ROOT / "var" / "nutmegctl.ini"
TICKET = ROOT / "examples" / "demo" / "first-ticket.yaml"


class DemoFailed(Exception):
    """Raised when a step of the demonstration does not have the expected result."""


async def nutmegctl(cluster: Cluster, *arguments: str) -> Any:
    """Run nutmegctl against all entry instances and return its JSON output."""
    token_file = cluster.directory / "operator.token"
    token_file.write_text(OPERATOR_TOKEN)
    servers = ",".join(entry.ports["admin"] for entry in cluster.entries())
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "nutmegctl", *arguments),
        *(f"--server={servers}", f"--token-file={token_file}", "--json"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        output, errors = await process.communicate()
    except asyncio.CancelledError:
        process.kill()
        raise
    if process.returncode != 0:
        raise DemoFailed(f"nutmegctl {' '.join(arguments)}: {errors.decode()}")
    return json.loads(output)


TimedResult = tuple[CallResult, float]


async def send_requests(cluster: Cluster) -> dict[str, list[TimedResult]]:
    """Send urgent requests through every instance.

    Returns
    -------
    dict
        Results by failure domain, each with the run time of its request in milliseconds.
    """
    limit = asyncio.Semaphore(REQUESTS_AT_ONCE * len(cluster.entries()))
    rng = random.Random(SEED)

    async def send_request(entry: Node, number: int) -> TimedResult:
        async with limit:
            run_ms = rng.uniform(0.5, 1.5) * RUN_MS
            return await call(cluster, entry, Call(f"{entry.name}-{number}", run_ms)), run_ms

    results: dict[str, list[TimedResult]] = {}
    for domain in cluster.layout.domains:
        calls = [
            send_request(entry, n)
            for entry in cluster.entries(domain)
            for n in range(REQUESTS_PER_ENTRY)
        ]
        results[domain] = await asyncio.gather(*calls)
    return results


async def wait_for_jobs(cluster: Cluster, names: Sequence[str]) -> list[dict[str, Any]]:
    """Wait until the named jobs have finished and return them as listed by nutmegctl."""

    async def finished() -> list[dict[str, Any]]:
        answer = await nutmegctl(cluster, "job", "list")
        jobs = [job for job in answer["jobs"] if job["spec"]["name"] in names]
        done = {job["spec"]["name"] for job in jobs if job["state"] == "finished"}
        return jobs if done == set(names) else []

    finished_jobs = await eventually(finished, f"the jobs {', '.join(names)} have finished")
    assert isinstance(finished_jobs, list)
    return finished_jobs


async def completion_counts(cluster: Cluster) -> dict[str, int]:
    """Return how often each task succeeded according to the workers' records."""
    counts: dict[str, int] = {}
    for worker in cluster.of_role("worker"):
        for run in await cluster.get_json(main_address(worker), "/record"):
            if run["outcome"] == "succeeded":
                counts[run["task"]] = counts.get(run["task"], 0) + 1
    return counts


def print_table(rows: Sequence[Sequence[object]]) -> None:
    """Print rows with aligned columns."""
    texts = [[str(value) for value in row] for row in rows]
    widths = [max(len(row[column]) for row in texts) for column in range(len(texts[0]))]
    for row in texts:
        print("  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True)))


def request_row(domain: str, results: Sequence[TimedResult]) -> list[object]:
    """Return the table row of a failure domain's requests. Waits are in milliseconds."""
    waits = sorted(
        MS_PER_S * (result.ended_s - result.sent_s) - run_ms
        for result, run_ms in results
        if result.outcome == "answered"
    )
    if not waits:
        raise DemoFailed(f"no request through {domain} was answered")
    p50 = waits[len(waits) // 2]
    p99 = waits[int(0.99 * (len(waits) - 1))]
    return [domain, len(results), len(waits), f"{p50:.1f}", f"{p99:.1f}"]


async def run_demo(cluster: Cluster) -> None:
    """Run all steps of the demonstration and print the result tables.

    Raises
    ------
    DemoFailed
        If a step does not have the expected result.
    """
    for entry in cluster.entries():
        await eventually(lambda e=entry: cluster.ready(e), f"{entry.name} is ready")
    accepted = await nutmegctl(cluster, "ticket", "file", str(Path(TICKET)))
    number = accepted["number"]
    await nutmegctl(cluster, "ticket", "wait", str(number))
    job = ("review", "--team=color", "--tasks=4", "--cpu=1 core", "--memory=1 GiB")
    submitted = nutmegctl(cluster, "job", "submit", *job, "--command=review run_ms=300")
    results, _ = await asyncio.gather(send_requests(cluster), submitted)
    jobs = await wait_for_jobs(cluster, ("recalibration", "spectral-fit", "review"))
    counts = await completion_counts(cluster)
    for job in jobs:
        tasks = [counts.get(f"{job['job_id']}/{n}", 0) for n in range(job["spec"]["tasks"])]
        if set(tasks) != {1}:
            raise DemoFailed(
                f"tasks of {job['spec']['name']} completed {tasks} times, expected once each"
            )
    print_table(
        [("domain", "requests", "answered", "wait p50 ms", "wait p99 ms")]
        + [request_row(domain, found) for domain, found in results.items()]
    )
    print()
    print_table(
        [("job", "kind", "placed", "finished")]
        + [(j["spec"]["name"], j["spec"]["kind"], j["spec"]["tasks"], j["finished"]) for j in jobs]
    )
    print()
    statuses = [(entry.name, await cluster.status(entry)) for entry in cluster.entries()]
    print_table(
        [("instance", "ticket in force")]
        + [(name, status["ticket"] if status else "no answer") for name, status in statuses]
    )


def write_client_settings(cluster: Cluster) -> None:
    """Write a settings file that connects ``nutmegctl`` to the cell."""
    CLIENT_SETTINGS.parent.mkdir(exist_ok=True)
    token_file = CLIENT_SETTINGS.with_name("operator.token")
    token_file.write_text(OPERATOR_TOKEN)
    servers = ", ".join(entry.ports["admin"] for entry in cluster.entries())
    CLIENT_SETTINGS.write_text(f"[client]\nservers = {servers}\ntoken_file = {token_file.name}\n")


async def run(keep: bool) -> int:
    """Run the demonstration and return the exit status.

    Parameters
    ----------
    keep
        Whether to keep the cell running afterwards until it is interrupted.
    """
    try:
        async with Cluster(Layout()) as cluster:
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await run_demo(cluster)
            except BaseException:
                for entry in cluster.entries():
                    print(f"--- {entry.name}\n{entry.process.log_tail(10)}", file=sys.stderr)
                raise
            if keep:
                write_client_settings(cluster)
                print("\nThe cell is running. In another terminal:")
                print(f"export NUTMEGCTL_CONFIG={CLIENT_SETTINGS.relative_to(ROOT)}")
                print("Press Ctrl-C here to stop it.", flush=True)
                await asyncio.Event().wait()
    except (DemoFailed, AssertionError, RuntimeError) as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    except TimeoutError:
        print(f"demo: not finished within {TIMEOUT_S:.0f} s", file=sys.stderr)
        return 1
    return 0


def main() -> int:
    """Run the demonstration and return the exit status; Ctrl-C stops it cleanly."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="Keep the cell until Ctrl-C.")
    arguments = parser.parse_args()
    exit_on_sigterm()
    try:
        return asyncio.run(run(arguments.keep))
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
