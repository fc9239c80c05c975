"""Cases in which a lease lasts longer on its worker than by the leader's clock, or seems to.

Run ``python -m tests.lib.queue_silence_cases [NAME ...]`` to play the suspended machines, or cases
by name with their traces.
"""

import sys

from tests.lib.queue_world import CPU, LONG, replay

W = "w0"
# All tasks start on the same worker. The first leader is instance 1.
SHORT_RUNS = (("submit", 4),) * 6
LONG_RUNS = (("submit", LONG),) * 6
CUT = ("cut", W, -1, "both")
RESUMED = (("wake", W), ("advance", 3_000))


def stopped(clock_stands_still, ends_first, *steps, runs=LONG_RUNS):
    """Return a case in which a worker's process is stopped 1 s after its runs have started."""
    stall = ("stall", W, clock_stands_still, ends_first)
    return [*runs, ("advance", 1_000), stall, *steps, *RESUMED]


def suspended(clock_stands_still, ends_first, *steps, runs=LONG_RUNS):
    """Return the same case for a machine that accepts no connections."""
    stall = ("suspend", W, clock_stands_still, ends_first)
    return [*runs, ("advance", 1_000), stall, *steps, *RESUMED]


def restarted(*steps, entry_lag_ms=400):
    """Return a case in which a worker gets orders with deadlines for the clock of its former life.

    Its lease is shortened to the longest one, of 10 s.
    """
    restart = ("restart", W, CPU, 5, entry_lag_ms)
    return [("advance", 9_000), *LONG_RUNS, restart, ("advance", 20), *steps, ("advance", 14_000)]


def killing(kill_ms, *steps, runs=LONG_RUNS):
    """Return a case in which a worker that is cut off kills its runs late."""
    return [*runs, ("late_kill", W, kill_ms), ("advance", 1_000), CUT, *steps, ("advance", 9_000)]


LEADER_KILLED = (("advance", 3_000), ("kill", 1), ("advance", 17_000))
HANDED_OVER = (("advance", 4_500), ("hand_over", 1), ("advance", 12_000))
HANDED_OVER_TWICE = (
    ("advance", 4_500),
    ("hand_over", 1),
    ("advance", 3_000),
    ("hand_over", 0),
    ("advance", 12_000),
)
NINE_SECONDS = (("advance", 9_000),)

# The machine of the worker accepts connections while its process is stopped.
STOPPED = {
    "stopped_for_9_s_completes_runs_first": stopped(False, True, *NINE_SECONDS, runs=SHORT_RUNS),
    "stopped_for_9_s_with_long_runs": stopped(False, True, *NINE_SECONDS),
    "stopped_for_9_s_kills_late": [
        ("late_kill", W, 400),
        *stopped(False, False, *NINE_SECONDS),
    ],
    "stopped_for_9_s_kills_first": stopped(False, False, *NINE_SECONDS),
    "stopped_for_9_s_without_its_clock": stopped(True, False, *NINE_SECONDS),
    "stopped_for_9_s_without_its_clock_ends_first": stopped(
        True, True, *NINE_SECONDS, runs=SHORT_RUNS
    ),
    "stopped_for_3_s": stopped(False, True, ("advance", 3_000), runs=SHORT_RUNS),
    "stopped_for_3_s_without_its_clock": stopped(True, True, ("advance", 3_000)),
    "stopped_while_the_leader_is_killed": stopped(False, True, *LEADER_KILLED),
    "stopped_without_its_clock_while_the_leader_is_killed": stopped(True, False, *LEADER_KILLED),
    "stopped_while_the_leader_hands_over": stopped(False, True, *HANDED_OVER),
    "stopped_without_its_clock_while_the_leader_hands_over": stopped(True, False, *HANDED_OVER),
    "stopped_during_two_changes_of_leader": stopped(False, True, *HANDED_OVER_TWICE),
    "stopped_without_its_clock_during_two_changes_of_leader": stopped(
        True, False, *HANDED_OVER_TWICE
    ),
    # Waits for a worker that accepts connections must not count for the next leader.
    "stopped_while_the_leader_hands_over_after_its_wait": stopped(
        False, True, ("replace", 0), ("advance", 16_000), ("hand_over", 0), ("advance", 5_000)
    ),
    "stopped_again_after_a_short_stop": stopped(
        False, True, ("advance", 3_000), ("wake", W), ("advance", 200), ("stall", W, True, True),
        ("advance", 9_000),
    ),
    "killed_while_it_is_stopped": stopped(
        False, True, ("advance", 3_000), ("restart", W, CPU, 200, 400), ("advance", 9_000),
    ),
}  # fmt: skip
# Within the words of the platform's protocol.
DEADLINES = {
    "order_to_a_restarted_worker_before_its_leader_hands_over": restarted(("hand_over", 1), CUT),
    "order_to_a_restarted_worker_before_two_changes_of_leader": restarted(
        ("hand_over", 1), CUT, ("advance", 2_500), ("hand_over", 0)
    ),
    "order_to_a_restarted_worker_before_its_leader_is_killed": restarted(("kill", 1), CUT),
    "order_to_a_restarted_worker_before_its_leader_is_replaced": restarted(("replace", 0), CUT),
    "restarted_worker_is_cut_off_before_its_entry_is_read": restarted(CUT, entry_lag_ms=12_000),
    "restarted_worker_is_cut_off_when_its_entry_is_read": restarted(CUT),
    "worker_is_cut_off_during_two_changes_of_leader": [
        *LONG_RUNS,
        ("advance", 5_000),
        CUT,
        *HANDED_OVER_TWICE,
    ],
}
# 150 ms after the longest lease on the slowest clock the leader takes the runs for ended.
KILLS = {
    "cut_off_and_kills_100_ms_late": killing(100),
    "cut_off_and_kills_400_ms_late": killing(400),
    "cut_off_and_kills_1000_ms_late": killing(1_000),
    "cut_off_during_two_changes_of_leader_and_kills_1000_ms_late": killing(
        1_000, *HANDED_OVER_TWICE
    ),
}
# These machines accept no connections, which cannot be distinguished from a cut.
SUSPENDED = {
    "suspended_for_9_s": suspended(True, False, *NINE_SECONDS),
    "suspended_for_9_s_with_its_clock_running": suspended(False, True, *NINE_SECONDS),
    "suspended_for_9_s_with_its_clock_running_kills_first": suspended(False, False, *NINE_SECONDS),
    "suspended_during_two_changes_of_leader": suspended(True, False, *HANDED_OVER_TWICE),
}
ALL = {**STOPPED, **DEADLINES, **KILLS, **SUSPENDED}


def main(*names):
    """Play cases and print their results, and the traces of those that are named."""
    for name in names or SUSPENDED:
        try:
            world, error = replay(ALL[name]), None
        except AssertionError as failure:
            world, error = failure.world, failure
        if names:
            print("\n".join(world.trace))
        print(f"{name}: {error or 'passed'}")


if __name__ == "__main__":
    main(*sys.argv[1:])
