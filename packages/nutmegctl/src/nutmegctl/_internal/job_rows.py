"""Table rows and progress lines of jobs."""

from nutmegctl._internal.output import format_resources, format_time
from nutmeglb_formats.models.jobs import JobView

HEADINGS = ("job", "name", "team", "kind", "state", "waiting", "running", "finished", "why")


def job_row(view: JobView) -> tuple[object, ...]:
    """Return the table row of a job, in the order of ``HEADINGS``."""
    counts = (view.waiting, view.running, view.finished)
    spec = view.spec
    why = view.why or view.wait_reason.value.replace("none", "")
    return (view.job_id, spec.name, spec.team, spec.kind.value, view.state.value, *counts, why)


def job_details(view: JobView) -> list[tuple[str, object]]:
    """Return all fields of a job as pairs of name and value."""
    spec = view.spec
    return [
        *zip(HEADINGS, job_row(view), strict=True),
        ("tasks", spec.tasks),
        ("each task", format_resources(spec.resources)),
        ("class", spec.job_class.value),
        ("preemptible", str(spec.preemptible).lower()),
        ("submission id", spec.submission_id),
        ("submitted (UTC)", format_time(view.submitted_ms)),
        ("command", spec.command),
    ]


def progress_line(view: JobView) -> str:
    """Return the state and task counts of a job as one line."""
    counts = f"{view.finished} finished, {view.running} running, {view.waiting} waiting"
    return f"job {view.job_id} is {view.state.value}: {counts}" + (f"; {view.why}" * bool(view.why))
