"""Error types of nutmeglb. Every error has a message, a context and a hint."""

from collections.abc import Mapping


class NutmegError(Exception):
    """Base of all errors.

    Parameters
    ----------
    message
        What went wrong, in one sentence.
    context
        Identifiers and values that locate the fault. Must not contain secrets.
    hint
        What the operator or caller can do about it.
    """

    def __init__(
        self, message: str, *, context: Mapping[str, object] | None = None, hint: str
    ) -> None:
        super().__init__(message)
        self.message = message
        self.context = dict(context or {})
        self.hint = hint

    @property
    def kind(self) -> str:
        """Return the stable name of the error kind, as used in the administration API."""
        return type(self).__name__

    def __str__(self) -> str:
        details = ", ".join(f"{key}={value}" for key, value in self.context.items())
        suffix = f" ({details})" if details else ""
        return f"{self.message}{suffix}. {self.hint}"


class InvariantViolation(NutmegError):
    """A guarantee of nutmeglb does not hold. This is always a defect of nutmeglb itself."""


class FrameError(NutmegError):
    """A peer frame is oversized, malformed, of an unknown type or of another version."""


class StoredValueError(NutmegError):
    """A value read from the store is malformed or has an unsupported version."""


class SettingsError(NutmegError):
    """The settings file is invalid."""


class TicketInvalid(NutmegError):
    """A ticket fails validation."""


class TicketConflict(NutmegError):
    """A later ticket changed the same object, or the base is too old to find conflicts."""


class StoreError(NutmegError):
    """A call to the platform's key-value store failed."""


class StoreUnavailable(StoreError):
    """The call certainly had no effect: it was a read, or the store did not accept it."""


class StoreOutcomeUnknown(StoreError):
    """The call may have taken effect: its answer is missing, malformed or reports a failure."""


class StoreListingIncomplete(StoreError):
    """A listing ended before all of its items were read."""


class StoreRefused(StoreError):
    """The store rejected the call."""


class JournalError(NutmegError):
    """A journal append or load failed."""


class LeadershipLost(NutmegError):
    """This instance has no authority over the failure domain."""


class PeerError(NutmegError):
    """A peer cannot be reached or did not answer."""


class RequestRefused(NutmegError):
    """A caller's request was refused and did not run."""


class RequestOutcomeUnknown(NutmegError):
    """A caller's request may have run, but no result is known."""


class JobRefused(NutmegError):
    """A submitted job was not accepted."""


class NotFound(NutmegError):
    """The named object does not exist."""


class PermissionRefused(NutmegError):
    """The token does not permit the command or query."""


class AgentError(NutmegError):
    """A worker agent cannot be reached or refused a call."""


class InstanceListError(NutmegError):
    """The platform's instance list cannot be read."""


class AgentEpochRefused(AgentError):
    """A worker agent refused a call because it follows a scheduler with a higher epoch."""


class Unauthenticated(NutmegError):
    """A call to the administration API has no valid token."""


class BadRequest(NutmegError):
    """A call to the administration API is malformed."""


class Unreachable(NutmegError):
    """No entry instance answered."""


class UsageError(NutmegError):
    """A command line is invalid, so the command was not run."""


class NotReady(NutmegError):
    """The instance cannot answer now, for example because it is starting or stopping."""


class JournalOutcomeUnknown(JournalError):
    """The answer to an append was lost, so its records may be in the journal."""
