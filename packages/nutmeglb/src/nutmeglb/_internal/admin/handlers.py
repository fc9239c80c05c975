"""Base of all handlers: authentication, bounded input and typed errors."""

from collections.abc import Iterable, Sequence
from http import HTTPStatus
from types import TracebackType
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Result
from tornado import web

from nutmeglb._internal.admin.authentication import Authenticator, Identity
from nutmeglb._internal.admin.errors import error_body, http_status_of
from nutmeglb._internal.admin.services import AdminServices
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.exceptions import (
    BadRequest,
    NutmegError,
    PermissionRefused,
    Unauthenticated,
)
from nutmeglb_formats.models.admin import DEFAULT_LIST_LIMIT, MAX_LIST_LIMIT, ErrorAnswer, ErrorItem

logger = get_logger("admin")
ValueT = TypeVar("ValueT")
BodyT = TypeVar("BodyT", bound=BaseModel)


class CallRefused(Exception):
    """Aborts the handling of a call; the response contains the errors."""

    def __init__(self, errors: Iterable[NutmegError]) -> None:
        super().__init__()
        self.errors = tuple(errors)


class AdminHandler(web.RequestHandler):
    """Responds with JSON. Each subclass implements one path.

    Attributes
    ----------
    parameters
        Names of the query parameters that the path accepts. Others are refused.
    operators_only
        Whether calls of teams are refused.
    """

    parameters: Sequence[str] = ()
    operators_only = False

    def initialize(self, services: AdminServices, authenticator: Authenticator) -> None:
        """Store the arguments that the server passes."""
        self.services = services
        self._authenticator = authenticator

    def prepare(self) -> None:
        """Authenticate the caller and refuse unknown query parameters."""
        identity = self._authenticator.identify(self.request.headers.get("Authorization", ""))
        if identity is None:
            hint = "Send 'Authorization: Bearer TOKEN' with a token from [tokens] of the settings"
            raise CallRefused([Unauthenticated("The call carries no valid token", hint=hint)])
        self.identity: Identity = identity
        if self.operators_only and not identity.is_operator:
            hint = "Use the operator token"
            raise CallRefused([PermissionRefused("Only operators may do this", hint=hint)])
        unknown = [name for name in self.request.query_arguments if name not in self.parameters]
        if unknown:
            hint = f"Use only: {', '.join(self.parameters) or 'no parameters'}"
            raise CallRefused([BadRequest(f"The parameter {unknown[0]!r} is unknown", hint=hint)])

    def text_parameter(self, name: str) -> str | None:
        """Return a query parameter, ``None`` if it is absent."""
        value: str | None = self.get_query_argument(name, None)
        return value

    def integer_parameter(self, name: str, minimum: int, maximum: int) -> int | None:
        """Return an integer query parameter, ``None`` if it is absent."""
        text = self.text_parameter(name)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit() and minimum <= int(text[:20]) <= maximum):
            hint = f"Use a whole number from {minimum} to {maximum}"
            raise CallRefused([BadRequest(f"The parameter {name!r} is not valid", hint=hint)])
        return int(text)

    def limit(self) -> int:
        """Return the maximum number of rows in the response."""
        return self.integer_parameter("limit", 1, MAX_LIST_LIMIT) or DEFAULT_LIST_LIMIT

    def body_text(self) -> str:
        """Return the body as text."""
        try:
            return self.request.body.decode()
        except UnicodeDecodeError:
            raise CallRefused([BadRequest("The body is not text", hint="Send UTF-8")]) from None

    def body_as(self, model: type[BodyT]) -> BodyT:
        """Return the validated JSON body."""
        try:
            return model.model_validate_json(self.request.body)
        except ValidationError as error:
            raise CallRefused(_body_errors(error)) from None

    def unwrap(self, result: Result[ValueT, NutmegError]) -> ValueT:
        """Return the value, or abort the call with the error."""
        if isinstance(result, Err):
            raise CallRefused([result.err_value])
        return result.ok_value

    def respond(self, body: BaseModel, status: HTTPStatus = HTTPStatus.OK) -> None:
        """Send the response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(body.model_dump_json(fallback=str))

    def set_default_headers(self) -> None:
        """Leave out the name and version of the server."""
        self.clear_header("Server")

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond to every failure with a typed error, without a traceback."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, CallRefused):
            self.respond(error_body(error.errors), http_status_of(error.errors[0]))
            return
        status = HTTPStatus(status_code)
        hint = "See docs/admin-api.md; if the call is valid, see the log of the instance"
        item = ErrorItem(kind="HttpError", message=status.phrase, hint=hint)
        self.respond(ErrorAnswer(errors=[item]), status)

    def log_exception(
        self,
        typ: type[BaseException] | None,
        value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        """Log refused calls at debug level and unexpected exceptions as errors."""
        path = self.request.path
        if isinstance(value, CallRefused):
            logger.debug("Call refused", path=path, kind=value.errors[0].kind)
        elif isinstance(value, web.HTTPError):
            logger.debug("Call refused", path=path, status=value.status_code)
        else:
            logger.error(
                "Call failed unexpectedly; responding with status 500", path=path, error=repr(value)
            )


class UnknownPathHandler(AdminHandler):
    """Responds to calls of unknown paths."""

    def prepare(self) -> None:
        """Refuse the call."""
        hint = "See docs/admin-api.md for the paths"
        self.respond(
            error_body([BadRequest("The path is unknown", hint=hint)]), HTTPStatus.NOT_FOUND
        )


def _body_errors(error: ValidationError) -> list[NutmegError]:
    bad_requests: list[NutmegError] = []
    for item in error.errors(include_url=False, include_input=False, include_context=False):
        field = ".".join(str(part) for part in item["loc"])
        context = {"field": field} if field else {}
        bad_requests.append(BadRequest("The body is not valid", context=context, hint=item["msg"]))
    return bad_requests
