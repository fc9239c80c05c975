"""Checks of guarantees that are always enabled."""

from nutmeglb_formats.exceptions import InvariantViolation

LEDGER_CAPACITY = "ledger_capacity"
QUOTA = "quota"
SINGLE_RUN = "single_run"
SINGLE_COMPLETION = "single_completion"
GANG_WHOLE = "gang_whole"
JOURNAL_FIRST = "journal_first"


def require(condition: bool, invariant: str, message: str, **context: object) -> None:
    """Raise unless a guarantee holds.

    Parameters
    ----------
    invariant
        Name of the guarantee, the label of ``nutmeglb_invariant_violations_total``.

    Raises
    ------
    InvariantViolation
        When ``condition`` is false. ``context["invariant"]`` names the guarantee.
    """
    if not condition:
        raise InvariantViolation(
            message,
            context={"invariant": invariant, **context},
            hint="This is a defect of nutmeglb; report it with the time line of all instances",
        )
