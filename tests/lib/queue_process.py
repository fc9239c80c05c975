"""An instance of the queue world: a real election and leader with an event loop of its own."""

import asyncio
import json
import random
from types import SimpleNamespace

from result import Ok

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues.advice_dispatcher import AdviceDispatcher
from nutmeglb._internal.queues.election import Election
from nutmeglb._internal.queues.leader import Leader
from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.loop_lag import LoopLag
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_decisions.queues.entry_age import StoreContact
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queue_records import (
    LeaderRecord,
)
from tests.lib.queue_store_model import StoreClient
from tests.lib.queue_worker_model import BEAT_MS
from tests.lib.queues import worker_info

# Lines that name an unexpected error, which no case may cause.
DEFECTS = ("step_defect", "part_defect", "job_set_aside")
CLOCK_OFFSETS_MS = (0.0, 1_000_000.0)
# For how long the store has answered the first processes.
ANSWERED_FOR_MS = 60_000.0


class LinksStub:
    """Links to other instances, none of which is connected."""

    followers = ()
    leader_id = ""

    def on(self, message_type, handler):
        pass

    def follow(self, leader):
        pass

    def broadcast(self, message):
        pass


class ProcessModel:
    """An instance with its own event loop, clock and connection to the store."""

    def __init__(self, world, number, life):
        self.name = f"e{number}"
        self._world = world
        self.loop = world.simulation.new_loop()
        self.loop.set_exception_handler(lambda loop, context: world.defects.append(context))
        self.store = StoreClient(world.simulation, world.store)
        simulation, offset_ms = world.simulation, CLOCK_OFFSETS_MS[number]
        clock = Clock(lambda: simulation.now_ms + offset_ms, lambda: simulation.now_ms + 1e12)
        self._clock = clock
        self._record = LeaderRecord(self.name, f"{self.name}-{life}", "", 0, "")
        self._rng = random.Random(number)
        self._live = LiveSettings(world.settings(self.name))
        gateway = world.make_gateway(number)
        self._platform = SimpleNamespace(
            config_key="op/config",
            workers_prefix="servers/",
            store=self.store,
            connect_workers=lambda: gateway,
            advice=world.make_advice(),
            decode_worker=decode_worker,
        )
        self._background = BackgroundTasks()
        self.leader = None
        self._contact = StoreContact(BEAT_MS)
        if not life:
            # The store has answered the first processes for long.
            self._contact.record(clock.now_ms())
            self._contact.since_ms -= ANSWERED_FOR_MS
        links = LinksStub()
        self._lag = LoopLag(clock, MetricsRegistry())
        self._advice = AdviceDispatcher(self._platform.advice, links, clock, self._lag)
        self._links = links
        self.election = Election(
            self._live, clock, self._rng, self.store, links,
            lambda: self._record, self._on_elected, self._on_stepped_down,
        )  # fmt: skip
        self.loop.call_soon(self.election.start)
        self.loop.call_soon(lambda: self._background.spawn(self._watch_config()))

    def hand_over(self):
        """Release the leadership as planned, with the waits for the successor."""
        leader = self.leader
        if leader is not None:
            self._background.spawn(self.election.hand_over(leader.release_facts))

    def write(self, decisions):
        for decision in decisions:
            if decision.kind in DEFECTS:
                self._world.defects.append(decision)
            fields = " ".join(f"{name}={value}" for name, value in decision.fields)
            self._world.note(
                f"{self.name} {decision.kind} ({decision.cause}) {decision.task}{decision.worker}"
                f" {fields}"
            )

    def count_preemption(self, usage):
        self.stopped_for_others = usage.stopped_runs

    def defect(self, part, error):
        self._world.defects.append((part, error))

    async def _watch_config(self):
        while True:
            if isinstance(await self.store.get("op/config"), Ok):
                self._contact.record(self._clock.now_ms())
            else:
                self._contact.record_failure(self._clock.now_ms())
            await asyncio.sleep(1.0)

    async def _on_elected(self, term):
        self._world.note(f"{self.name} leads term {term.number} fence {term.fence}")
        self.leader = Leader(
            self._live, self._clock, self._rng, self._platform, self._links, self._advice,
            self, self._lag, term, self._record.incarnation, self._on_lost, contact=self._contact,
        )  # fmt: skip
        await self.leader.start(self._world.config)

    def _on_lost(self, cause):
        self._world.note(f"{self.name} lost the leadership: {cause}")
        self._background.spawn(self.election.step_down(cause))

    async def _on_stepped_down(self, cause):
        self._world.note(f"{self.name} stepped down: {cause}")
        leader, self.leader = self.leader, None
        if leader is not None:
            await leader.stop()


def decode_worker(item):
    """Return the worker that an entry of the store names."""
    fields = json.loads(item.value)
    worker_id = item.key.removeprefix("servers/")
    changes = {name: fields[name] for name in ("address",) if name in fields}
    return Ok(
        worker_info(
            worker_id,
            fields["cpu"],
            started_ms=fields["born"],
            revision=item.revision,
            draining=fields.get("draining", False),
            **changes,
        )
    )
