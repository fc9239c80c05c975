"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it, without disk.

Each instance has a listener of its own, so that the store can treat one machine differently.
"""

import asyncio
import base64
import itertools

from http1 import SILENT, Server

VALUE_BYTES = 1_048_576
MAX_ENTRIES = 32
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Listener:
    """What the store does to the calls that arrive over one listener.

    ``answers`` false: no call is answered, and reads have no effect. Transactions that arrive
    meanwhile are executed ``late_s`` after their arrival, or never if that is ``None``.
    """

    def __init__(self, store):
        self.answers = True
        self.late_s = None
        self.server = Server(lambda request: store.handle(self, request))


class Store:
    """The data of the store. ``record`` is called with lines for the record of the case."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.refused = {}
        self.largest = 0
        self._lease_ids = itertools.count(70_001)
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._tasks = set()

    async def listen(self):
        listener = Listener(self)
        await listener.server.start()
        return listener

    async def run(self):
        """End the leases that have expired, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now_s = asyncio.get_running_loop().time()
            for lease, (_, ends_s) in list(self.leases.items()):
                if now_s >= ends_s:
                    self._end_lease(lease)

    def put(self, key, value):
        """Write an item without a condition, as the operator and the runners do."""
        self.revision += 1
        self._write({"key": key, "value": base64.b64encode(value).decode()})
        self._notify()

    def remove(self, key):
        """Remove an item, as the store does for a runner that is gone."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def value(self, key):
        """Return the bytes of an item, or ``None``."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def handle(self, listener, request):
        await asyncio.sleep(0.002)
        if not listener.answers:
            if request.path == "/v1/kv-txn" and listener.late_s is not None:
                self._spawn(self._execute_late(request.body, listener.late_s))
            return SILENT
        reply = await self._execute(request)
        if reply[0] not in (200, 404, 410, 412):
            self.refused[reply[0]] = self.refused.get(reply[0], 0) + 1
            if self.refused[reply[0]] in (1, 10, 100):
                self.record(f"store answers {reply[0]} to {request.path}: {reply[1]}")
        return reply if listener.answers else SILENT

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute_late(self, body, late_s):
        await asyncio.sleep(late_s)
        status, _ = self._transact(body)
        keys = [put["key"] for put in body.get("puts", [])]
        self.record(f"store executes an unanswered transaction late: {status}, puts {keys}")

    async def _execute(self, request):
        path, query, body = request.path, request.query, request.body
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if path == "/v1/kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "/v1/kv-txn":
            return self._transact(body)
        if path == "/v1/kv-lease":
            lease = next(self._lease_ids)
            ttl_s = body["ttl_ms"] / 1_000
            self.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        name, _, number = path.removeprefix("/v1/").partition("/")
        if name == "kv-keep":
            if int(number) not in self.leases:
                return 404, {}
            ttl_s = self.leases[int(number)][0]
            self.leases[int(number)] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1_000)}
        if name == "kv-lease-end":
            self._end_lease(int(number))
            return 200, {}
        return 400, {"error": "no such call"}

    def _transact(self, body):
        puts, removals = body.get("puts", []), body.get("remove", [])
        expected = body.get("expected_rev", [])
        if len(puts) + len(removals) + len(expected) > MAX_ENTRIES:
            return 400, {"error": "over 32 entries"}
        for put in puts:
            size = len(base64.b64decode(put["value"]))
            self.largest = max(self.largest, size)
            if size > VALUE_BYTES:
                return 400, {"error": f"value of {put['key']} has {size} bytes"}
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {"error": "no such lease"}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                absent = [{"key": each["key"], "revision": 0} for each in expected]
                return 412, {"items": [self.items.get(each["key"], each) for each in absent]}
        self.revision += 1
        for put in puts:
            self._write(put)
        for key in removals:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    def _write(self, put):
        known = self.items.get(put["key"])
        item = {
            "key": put["key"],
            "value": put["value"],
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": put.get("lease", 0),
        }
        self.items[put["key"]] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    def _range(self, prefix, after):
        items, size, truncated = [], 0, False
        for key in sorted(k for k in self.items if k.startswith(prefix) and k > after):
            if len(items) >= PAGE_ITEMS or (items and size > PAGE_BYTES):
                truncated = True
                break
            items.append(self.items[key])
            size += len(self.items[key]["value"])
        return 200, {"items": items, "truncated": truncated, "as_of": self.revision}

    async def _watch(self, prefix, after, wait_ms):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + wait_ms / 1_000
        while True:
            if after < self._forgotten:
                return 410, {}
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.insert(0, event)
            left_s = ends_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    def _notify(self):
        if len(self.history) > 40_000:
            self._forgotten = self.history[19_999]["revision"]
            del self.history[:20_000]
        self._changed.set()
        self._changed = asyncio.Event()
