"""Example files: guards against files that the programs reject."""

from pathlib import Path

import pytest

from nutmegctl._internal.connection import load_client_file
from nutmeglb._internal.settings.loader import load_file
from nutmeglb_decisions.ticket_log import apply_ticket
from nutmeglb_decisions.ticket_validation import validate
from nutmeglb_formats.models.config import Config, JobKind, PlacementPolicy
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.ticket_file import parse_ticket
from nutmeglb_formats.ticket_text import write_ticket

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
CAPACITY = {
    "shorewater": Resources(24 * 16_000, 24 * 64 * 1024**3),
    "turvatool": Resources(24 * 32_000, 24 * 64 * 1024**3),
}
PLACEMENT = {"shorewater": PlacementPolicy.SPREAD, "turvatool": PlacementPolicy.PACK}


@pytest.mark.parametrize("deployment", sorted(CAPACITY))
def test_example_files_are_valid_and_consistent(deployment: str) -> None:
    directory = EXAMPLES / deployment
    paths = sorted(directory.glob("*.yaml"))
    tickets = [parse_ticket(path.read_text(), file=path.name).unwrap() for path in paths]
    assert [ticket.base for ticket in tickets] == list(range(len(tickets)))
    assert [parse_ticket(write_ticket(ticket)).unwrap() for ticket in tickets] == tickets
    config = Config()
    for number, ticket in enumerate(tickets, start=1):
        after = apply_ticket(config, number, ticket)
        assert validate(ticket, config, after) is None
        config = after
    teams = {team.name: team for ticket in tickets for team in ticket.teams}
    policy = next(policy for ticket in tickets for policy in ticket.policies)
    jobs = [job for ticket in tickets for job in ticket.jobs]
    services = [service for ticket in tickets for service in ticket.services]
    assert {item.team for item in [*jobs, *services]} <= set(teams)
    assert {job.domain for job in jobs} <= set(policy.domain_weights)
    assert {job.kind for job in jobs} == {JobKind.BATCH, JobKind.GANG}
    assert policy.placement[JobKind.BATCH] is PLACEMENT[deployment]
    total = sum((team.quota for team in teams.values()), Resources())
    assert total.fits_in(CAPACITY[deployment])
    settings = load_file(directory / "entry-1.ini").unwrap()
    assert set(settings.tokens.teams()) == set(teams)
    assert settings.instance.failure_domain in policy.domain_weights
    assert load_client_file(str(directory / "nutmegctl.ini")).unwrap().client.servers
