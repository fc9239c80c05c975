"""Always-on checks of the request path's guarantees."""

from nutmeglb_formats.exceptions import InvariantViolation


def require(holds: bool, invariant: str, message: str, **context: object) -> None:
    """Raise unless a guarantee holds.

    Parameters
    ----------
    invariant
        Name of the guarantee, as used in ``nutmeglb_invariant_violations_total{invariant}``.

    Raises
    ------
    InvariantViolation
        When ``holds`` is false. ``context["invariant"]`` names the guarantee.
    """
    if holds:
        return
    raise InvariantViolation(
        message,
        context={"invariant": invariant, **context},
        hint="Report this defect with the time line of the instance",
    )
