"""Client of the administration API that tries several entry instances."""

import json
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from nutmegctl._internal.connection import Connection, Errors
from nutmeglb_formats import exceptions
from nutmeglb_formats.exceptions import NutmegError, Unreachable
from nutmeglb_formats.models.admin import ErrorAnswer, ErrorItem

AnswerT = TypeVar("AnswerT", bound=BaseModel)

CONNECT_TIMEOUT_S = 2.0
# Longer than an instance needs to file a ticket in the store, including retries.
CALL_TIMEOUT_S = 15.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
_ERROR_CLASSES = {
    name: kind
    for name, kind in vars(exceptions).items()
    if isinstance(kind, type) and issubclass(kind, NutmegError)
}


def api_path(*parts: object) -> str:
    """Return the path of a resource of the administration API, with its parts percent-encoded."""
    return "/v1/" + "/".join(quote(str(part), safe="") for part in parts)


class AdminClient:
    """Sends each call to the entry instances in order until one serves it.

    Trying another instance after a lost answer is safe for every command: tickets and submissions
    are deduplicated by their ids, and a cancellation can be repeated.
    """

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._http = AsyncHTTPClient(force_instance=True, max_body_size=MAX_ANSWER_BYTES)

    def for_instance(self, address: str) -> "AdminClient":
        """Return a client that calls only one instance, with the same token."""
        return AdminClient(Connection((address,), self._connection.token))

    async def get(
        self, path: str, model: type[AnswerT], **parameters: object
    ) -> Result[AnswerT, Errors]:
        """Send a query. Empty parameters are omitted."""
        nonempty_parameters = {
            name: str(value) for name, value in parameters.items() if value not in (None, "")
        }
        query = f"?{urlencode(nonempty_parameters)}" if nonempty_parameters else ""
        return await self._call("GET", path + query, None, model)

    async def post(
        self, path: str, model: type[AnswerT], body: str = ""
    ) -> Result[AnswerT, Errors]:
        """Send a command, which may change state."""
        return await self._call("POST", path, body, model)

    async def _call(
        self, method: str, path: str, body: str | None, model: type[AnswerT]
    ) -> Result[AnswerT, Errors]:
        failures: dict[str, str] = {}
        unavailable_response: HTTPResponse | None = None
        for server in self._connection.servers:
            response = await self._fetch(server, method, path, body)
            if isinstance(response, Err):
                failures[server] = response.err_value
                continue
            if response.ok_value.code != HTTPStatus.SERVICE_UNAVAILABLE:
                return _decode_response(response.ok_value, model)
            unavailable_response = response.ok_value
        if unavailable_response is not None:
            return _decode_response(unavailable_response, model)
        return Err((_unreachable_error(failures, method),))

    async def _fetch(
        self, server: str, method: str, path: str, body: str | None
    ) -> Result[HTTPResponse, str]:
        request = HTTPRequest(
            f"http://{server}{path}",
            method=method,
            headers={
                "Authorization": f"Bearer {self._connection.token}",
                "Content-Type": "application/octet-stream",
            },
            body=body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=CALL_TIMEOUT_S,
            follow_redirects=False,
        )
        try:
            return Ok(await self._http.fetch(request, raise_error=False))
        except HTTPClientError as error:
            return Err(error.message or "no answer")
        except OSError as error:
            return Err(error.strerror or type(error).__name__)


def _decode_response(response: HTTPResponse, model: type[AnswerT]) -> Result[AnswerT, Errors]:
    try:
        if response.code < HTTPStatus.BAD_REQUEST:
            return Ok(model.model_validate_json(response.body))
        answer = ErrorAnswer.model_validate_json(response.body)
    except (ValidationError, json.JSONDecodeError):
        context = {"status": response.code}
        hint = "Check that the address is an admin listener and that the releases are the same"
        return Err(
            (
                NutmegError(
                    "The server did not send a valid admin API answer", context=context, hint=hint
                ),
            )
        )
    return Err(tuple(_to_error(item) for item in answer.errors))


def _to_error(item: ErrorItem) -> NutmegError:
    kind = _ERROR_CLASSES.get(item.kind, NutmegError)
    return kind(item.message, context=item.context, hint=item.hint)


def _unreachable_error(failures: dict[str, str], method: str) -> Unreachable:
    hint = "Check the addresses, and that nutmeglb runs there"
    if method == "POST":
        hint += ". The command may have taken effect; repeating it with the same id is safe"
    return Unreachable("No entry instance answers", context=failures, hint=hint)
