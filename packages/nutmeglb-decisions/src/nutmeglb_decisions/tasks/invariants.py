"""Always-on checks of the guarantees about tasks."""

from nutmeglb_formats.exceptions import InvariantViolation

LEDGER_CAPACITY = "ledger_capacity"
QUOTA = "quota"
SINGLE_RUN = "single_run"
SINGLE_COMPLETION = "single_completion"
GANG_WHOLE = "gang_whole"
JOURNAL_FIRST = "journal_first"


def ensure(holds: bool, invariant: str, text: str, **context: object) -> None:
    """Raise ``InvariantViolation`` naming ``invariant`` unless it holds."""
    if not holds:
        raise InvariantViolation(
            text,
            context={"invariant": invariant, **context},
            hint="Report this defect with the time line of the failure domain",
        )
