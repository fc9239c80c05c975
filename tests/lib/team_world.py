"""A queue world in which each job belongs to a team, and a check of the teams' limits."""

from dataclasses import replace

from nutmeglb_formats.models.queues import Team
from nutmeglb_formats.models.resources import Resources
from tests.lib.queue_process import CLOCK_OFFSETS_MS
from tests.lib.queue_single_run import SingleRunRecord
from tests.lib.queue_world import World

TEAMS = ("a", "b")
# All of them admit the largest task of a job.
LIMITS = (4_000, 6_000, 9_000, 0)
FINAL_LIMIT = 9_000


class TeamRecord(SingleRunRecord):
    """Checks at each start that what a team has running is within its limit.

    A limit counts if it was in force at any time since the start was decided.
    """

    def __init__(self, world):
        super().__init__(world)
        self._world = world
        self._decided_ms = {}
        self.limits = {team: [(0.0, 0)] for team in TEAMS}

    def on_order(self, process, worker_id, order):
        leader = self._world.processes[process].leader
        run = leader.cell.workers[worker_id].runs[(order.task, order.run)]
        self._decided_ms[(order.task, order.run)] = run.ordered_ms - CLOCK_OFFSETS_MS[process]

    def on_start(self, life, run, sent_to, known_cpu):
        super().on_start(life, run, sent_to, known_cpu)
        if run.is_repeated:
            return
        team = self._team_of(run.task)
        used = sum(
            known.cpu
            for other in self._world.lives.values()
            for known in other.runs.values()
            if self._team_of(known.task) == team and not known.is_repeated
        )
        allowed = self._highest_limit(team, self._decided_ms[(run.task, run.number)])
        assert used <= allowed, f"QUOTA {team}: {used} of {allowed} with {run.task}"

    def _team_of(self, task):
        return self._world.jobs[task.partition(".")[0]].team

    def _highest_limit(self, team, since_ms):
        history = self.limits[team]
        # The order of a decision and a change at the same time is unknown.
        before = [cpu for at_ms, cpu in history if at_ms < since_ms][-1:]
        later = [cpu for at_ms, cpu in history if at_ms >= since_ms]
        return max(cpu or float("inf") for cpu in before + later)


class TeamWorld(World):
    """World with two teams, whose limits change."""

    def __init__(self):
        super().__init__()
        for team in TEAMS:
            self.limit(team, LIMITS[0])

    def make_record(self):
        return TeamRecord(self)

    def make_job(self, job_id, kind):
        return replace(super().make_job(job_id, kind), team=TEAMS[len(self.jobs) % len(TEAMS)])

    def finish(self):
        """End all faults. The limits then leave enough for all work within the usual time."""
        for team in TEAMS:
            self.limit(team, FINAL_LIMIT)
        super().finish()

    def limit(self, team, cpu):
        """Set the limit of a team. All leaders have it at once."""
        self.record.limits[team].append((self.simulation.now_ms, cpu))
        changed = {**(self.config.teams or {}), team: Team(team, 0, 1.0, Resources(cpu, 0, 0))}
        self.config = replace(self.config, teams=changed)
        for process in self.processes:
            if process.leader is not None:
                process.leader.configure(self.config)
