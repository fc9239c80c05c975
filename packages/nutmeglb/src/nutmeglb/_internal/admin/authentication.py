"""Bearer tokens of the administration API."""

import hashlib
import hmac
from dataclasses import dataclass

from nutmeglb._internal.settings.models import TokensSection

SCHEME = "Bearer "


@dataclass(frozen=True, slots=True)
class Identity:
    """Authenticated caller: a team, or an operator if ``team`` is ``None``."""

    team: str | None

    @property
    def is_operator(self) -> bool:
        """Return whether the caller is an operator."""
        return self.team is None

    def may_act_for(self, team: str) -> bool:
        """Return whether the caller may act for a team."""
        return self.team is None or self.team == team


class Authenticator:
    """Identifies callers by their token.

    Every call compares the digests of all tokens, so that its duration reveals nothing about the
    tokens, not even their length.
    """

    def __init__(self, tokens: TokensSection) -> None:
        owners = [(tokens.operator, Identity(None))]
        owners += [(token, Identity(team)) for team, token in tokens.teams().items()]
        self._identities = [(_digest(token), identity) for token, identity in owners]

    def identify(self, authorization: str) -> Identity | None:
        """Return the caller whose token an ``Authorization`` header contains, if it is valid."""
        given_digest = _digest(authorization.removeprefix(SCHEME))
        identified: Identity | None = None
        for digest, identity in self._identities:
            if hmac.compare_digest(digest, given_digest):
                identified = identity
        return identified if authorization.startswith(SCHEME) else None


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode(errors="surrogateescape")).digest()
