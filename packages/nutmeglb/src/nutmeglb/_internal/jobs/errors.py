"""Conversion of errors to and from messages between instances."""

from nutmeglb_formats import exceptions
from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.wire.tasks import ErrorBody


def to_body(error: NutmegError) -> ErrorBody:
    """Return the message form of an error."""
    context = {key: str(value) for key, value in error.context.items()}
    return ErrorBody(error.kind, error.message, context, error.hint)


def from_body(body: ErrorBody) -> NutmegError:
    """Return the error that a peer sent. An unknown kind becomes ``NutmegError``."""
    kind = getattr(exceptions, body.kind, NutmegError)
    if not (isinstance(kind, type) and issubclass(kind, NutmegError)):
        kind = NutmegError
    return kind(body.message, context=body.context, hint=body.hint)
