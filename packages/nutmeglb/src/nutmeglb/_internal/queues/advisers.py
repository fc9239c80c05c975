"""Spreads calls for placement advice over the instances.

The service handles one call at a time for each calling instance. Calls that take long therefore
never use every caller, so that short ones do not wait behind them.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from nutmeglb._internal.queues.links import Links
from nutmeglb._internal.queues.loop_lag import LoopLag
from nutmeglb._internal.queues.ports import Advice, AdviceClient
from nutmeglb_decisions.queues.advice import LONG_CALL_MS, instances_for_long_calls
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.wire.queues import AdviseCall, AdviseResult

# Time for the path to the caller and the service, beyond the expected duration. A first call that
# takes longer is made again through another instance, since its caller may be cut off.
FIRST_PATH_MS = 250.0
# Time of the second call, which also covers calls of a former leader that the service still has.
SECOND_PATH_MS = 1_200.0
# A caller that did not answer in time is left alone for this long.
AVOID_MS = 1_500.0
# The time in which this process did not run lately is expected to recur.
LAG_WINDOW_MS = 1_000.0
OWN = ""


@dataclass(frozen=True, slots=True)
class GivenAdvice:
    """Answer to a call, and the monotonic time until which its tickets are certainly valid.

    The time counts from the sending of the call and its duration at the calling instance, so that
    it does not depend on when this process gets to the answer.
    """

    tickets: tuple[tuple[str, str], ...]
    valid_until_ms: float
    refused: bool


class Advisers:
    """Chooses the caller with the least outstanding work for each call."""

    def __init__(
        self, client: AdviceClient | None, links: Links, clock: Clock, lag: LoopLag
    ) -> None:
        self._client = client
        self._lag = lag
        self._links = links
        self._clock = clock
        self._busy_ms: dict[str, float] = {}
        self._avoid_until_ms: dict[str, float] = {}
        links.on(AdviseCall, self._answer)

    @property
    def callers(self) -> int:
        """Return how many instances can call."""
        return 1 + len(self._links.followers)

    async def ask(
        self, step: str, workers: Sequence[str], cost_ms: float
    ) -> Result[GivenAdvice, NutmegError]:
        """Ask through one of the instances, and through a second one when it does not answer."""
        first = self._choose(cost_ms)
        answer = await self._ask_through(first, step, workers, cost_ms, FIRST_PATH_MS)
        if isinstance(answer, Ok):
            return answer
        self._avoid_until_ms[first] = self._clock.now_ms() + AVOID_MS
        second = self._choose(cost_ms)
        return await self._ask_through(second, step, workers, cost_ms, SECOND_PATH_MS)

    async def _ask_through(
        self, caller: str, step: str, workers: Sequence[str], cost_ms: float, path_ms: float
    ) -> Result[GivenAdvice, NutmegError]:
        sent_ms = self._clock.now_ms()
        queued_ms = self._busy_ms.get(caller, 0.0)
        self._busy_ms[caller] = queued_ms + cost_ms
        # An answer that this process reads late must not count as missing, and be asked for again.
        late_ms = self._lag.stalled_ms(sent_ms - LAG_WINDOW_MS)
        timeout_ms = queued_ms + cost_ms + path_ms + late_ms
        try:
            if caller == OWN:
                answer = await self._ask_here(step, workers, timeout_ms)
            else:
                answer = await self._ask_peer(caller, step, workers, timeout_ms)
            return answer.map(
                lambda given: GivenAdvice(given.tickets, sent_ms + given.valid_ms, given.refused)
            )
        finally:
            self._busy_ms[caller] -= cost_ms

    def _choose(self, cost_ms: float) -> str:
        now_ms = self._clock.now_ms()
        callers = [*sorted(self._links.followers), OWN]
        sound = [c for c in callers if now_ms >= self._avoid_until_ms.get(c, 0.0)]
        callers = sound or callers
        if cost_ms > LONG_CALL_MS:
            callers = callers[: instances_for_long_calls(len(callers))]
        return min(callers, key=lambda caller: self._busy_ms.get(caller, 0.0))

    async def _ask_peer(
        self, peer: str, step: str, workers: Sequence[str], timeout_ms: float
    ) -> Result[Advice, NutmegError]:
        message = AdviseCall(step, list(workers), timeout_ms)
        reply = await self._links.request(peer, message, timeout_ms)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        result: AdviseResult = reply.ok_value
        return Ok(Advice(tuple(result.tickets), result.valid_ms, result.refused))

    async def _ask_here(
        self, step: str, workers: Sequence[str], timeout_ms: float
    ) -> Result[Advice, NutmegError]:
        """Ask from this instance. The validity in the answer counts from now."""
        if self._client is None:
            return Ok(Advice((), 0.0, refused=True))
        begun_ms = self._clock.now_ms()
        answer = await self._client.ask(step, workers, timeout_ms)
        took_ms = self._clock.now_ms() - begun_ms - self._lag.stalled_ms(begun_ms)
        return answer.map(lambda given: replace(given, valid_ms=took_ms + given.valid_ms))

    async def _answer(self, sender: str, call: AdviseCall) -> AdviseResult:
        answer = await self._ask_here(call.step, call.workers, call.timeout_ms)
        if isinstance(answer, Err):
            return AdviseResult([], 0.0, refused=True)
        advice = answer.ok_value
        return AdviseResult(list(advice.tickets), advice.valid_ms, advice.refused)
