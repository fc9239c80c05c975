"""Limit of the concurrent orders to one worker."""

import asyncio

import pytest

from nutmeglb._internal.queues.order_slots import OrderSlots


async def hold_slot(slots, name, begun, *, is_urgent=False):
    async with slots.reserve(is_urgent=is_urgent):
        begun.append(name)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("count", "order"),
    [
        (1, ["start 0", "stop 0", "stop 1", "start 1", "start 2"]),
        (2, ["start 0", "start 1", "stop 0", "stop 1", "start 2"]),
        (9, ["start 0", "start 1", "start 2", "stop 0", "stop 1"]),
    ],
)
def test_stops_go_before_waiting_starts(count, order):
    """Guards against a stop that waits for the orders of a whole gang."""

    async def scenario():
        slots, begun = OrderSlots(count), []
        starts = [hold_slot(slots, f"start {n}", begun) for n in range(3)]
        stops = [hold_slot(slots, f"stop {n}", begun, is_urgent=True) for n in range(2)]
        await asyncio.gather(*starts, *stops)
        assert begun == order

    asyncio.run(scenario())


@pytest.mark.parametrize("cancelled_after_turns", [1, 2, 3])
def test_cancelled_orders_give_their_slots_back(cancelled_after_turns):
    """Guards against a worker that gets no orders any more after some were cancelled."""

    async def scenario():
        slots, begun = OrderSlots(1), []
        for number in range(4):
            first = asyncio.create_task(hold_slot(slots, f"first {number}", begun))
            second = asyncio.create_task(hold_slot(slots, f"second {number}", begun))
            for _ in range(cancelled_after_turns):
                await asyncio.sleep(0)
            first.cancel()
            await asyncio.sleep(0)
            second.cancel()
            await asyncio.gather(first, second, return_exceptions=True)
        async with asyncio.timeout(1.0):
            await hold_slot(slots, "last", begun)
        assert begun[-1] == "last"

    asyncio.run(scenario())
