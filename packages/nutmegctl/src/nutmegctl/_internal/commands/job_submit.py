"""Command ``job submit``."""

import uuid

from pydantic import ValidationError
from result import Err, Result

from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, fail, unwrap
from nutmeglb_formats.exceptions import UsageError
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import JobAnswer, JobRequest
from nutmeglb_formats.quantities import parse_cpu, parse_duration, parse_memory


@command(
    "job",
    "submit",
    examples=(
        "nutmegctl job submit recalibration --team=labs --cpu='2 cores' --memory='4 GiB'",
        "nutmegctl job submit review --team=labs --cpu=500m --memory='1 GiB' --tasks=40",
        "nutmegctl job submit train --team=labs --cpu='4 cores' --memory='8 GiB'"
        " --kind=gang --tasks=6 --run='20 min'",
    ),
)
async def job_submit(
    session: Session,
    name: str,
    team: str,
    cpu: str,
    memory: str,
    accelerators: int = 0,
    tasks: int = 1,
    kind: str = "batch",
    job_class: str = "deferred",
    run: str = "1 min",
    preemptible: bool = True,
    command: str = "",
    domain: str = "",
    submission_id: str = "",
) -> ExitStatus:
    """Submit a job and print its id.

    The sizes are those of one task, with units. RUN is the expected run time of a task. KIND is
    batch or gang, JOB_CLASS urgent or deferred. Without DOMAIN the policy's weights decide. When
    the answer is lost, submit again with the submission id that is printed first: it stays one job.
    """
    submission_id = submission_id or uuid.uuid4().hex
    values = {
        "submission_id": submission_id,
        "name": name,
        "team": team,
        "kind": kind,
        "tasks": tasks,
        "resources": {
            "cpu_millis": _unwrap_quantity("cpu", parse_cpu(cpu)),
            "memory_bytes": _unwrap_quantity("memory", parse_memory(memory)),
            "accelerators": accelerators,
        },
        "job_class": job_class,
        "run_ms": _unwrap_quantity("run", parse_duration(run)),
        "preemptible": preemptible,
        "command": command,
        "domain": domain or None,
    }
    body = _build_request(values).model_dump_json()
    session.output.progress(f"submission id {submission_id}")
    answer = unwrap(await session.client.post("/v1/jobs", JobAnswer, body))
    session.output.text(answer, f"Accepted as job {answer.job.job_id}")
    return ExitStatus.OK


def _unwrap_quantity(flag: str, parsed: Result[int, str]) -> int:
    if isinstance(parsed, Err):
        raise fail(UsageError(f"--{flag} is not valid", hint=parsed.err_value))
    return parsed.ok_value


def _build_request(values: dict[str, object]) -> JobRequest:
    try:
        return JobRequest.model_validate(values)
    except ValidationError as error:
        first_error = error.errors(include_url=False)[0]
        flag = str(first_error["loc"][-1]).replace("_", "-")
        raise fail(UsageError(f"--{flag} is not valid", hint=first_error["msg"])) from None
