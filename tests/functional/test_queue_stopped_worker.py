"""A worker whose process is stopped and goes on, against real leaders."""

import asyncio
import json
import signal
import tempfile
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.lib.processes import ManagedProcess
from tests.lib.queue_path import run_scenario

JOB = "00000000000000aa"
WORK_MS = 4_000
QUEUES = {
    "leader_lease_ms": 2_000,
    "authority_ms": 2_000,
    "run_lease_ms": 3_000,
    "list_ms": 100,
    "inbox_ms": 100,
    "worker_timeout_ms": 150,
    "worker_beat_ms": 100,
}
# Time after the expiry of the lease in which several ticks of the leader pass.
TICKS_S = 0.5
STEP = {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": WORK_MS}
SPEC = json.dumps({"steps": [{"work_ms": WORK_MS, "cpu": 500, "mem_mb": 100}]})


@contextmanager
def worker_process():
    """Yield a process that serves one worker, and the file that it writes its events to."""
    with tempfile.TemporaryDirectory() as directory:
        record = Path(directory) / "record.jsonl"
        arguments = ["-m", "standins.worker_fleet_server", "--workers=1", "--instances=1"]
        arguments += [f"--record={record}", f"--ports_file={Path(directory) / 'w.ports.json'}"]
        process = ManagedProcess("w", Path(directory), arguments)
        process.start()
        try:
            yield process, record
        finally:
            process.send(signal.SIGCONT)
            process.kill()


async def entry_of(process, path):
    """Return the entry of the worker of a process."""
    control = (await process.ports())["control"]
    reader, writer = await asyncio.open_connection(*control.split(":"))
    writer.write(b"GET /entries HTTP/1.1\r\nHost: w\r\nContent-Length: 0\r\n\r\n")
    header = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line.split(b":")[1])
        for line in header.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    (entry,) = json.loads(await reader.readexactly(length)).values()
    writer.close()
    return json.dumps(entry).encode()


@pytest.mark.parametrize("entries", [1, 2])
def test_task_on_a_worker_that_is_stopped_beyond_its_lease_does_not_run_beside_a_second_run(
    entries,
):
    """Guards against a second run of a task whose first one goes on when its worker does."""

    async def scenario(path):
        with worker_process() as (process, record):
            path.store.data.remove("servers/w0")
            path.store.data.put("servers/w00", await entry_of(process, path))
            await path.until(lambda: "w00" in path.leader.node._leader.cell.workers)
            leader = path.leader.node._leader
            worker = leader.cell.workers["w00"]
            await path.call("POST", JOB, {"spec": SPEC, "steps": [STEP]})
            await path.until(lambda: any(run.has_started for run in worker.runs.values()))
            process.send(signal.SIGSTOP)
            path.store.data.put("servers/w0", path.runners[0].entry("pool"))
            await path.until(lambda: worker.unanswered_since_ms is not None)
            await path.until(lambda: leader._clock.now_ms() > worker.lease_expires_at_ms)
            await asyncio.sleep(TICKS_S)
            assert not path.starts
            assert worker.runs
            process.send(signal.SIGCONT)
            await path.until_state(JOB, "completed")
            process.send(signal.SIGTERM)
            await process.wait()
            events = [json.loads(line) for line in record.read_text().splitlines()]
            ends = [event["how"] for event in events if event["event"] == "end"]
            assert ends.count("done") + len(path.starts) == 1

    run_scenario(scenario, settings={"queues": QUEUES}, entries=entries, runners=1)
