"""Choice of a worker for a request, from indexes of the workers by free capacity and load."""

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from sortedcontainers import SortedList

from nutmeglb_decisions.tasks.ledger import Account
from nutmeglb_formats.models.resources import Resources

# Scoring 8 candidates packs as densely as scoring all of 24 workers.
MAX_CANDIDATES = 8
FULLNESS_WEIGHT = 0.01

Score = Callable[[Account, Resources], float]
WorkerFilter = Callable[[Account], bool]


def pack_score(account: Account, request: Resources) -> float:
    """Return a score that prefers balanced free processors and memory, then little free capacity.

    Once either resource of a worker is exhausted, the rest of the other one is unusable. With equal
    weights for balance and fullness, up to 7.5 % of the scarcest resource stayed unused on 24
    workers; with ``FULLNESS_WEIGHT``, up to 0.7 %.
    """
    free, capacity = account.free, account.capacity
    cpu = (free.cpu_millis - request.cpu_millis) / (capacity.cpu_millis or 1)
    memory = (free.memory_bytes - request.memory_bytes) / (capacity.memory_bytes or 1)
    return abs(cpu - memory) + FULLNESS_WEIGHT * (cpu + memory)


def utilization(account: Account) -> float:
    """Return the used share of a worker's scarcest resource, from 0 to 1."""
    capacity = account.capacity
    return 1.0 - min(
        account.free.cpu_millis / (capacity.cpu_millis or 1),
        account.free.memory_bytes / (capacity.memory_bytes or 1),
    )


def spread_score(worker_tasks: Callable[[str], int], rack_tasks: Callable[[str], int]) -> Score:
    """Return a score that prefers racks and workers with few tasks of the job, then low usage.

    Parameters
    ----------
    worker_tasks, rack_tasks
        Number of tasks of the job on a worker and in a rack.
    """

    def score(account: Account, request: Resources) -> float:
        task_count = rack_tasks(account.rack) + 2 * worker_tasks(account.worker)
        return task_count + utilization(account)

    return score


@dataclass(frozen=True, slots=True)
class Reservation:
    """Resources on a worker set aside for a job that is expected to start at ``start_ms``."""

    job_id: str
    needed: Resources
    start_ms: float


class _WorkerIndex:
    """Workers with or without accelerators, sorted by free processors, free memory and load."""

    def __init__(self) -> None:
        self.by_cpu: SortedList = SortedList()
        self.by_memory: SortedList = SortedList()
        self.by_load: SortedList = SortedList()
        self._keys: dict[str, tuple[int, int, float]] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def put(self, account: Account) -> None:
        worker = account.worker
        keys = (account.free.cpu_millis, account.free.memory_bytes, utilization(account))
        if self._keys.get(worker) == keys:
            return
        self.discard(worker)
        self._keys[worker] = keys
        self.by_cpu.add((keys[0], worker))
        self.by_memory.add((keys[1], worker))
        self.by_load.add((keys[2], worker))

    def discard(self, worker: str) -> None:
        keys = self._keys.pop(worker, None)
        if keys is not None:
            self.by_cpu.remove((keys[0], worker))
            self.by_memory.remove((keys[1], worker))
            self.by_load.remove((keys[2], worker))

    def tightest_first(self, request: Resources) -> Iterator[str]:
        """Yield workers with enough of the resource that fewer workers have, the fullest first."""
        cpu_start = self.by_cpu.bisect_left((request.cpu_millis, ""))
        memory_start = self.by_memory.bisect_left((request.memory_bytes, ""))
        if cpu_start >= memory_start:
            return (item[1] for item in islice(self.by_cpu, cpu_start, None))
        return (item[1] for item in islice(self.by_memory, memory_start, None))

    def least_loaded_first(self) -> Iterator[str]:
        return (item[1] for item in self.by_load)


class PlacementEngine:
    """Chooses workers for tasks, and indexes the workers that may receive them.

    Parameters
    ----------
    accounts
        The ledger's accounts by worker.
    """

    def __init__(self, accounts: dict[str, Account]) -> None:
        self._accounts = accounts
        self._plain = _WorkerIndex()
        self._accelerated = _WorkerIndex()
        self._enabled: dict[str, None] = {}
        self.reservations: dict[str, Reservation] = {}

    def enable(self, worker: str) -> None:
        """Add a worker to those that may receive tasks."""
        self._enabled[worker] = None
        self.refresh(self._accounts[worker])

    def disable(self, worker: str) -> None:
        """Remove a worker from those that may receive tasks."""
        self._enabled.pop(worker, None)
        self._plain.discard(worker)
        self._accelerated.discard(worker)

    def enabled(self) -> Collection[str]:
        """Return the workers that may receive tasks, in a deterministic order."""
        return self._enabled

    def refresh(self, account: Account) -> None:
        """Update the index after a change of a worker's free resources."""
        if account.worker not in self._enabled:
            return
        accelerated = account.capacity.accelerators > 0
        (self._accelerated if accelerated else self._plain).put(account)
        (self._plain if accelerated else self._accelerated).discard(account.worker)

    def choose(
        self,
        request: Resources,
        score: Score,
        *,
        spread: bool,
        job_id: str = "",
        end_ms: float = float("inf"),
        accept: WorkerFilter | None = None,
    ) -> str | None:
        """Return the best of a bounded number of candidates, or ``None`` when nothing fits.

        Parameters
        ----------
        end_ms
            Expected end of the task. A task may use reserved resources if it ends before the
            expected start of the job that they are reserved for.
        accept
            Additional condition on the worker.
        """
        for pool in self._indexes_for(request):
            order = pool.least_loaded_first() if spread else pool.tightest_first(request)
            candidates = self._candidates(order, request, job_id, end_ms, accept)
            best = min(
                ((score(account, request), account.worker) for account in candidates), default=None
            )
            if best is not None:
                return best[1]
        return None

    def _indexes_for(self, request: Resources) -> Iterable[_WorkerIndex]:
        # Tasks without accelerators use workers that have them only if no other worker fits.
        if request.accelerators:
            return (self._accelerated,)
        return (self._plain, self._accelerated) if len(self._accelerated) else (self._plain,)

    def _candidates(
        self,
        order: Iterator[str],
        request: Resources,
        job_id: str,
        end_ms: float,
        accept: WorkerFilter | None,
    ) -> Iterator[Account]:
        candidate_count = 0
        for worker in order:
            account = self._accounts[worker]
            if not request.fits_in(account.free) or (accept and not accept(account)):
                continue
            if self.reservations and not self._respects_reservation(
                account, request, job_id, end_ms
            ):
                continue
            yield account
            candidate_count += 1
            if candidate_count == MAX_CANDIDATES:
                return

    def _respects_reservation(
        self, account: Account, request: Resources, job_id: str, end_ms: float
    ) -> bool:
        reservation = self.reservations.get(account.worker)
        if reservation is None or reservation.job_id == job_id or end_ms <= reservation.start_ms:
            return True
        return (request + reservation.needed).fits_in(account.free)
