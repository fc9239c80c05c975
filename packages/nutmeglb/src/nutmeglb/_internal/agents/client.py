"""HTTP client of worker agents."""

from http import HTTPStatus

from pydantic import ValidationError
from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from nutmeglb_formats.exceptions import AgentEpochRefused, AgentError
from nutmeglb_formats.models.agent import (
    SYNC_LIMIT_BYTES,
    SYNC_PATH,
    EpochRefusal,
    SyncRequest,
    SyncResponse,
)

MS_PER_S = 1_000.0
# Two concurrent calls per worker, for a failure domain of up to 1,000 workers.
MAX_CONCURRENT_CALLS = 2_000
HEADERS = {"Content-Type": "application/json"}


class AgentClient:
    """Calls the agents' ``POST /v1/sync``.

    Parameters
    ----------
    call_timeout_ms
        Timeout in milliseconds of connecting, and of the response in addition to the long poll.
    """

    def __init__(self, call_timeout_ms: float) -> None:
        self._call_timeout_ms = call_timeout_ms
        self._http = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_CALLS, max_body_size=SYNC_LIMIT_BYTES
        )

    async def sync(self, address: str, request: SyncRequest) -> Result[SyncResponse, AgentError]:
        """Send a sync request to an agent.

        Returns
        -------
        Result
            The response, or an error: ``AgentEpochRefused`` if the agent follows a higher epoch,
            ``AgentError`` otherwise.
        """
        call = HTTPRequest(
            f"http://{address}{SYNC_PATH}",
            method="POST",
            headers=HEADERS,
            body=request.model_dump_json(exclude_defaults=True),
            connect_timeout=self._call_timeout_ms / MS_PER_S,
            request_timeout=(request.wait_ms + self._call_timeout_ms) / MS_PER_S,
            follow_redirects=False,
        )
        try:
            response = await self._http.fetch(call, raise_error=False)
        except (HTTPClientError, OSError, ValueError) as error:
            return Err(_agent_error("The agent did not answer", address, str(error)))
        return _parse_response(response, address)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()


def _parse_response(response: HTTPResponse, address: str) -> Result[SyncResponse, AgentError]:
    try:
        if response.code == HTTPStatus.CONFLICT:
            refusal = EpochRefusal.model_validate_json(response.body)
            return Err(_epoch_refused_error(address, refusal.epoch))
        if response.code != HTTPStatus.OK:
            cause = f"status {response.code}: {response.reason}"
            return Err(_agent_error("The agent did not accept the call", address, cause))
        return Ok(SyncResponse.model_validate_json(response.body))
    except ValidationError as error:
        cause = f"{error.error_count()} invalid fields"
        return Err(_agent_error("The agent's response is malformed", address, cause))


def _agent_error(text: str, address: str, cause: str) -> AgentError:
    return AgentError(
        text,
        context={"address": address, "cause": cause},
        hint="Check that the worker agent runs and that its listed address is correct",
    )


def _epoch_refused_error(address: str, epoch: int) -> AgentEpochRefused:
    return AgentEpochRefused(
        "The agent follows a higher epoch",
        context={"address": address, "epoch": epoch},
        hint="No action is needed: another instance leads the failure domain",
    )
