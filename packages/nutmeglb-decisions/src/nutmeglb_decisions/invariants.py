"""Runtime checks of the system's guarantees. They cannot be switched off."""

from nutmeglb_formats.exceptions import InvariantViolation

LEDGER_CAPACITY = "ledger_capacity"
QUOTA = "quota"
SINGLE_RUN = "single_run"
SINGLE_COMPLETION = "single_completion"
GANG_WHOLE = "gang_whole"
JOURNAL_FIRST = "journal_first"


def require(condition: bool, invariant: str, message: str, **context: object) -> None:
    """Raise ``InvariantViolation`` if a guarantee does not hold.

    Parameters
    ----------
    invariant
        Name of the guarantee, used as label of ``nutmeglb_invariant_violations_total``.

    Raises
    ------
    InvariantViolation
        When ``condition`` is false. ``context["invariant"]`` names the guarantee.
    """
    if not condition:
        raise InvariantViolation(
            message,
            context={"invariant": invariant, **context},
            hint="This is a bug in nutmeglb; report it with the timeline of all instances",
        )
