"""HTTP statuses of error kinds."""

from collections.abc import Iterable
from http import HTTPStatus

from nutmeglb_formats import exceptions
from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.models.admin import ErrorAnswer, ErrorItem

_STATUSES: tuple[tuple[type[NutmegError], HTTPStatus], ...] = (
    (exceptions.Unauthenticated, HTTPStatus.UNAUTHORIZED),
    (exceptions.PermissionRefused, HTTPStatus.FORBIDDEN),
    (exceptions.NotFound, HTTPStatus.NOT_FOUND),
    (exceptions.BadRequest, HTTPStatus.BAD_REQUEST),
    (exceptions.TicketConflict, HTTPStatus.CONFLICT),
    (exceptions.TicketInvalid, HTTPStatus.UNPROCESSABLE_ENTITY),
    (exceptions.JobRefused, HTTPStatus.UNPROCESSABLE_ENTITY),
    # The call may have taken effect, so the status must differ from that of a refusal.
    (exceptions.StoreOutcomeUnknown, HTTPStatus.GATEWAY_TIMEOUT),
    (exceptions.RequestOutcomeUnknown, HTTPStatus.GATEWAY_TIMEOUT),
    (exceptions.StoreError, HTTPStatus.SERVICE_UNAVAILABLE),
    (exceptions.JournalError, HTTPStatus.SERVICE_UNAVAILABLE),
    (exceptions.LeadershipLost, HTTPStatus.SERVICE_UNAVAILABLE),
    (exceptions.PeerError, HTTPStatus.SERVICE_UNAVAILABLE),
    (exceptions.NotReady, HTTPStatus.SERVICE_UNAVAILABLE),
)


def http_status_of(error: NutmegError) -> HTTPStatus:
    """Return the HTTP status of an error, 500 for an unmapped kind."""
    for kind, status in _STATUSES:
        if isinstance(error, kind):
            return status
    return HTTPStatus.INTERNAL_SERVER_ERROR


def error_body(errors: Iterable[NutmegError]) -> ErrorAnswer:
    """Return the response body that describes errors."""
    items = [
        ErrorItem(
            kind=error.kind,
            message=error.message,
            context={key: _to_json_value(value) for key, value in error.context.items()},
            hint=error.hint,
        )
        for error in errors
    ]
    return ErrorAnswer(errors=items)


def _to_json_value(value: object) -> object:
    if value is None or isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, list | tuple | set | frozenset):
        return [_to_json_value(item) for item in value]
    return str(value)
