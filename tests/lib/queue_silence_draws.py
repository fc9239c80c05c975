"""Random cases of workers that fall silent under tasks which last longer than a lease.

Run ``python -m tests.lib.queue_silence_draws KIND FIRST LAST`` to play the cases of a range of
seeds. The first failed case of each kind of failure is printed with its reduced steps.
"""

import random
import sys
from collections import Counter

from tests.lib import queue_cases
from tests.lib.queue_world import LONG, WORKERS

JOBS = (LONG, LONG, 4, 5)
BEFORE_MS = (300, 1_000, 4_000, 9_000)
SILENCES_MS = (5_000, 7_000, 9_000, 12_000, 20_000)
PAUSES_MS = (150, 700, 1_500, 3_000)
# What may happen beside the silence.
LEADER_CHANGES = ("hand_over", "kill", "replace")
LEADER_STEPS = (*LEADER_CHANGES, "pause", "resume")
OTHER_STEPS = ("fault", "submit", "submit_long", "cancel", "unlist", "store_fault", "habit")
RESTART_LAGS_MS = (0, 400, 2_500, 12_000)


def stop_process(rng, worker):
    """Stop the process of a worker for longer than the silence, which is ended before."""
    return [("stall", worker, rng.random() < 0.5, rng.random() < 0.5)]


def suspend_machine(rng, worker):
    """Suspend the machine of a worker."""
    return [("suspend", worker, rng.random() < 0.5, rng.random() < 0.5)]


def cut_late_killer(rng, worker):
    """Cut off a worker that kills its runs late."""
    kill_ms = rng.choice(queue_cases.KILLS_MS)
    return [("late_kill", worker, kill_ms), ("cut", worker, -1, "both")]


def cut_restarted(rng, worker):
    """Restart a worker beside new orders, and cut it off, perhaps after a change of leader."""
    cpu = rng.choice(queue_cases.CAPACITIES)
    restart = ("restart", worker, cpu, 5, rng.choice(RESTART_LAGS_MS))
    jobs = [("submit", LONG)] * rng.randint(1, 6)
    orders = [("advance", rng.choice((10, 20, 60)))]
    change = [queue_cases.draw_step(rng, rng.choice(LEADER_CHANGES))] * rng.randint(0, 1)
    return [*jobs, restart, *orders, *change, ("cut", worker, -1, "both")]


SILENCES = {
    "stopped": stop_process,
    "suspended": suspend_machine,
    "kills": cut_late_killer,
    "deadlines": cut_restarted,
}


def draw_case(kind, seed):
    """Return the steps of a case with two silences of a kind, one after the other.

    Only one worker restarts, because a task is given up that was lost with several.
    """
    rng = random.Random(seed)
    steps = [("habit", worker, *queue_cases.draw_step(rng, "habit")[2:]) for worker in WORKERS]
    for _ in range(1 if kind == "deadlines" else 2):
        steps += [("submit", rng.choice(JOBS)) for _ in range(rng.randint(2, 8))]
        steps.append(("advance", rng.choice(BEFORE_MS)))
        worker = rng.choice(WORKERS)
        steps += SILENCES[kind](rng, worker)
        steps += _draw_silence(rng, rng.choice(SILENCES_MS))
        steps += [("heal",), ("advance", rng.choice((300, 3_000)))]
    return steps


def _draw_silence(rng, silence_ms):
    """Return what happens during a silence: mostly one or two changes of leader, or none."""
    steps = []
    kinds = [*rng.sample(LEADER_STEPS, rng.randint(0, 2)), *rng.sample(OTHER_STEPS, 1)]
    while silence_ms > 0:
        pause_ms = min(silence_ms, rng.choice(PAUSES_MS))
        silence_ms -= pause_ms
        steps.append(("advance", pause_ms))
        if rng.random() < 0.3:
            steps.append(queue_cases.draw_step(rng, rng.choice(kinds)))
    return steps


def main(kind, first, last):
    """Play the cases of a range of seeds."""
    found = {}
    counts = Counter()
    for seed in range(int(first), int(last) + 1):
        steps = draw_case(kind, seed)
        error = queue_cases.failure_of(steps)
        if error is not None:
            failure = queue_cases.kind_of(error)
            counts[failure] += 1
            found.setdefault(failure, (seed, steps, error))
    print(f"{counts.total()} of {int(last) - int(first) + 1} cases failed: {dict(counts)}")
    for seed, steps, error in found.values():
        steps, error = queue_cases.reduce_case(steps, error)
        print(f"seed {seed}: {error}")
        for drawn in steps:
            print(f"    {drawn!r},")


if __name__ == "__main__":
    main(*sys.argv[1:])
