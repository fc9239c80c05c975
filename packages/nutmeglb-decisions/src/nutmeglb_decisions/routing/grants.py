"""Grants of the slot broker and its effects."""

from dataclasses import dataclass

from nutmeglb_formats.wire.routing import SlotGrant, SlotRefused


@dataclass(frozen=True, slots=True)
class Send:
    """Effect: deliver a message to an instance, which may be the leader itself."""

    recipient: str
    message: SlotGrant | SlotRefused


@dataclass(slots=True)
class Grant:
    """Slots in use.

    Attributes
    ----------
    until_ms
        Time at which the slots become free without a release.
    ended
        Whether the exchange has ended and the slots are only held for the endpoint's sake.
    """

    grant_id: str
    holder: str
    endpoint: str
    expires_at_ms: float
    slots: int = 1
    ended: bool = False
    message: SlotGrant | None = None


@dataclass(frozen=True, slots=True)
class HeldSlots:
    """A slot in use, as passed from one leader to the next. ``hold_ms`` counts from now."""

    grant_id: str
    holder: str
    endpoint: str
    hold_ms: float
