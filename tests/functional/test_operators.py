"""Scenarios of operators with ``nutmegctl`` and an administration API on in-memory fakes.

Guards against commands that report a wrong outcome, omit the remedy or exceed a team's rights.
"""

import asyncio
import contextlib
import dataclasses
import shlex
from collections.abc import Iterator
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from nutmeglb_formats.exceptions import StoreOutcomeUnknown
from nutmeglb_formats.models.admin import InstanceView
from nutmeglb_formats.models.jobs import JobState
from tests.lib.admin_fakes import COUNTERS, LABS, OPERATOR, AdminFixture, running_admin
from tests.lib.operator_line import CommandResult, run_command_line
from tests.lib.samples import TICKET

scenarios("operators.feature")

TEAM_TOKENS = {"labs": LABS, "counters": COUNTERS}


class OperatorSession:
    """Runs ``nutmegctl`` commands of an operator against the servers of a scenario."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.runner = asyncio.Runner()
        self.stack = contextlib.AsyncExitStack()
        self.servers: list[str] = []
        self.admin: AdminFixture | None = None
        self.finished = CommandResult(-1, "", "")
        self.use_token(OPERATOR)

    def use_token(self, token: str) -> None:
        (self.directory / "token").write_text(token + "\n")

    async def start(self) -> None:
        self.admin = await self.stack.enter_async_context(running_admin())
        self.servers.append(self.admin.server.address)

    async def start_and_stop(self) -> None:
        async with running_admin() as fixture:
            self.servers.append(fixture.server.address)

    def run(self, line: str) -> None:
        files = {path.name for path in self.directory.iterdir()}
        words = [
            str(self.directory / word) if word in files else word for word in shlex.split(line)
        ]
        flags = [f"--server={','.join(self.servers)}", f"--token-file={self.directory / 'token'}"]
        self.finished = self.runner.run(run_command_line(shlex.join([*words, *flags])))

    def close(self) -> None:
        self.runner.run(self.stack.aclose())
        self.runner.close()


@pytest.fixture
def session(tmp_path: Path) -> Iterator[OperatorSession]:
    session = OperatorSession(tmp_path)
    yield session
    session.close()


@given("a running entry instance")
def _running(session: OperatorSession) -> None:
    session.runner.run(session.start())


@given("an entry instance that has stopped")
def _stopped(session: OperatorSession) -> None:
    session.runner.run(session.start_and_stop())


@given(parsers.re(r'the ticket file "(?P<name>[^"]+)"$'))
def _ticket_file(session: OperatorSession, name: str) -> None:
    (session.directory / name).write_text(TICKET.replace("base: 3", "base: 0"))


@given(parsers.parse('the ticket file "{name}" with "{old}" replaced by "{new}"'))
def _changed_ticket_file(session: OperatorSession, name: str, old: str, new: str) -> None:
    text = TICKET.replace("base: 3", "base: 0")
    assert old in text
    (session.directory / name).write_text(text.replace(old, new))


@given("the store loses the answer of the write")
def _lost_answer(session: OperatorSession) -> None:
    assert session.admin is not None
    hint = "File the same ticket again: the same id is one ticket"
    session.admin.tickets.failure = StoreOutcomeUnknown("The answer was lost", hint=hint)


@given(parsers.parse('the live instance "{name}" has ticket {number:d} in force'))
def _other_instance(session: OperatorSession, name: str, number: int) -> None:
    assert session.admin is not None
    view = InstanceView("e1", "a", "live", "")
    session.admin.status.views = [
        view,
        dataclasses.replace(view, instance_id=name, ticket=number),
    ]


@given(parsers.parse('a token of team "{team}"'))
@when(parsers.parse('a token of team "{team}"'))
def _team_token(session: OperatorSession, team: str) -> None:
    session.use_token(TEAM_TOKENS[team])


@when(parsers.parse('the operator runs "{line}"'))
def _runs(session: OperatorSession, line: str) -> None:
    session.run(line)


@then(parsers.parse("the exit status is {status:d}"))
def _exit_status(session: OperatorSession, status: int) -> None:
    assert session.finished.status == status, session.finished


@then(parsers.parse('the output contains "{text}"'))
def _output(session: OperatorSession, text: str) -> None:
    assert text in session.finished.out


@then(parsers.parse('the errors contain "{text}"'))
def _errors(session: OperatorSession, text: str) -> None:
    assert text in session.finished.err
    assert "Traceback" not in session.finished.err
    assert OPERATOR not in session.finished.err


@then(parsers.re(r"(?P<count>\d+) tickets? (is|are) in force"))
def _filed(session: OperatorSession, count: str) -> None:
    assert session.admin is not None
    assert len(session.admin.tickets.filed) == int(count)


@then(parsers.parse('job "{job}" is waiting'))
def _job_waits(session: OperatorSession, job: str) -> None:
    assert session.admin is not None
    assert session.admin.jobs.jobs[job].state is JobState.WAITING
