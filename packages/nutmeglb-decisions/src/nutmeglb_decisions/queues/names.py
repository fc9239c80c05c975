"""Names of tasks and steps: ``JOB.OCCURRENCE.STEP.INDEX`` and ``JOB.OCCURRENCE.STEP``."""

from dataclasses import dataclass

TASK_PARTS = 4
STEP_PARTS = 3


@dataclass(frozen=True, slots=True)
class TaskName:
    """Parsed parts of a task name."""

    job_id: str
    occurrence: int
    step: int
    index: int


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def step_name(job_id: str, occurrence: int, step: int) -> str:
    """Return the name of a step."""
    return f"{job_id}.{occurrence}.{step}"


def parse_task(name: str) -> TaskName | None:
    """Return the parts of a task name, or ``None`` if the text is not one."""
    parts = name.split(".")
    if len(parts) != TASK_PARTS or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
