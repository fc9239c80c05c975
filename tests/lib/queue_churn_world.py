"""A world whose workers crash and come back under another id, with gangs and slow advice.

A call to a crashed worker is refused at once, and its successor at the address refuses calls that
name another worker. After the faults, a job must not be idle beside free capacity (rule LOST).
"""

import asyncio
import json
import zlib
from collections import Counter, defaultdict
from dataclasses import replace

from result import Err, Ok

from nutmeglb._internal.queues.ports import Advice, OrderAnswer
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.exceptions import AgentError
from nutmeglb_formats.models.queues import AdviceTiming
from tests.lib.queue_crashing_tasks import CRASHES_TO_GIVE_UP
from tests.lib.queue_gateway_model import HOP_MS, MS_PER_S, GatewayModel
from tests.lib.queue_worker_model import Habits, Life
from tests.lib.queue_world import UNLISTED_AFTER_MS, World
from tests.lib.queues import ADVISED, CONFIG, job, step

SLOTS = tuple(f"s{number:02}" for number in range(12))
CPU = 32_000
# One instance calls, so a call takes less time than where several do.
TIMING = AdviceTiming(100.0, 30.0, 2_500.0)
QUEUE = replace(ADVISED, advice=TIMING, attempts=100)
JOBS = (
    (step(6, 10_500, estimate_ms=1_500.0, gang=True),),
    (step(3, 10_500, estimate_ms=800.0, gang=True),),
    (step(2, 8_000, estimate_ms=1_000.0),),
    (step(1, 4_000, estimate_ms=2_000.0),),
)
# Share of the workers that advice approves for a step, in percent.
APPROVED_PERCENT = 60
# After this time without faults, no job may be idle for longer than the limit.
CALM_MS = 4_000.0
IDLE_LIMIT_MS = 3_000.0
SAMPLE_MS = 250.0
# Time in which all jobs have to end after the faults.
END_MS = 40_000.0


class CrashLife(Life):
    """A worker on which members of a gang end as done only if all of them have run."""

    def _end(self, run, outcome):
        if outcome == "done":
            outcome = self.observer.gang_outcome(run)
        super()._end(run, outcome)


class CrashGateway(GatewayModel):
    """Refuses calls to addresses without a process or with another worker."""

    async def start(self, worker, order):
        refusal = await self._refusal(worker)
        return OrderAnswer(refusal) if refusal else await super().start(worker, order)

    async def stop(self, worker, task, run, fence):
        refusal = await self._refusal(worker)
        return OrderAnswer(refusal) if refusal else await super().stop(worker, task, run, fence)

    async def hold(self, worker, fence, last_seen, deadline_ms, wait_ms):
        refusal = await self._refusal(worker)
        if not refusal:
            return await super().hold(worker, fence, last_seen, deadline_ms, wait_ms)
        is_other = refusal == StartOutcome.OTHER_INCARNATION
        context = {"fenced": False, "other_incarnation": is_other, "not_sent": not is_other}
        return Err(AgentError("refused", context=context, hint="none"))

    async def _refusal(self, worker):
        life = self._world.occupants[worker.address]
        if life.is_up and life.worker_id == worker.worker_id:
            return None
        await asyncio.sleep(HOP_MS / MS_PER_S)
        if not life.is_up:
            return StartOutcome.NOT_DELIVERED
        return StartOutcome.OTHER_INCARNATION


class AdviceModel:
    """Approves a fixed share of the workers for each step, after a slow call."""

    async def request_advice(self, step_name, workers, timeout_ms):
        await asyncio.sleep(TIMING.call_ms(len(workers)) / MS_PER_S)
        good = [
            worker
            for worker in workers
            if zlib.crc32(f"{step_name}|{worker}".encode()) % 100 < APPROVED_PERCENT
        ]
        return Ok(Advice(tuple((worker, f"t-{worker}") for worker in good), TIMING.valid_ms))


class ChurnWorld(World):
    """Twelve workers that crash. Further steps of a case: ``crash`` and ``fault_at``."""

    def __init__(self):
        self.occupants = {}
        self._slot_of = {}
        self._lives_of_slot = defaultdict(int)
        self._started = defaultdict(set)
        self._broken = set()
        self._crashes_under = Counter()
        super().__init__()
        self.config = replace(CONFIG, queues=(*CONFIG.queues, QUEUE))

    def make_gateway(self, number):
        return CrashGateway(self, number)

    def make_advice(self):
        return AdviceModel()

    def make_job(self, job_id, kind):
        return job(job_id, *JOBS[kind % len(JOBS)], queue=QUEUE)

    def task_size(self, task):
        cpu, run_ms = super().task_size(task)
        spec = self.step_of(task)
        return cpu, spec.estimate_ms if spec.gang else run_ms

    def _begin_lives(self):
        for slot in SLOTS:
            self._begin_slot(slot)

    def _begin_slot(self, slot):
        self._born += 1_000
        self._lives_of_slot[slot] += 1
        worker = f"{slot}-{self._lives_of_slot[slot]}"
        self.habits[worker] = Habits()
        life = CrashLife(
            worker, self._born, CPU, 1.0, 0.0, self.simulation, self, self.habits[worker]
        )
        self._slot_of[worker] = slot
        self.lives[worker] = self.occupants[f"{slot}:1"] = life
        self._list_worker(life)

    def _list_worker(self, life):
        address = f"{self._slot_of[life.worker_id]}:1"
        entry = json.dumps({"born": life.born, "cpu": life.cpu, "address": address}).encode()
        self.store.put(f"servers/{life.worker_id}", entry)

    def crash(self, slot, down_ms):
        """Crash the worker of a slot. Another one starts there after a while, if not ``None``."""
        life = self.occupants[f"{slot}:1"]
        if not life.is_up:
            return
        self.note(f"{life.worker_id} crashes with {list(life.runs)}")
        life.crash()
        self.simulation.at(
            UNLISTED_AFTER_MS, lambda: self.store.remove(f"servers/{life.worker_id}")
        )
        if down_ms is not None:
            self.simulation.at(down_ms, lambda: self._begin_slot(slot))

    def fault_at(self, slot, call, fate, late_ms, count):
        """Set what happens to the next calls of a kind to the present worker of a slot."""
        self.fault(self.occupants[f"{slot}:1"].worker_id, call, fate, late_ms, count)

    # Observer of the workers.

    def on_start(self, life, run, sent_to, known_cpu):
        self.record.on_start(life, run, sent_to, known_cpu)
        self._started[_step_run(run.task, run.number)].add(run.task)

    def on_end(self, life, ended):
        self.record.on_end(life, ended)

    def on_acknowledged(self, life, ended):
        self.record.on_acknowledged(life, ended)

    def on_lapsed(self, life):
        self.record.on_lapsed(life)

    def on_crash(self, life):
        self.record.on_crash(life)
        self._broken |= {_step_run(task, number) for task, number in life.runs}
        self._crashes_under.update(task for task, _ in life.runs)

    def gang_outcome(self, run):
        """Return how a run ends that has done its work."""
        spec = self.step_of(run.task)
        key = _step_run(run.task, run.number)
        if spec.gang and (key in self._broken or len(self._started[key]) < spec.count):
            return "broken"
        return "done"

    def finish(self):
        """End all faults; then no job may be idle, and every job has to end."""
        self.heal()
        self.fates.clear()
        self.advance(CALM_MS)
        idle_ms = defaultdict(float)
        for _ in range(round(END_MS / SAMPLE_MS)):
            unfinished = [job_id for job_id, _ in self._unfinished()]
            if not unfinished:
                break
            active = {
                task.partition(".")[0]
                for life in self.lives.values()
                for task, _ in (life.runs if life.is_up else ())
            }
            for job_id in unfinished:
                idle_ms[job_id] = 0.0 if job_id in active else idle_ms[job_id] + SAMPLE_MS
                is_lost = idle_ms[job_id] > IDLE_LIMIT_MS and self._has_room_twice(job_id)
                assert not is_lost, f"LOST {job_id}: idle for {idle_ms[job_id]} ms"
            self.advance(SAMPLE_MS)
        assert not self._unfinished(), f"not completed: {self._unfinished()}"
        assert not self.defects, f"a process failed: {self.defects[0]}"

    def _unfinished(self):
        """Return the jobs without their expected end.

        A job may fail if several workers crashed under one of its tasks, for whatever cause.
        """
        unfinished = []
        for job_id, final in super()._unfinished():
            crashes = [n for task, n in self._crashes_under.items() if task.startswith(job_id)]
            may_fail = max(crashes, default=0) >= CRASHES_TO_GIVE_UP
            assert may_fail or final != "failed", f"FAILED {job_id}: without cause"
            if final != "failed":
                unfinished.append((job_id, final))
        return unfinished

    def _has_room_twice(self, job_id):
        lives = [life for life in self.lives.values() if life.is_up]
        free = [life.cpu - sum(run.cpu for run in life.runs.values()) for life in lives]
        total = sum(life.cpu for life in lives)
        spec = self.jobs[job_id].steps[0]
        slots = sum(cpu // spec.needs.cpu_millis for cpu in free)
        return slots >= 2 * spec.count and sum(free) > total / 2


def _step_run(task, number):
    return task.rpartition(".")[0], number
