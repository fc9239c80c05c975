"""Stand-ins of the platform's runners, as PROTOCOL.md describes them.

A job's ``spec`` is a JSON object: ``ms`` (work of a task), ``gang`` (number of members, 0 for
single tasks), ``save_ms`` (work between two checkpoints, 0 for none) and ``cpu``.
"""

import asyncio
import json
import random
import time

from http1 import CLOSE, SILENT, Server

MAX_ENDS = 500
TICK_S = 0.01
HEARTBEAT_S = 1.5


class Run:
    """A task that is on a runner."""

    def __init__(self, task, number, spec, checkpoint, now_s):
        self.task = task
        self.number = number
        self.work_ms = float(spec.get("ms", 1_000))
        self.gang = int(spec.get("gang", 0))
        self.save_ms = float(spec.get("save_ms", 0))
        self.cpu = int(spec.get("cpu", 1_000))
        self.given = checkpoint
        self.saved = ""
        self.done_ms = float(int(checkpoint[:8], 16)) if checkpoint else 0.0
        self.at_work_s = None
        self.arrived_s = now_s
        self.restore_s = 0.25 if checkpoint else 0.0
        self.stop_at_s = None

    @property
    def step(self):
        return self.task.rpartition(".")[0]

    def progress_ms(self, now_s):
        """Return the work that has been done."""
        if self.at_work_s is None:
            return self.done_ms
        return self.done_ms + max(0.0, now_s - self.at_work_s) * 1_000

    def update_saved(self, now_s):
        """Produce the newest checkpoint. Its text is the work done, and what it is of."""
        if self.save_ms and self.at_work_s is not None:
            steps = int(self.progress_ms(now_s) // self.save_ms)
            if steps and steps * self.save_ms > self.done_ms:
                self.saved = checkpoint_text(steps * self.save_ms, self.step)


def checkpoint_text(work_ms, step):
    """Return a checkpoint of a task or gang: 8 digits of work, and 8 that name the step."""
    return f"{int(work_ms):08x}{sum(step.encode()) * 2654435761 % 2**32:08x}"


class Runner:
    """A runner on one machine. ``id`` and ``born`` change with its lives."""

    def __init__(self, fleet, name, cpu, mem_mb, rack):
        self.fleet = fleet
        self.name = name
        self.id = f"i-{name}-{fleet.rng.randrange(16**6):06x}"
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.rack = rack
        self.server = Server(self._handle)
        self.is_up = False
        self.draining = False
        self.seq = 0
        self.runs = {}
        self.lives = 0
        # Seconds after which the next order to start a task is carried out, without an answer.
        self.late_s = None

    async def boot(self):
        """Begin a life, which knows nothing of the ones before."""
        self.lives += 1
        self.is_up = True
        self.born = int(time.time() * 1_000)
        self.clock_start_ms = self.fleet.rng.randrange(*self.fleet.clock_starts_ms)
        self.clock_rate = self.fleet.rng.uniform(0.98, 1.0)
        self.booted_s = self.fleet.now_s
        self.fence = 0
        self.lease_ms = 0.0
        self.runs = {}
        self.barred = {}
        self.ends = []
        self.end_count = 0
        self.seen = 0
        self.seq = 0
        self.changed = asyncio.Event()
        await self.server.start()
        self.write_entry()
        self.fleet.record(f"runner {self.name} up as {self.id}, born {self.born}")

    def crash(self):
        """End the process. Everything that runs there ends, and nothing is sent."""
        self.is_up = False
        self.server.stop()
        lost = [f"{task} run {number}" for task, number in self.runs]
        self.fleet.record(f"runner {self.name} ({self.id}) crashes, with it: {lost}")
        for run in list(self.runs.values()):
            self.fleet.note_end(self, run, "crashed")
        runs, self.runs = self.runs, {}
        for run in runs.values():
            if run.gang:
                self.fleet.break_gang(run)

    async def crash_for(self, down_s, new_id=False):
        """Crash, and be back after some seconds, under the same id or another one."""
        self.crash()
        gone = self.id
        await asyncio.sleep(down_s)
        if new_id:
            self.fleet.store.remove(f"servers/{gone}")
            self.id = f"i-{self.name}-{self.fleet.rng.randrange(16**6):06x}"
        await self.boot()

    def clock_ms(self):
        return int(
            self.clock_start_ms + (self.fleet.now_s - self.booted_s) * 1_000 * self.clock_rate
        )

    def write_entry(self):
        """Write the entry in the store."""
        self.seq += 1
        entry = {
            "backend": self.fleet.service,
            "address": self.server.address,
            "zone": self.fleet.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "seq": self.seq,
        }
        self.fleet.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _handle(self, request):
        if not self.is_up:
            return CLOSE
        if self.late_s is not None and request.path == "/v1/run-start":
            late_s, self.late_s = self.late_s, None
            self.fleet.spawn(self._carry_out_late(request, late_s))
            return SILENT
        life = self.lives
        reply = await self._answer(request)
        return reply if self.is_up and life == self.lives else CLOSE

    async def _carry_out_late(self, request, late_s):
        """Carry out a call that got no answer, as the runner that serves at the address by then."""
        shown = f"{request.body['task']} run {request.body['run']}"
        self.fleet.record(f"runner {self.name} leaves the order to start {shown} unanswered")
        await asyncio.sleep(late_s)
        if self.is_up:
            reply = await self._answer(request)
            self.fleet.record(
                f"runner {self.name} carries that order out after {late_s} s: {reply}"
            )

    async def _answer(self, request):
        body = request.body
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, self._content()
        fence = body.get("fence_token", 0)
        if fence < self.fence:
            return 409, self._content(reason="fence")
        self.fence = fence
        if request.path == "/v1/run-start":
            reason = self._start(body)
            return (409, self._content(reason=reason)) if reason else (200, self._content())
        if request.path == "/v1/run-stop":
            self._stop(body["task"], body["run"])
            return 200, self._content()
        if request.path == "/v1/pace":
            return 200, self._content()
        if request.path == "/v1/hold":
            return await self._hold(body)
        return 400, self._content()

    def _content(self, **fields):
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, deadline_ms):
        limit_ms = self.clock_ms() + self.fleet.max_hold_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def _start(self, body):
        task, number = body["task"], body["run"]
        key = (task, number)
        if body["deadline_ms"] > self.clock_ms():
            self._extend(body["deadline_ms"])
        if key in self.runs:
            return ""
        if number <= self.barred.get(task, 0) or any(
            task == other and number <= present for other, present in self.runs
        ):
            return "old"
        if body["deadline_ms"] <= self.clock_ms():
            return "late"
        run = Run(
            task, number, json.loads(body["spec"]), body.get("checkpoint", ""), self.fleet.now_s
        )
        self.runs[key] = run
        self.fleet.note_start(self, run, body["spec"])
        if not run.gang:
            run.at_work_s = self.fleet.now_s + run.restore_s
        else:
            self.fleet.join_gang(run)
        return ""

    def _stop(self, task, number):
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stop_at_s is None:
            delay_ms = self.fleet.rng.uniform(0, self.fleet.stop_timeout_ms)
            run.stop_at_s = self.fleet.now_s + delay_ms / 1_000

    def end(self, run, how):
        """List the end of a run."""
        if self.runs.pop((run.task, run.number), None) is None:
            return
        run.update_saved(self.fleet.now_s)
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.end_count += 1
        saved = run.saved if how != "done" else ""
        self.ends.append([self.end_count, run.task, run.number, how, saved])
        self.fleet.note_end(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _hold(self, body):
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        self.seen = max(self.seen, body.get("last_seen", 0))
        for number, task, run, how, _ in self.ends:
            if number <= self.seen:
                self.fleet.taken_note_of[task, run] = how
        self.ends = [row for row in self.ends if row[0] > self.seen]
        ends_s = self.fleet.now_s + min(body.get("wait_ms", 0), 2_000) / 1_000
        life = self.lives
        while not self.ends and self.fleet.now_s < ends_s and self.is_up and life == self.lives:
            try:
                async with asyncio.timeout(max(0.001, ends_s - self.fleet.now_s)):
                    await self.changed.wait()
            except TimeoutError:
                break
        running = []
        for run in self.runs.values():
            run.update_saved(self.fleet.now_s)
            percent = min(100, int(100 * run.progress_ms(self.fleet.now_s) / run.work_ms))
            at_work = run.at_work_s is not None and self.fleet.now_s >= run.at_work_s
            running.append([run.task, run.number, run.saved, percent, run.cpu if at_work else 0])
        if self.fleet.shows_reports and running:
            rows = [f"{row[0]} {row[2]!r}" for row in running]
            self.fleet.record(f"report of {self.name}: {rows}")
        return 200, self._content(running=running, finished=self.ends[:MAX_ENDS])

    def tick(self):
        """Apply what is due: leases, stops and ends."""
        now_s = self.fleet.now_s
        if self.runs and self.clock_ms() >= self.lease_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
                if run.gang:
                    self.fleet.break_gang(run)
        for run in list(self.runs.values()):
            run.update_saved(now_s)
            if run.stop_at_s is not None and now_s >= run.stop_at_s:
                self.end(run, "stopped")
                if run.gang:
                    self.fleet.break_gang(run)
            elif run.at_work_s is not None and run.progress_ms(now_s) >= run.work_ms:
                if run.gang:
                    self.fleet.complete_gang(run)
                else:
                    self.end(run, "done")
            elif run.gang and run.at_work_s is None and now_s >= run.arrived_s + self.fleet.gang_s:
                self.end(run, "alone")
                self.fleet.break_gang(run)


class Fleet:
    """All runners of one service, and the gangs that span them."""

    def __init__(self, store, record, bounds, service="pool", zone="z-1", seed=1):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.rng = random.Random(seed)
        self.max_hold_ms = bounds["max_hold_ms"]
        self.stop_timeout_ms = bounds["stop_timeout_ms"]
        self.gang_s = bounds["gang_timeout_ms"] / 1_000
        self.runners = []
        # Per start: time, task, run, runner's name, checkpoint, spec.
        self.starts = []
        # Per end: time, task, run, runner's name, how.
        self.ended = []
        self.quiet_prefix = None
        # How the runs ended of which an instance has taken note, by task and run.
        self.taken_note_of = {}
        self.shows_reports = False
        self.clock_starts_ms = (1_000, 600_000)
        self._tasks = set()

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def add(self, name, cpu=16_000, mem_mb=65_536, rack="r1-1"):
        runner = Runner(self, name, cpu, mem_mb, rack)
        self.runners.append(runner)
        await runner.boot()
        return runner

    async def run(self):
        """Let time pass on the runners, until cancelled."""
        next_beat_s = self.now_s + HEARTBEAT_S
        while True:
            await asyncio.sleep(TICK_S)
            for runner in self.runners:
                if runner.is_up:
                    runner.tick()
            if self.now_s >= next_beat_s:
                next_beat_s += HEARTBEAT_S
                for runner in self.runners:
                    if runner.is_up:
                        runner.write_entry()

    def note_start(self, runner, run, spec):
        self.starts.append((self.now_s, run.task, run.number, runner.name, run.given, spec))
        if self.quiet_prefix is None or not run.task.startswith(self.quiet_prefix):
            self.record(
                f"start of {run.task} run {run.number} on {runner.name}, checkpoint {run.given!r}"
            )

    def note_end(self, runner, run, how):
        self.ended.append((self.now_s, run.task, run.number, runner.name, how))
        if self.quiet_prefix is None or not run.task.startswith(self.quiet_prefix):
            self.record(f"end of {run.task} run {run.number} on {runner.name}: {how}")

    def _members(self, run):
        found = []
        for runner in self.runners:
            for other in list(runner.runs.values()):
                if other.step == run.step and other.number == run.number:
                    found.append((runner, other))
        return found

    def join_gang(self, run):
        members = self._members(run)
        if len(members) < run.gang:
            return
        start_ms = max(member.done_ms for _, member in members)
        for _, member in members:
            member.done_ms = start_ms
            member.at_work_s = self.now_s + member.restore_s

    def break_gang(self, run):
        for runner, member in self._members(run):
            if member.at_work_s is not None:
                runner.end(member, "broken")

    def complete_gang(self, run):
        for runner, member in self._members(run):
            runner.end(member, "done")
