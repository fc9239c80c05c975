"""Guards the administration API against unauthorised calls, unbounded input, untyped errors."""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from nutmeglb_formats.exceptions import StoreOutcomeUnknown, StoreUnavailable
from tests.lib.admin_fakes import COUNTERS, LABS, OPERATOR, AdminFixture, running_admin
from tests.lib.samples import TICKET

NEW_TICKET = TICKET.replace("base: 3", "base: 0")
JOB = {
    "submission_id": "s1",
    "name": "recalibration",
    "team": "labs",
    "resources": {"cpu_millis": 500},
}


async def call(
    fixture: AdminFixture, method: str, path: str, token: str = OPERATOR, body: str | None = None
) -> HTTPResponse:
    if method == "POST" and body is None:
        body = ""
    return await AsyncHTTPClient().fetch(
        f"http://{fixture.server.address}{path}",
        method=method,
        headers={"Authorization": f"Bearer {token}"},
        body=body,
        raise_error=False,
    )


def run(*calls: tuple[str, str, str, str | None]) -> list[HTTPResponse]:
    async def main() -> list[HTTPResponse]:
        async with running_admin() as fixture:
            return [await call(fixture, *each) for each in calls]

    return asyncio.run(main())


SUBMIT = ("POST", "/v1/jobs", LABS, json.dumps(JOB))


@pytest.mark.parametrize(
    ("method", "path", "token", "body", "status", "kind"),
    [
        ("GET", "/v1/status", "wrong", None, 401, "Unauthenticated"),
        ("GET", "/v1/status", "", None, 401, "Unauthenticated"),
        ("GET", "/v1/status", COUNTERS, None, 200, None),
        ("GET", "/v1/status?x=1", OPERATOR, None, 400, "BadRequest"),
        ("GET", "/v1/workers", COUNTERS, None, 403, "PermissionRefused"),
        ("GET", "/v1/timeline", COUNTERS, None, 403, "PermissionRefused"),
        ("GET", "/v1/timeline?limit=0", OPERATOR, None, 400, "BadRequest"),
        ("GET", "/v1/timeline?ticket=x", OPERATOR, None, 400, "BadRequest"),
        ("GET", "/v1/tickets", COUNTERS, None, 403, "PermissionRefused"),
        ("GET", "/v1/tickets/9", OPERATOR, None, 404, "NotFound"),
        ("GET", "/v1/nothing", OPERATOR, None, 404, "BadRequest"),
        ("GET", "/v1/jobs/a.s1", COUNTERS, None, 404, "NotFound"),
        ("GET", "/v1/jobs/a.s1", LABS, None, 200, None),
        ("GET", "/v1/jobs/a.s1/why", COUNTERS, None, 404, "NotFound"),
        ("POST", "/v1/jobs/a.s1/cancel", COUNTERS, "", 404, "NotFound"),
        ("POST", "/v1/jobs/a.s1/cancel", LABS, "", 200, None),
        ("POST", "/v1/jobs", COUNTERS, json.dumps(JOB), 403, "PermissionRefused"),
        ("POST", "/v1/jobs", LABS, json.dumps({**JOB, "cpu": 1}), 400, "BadRequest"),
        ("POST", "/v1/jobs", LABS, json.dumps({**JOB, "tasks": 0}), 400, "BadRequest"),
        ("POST", "/v1/jobs", LABS, "{", 400, "BadRequest"),
        ("POST", "/v1/tickets", COUNTERS, NEW_TICKET, 403, "PermissionRefused"),
        ("POST", "/v1/tickets", OPERATOR, "format: 1", 422, "TicketInvalid"),
        ("POST", "/v1/tickets/check", OPERATOR, NEW_TICKET, 200, None),
        ("POST", "/v1/tickets", OPERATOR, NEW_TICKET, 201, None),
    ],
)
def test_call_is_answered_with_the_expected_status(
    method: str, path: str, token: str, body: str | None, status: int, kind: str | None
) -> None:
    response = run(SUBMIT, (method, path, token, body))[1]
    answer = json.loads(response.body)
    assert response.code == status, answer
    if kind is not None:
        assert answer["errors"][0]["kind"] == kind
        assert answer["errors"][0]["hint"]
    assert "Server" not in response.headers


def test_racing_tickets_one_succeeds_and_the_other_names_it() -> None:
    second = NEW_TICKET.replace("raise-quota", "other")
    responses = run(
        ("POST", "/v1/tickets", OPERATOR, NEW_TICKET),
        ("POST", "/v1/tickets", OPERATOR, second),
        ("POST", "/v1/tickets", OPERATOR, NEW_TICKET),
        ("GET", "/v1/tickets/1", OPERATOR, None),
    )
    assert [response.code for response in responses] == [201, 409, 201, 200]
    assert json.loads(responses[1].body)["errors"][0]["context"]["ticket"] == 1
    assert json.loads(responses[2].body)["number"] == 1
    assert json.loads(responses[3].body)["ticket"]["ticket_id"] == "raise-quota"


def test_lists_are_restricted_to_the_team() -> None:
    responses = run(
        SUBMIT,
        ("GET", "/v1/jobs", COUNTERS, None),
        ("GET", "/v1/jobs?team=labs", COUNTERS, None),
        ("GET", "/v1/jobs?team=labs", OPERATOR, None),
        ("GET", "/v1/teams", COUNTERS, None),
    )
    counts = [len(json.loads(response.body)["jobs"]) for response in responses[1:4]]
    assert counts == [0, 0, 1]
    assert [team["name"] for team in json.loads(responses[4].body)["teams"]] == ["counters"]


@pytest.mark.parametrize(
    ("failure", "status"),
    [
        (StoreUnavailable("The store does not answer", hint="Try again"), 503),
        (StoreOutcomeUnknown("The answer was lost", hint="File it again"), 504),
    ],
)
def test_unknown_outcome_is_not_answered_as_refusal(failure: Exception, status: int) -> None:
    async def main() -> HTTPResponse:
        async with running_admin() as fixture:
            fixture.tickets.failure = failure  # type: ignore[assignment]
            return await call(fixture, "POST", "/v1/tickets", OPERATOR, NEW_TICKET)

    response = asyncio.run(main())
    assert response.code == status
    assert json.loads(response.body)["errors"][0]["kind"] == type(failure).__name__


def test_open_paths_need_no_token_and_oversized_body_is_refused() -> None:
    async def main() -> list[int]:
        async with running_admin() as fixture:
            fixture.metrics.counter("nutmeglb_test_total", "Test.").inc()
            metrics = await call(fixture, "GET", "/metrics", "")
            assert b"nutmeglb_test_total 1" in metrics.body
            ready = await call(fixture, "GET", "/readyz", "")
            fixture.status.is_ready = False
            not_ready = await call(fixture, "GET", "/readyz", "")
            healthy = await call(fixture, "GET", "/healthz", "")
            large = await call(fixture, "POST", "/v1/tickets", OPERATOR, "#" * 1_000_001)
            return [response.code for response in (ready, not_ready, healthy, large)]

    codes = asyncio.run(main())
    assert codes[:3] == [200, 503, 200]
    assert codes[3] in (400, 599)


def test_defect_is_answered_without_a_traceback() -> None:
    async def main() -> HTTPResponse:
        async with running_admin() as fixture:
            fixture.jobs.jobs = None  # type: ignore[assignment]
            return await call(fixture, "GET", "/v1/jobs")

    response = asyncio.run(main())
    assert response.code == 500
    assert b"Traceback" not in response.body
    assert json.loads(response.body)["errors"][0]["kind"] == "HttpError"
