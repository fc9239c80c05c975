"""Decision lines of the instances, to trace why a run was released."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from scripts.queue_soak_checks import SeenRun, SeenViolation

MS_PER_S = 1_000.0
# Lines about a worker or a leader are shown from this long before a violation.
CONTEXT_S = 15.0
ERROR_CHARACTERS = 100
SHOWN_LINES_OF_JOB = 20
RELEASE_KINDS = ("runs_ended", "start_refused")
WORKER_KINDS = (
    "worker_silent", "worker_restarted", "worker_unlisted", "workers_waited_out", "runs_lost",
)  # fmt: skip
LEADER_MESSAGES = (
    "election: leadership gained",
    "election: leadership lost",
    "leader: took over",
)


class SoakLogs:
    """Lines of all instances' logs in the order of their times."""

    def __init__(self, files: Iterable[Path]) -> None:
        self._lines: list[dict[str, Any]] = []
        for file in files:
            lines = list(_read_lines(file))
            decision = next((line for line in lines if "order_ms" in line), None)
            offset_ms = decision["at_ms"] - decision["order_ms"] if decision else 0.0
            for line in lines:
                if "timestamp" in line:
                    line.setdefault("at_ms", line["timestamp"] * MS_PER_S + offset_ms)
                self._lines.append(line)
        self._lines.sort(key=lambda line: float(line.get("at_ms", 0.0)))

    def about(self, runs: Iterable[SeenRun]) -> list[dict[str, Any]]:
        """Return the lines about runs, their workers and the leaders, until the last start."""
        seen = list(runs)
        at_s = max(run.started_s for run in seen)
        workers = {run.worker for run in seen}
        return [
            line
            for line in self._lines
            if any(_names(line, run) for run in seen)
            or (_is_near(line, at_s) and _is_context(line, workers))
        ]

    def about_job(self, job: str) -> list[dict[str, Any]]:
        """Return the last lines that name a job."""
        named = [line for line in self._lines if job in json.dumps(line)]
        return named[-SHOWN_LINES_OF_JOB:]

    def listed(self, text: str) -> int:
        """Return how many workers were listed whose id contains a text."""
        listed = [line for line in self._lines if line.get("kind") == "worker_listed"]
        return len({line["worker"] for line in listed if text in line["worker"]})

    def errors(self) -> dict[str, int]:
        """Return how often each error is in the logs."""
        lines = [line for line in self._lines if line.get("level") in ("error", "critical")]
        return dict(Counter(str(line.get("text", ""))[:ERROR_CHARACTERS] for line in lines))

    def releases(self, violation: SeenViolation) -> list[dict[str, Any]]:
        """Return the lines that release runs which are active at a violation."""
        at_ms = violation.at_s * MS_PER_S
        return [
            line
            for line in self._lines
            if line.get("kind") in RELEASE_KINDS
            and line.get("at_ms", 0.0) <= at_ms
            and any(_names(line, run) for run in violation.runs if run.ended_s >= violation.at_s)
        ]

    def cause(self, violation: SeenViolation) -> str:
        """Return rule and cause of the last release before a violation."""
        if any(run.late_s for run in violation.runs):
            return f"{violation.rule} late order"
        lines = self.releases(violation)
        if len({run.fence for run in violation.runs}) > 1:
            return f"{violation.rule} several leaders"
        if not lines:
            return f"{violation.rule} no release"
        last = max(lines, key=lambda line: float(line["at_ms"]))
        return f"{violation.rule} {last['kind']} {last['cause']}"


def _read_lines(file: Path) -> Iterable[dict[str, Any]]:
    """Return the lines of a log. A line that is not JSON, as of an exception, is kept as text."""
    for text in file.read_text(errors="replace").splitlines():
        try:
            yield json.loads(text) | {"file": file.name}
        except json.JSONDecodeError:
            yield {"text": text, "file": file.name}


def _names(line: dict[str, Any], run: SeenRun) -> bool:
    """Return whether a line names a run."""
    step, _, index = run.task.rpartition(".")
    if line.get("task") == run.task:
        return True
    if line.get("step") != step:
        return False
    runs = str(line.get("runs", "")).split()
    if line.get("worker") == run.worker and f"{index}:{run.number}" in runs:
        return True
    return any(each.startswith(f"{index}@{run.worker}:") for each in runs)


def _is_context(line: dict[str, Any], workers: set[str]) -> bool:
    """Return whether a line tells of the leader, or of a change of one of the workers."""
    if line.get("text") in LEADER_MESSAGES:
        return True
    return line.get("kind") in WORKER_KINDS and line.get("worker", "") in workers | {""}


def _is_near(line: dict[str, Any], at_s: float) -> bool:
    at_ms = line.get("at_ms")
    return at_ms is not None and at_s - CONTEXT_S <= at_ms / MS_PER_S <= at_s + 1.0
