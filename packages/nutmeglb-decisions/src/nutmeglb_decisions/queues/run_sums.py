"""Sums of the runs of each team, updated from pass to pass."""

from collections.abc import Mapping

from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.resources import Resources

# Per team: millicores, bytes of memory and accelerators. Plain numbers, because they are summed for
# each run.
_Sums = dict[str, list[int]]


class RunSums:
    """Sums of the runs of each team on all workers.

    Only the workers whose charged capacity has changed since the last call are counted again, since
    a pass reads the sums while thousands of runs are active. ``Worker.used`` is replaced at each
    start and end of a run.
    """

    def __init__(self) -> None:
        self._counted: dict[str, tuple[Worker, Resources, _Sums]] = {}
        self._sums: _Sums = {}

    def update(self, workers: Mapping[str, Worker]) -> dict[str, Resources]:
        """Return the sums by team, of teams with runs."""
        counted = self._counted
        for worker_id, worker in workers.items():
            known = counted.get(worker_id)
            if known is None or known[1] is not worker.used or known[0] is not worker:
                self._forget(worker_id)
                sums = _sums_of(worker)
                counted[worker_id] = (worker, worker.used, sums)
                self._add(sums, 1)
        if counted.keys() != workers.keys():
            for worker_id in counted.keys() - workers.keys():
                self._forget(worker_id)
        return {team: Resources(*amounts) for team, amounts in self._sums.items() if any(amounts)}

    def _forget(self, worker_id: str) -> None:
        if worker_id in self._counted:
            self._add(self._counted.pop(worker_id)[2], -1)

    def _add(self, sums: _Sums, sign: int) -> None:
        for team, amounts in sums.items():
            total = self._sums.setdefault(team, [0, 0, 0])
            for index, amount in enumerate(amounts):
                total[index] += sign * amount


def _sums_of(worker: Worker) -> _Sums:
    sums: _Sums = {}
    for run in worker.runs.values():
        needs = run.step.needs
        total = sums.setdefault(run.step.team, [0, 0, 0])
        total[0] += needs.cpu_millis
        total[1] += needs.memory_bytes
        total[2] += needs.accelerators
    return sums
