"""A worker as the platform's protocol describes it, with every freedom that the protocol leaves."""

from dataclasses import dataclass, field

from nutmeglb._internal.queues.ports import OrderAnswer
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.models.queues import EndedTask, RunningTask, WorkerReport
from tests.lib.queue_process_time import ProcessTime

# Longest lease that a worker grants.
MAX_HOLD_MS = 10_000.0
MAX_ENDS = 500
FENCED = "fenced"
UNHEALTHY = "unhealthy"
# Interval at which a worker writes its entry, and the time for which a former, larger capacity
# still counts after that (stable_ms and heartbeat_ms of the platform).
BEAT_MS = 1_500.0
STABLE_MS = 3_000.0
# An order that is carried out later than this after it was sent was delayed on its way.
ORDER_MS = 400.0


@dataclass(eq=False)
class RunModel:
    """A run that uses capacity on a worker.

    ``is_repeated`` tells that a former life of the worker had barred the run. ``counted_cpu`` is
    the capacity that its start is judged by.
    """

    task: str
    number: int
    cpu: int
    hangs: bool
    stopping: bool = False
    is_repeated: bool = False
    counted_cpu: int = 0


@dataclass
class Habits:
    """What a worker does where the protocol leaves it open.

    Attributes
    ----------
    stop_ms
        Duration of a stop.
    hides_stopping
        Whether a run that is being stopped is in neither list.
    completes_when_stopped
        Whether a run that is being stopped ends as done.
    is_unhealthy
        Whether all calls are answered as unhealthy and have no effect.
    kill_ms
        Time from the end of a lease, or from the end of a stall during which it ended, until the
        runs are killed.
    """

    stop_ms: float = 50.0
    hides_stopping: bool = False
    completes_when_stopped: bool = False
    is_unhealthy: bool = False
    kill_ms: float = 0.0


@dataclass(eq=False)
class Life:
    """One incarnation of a worker.

    Attributes
    ----------
    observer
        World that is told of starts, ends, acknowledgements and lapses.
    rate, clock_start_ms
        Rate of the worker's clock, and its time at the start of this incarnation.
    deadline_ms
        End of the lease on the worker's clock.
    barred
        Per task: highest number of a run that was stopped or that ended here.
    """

    worker_id: str
    born: int
    cpu: int
    rate: float
    clock_start_ms: float
    simulation: object
    observer: object
    habits: Habits
    is_up: bool = True
    fence: int = 0
    deadline_ms: float = 0.0
    runs: dict = field(default_factory=dict)
    barred: dict = field(default_factory=dict)
    finished: list = field(default_factory=list)
    last_end: int = 0
    waiters: list = field(default_factory=list)
    hangs_next: int = 0
    # Ends the calls that have arrived and are not answered.
    connections: list = field(default_factory=list)

    def __post_init__(self):
        self._time = ProcessTime(self.simulation, self.rate, self.clock_start_ms)
        # Calls that have arrived during a stall, ``None`` if the machine accepts none.
        self._kept_calls = None
        self._ends_first = False
        self.stalls = 0
        # Former capacities and when each was replaced.
        self._former_cpus = []

    @property
    def clock_ms(self):
        """Return the time on the worker's clock."""
        return self._time.clock_ms

    @property
    def is_stalled(self):
        """Return whether the process stands still."""
        return self._time.is_stalled

    @property
    def accepts_connections(self):
        """Return whether the machine accepts connections, perhaps without its process."""
        return self.is_up and not (self.is_stalled and self._kept_calls is None)

    def stall(self, clock_stands_still, ends_first, accepts_connections):
        """Let the process stand still, and perhaps its clock.

        Parameters
        ----------
        ends_first
            Whether it completes runs and handles calls before it checks the lease afterwards.
        accepts_connections
            Whether calls are kept, and handled afterwards, or lost.
        """
        self.stalls += 1
        self._time.stall(clock_stands_still)
        self._ends_first = ends_first
        self._kept_calls = [] if accepts_connections else None

    def wake(self):
        """Let the process go on."""
        run_overdue = self._time.resume()
        kept_calls, self._kept_calls = self._kept_calls or [], None
        if not self._ends_first and not self.habits.kill_ms:
            self._check_lease()
        self.observer.on_woken(self)
        run_overdue()
        for execute in kept_calls:
            execute()
        self._schedule_check()

    def receive(self, execute):
        """Handle a call that has arrived, now or after a stall."""
        if not self.is_stalled:
            execute()
        elif self._kept_calls is not None:
            self._kept_calls.append(execute)

    def resize(self, cpu):
        """Change the capacity while runs continue."""
        self._former_cpus.append((self.simulation.now_ms, self.cpu))
        self.cpu = cpu

    def counted_cpu(self, since_ms):
        """Return the largest capacity since a time. A shrunk one counts after a beat and longer."""
        since_ms -= STABLE_MS + BEAT_MS
        return max([self.cpu, *(cpu for until_ms, cpu in self._former_cpus if until_ms > since_ms)])

    def crash(self):
        """End this incarnation."""
        self.is_up = False
        self._kept_calls = None
        self.observer.on_crash(self)
        self.runs.clear()
        self.waiters.clear()
        for close in self.connections:
            close(None)

    def start(self, order, sent_to, known_life, sent_ms, respond):
        """Handle an order to start a run, sent to a life by a leader that knew a life."""
        if not self._admits(order.fence, respond):
            return
        key = (order.task, order.run)
        run = self.runs.get(key)
        if run is not None and not run.stopping:
            self._extend(order.deadline_ms)
            respond(self._answer(StartOutcome.STARTED))
        elif order.run <= self.barred.get(order.task, 0):
            self._extend(order.deadline_ms)
            respond(self._answer(StartOutcome.STALE_RUN))
        elif order.deadline_ms <= self.clock_ms:
            respond(self._answer(StartOutcome.LATE))
        else:
            self._extend(order.deadline_ms)
            self._begin(order, sent_to, known_life, sent_ms)
            respond(self._answer(StartOutcome.STARTED))

    def _begin(self, order, sent_to, known_life, sent_ms):
        cpu, run_ms = self.observer.task_size(order.task)
        hangs = self.hangs_next > 0
        self.hangs_next -= hangs
        run = RunModel(order.task, order.run, cpu, hangs)
        judged_ms = min(self.simulation.now_ms, sent_ms + ORDER_MS)
        run.counted_cpu = self.counted_cpu(judged_ms)
        self.runs[(run.task, run.number)] = run
        known_cpu = 0
        if known_life is not self:
            known_cpu = known_life.counted_cpu(judged_ms) if known_life else float("inf")
        self.observer.on_start(self, run, sent_to, known_cpu)
        if not hangs:
            self._time.at(run_ms, lambda: self._end(run, "done"))

    def stop(self, task, number, fence, respond):
        """Handle an order to stop a run."""
        if not self._admits(fence, respond):
            return
        run = self.runs.get((task, number))
        self.barred[task] = max(number, self.barred.get(task, 0))
        if run is not None and not run.stopping:
            run.stopping = True
            outcome = "done" if self.habits.completes_when_stopped else "stopped"
            self._time.at(self.habits.stop_ms, lambda: self._end(run, outcome))
        respond(self._answer(StartOutcome.STARTED))

    def pace(self, fence, respond):
        """Handle an order to set a pace."""
        if self._admits(fence, respond):
            respond(self._answer(StartOutcome.STARTED))

    def hold(self, fence, last_seen, deadline_ms, wait_ms, respond):
        """Handle a renewal."""
        if not self._admits(fence, respond, is_hold=True):
            return
        for ended in self.finished:
            if ended.number <= last_seen:
                self.observer.on_acknowledged(self, ended)
        self.finished = [ended for ended in self.finished if ended.number > last_seen]
        if deadline_ms is not None:
            self._extend(deadline_ms)
        if self.finished or not wait_ms:
            respond(self._report())
            return
        waiter = [respond]
        self.waiters.append(waiter)
        self._time.at(wait_ms, lambda: self._answer_waiter(waiter))

    def _answer_waiter(self, waiter):
        if self.is_up and waiter in self.waiters:
            self.waiters.remove(waiter)
            waiter[0](self._report())

    def _admits(self, fence, respond, is_hold=False):
        if self.habits.is_unhealthy:
            respond(UNHEALTHY if is_hold else OrderAnswer(StartOutcome.UNHEALTHY))
            return False
        if fence < self.fence:
            respond(FENCED if is_hold else OrderAnswer(StartOutcome.INVALID, True, self.clock_ms))
            return False
        self.fence = fence
        return True

    def _answer(self, outcome):
        return OrderAnswer(outcome, False, self.clock_ms)

    def _report(self):
        running = tuple(
            RunningTask(run.task, run.number, "", 100, 0 if run.hangs else run.cpu)
            for run in self.runs.values()
            if not (run.stopping and self.habits.hides_stopping)
        )
        return WorkerReport(self.clock_ms, self.born, running, tuple(self.finished[:MAX_ENDS]))

    def _extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        if deadline_ms > self.deadline_ms:
            self.deadline_ms = deadline_ms
            self._schedule_check()

    def _schedule_check(self):
        remaining_ms = max(0.0, self.deadline_ms - self.clock_ms) / self.rate + 0.001
        self.simulation.at(remaining_ms, self._check_lease)

    def _check_lease(self):
        if not self._has_lapsed():
            return
        if self.habits.kill_ms:
            self.simulation.at(self.habits.kill_ms, self._kill)
        else:
            self._kill()

    def _has_lapsed(self):
        return self.is_up and not self.is_stalled and self.clock_ms >= self.deadline_ms

    def _kill(self):
        if self._has_lapsed():
            self.observer.on_lapsed(self)
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def _end(self, run, outcome):
        key = (run.task, run.number)
        if not self.is_up or self.runs.get(key) is not run:
            return
        del self.runs[key]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.last_end += 1
        ended = EndedTask(self.last_end, run.task, run.number, outcome, "")
        self.finished.append(ended)
        self.observer.on_end(self, ended)
        for waiter in list(self.waiters):
            self._answer_waiter(waiter)
