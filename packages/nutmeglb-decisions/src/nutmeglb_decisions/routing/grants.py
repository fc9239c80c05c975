"""Grants and effects of the slot broker."""

from dataclasses import dataclass

from nutmeglb_formats.wire.routing import SlotGrant, SlotRefused


@dataclass(frozen=True, slots=True)
class Send:
    """Effect: send a message to an instance, possibly the leader itself."""

    recipient: str
    message: SlotGrant | SlotRefused


@dataclass(slots=True)
class Grant:
    """A grant: slots of an endpoint that count as in use.

    Attributes
    ----------
    holder
        Instance to which the grant was issued; empty for presumed grants that no instance reported.
    expires_at_ms
        Time at which the slots become free without a release.
    ended
        Whether the exchange has ended and the slots stay in use only because the endpoint may
        still be busy or has just failed.
    message
        Message that issued the grant; ``None`` for reported and presumed grants of former leaders.
    """

    grant_id: str
    holder: str
    endpoint: str
    expires_at_ms: float
    slots: int = 1
    ended: bool = False
    message: SlotGrant | None = None


@dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot in use, as reported to a new leader. ``hold_ms`` is the remaining time."""

    grant_id: str
    holder: str
    endpoint: str
    hold_ms: float
