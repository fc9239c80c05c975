"""The platform's store in memory, on virtual time and with faults per client."""

import asyncio

from result import Err, Ok

from nutmeglb._internal.queues.ports import Changes, Commit, Listing, Removal, StoredItem
from nutmeglb_formats.exceptions import StoreOutcomeUnknown, StoreRefused, StoreUnavailable

CALL_TIMEOUT_MS = 700.0
HOP_MS = 1.0


class StoreModel:
    """Keys with revisions and leases. A lease ends early only if the store is down and says so."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self._last_lease = 0
        self.is_down = False
        self.pauses_leases = False
        self._down_since_ms = 0.0

    def put(self, key, value, lease=0):
        """Write a key directly."""
        self.revision += 1
        item = StoredItem(key, value, self.revision)
        self.items[key] = (item, lease)
        self.history.append(item)
        return self.revision

    def remove(self, key):
        """Remove a key directly."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(Removal(key, self.revision))

    def set_down(self, is_down, pauses_leases=False):
        """Begin or end an outage for all clients."""
        if self.is_down and not is_down and self.pauses_leases:
            pause_ms = self._simulation.now_ms - self._down_since_ms
            self.leases = {k: (ttl, end + pause_ms) for k, (ttl, end) in self.leases.items()}
        if is_down and not self.is_down:
            self.expire()
            self._down_since_ms = self._simulation.now_ms
            self.pauses_leases = pauses_leases
        self.is_down = is_down

    def expire(self):
        """Remove the keys whose leases have ended."""
        if self.is_down and self.pauses_leases:
            return
        ended = {k for k, (_, end) in self.leases.items() if end <= self._simulation.now_ms}
        for key in [key for key, (_, lease) in self.items.items() if lease in ended]:
            self.remove(key)
        for lease in ended:
            del self.leases[lease]

    def grant(self, ttl_ms):
        """Create a lease."""
        self._last_lease += 1
        self.leases[self._last_lease] = (ttl_ms, self._simulation.now_ms + ttl_ms)
        return self._last_lease

    def keep_alive(self, lease):
        """Renew a lease. Return whether it exists."""
        if lease not in self.leases:
            return False
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, self._simulation.now_ms + ttl_ms)
        return True

    def revoke(self, lease):
        """End a lease."""
        if lease in self.leases:
            self.leases[lease] = (0.0, self._simulation.now_ms)
            self.expire()

    def commit(self, expected, puts, removals):
        """Apply a transaction if its conditions hold. Return ``None`` if a lease has ended."""
        found = {key: self.items[key][0] for key in expected if key in self.items}
        for key, revision in expected.items():
            if (found[key].revision if key in found else 0) != revision:
                return Commit(False, 0, found)
        if any(put.lease and put.lease not in self.leases for put in puts):
            return None
        revision = self.revision + 1
        for put in puts:
            self.revision = revision - 1
            self.put(put.key, put.value, put.lease)
        for key in removals:
            self.revision = revision - 1
            self.remove(key)
        self.revision = revision
        return Commit(True, revision)

    def range(self, prefix):
        """Return the items under a prefix."""
        items = [item for key, (item, _) in sorted(self.items.items()) if key.startswith(prefix)]
        return Listing(tuple(items), self.revision)

    def changes(self, prefix, after):
        """Return the changes under a prefix after a revision."""
        found = [c for c in self.history if c.revision > after and c.key.startswith(prefix)]
        return Changes(tuple(found), self.revision)


class StoreClient:
    """Implements ``QueueStore`` for one process.

    Attributes
    ----------
    is_cut
        Whether calls are lost.
    next_fates
        For the next calls that write: "lost", "no_answer" or "late".
    """

    def __init__(self, simulation, model):
        self._simulation = simulation
        self._model = model
        self.is_cut = False
        self.next_fates = []
        self.late_ms = 2_000.0

    async def get(self, key):
        return await self._call(lambda: self._model.items.get(key, (None, 0))[0])

    async def range(self, prefix, *, large=False):
        return await self._call(lambda: self._model.range(prefix))

    async def changes(self, prefix, after, wait_ms):
        start_ms = self._simulation.now_ms
        while True:
            found = await self._call(lambda: self._model.changes(prefix, after))
            waited_ms = self._simulation.now_ms - start_ms
            if isinstance(found, Err) or found.ok_value.changes or waited_ms >= wait_ms:
                return found
            await asyncio.sleep(0.05)

    async def commit(self, expected, puts, removals=()):
        expected, puts, removals = dict(expected), list(puts), list(removals)
        answer = await self._call(lambda: self._model.commit(expected, puts, removals), writes=True)
        if isinstance(answer, Ok) and answer.ok_value is None:
            return Err(StoreRefused("no such lease", context={}, hint="none"))
        return answer

    async def lease_grant(self, ttl_ms):
        return await self._call(lambda: self._model.grant(ttl_ms))

    async def lease_keep_alive(self, lease):
        return await self._call(lambda: self._model.keep_alive(lease))

    async def lease_revoke(self, lease):
        return await self._call(lambda: self._model.revoke(lease))

    async def _call(self, execute, *, writes=False):
        future = asyncio.get_running_loop().create_future()
        fate = self.next_fates.pop(0) if writes and self.next_fates else ""

        def arrive():
            if self._model.is_down or (self.is_cut and fate != "late") or fate == "lost":
                return
            self._model.expire()
            answer = execute()
            if not fate:
                self._simulation.at(HOP_MS, lambda: self.is_cut or _resolve(future, answer))

        self._simulation.at(self.late_ms if fate == "late" else HOP_MS, arrive)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1_000):
                return Ok(await future)
        except TimeoutError:
            kind = StoreOutcomeUnknown if writes else StoreUnavailable
            return Err(kind("no answer", context={}, hint="none"))


def _resolve(future, answer):
    if not future.done():
        future.set_result(answer)
