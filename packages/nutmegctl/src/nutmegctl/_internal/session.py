"""Session of a command: its connection and output."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import tenacity
from result import Err, Result

from nutmegctl._internal.client import AdminClient
from nutmegctl._internal.connection import Connection, Errors
from nutmegctl._internal.output import Output
from nutmeglb_formats.exceptions import NutmegError

ValueT = TypeVar("ValueT")
POLL_INTERVAL_S = 0.5


class CommandFailed(Exception):
    """Ends a command. The errors are printed, and the first one sets the exit status."""

    def __init__(self, errors: Errors) -> None:
        super().__init__()
        self.errors = errors


class Session:
    """Connection and output of one command.

    Parameters
    ----------
    connect
        Returns the connection. It is called on first use of ``client``, so that commands that
        only read files need no connection settings.
    """

    def __init__(self, connect: Callable[[], Result[Connection, Errors]], output: Output) -> None:
        self._connect = connect
        self._client: AdminClient | None = None
        self.output = output

    @property
    def client(self) -> AdminClient:
        """Return the client, or end the command when no entry instance is configured."""
        if self._client is None:
            self._client = AdminClient(unwrap(self._connect()))
        return self._client

    async def wait(
        self,
        poll: Callable[[], Awaitable[ValueT]],
        done: Callable[[ValueT], bool],
        progress: Callable[[ValueT], str],
        timeout_s: float,
    ) -> ValueT:
        """Poll until ``done`` accepts a value or the timeout expires, and return the last value."""

        def show(state: tenacity.RetryCallState) -> None:
            if state.outcome is not None:
                self.output.progress(progress(state.outcome.result()))

        def last(state: tenacity.RetryCallState) -> ValueT:
            assert state.outcome is not None
            value: ValueT = state.outcome.result()
            return value

        retrying = tenacity.AsyncRetrying(
            retry=tenacity.retry_if_result(lambda value: not done(value)),
            wait=tenacity.wait_fixed(POLL_INTERVAL_S),
            stop=tenacity.stop_after_delay(timeout_s),
            before_sleep=show,
            retry_error_callback=last,
            sleep=asyncio.sleep,
        )

        # tenacity awaits only coroutine functions, not other callables that return awaitables.
        async def attempt() -> ValueT:
            return await poll()

        value: ValueT = await retrying(attempt)
        return value


def unwrap(result: Result[ValueT, Errors]) -> ValueT:
    """Return the value, or end the command with the errors."""
    if isinstance(result, Err):
        raise CommandFailed(result.err_value)
    return result.ok_value


def fail(error: NutmegError) -> CommandFailed:
    """Return the exception that ends the command with one error."""
    return CommandFailed((error,))
