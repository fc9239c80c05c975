"""The advice stand-in approves a fixed share of workers, and its tickets end as described."""

import pytest

from standins.advice_book import APPROVED_SHARE, VALID_MS, AdviceBook, is_approved

STEP = "00000000000000aa.0.0"
VALID_S = VALID_MS / 1_000


def test_approved_share_is_near_its_figure_and_differs_by_step():
    workers = [f"w{number}" for number in range(1_000)]
    first = [each for each in workers if is_approved(STEP, each)]
    assert first == [each for each in workers if is_approved(STEP, each)]
    assert first != [each for each in workers if is_approved("00000000000000bb.0.0", each)]
    assert abs(len(first) / len(workers) - APPROVED_SHARE) < 0.06


@pytest.mark.parametrize(
    ("step", "worker", "life", "now_s", "valid"),
    [
        (STEP, "a", 1, 10.0, True),
        (STEP, "a", 1, 10.0 + VALID_S - 0.01, True),
        (STEP, "a", 1, 10.0 + VALID_S, False),
        (STEP, "a", 2, 10.0, False),
        (STEP, "b", 1, 10.0, False),
        ("00000000000000aa.0.1", "a", 1, 10.0, False),
    ],
    ids=["at once", "until its end", "expired", "next life", "other worker", "other step"],
)
def test_ticket_permits_one_step_on_one_life_of_a_worker(step, worker, life, now_s, valid):
    book = AdviceBook()
    ticket = book.issue(STEP, "a", 1, 10.0)
    assert book.is_valid(ticket, step, worker, life, now_s) == valid
    assert not book.is_valid("", step, worker, life, now_s)
