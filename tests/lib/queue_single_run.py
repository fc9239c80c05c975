"""Checks at each start on a worker that no task runs twice and no worker exceeds its capacity."""

from collections import defaultdict
from dataclasses import dataclass


@dataclass(eq=False)
class DoneEnd:
    """End of a run as done.

    ``starts`` is the number of starts of the task before it.
    """

    life: object
    number: int
    run: int
    starts: int
    acknowledged: bool = False
    lapsed: bool = False


class SingleRunRecord:
    """Starts, ends and acknowledgements on all workers."""

    def __init__(self, world):
        self._world = world
        self._starts = defaultdict(list)
        self._done = defaultdict(list)
        self._former_bars = defaultdict(int)

    def task_size(self, task):
        """Return the CPU and the run time of a task."""
        return self._world.task_size(task)

    def on_order(self, process, worker_id, order):
        """Take note of an order that a process is about to send."""

    def on_start(self, life, run, sent_to, known_cpu):
        """Check a run that has just started.

        Parameters
        ----------
        sent_to, known_cpu
            Life of the worker when the order was sent; and the capacity that its sender knew if it
            knew only a former life, or else 0.
        """
        world = self._world
        world.note(f"{life.worker_id} STARTS {run.task} {run.number}")
        # A life cannot know which runs the former ones had barred, nor can a leader bar it again
        # before a copy of an order that was sent to a former life arrives.
        was_barred = run.number <= self._former_bars[(life.worker_id, run.task)]
        run.is_repeated = was_barred and sent_to is not life
        if run.is_repeated:
            return
        self._check_alone(life, run)
        self._starts[run.task].append((life.worker_id, run.number))
        for end in self._done[run.task]:
            assert not end.acknowledged, f"TWICE {run.task}: started after its end as done"
        limit = max(run.counted_cpu, known_cpu)
        used = sum(known.cpu for known in life.runs.values() if not known.is_repeated)
        assert used <= limit, f"LIMIT {life.worker_id}: {used} of {limit}"

    def on_woken(self, life):
        """Check the runs of a life that has stood still: they did not count as up until now."""
        self._world.note(f"{life.worker_id} goes on with {list(life.runs)}")
        for run in life.runs.values():
            if not run.is_repeated:
                self._check_alone(life, run)

    def _check_alone(self, life, run):
        active = [
            (other.worker_id, known.number, "stopping" if known.stopping else "active")
            for other in self._world.lives.values()
            for known in other.runs.values()
            if known.task == run.task
            and known is not run
            and not known.is_repeated
            and not other.is_stalled
        ]
        assert not active, f"TWICE {run.task}: {life.worker_id} {run.number} beside {active}"

    def on_end(self, life, ended):
        """Record the end of a run."""
        self._world.note(f"{life.worker_id} ENDS {ended.task} {ended.run} {ended.outcome}")
        if ended.outcome == "done":
            starts = len(self._starts[ended.task])
            self._done[ended.task].append(DoneEnd(life, ended.number, ended.run, starts))

    def on_acknowledged(self, life, ended):
        """Check an end that the leader has taken note of."""
        for end in self._done[ended.task]:
            if end.life is life and end.number == ended.number and not end.lapsed:
                self._world.note(f"{life.worker_id} acknowledged {ended.task} {ended.run}")
                end.acknowledged = True
                later = self._starts[ended.task][end.starts :]
                assert not later, f"TWICE {ended.task}: {later} after its end as done"

    def on_lapsed(self, life):
        """Record that the lease of a worker has expired."""
        self._world.note(f"{life.worker_id} lease expires with {list(life.runs)}")
        for ends in self._done.values():
            for end in ends:
                end.lapsed |= end.life is life and not end.acknowledged

    def on_crash(self, life):
        """Record which runs a life had barred, of which the next life knows nothing."""
        for task, number in life.barred.items():
            key = (life.worker_id, task)
            self._former_bars[key] = max(number, self._former_bars[key])
