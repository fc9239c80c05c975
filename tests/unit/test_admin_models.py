"""Bodies of the administration API: guards against answers that the client cannot decode."""

import math

import pytest

from nutmeglb_formats.models.admin import JobListAnswer, JobRequest
from nutmeglb_formats.models.config import JobKind
from nutmeglb_formats.models.jobs import JobSpec, JobState, JobView
from nutmeglb_formats.models.resources import Resources


def test_job_of_a_service_with_infinite_run_time_is_read_back() -> None:
    spec = JobSpec("s", "renderer", "labs", JobKind.SERVICE, 2, Resources(1), run_ms=math.inf)
    answer = JobListAnswer(jobs=[JobView("a.1", spec, JobState.RUNNING, 0, 2, 0, 1.5)])
    assert JobListAnswer.model_validate_json(answer.model_dump_json()) == answer


@pytest.mark.parametrize("run_ms", ["Infinity", "NaN", -1, 1e99])
def test_request_with_unbounded_run_time_is_refused(run_ms: object) -> None:
    values = {"submission_id": "s", "name": "n", "team": "t", "resources": {}, "run_ms": run_ms}
    with pytest.raises(ValueError, match="run_ms"):
        JobRequest.model_validate(values)
