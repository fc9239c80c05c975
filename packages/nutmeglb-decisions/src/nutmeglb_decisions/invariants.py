"""Checks of guarantees that are always enabled."""

from nutmeglb_formats.exceptions import InvariantViolation


def require(condition: bool, invariant: str, message: str, **context: object) -> None:
    """Raise ``InvariantViolation`` unless ``condition`` holds.

    Parameters
    ----------
    invariant
        Name of the guarantee, the label of ``nutmeglb_invariant_violations_total``.
    """
    if not condition:
        raise InvariantViolation(
            message,
            context={"invariant": invariant, **context},
            hint="This is a defect of nutmeglb; report it with the logs of all instances",
        )
