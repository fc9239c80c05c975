"""Distributes calls to the placement advice service over the entry instances.

The service handles one call at a time for each calling instance. Long calls are therefore kept to a
subset of the instances, so that short calls do not queue behind them.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from nutmeglb._internal.queues.loop_lag import LoopLag
from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.queues.ports import Advice, AdviceClient
from nutmeglb_decisions.queues.advice import LONG_CALL_MS, instances_for_long_calls
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.wire.queues import AdviseCall, AdviseResult

# Time allowed for the network path to the calling instance and the service, in addition to the
# expected duration. After it, the call is retried through another instance, since the first one may
# be partitioned.
FIRST_CALL_ALLOWANCE_MS = 250.0
# The second call allows more time, since the service may still be processing calls of a former
# leader.
SECOND_CALL_ALLOWANCE_MS = 1_200.0
# An instance that did not answer in time gets no further calls for this long.
INSTANCE_COOLDOWN_MS = 1_500.0
# Timeouts are extended by the time that this process was stalled within this window, since stalls
# are expected to recur.
STALL_WINDOW_MS = 1_000.0
# Key of this instance among the calling instances; other keys are instance ids.
SELF = ""


@dataclass(frozen=True, slots=True)
class TimedAdvice:
    """Answer to a call, with the monotonic time until which its tickets are known to be valid.

    The validity is computed from the time at which the call was sent and its duration at the
    calling instance, so a delay in reading the answer here does not extend it.
    """

    tickets: tuple[tuple[str, str], ...]
    expires_at_ms: float
    refused: bool


class AdviceDispatcher:
    """Sends each call through the instance with the least outstanding work."""

    def __init__(
        self, client: AdviceClient | None, links: PeerLinks, clock: Clock, lag: LoopLag
    ) -> None:
        self._client = client
        self._lag = lag
        self._links = links
        self._clock = clock
        self._outstanding_ms: dict[str, float] = {}
        self._cooldown_until_ms: dict[str, float] = {}
        links.on(AdviseCall, self._answer)

    @property
    def calling_instances(self) -> int:
        """Return the number of instances that can call the service, including this one."""
        return 1 + len(self._links.followers)

    async def request_advice(
        self, step: str, workers: Sequence[str], cost_ms: float
    ) -> Result[TimedAdvice, NutmegError]:
        """Call through one instance. If it does not answer, retry once through another."""
        first = self._choose_instance(cost_ms)
        answer = await self._request_through(first, step, workers, cost_ms, FIRST_CALL_ALLOWANCE_MS)
        if isinstance(answer, Ok):
            return answer
        self._cooldown_until_ms[first] = self._clock.now_ms() + INSTANCE_COOLDOWN_MS
        second = self._choose_instance(cost_ms)
        return await self._request_through(second, step, workers, cost_ms, SECOND_CALL_ALLOWANCE_MS)

    async def _request_through(
        self, caller: str, step: str, workers: Sequence[str], cost_ms: float, allowance_ms: float
    ) -> Result[TimedAdvice, NutmegError]:
        sent_ms = self._clock.now_ms()
        outstanding_ms = self._outstanding_ms.get(caller, 0.0)
        self._outstanding_ms[caller] = outstanding_ms + cost_ms
        # An answer that arrived in time but is read late by this process must not cause a retry.
        recent_stall_ms = self._lag.stalled_ms(sent_ms - STALL_WINDOW_MS)
        timeout_ms = outstanding_ms + cost_ms + allowance_ms + recent_stall_ms
        try:
            if caller == SELF:
                answer = await self._request_locally(step, workers, timeout_ms)
            else:
                answer = await self._request_from_peer(caller, step, workers, timeout_ms)
            return answer.map(
                lambda given: TimedAdvice(given.tickets, sent_ms + given.valid_ms, given.refused)
            )
        finally:
            self._outstanding_ms[caller] -= cost_ms

    def _choose_instance(self, cost_ms: float) -> str:
        now_ms = self._clock.now_ms()
        instances = [*sorted(self._links.followers), SELF]
        available = [i for i in instances if now_ms >= self._cooldown_until_ms.get(i, 0.0)]
        instances = available or instances
        if cost_ms > LONG_CALL_MS:
            instances = instances[: instances_for_long_calls(len(instances))]
        return min(instances, key=lambda caller: self._outstanding_ms.get(caller, 0.0))

    async def _request_from_peer(
        self, peer: str, step: str, workers: Sequence[str], timeout_ms: float
    ) -> Result[Advice, NutmegError]:
        message = AdviseCall(step, list(workers), timeout_ms)
        reply = await self._links.request(peer, message, timeout_ms)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        result: AdviseResult = reply.ok_value
        return Ok(Advice(tuple(result.tickets), result.valid_ms, result.refused))

    async def _request_locally(
        self, step: str, workers: Sequence[str], timeout_ms: float
    ) -> Result[Advice, NutmegError]:
        """Call the service from this instance. The returned validity counts from the call."""
        if self._client is None:
            return Ok(Advice((), 0.0, refused=True))
        start_ms = self._clock.now_ms()
        answer = await self._client.request_advice(step, workers, timeout_ms)
        took_ms = self._clock.now_ms() - start_ms - self._lag.stalled_ms(start_ms)
        return answer.map(lambda given: replace(given, valid_ms=took_ms + given.valid_ms))

    async def _answer(self, sender: str, call: AdviseCall) -> AdviseResult:
        answer = await self._request_locally(call.step, call.workers, call.timeout_ms)
        if isinstance(answer, Err):
            return AdviseResult([], 0.0, refused=True)
        advice = answer.ok_value
        return AdviseResult(list(advice.tickets), advice.valid_ms, advice.refused)
