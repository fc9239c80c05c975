"""Processing time of a request at the broker, by number of endpoints and queue length."""

import random
import time
from collections.abc import Iterator

from measure.figures import Case, Figures
from nutmeglb_decisions.routing.broker import EndpointView, Send, SlotBrokerCore
from nutmeglb_formats.models.config import RequestClass, Service
from nutmeglb_formats.wire.routing import ReleaseOutcome, SlotGrant, SlotRelease, SlotRequest

SIZES = ((24, 10), (24, 1_000), (24, 100_000), (240, 1_000), (2_400, 1_000))
ROUNDS = 3_000
STEP_MS = 0.05
US_PER_S = 1e6


def _request_slot(broker: SlotBrokerCore, now_ms: float, number: int) -> list[Send]:
    message = SlotRequest(
        f"r{number}", "s", RequestClass.URGENT, f"caller-{number % 200}", 600_000.0
    )
    return broker.request(now_ms, "i", message)


def _measure(endpoints: int, queued: int) -> Figures:
    service = Service("s", "team", queue_limit=queued + 1)
    broker = SlotBrokerCore("d", 1, 1_000.0, random.Random(1))
    views = [EndpointView(f"e{index}", "") for index in range(endpoints)]
    broker.configure(0.0, {"s": service}, {"s": views})
    grants: list[SlotGrant] = []
    total = endpoints * service.slots + queued
    for number in range(total):
        messages = [effect.message for effect in _request_slot(broker, 0.0, number)]
        grants += [message for message in messages if isinstance(message, SlotGrant)]
    rng = random.Random(1)
    started_s = time.perf_counter()
    for number in range(total, total + ROUNDS):
        now_ms = (number - total) * STEP_MS
        index = rng.randrange(len(grants))
        grants[index], grants[-1] = grants[-1], grants[index]
        ended = grants.pop()
        release = SlotRelease(ended.grant_id, "s", ReleaseOutcome.ANSWERED, 50.0)
        effects = [*broker.release(now_ms, "i", release), *_request_slot(broker, now_ms, number)]
        broker.next_timer_ms()
        messages = [effect.message for effect in effects]
        grants += [message for message in messages if isinstance(message, SlotGrant)]
    cost_us = (time.perf_counter() - started_s) / ROUNDS * US_PER_S
    size = f"{endpoints} endpoints, {queued} requests in the queue"
    return Figures("routing_cost", size, "broker", "", 1, {"cost_us": round(cost_us, 1)})


def _cost() -> Iterator[Figures]:
    for endpoints, queued in SIZES:
        yield _measure(endpoints, queued)


CASES: dict[str, Case] = {"routing_cost": _cost}
