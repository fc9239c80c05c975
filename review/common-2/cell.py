"""A small deployment: entry instances as processes, and stand-ins of what they speak to."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http1
from platform_store import Store
from runners import Fleet

ROOT = Path(__file__).resolve().parents[2]
HOST = "q.example"
BOUNDS = {
    "stable_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_ms": 2000,
    "max_hold_ms": 6000,
    "stop_timeout_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "restore_ms": 250,
}
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a case: lines with the seconds since its start."""

    def __init__(self, path):
        self._file = path.open("w", buffering=1)
        self._start_s = time.monotonic()

    def __call__(self, line):
        text = f"{time.monotonic() - self._start_s:8.3f}  {line}"
        print(text, file=self._file)


def fill_in(template, fields):
    """Return a template of settings with its fields, as DEPLOY.md describes it."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if not isinstance(value, dict) or part not in value:
                return None
            value = value[part]
        return value

    def section(match):
        value = look_up(match[1])
        return match[2] if value not in (None, False, "", 0) else ""

    def value(match):
        found = look_up(match[1])
        if found is None:
            return ""
        return str(found).lower() if isinstance(found, bool) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Instance:
    """An entry instance: a process with the command of the deploy file."""

    def __init__(self, cell, name, listener):
        self._cell = cell
        self.name = name
        self.listener = listener
        self.caller = f"127.0.0.1:{free_port()}"
        self.health = f"127.0.0.1:{free_port()}"
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        settings = self._cell.directory / f"{self.name}.conf"
        fields = {
            "node_name": self.name,
            "zone": "z-1",
            "region": "r-1",
            "ip": "127.0.0.1",
            "limits": {"cpu_share": 0.537, "cores": 2, "max_fds": 4100, "link_mbps": 1000.0},
            "listen": {"client_addr": self.caller, "health_addr": self.health},
            "port_range": {"0": free_port()},
            "platform": {
                "address": self.listener.server.address,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
            "advice": "",
            "contracts": "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
        }
        settings.write_text(fill_in((ROOT / deploy["template"]).read_text(), fields))
        log = (self._cell.directory / f"{self.name}.log").open("ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["NUTMEGLB_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        command = deploy["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._cell.record(f"instance {self.name} started, callers at {self.caller}")

    async def is_ready(self):
        status, _ = await http1.call(self.health, "GET", "/v1/readyz", timeout_s=1.0)
        return status == 200

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()


class Cell:
    """The deployment, with a client for it."""

    def __init__(self, folder, instances=3, attempts=4, queues=None):
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.store = Store(self.record)
        self.fleet = Fleet(self.store, self.record, BOUNDS)
        self.instances = []
        self._count = instances
        self._tasks = []
        self.queues = queues or [("r-1", "/jobs/", 1)]
        self._attempts = attempts

    async def start(self, runners=6, cpu=16_000, rack_size=6):
        """Start everything, and wait until all instances are ready and one leads."""
        self._tasks.append(asyncio.create_task(self.store.run()))
        for number in range(runners):
            await self.fleet.add(f"n{number + 1}", cpu=cpu, rack=f"r1-{number // rack_size + 1}")
        self._tasks.append(asyncio.create_task(self.fleet.run()))
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": prefix,
                "type": "non_idempotent",
                "timeout_ms": 3000,
                "target_duration_ms": 1000,
                "priority": priority,
                "backend": "pool",
                "attempts": self._attempts,
                "stretch": 2.0,
            }
            for name, prefix, priority in self.queues
        ]
        config = {
            "version": 7,
            "routes": routes,
            "backends": [{"name": "pool", "enforces_capacity": False, "standby": False}],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op/config", json.dumps(config).encode())
        for number in range(self._count):
            instance = Instance(self, f"edge-z-1-{number + 1}", await self.store.listen())
            self.instances.append(instance)
            await instance.start()
        await self.until(self._is_up, 30, "the deployment is ready")
        # The leader starts nothing before the store has answered for a heartbeat.
        await asyncio.sleep(4.0)

    async def _is_up(self):
        ready = [await instance.is_ready() for instance in self.instances]
        return all(ready) and "nutmeglb/leader" in self.store.items

    async def until(self, condition, limit_s, what):
        """Wait for a condition. Raise CannotRun if it is not met in time."""
        ends_s = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > ends_s:
                raise CannotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.05)

    @property
    def leader(self):
        """Return the instance that leads, by the leader's record in the store."""
        value = self.store.value("nutmeglb/leader") or b""
        return next((each for each in self.instances if each.name.encode() in value), None)

    async def call(self, method, job, body=None, instance=None, prefix="/jobs/", timeout_s=3.0):
        """Send a client's call, and record it with its answer."""
        chosen = instance or self.instances[0]
        status, content = await http1.call(
            chosen.caller,
            method,
            prefix + job,
            HOST,
            body,
            timeout_s,
            {"Deadline-Ms": str(int(timeout_s * 1_000))},
        )
        shown = json.dumps(body)
        shown = "" if body is None else " " + (shown if len(shown) < 400 else shown[:400] + "...")
        self.record(f"{method} {prefix}{job} at {chosen.name}{shown} -> {status} {content}")
        return status, content

    async def end(self):
        for instance in self.instances:
            await instance.end()
        for task in self._tasks:
            task.cancel()
        for runner in self.fleet.runners:
            runner.server.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


def main(folder, scenario, **options):
    """Run a scenario and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def run():
        cell = Cell(folder, **options)
        cell.record(f"trouble: {IS_TROUBLED}")
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                fault = await scenario(cell)
            cell.record(f"RESULT: {'broken: ' + fault if fault else 'the rule held'}")
            return 1 if fault else 0
        except (CannotRun, TimeoutError, OSError) as error:
            cell.record(f"RESULT: could not run: {error!r}")
            return 2
        finally:
            await cell.end()

    sys.exit(asyncio.run(run()))
