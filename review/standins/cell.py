"""Starts the project's entry program beside the stand-ins of the platform, for one case.

The entry program is started with the command of ``deploy/system.toml``, and its settings come from
the template that the deploy file names, filled in like the platform does.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

STANDINS = Path(__file__).resolve().parent
ROOT = STANDINS.parent.parent
sys.path.insert(0, str(STANDINS))

import standin_http as http  # noqa: E402

RULE_BROKEN, RULE_HELD, CANNOT_RUN = 1, 0, 2
HOST = "jobs.example"
PREFIX = "/queue1/"
PORTS = (15_000, 32_000)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings: values and sections, as DEPLOY.md describes them."""

    def value_of(name: str) -> Any:
        found: Any = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        return match.group(2) if value_of(match.group(1)) else ""

    def value(match: re.Match[str]) -> str:
        found = value_of(match.group(1))
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(str(each) for each in found)
        return str(found).lower() if isinstance(found, bool) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, below those that connections and other servers are given."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            if port not in ports and probe.connect_ex(("127.0.0.1", port)) != 0:
                ports.append(port)
    return ports


class Cell:
    """The processes of one case. All of them end with ``stop``.

    Parameters
    ----------
    directory
        Folder of the case, in which ``record.txt`` is written.
    bounds, contracts
        Replace or add to those of the settings.
    """

    def __init__(
        self,
        directory: Path,
        *,
        entries: int,
        runners: int,
        config: dict[str, Any],
        bounds: dict[str, Any] | None = None,
        contracts: str = "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
        cpu: int = 32_000,
        mem_mb: int = 65_536,
    ) -> None:
        self.record_path = directory / "record.txt"
        self.record_path.write_text("")
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.config = config
        self.bounds = bounds or {}
        self.contracts = contracts
        self.entry_count, self.runner_count = entries, runners
        self.cpu, self.mem_mb = cpu, mem_mb
        self.processes: list[subprocess.Popen[Any]] = []
        self.entries: list[subprocess.Popen[Any]] = []
        self.callers: list[str] = []
        self.runners: dict[str, subprocess.Popen[Any]] = {}
        self.runner_ports: dict[str, int] = {}
        self.store = ""
        self.entry_stores: list[str] = []
        self.next_entry = 0
        self.names: list[str] = []
        self.health: list[str] = []

    def log(self, event: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = {"t": round(time.time(), 3), "by": "test", "event": event, **fields}
        with self.record_path.open("a") as record:
            record.write(json.dumps(line) + "\n")

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Return the lines of the record with one of the given events."""
        lines = self.record_path.read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line["event"] in names]

    async def start(self) -> None:
        """Start everything and wait until all entry processes are ready."""
        store = self.spawn([sys.executable, str(STANDINS / "store.py"), str(self.entry_count)])
        assert store.stdout is not None
        ports = (await asyncio.to_thread(store.stdout.readline)).split()
        self.store, *self.entry_stores = [f"127.0.0.1:{port}" for port in ports]
        await self.configure(self.config)
        for number in range(self.runner_count):
            await self.start_runner(f"i-{number:02d}")
        for _ in range(self.entry_count):
            self.start_entry()
        async with asyncio.timeout(30):
            for health in self.health:
                while (await http.request(health, "GET", "/v1/readyz"))[0] != 200:
                    await asyncio.sleep(0.1)
        # Traffic starts 12 s after the machines do; the leader is elected long before.
        await asyncio.sleep(4.0)

    async def configure(self, config: dict[str, Any]) -> None:
        """Store a configuration as the operator."""
        value = base64.b64encode(json.dumps(config).encode()).decode()
        body = {"puts": [{"key": "op/config", "value": value}]}
        status, _ = await http.request(self.store, "POST", "/v1/kv-txn", body)
        self.log("configured", version=config["version"], status=status)

    def spawn(self, command: list[str], **options: Any) -> subprocess.Popen[Any]:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, **options)
        self.processes.append(process)
        return process

    async def first_line(self, process: subprocess.Popen[Any]) -> int:
        assert process.stdout is not None
        return int(await asyncio.to_thread(process.stdout.readline))

    async def start_runner(self, runner_id: str) -> None:
        """Start a runner, after a crash under the same id and at the same address."""
        number = int(runner_id.rpartition("-")[2])
        zone = number % 3
        arguments = {
            "id": runner_id,
            "backend": "pool",
            "zone": f"z{zone}",
            "rack": f"r1-{number // 8}",
            "store": self.store,
            "record": str(self.record_path),
            "cpu": self.cpu,
            "mem_mb": self.mem_mb,
            "port": self.runner_ports.get(runner_id, 0),
            "heartbeat_ms": 1_500,
        }
        command = [sys.executable, str(STANDINS / "runner.py")]
        process = self.spawn(command + [f"--{name}={value}" for name, value in arguments.items()])
        self.runners[runner_id] = process
        self.runner_ports[runner_id] = await self.first_line(process)

    def kill_runner(self, runner_id: str) -> None:
        """Crash a runner."""
        self.log("crash", runner=runner_id)
        self.runners[runner_id].send_signal(signal.SIGKILL)
        self.runners[runner_id].wait()

    def drain_runner(self, runner_id: str) -> None:
        """Let a runner leave as planned."""
        self.runners[runner_id].send_signal(signal.SIGTERM)

    def start_entry(self) -> None:
        """Start an entry process with the command and the template of the deploy file."""
        number = self.next_entry
        self.next_entry += 1
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        caller, health, peer = free_ports(3)
        zone = f"z{number % 3}"
        fields: dict[str, Any] = {
            "node_name": f"edge-{zone}-{number}",
            "role": "entry",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region",
            "listen": {
                "client_addr": f"127.0.0.1:{caller}",
                "health_addr": f"127.0.0.1:{health}",
            },
            "port_range": [peer, peer],
            "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1_000.0, "max_fds": 4_100},
            "contracts": self.contracts,
            "heartbeat_ms": 1_500,
            "bounds": {
                "config_ms": 2_000,
                "stable_ms": 3_000,
                "max_hold_ms": 10_000,
                "stop_timeout_ms": 200,
                "status_s": 120,
                "restore_ms": 600,
                **self.bounds,
            },
            "platform": {
                "address": self.entry_stores[number],
                "value_bytes": 1_048_576,
                "min_ttl_ms": 1_000,
            },
        }
        settings = self.work / f"local-{number}.conf"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.entries.append(self.run_entry(number))
        self.callers.append(f"127.0.0.1:{caller}")
        self.health.append(f"127.0.0.1:{health}")
        self.names.append(fields["node_name"])

    async def refuse(self, entry: int, for_s: float) -> None:
        """Let the store turn one entry process away, while it serves the others."""
        self.log("refused by the store", entry=entry, for_s=for_s)
        body = {"listener": entry + 1, "for_s": for_s}
        await http.request(self.store, "POST", "/control/refuse", body)

    def run_entry(self, number: int) -> subprocess.Popen[Any]:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        words = role["run"].split()
        program = shutil.which(words[0])
        assert program is not None
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["NUTMEGLB_BOOT"] = str(self.work / f"local-{number}.conf")
        output = (self.work / f"entry-{number}.log").open("a")
        process = subprocess.Popen(
            [program, *words[1:]], cwd=ROOT, env=environment, stdout=output, stderr=output
        )
        self.processes.append(process)
        return process

    def restart_entry(self, number: int) -> None:
        """Start an entry process again that has ended, with its settings."""
        self.entries[number] = self.run_entry(number)

    async def leader(self) -> int:
        """Return the number of the entry process whose name the leader key holds."""
        path = "/v1/kv-key?key=nutmeglb/leader"
        status, item = await http.request(self.store, "GET", path)
        value = base64.b64decode(item["value"]) if status == 200 else b""
        return next(n for n, name in enumerate(self.names) if name.encode() in value)

    async def call(
        self, entry: int, method: str, path: str, body: Any = None, key: str = "", log: bool = True
    ) -> tuple[int, Any]:
        """Send a client's request to an entry process."""
        headers = {"Host": HOST, "Deadline-Ms": "3000", **({"Key": key} if key else {})}
        answer = await http.request(self.callers[entry], method, PREFIX + path, body, headers)
        if log:
            self.log("call", method=method, path=path, entry=entry, answer=answer)
        return answer

    def entry_logs(self) -> str:
        """Return what the entry processes wrote."""
        return "".join(path.read_text() for path in sorted(self.work.glob("entry-*.log")))

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print(f"logs: {self.work}")
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def run_case(scenario: Any) -> int:
    """Run a scenario and return its exit status: 1 rule broken, 0 rule held, 2 could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded() -> int:
        async with asyncio.timeout(115):
            return int(await scenario(has_trouble))

    try:
        return asyncio.run(bounded())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        return CANNOT_RUN
