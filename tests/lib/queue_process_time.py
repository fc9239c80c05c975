"""Clock and timers of a worker's process, which may stand still for a while."""

# Rounding of the sums of times.
TOLERANCE_MS = 1e-6


class ProcessTime:
    """Steady clock and timers of one process.

    Parameters
    ----------
    rate, clock_start_ms
        Rate of the clock, and its time now.
    """

    def __init__(self, simulation, rate, clock_start_ms):
        self._simulation = simulation
        self._rate = rate
        self._clock_start_ms = clock_start_ms
        self._origin_ms = simulation.now_ms
        # Time for which the clock stood still in former stalls.
        self._lost_ms = 0.0
        self._stalled_ms = None
        self._clock_stands_still = False
        self._overdue = []

    @property
    def is_stalled(self):
        """Return whether the process stands still."""
        return self._stalled_ms is not None

    @property
    def clock_ms(self):
        """Return the time on the clock."""
        return self._clock_start_ms + (self._elapsed_ms - self._origin_ms) * self._rate

    @property
    def _elapsed_ms(self):
        stands_still = self.is_stalled and self._clock_stands_still
        now_ms = self._stalled_ms if stands_still else self._simulation.now_ms
        return now_ms - self._lost_ms

    def at(self, delay_ms, callback):
        """Call a function after a delay on the clock, but not while the process is stalled."""
        due_ms = self._elapsed_ms + delay_ms
        self._simulation.at(delay_ms, lambda: self._fire(due_ms, callback))

    def _fire(self, due_ms, callback):
        remaining_ms = due_ms - self._elapsed_ms
        if self.is_stalled:
            self._overdue.append((due_ms, callback))
        elif remaining_ms > TOLERANCE_MS:
            self._simulation.at(remaining_ms, lambda: self._fire(due_ms, callback))
        else:
            callback()

    def stall(self, clock_stands_still):
        """Let the process stand still, and perhaps its clock."""
        self._stalled_ms = self._simulation.now_ms
        self._clock_stands_still = clock_stands_still

    def resume(self):
        """Let the process go on. Return a function that runs the timers which are overdue."""
        if self._clock_stands_still:
            self._lost_ms += self._simulation.now_ms - self._stalled_ms
        self._stalled_ms = None
        overdue, self._overdue = self._overdue, []

        def run_overdue():
            for due_ms, callback in overdue:
                self._fire(due_ms, callback)

        return run_overdue
