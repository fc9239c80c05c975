"""Complete system on the loopback interface, with each component as a child process."""

import asyncio
import configparser
import json
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from tests.lib.processes import ManagedProcess

ROOT = Path(__file__).resolve().parent.parent.parent
OPERATOR_TOKEN = "operator-token-for-tests"
CONDITION_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
READY_TIMEOUT_S = 0.3
MAX_CLIENT_CONNECTIONS = 2_000

# Shorter than the defaults, so that a short run can include a pause longer than every lease.
SHORT_LEASES: Mapping[str, Mapping[str, object]] = {
    "peer": {"heartbeat_ms": 250, "suspect_ms": 1_000, "reconnect_max_ms": 500},
    "leadership": {"lease_s": 2, "renew_ms": 500, "margin_ms": 300, "promise_ms": 1_200},
    "store": {"call_timeout_ms": 1_000, "backoff_max_ms": 500},
    "platform": {"poll_ms": 250},
    "tasks": {"task_lease_ms": 3_000, "sync_wait_ms": 500},
    "stop": {"balancer_notice_ms": 500, "drain_limit_ms": 20_000},
}


@dataclass(frozen=True, slots=True)
class Layout:
    """Size and settings of a system.

    ``instances``, ``endpoints`` and ``workers`` count per failure domain. ``teams`` maps each team
    to its token for the administration API.
    """

    domains: tuple[str, ...] = ("east", "west")
    instances: int = 2
    endpoints: int = 2
    workers: int = 2
    service: str = "shade-engine"
    teams: Mapping[str, str] = field(default_factory=lambda: {"color": "team-token-color"})
    settings: Mapping[str, Mapping[str, object]] = field(default_factory=lambda: SHORT_LEASES)
    endpoint_arguments: tuple[str, ...] = ()
    worker_arguments: tuple[str, ...] = ()


@dataclass(slots=True)
class Node:
    """Process in the platform's instance list. ``ports`` is set when the process has started."""

    process: ManagedProcess
    role: str
    domain: str
    rack: str = ""
    ports: dict[str, Any] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """Return the instance id."""
        return self.process.name


class Cluster:
    """Starts a complete system, injects faults and stops it; an asynchronous context manager.

    Every process is killed on exit, including after a failure. If ``keep`` is true, the directory
    with settings and logs is preserved.
    """

    def __init__(self, layout: Layout, *, keep: bool = False) -> None:
        self.layout = layout
        self.directory = Path(tempfile.mkdtemp(prefix="nutmeglb-"))
        self.http = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENT_CONNECTIONS)
        self._keep = keep
        self._instance_list = self._new_standin("list", "instance_list")
        self._store = self._new_standin("store", "store")
        self.nodes: dict[str, Node] = {}
        self.list_address = ""
        self.store_address = ""

    async def __aenter__(self) -> "Cluster":
        try:
            await self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process, and remove the directory unless ``keep`` is set."""
        for process in self._processes():
            process.kill()
        self.http.close()
        if self._keep:
            print(f"logs: {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    # Queries

    def of_role(self, role: str, domain: str | None = None) -> list[Node]:
        """Return the nodes of a role, sorted by name."""
        nodes = sorted(self.nodes.values(), key=lambda node: node.name)
        return [n for n in nodes if n.role == role and domain in (None, n.domain)]

    def entries(self, domain: str | None = None) -> list[Node]:
        """Return the entry instances, or those of one failure domain."""
        return self.of_role("entry", domain)

    async def get_json(self, address: str, path: str, token: str = OPERATOR_TOKEN) -> Any:
        """Return the decoded JSON of a path of the administration API or a stand-in."""
        return json.loads(await self.get_text(address, path, token))

    async def get_text(self, address: str, path: str, token: str = OPERATOR_TOKEN) -> str:
        """Return the response body of a path of the administration API or a stand-in."""
        headers = {"Authorization": f"Bearer {token}"}
        response = await self.http.fetch(HTTPRequest(f"http://{address}{path}", headers=headers))
        return response.body.decode()

    async def post_json(self, address: str, path: str, body: object) -> HTTPResponse:
        """Post to the administration API or a stand-in; error responses are returned, not raised.

        A string is sent unchanged, any other value as JSON.
        """
        headers = {
            "Authorization": f"Bearer {OPERATOR_TOKEN}",
            "Content-Type": "application/json",
        }
        text = body if isinstance(body, str) else json.dumps(body)
        request = HTTPRequest(f"http://{address}{path}", method="POST", headers=headers, body=text)
        return await self.http.fetch(request, raise_error=False)

    async def status(self, entry: Node) -> dict[str, Any] | None:
        """Return the status of an entry instance, or ``None`` if it does not respond."""
        try:
            status = await self.get_json(entry.ports["admin"], "/v1/status")
        except (OSError, ValueError, HTTPError):
            return None
        return status if isinstance(status, dict) else None

    async def readiness(self, entry: Node) -> bool | None:
        """Return whether an entry instance is ready, or ``None`` if it does not respond."""
        request = HTTPRequest(
            f"http://{entry.ports['admin']}/readyz", request_timeout=READY_TIMEOUT_S
        )
        try:
            response = await self.http.fetch(request, raise_error=False)
        except (OSError, HTTPError):
            return None
        return response.code == 200

    async def ready(self, entry: Node) -> bool:
        """Return whether an entry instance reports that it is ready."""
        return await self.readiness(entry) is True

    # Commands

    async def start_node(self, node: Node) -> None:
        """Start a process and add it to the platform's list."""
        node.process.start()
        node.ports = await node.process.ports()
        await self.put_into_list(node)

    async def put_into_list(self, node: Node, state: str = "live") -> None:
        """Add a node to the platform's list, or update its entry."""
        labels = {
            "role": node.role,
            "failure_domain": node.domain,
            "region": "region-1",
            "instance": node.name,
            "state": state,
        }
        if node.role == "entry":
            labels["admin"] = node.ports["admin"]
        if node.role == "endpoint":
            labels["service"] = self.layout.service
        if node.role == "worker":
            labels["rack"] = node.rack
        entry = {"targets": [main_address(node)], "labels": labels}
        await self.post_json(self.list_address, "/control", {"put": [entry]})

    async def remove_from_list(self, node: Node) -> None:
        """Remove a node from the platform's list."""
        await self.post_json(
            self.list_address, "/control", {"remove": [f"{node.role}/{node.name}"]}
        )

    async def restart(self, node: Node) -> None:
        """Kill a process and start it again with empty state."""
        node.process.kill()
        await self.start_node(node)

    async def terminate(self, node: Node) -> int:
        """Stop a process with SIGTERM and return its exit status."""
        node.process.send(signal.SIGTERM)
        return await node.process.wait()

    async def store_faults(self, *rules: Mapping[str, object]) -> None:
        """Replace the injected faults of the store stand-in."""
        await self.post_json(self.store_address, "/faults", list(rules))

    async def list_faults(self, **faults: object) -> None:
        """Replace the injected faults of the stand-in for the platform's list."""
        await self.post_json(self.list_address, "/faults", faults)

    def partition_peers(self, *domains: str) -> None:
        """Partition failure domains from all others; without arguments, end all partitions."""
        for node in self.entries():
            others = set(self.layout.domains) - {node.domain}
            cut = others if node.domain in domains else others & set(domains)
            self._fault_file(node.name).write_text(json.dumps(sorted(cut)))

    # Start

    async def _start_all(self) -> None:
        self._instance_list.start()
        self._store.start()
        self.list_address = first_address(await self._instance_list.ports())
        self.store_address = first_address(await self._store.ports())
        nodes = [*self._new_entries(), *self._new_endpoints(), *self._new_workers()]
        self.nodes = {node.name: node for node in nodes}
        await asyncio.gather(*(self.start_node(node) for node in nodes))

    def _new_entries(self) -> Iterator[Node]:
        for domain in self.layout.domains:
            for number in range(1, self.layout.instances + 1):
                name = f"{domain}-entry-{number}"
                file = self._write_settings(name, domain)
                arguments = ["-m", "nutmeglb", str(file)]
                yield Node(ManagedProcess(name, self.directory, arguments), "entry", domain)

    def _new_endpoints(self) -> Iterator[Node]:
        for domain in self.layout.domains:
            for number in range(1, self.layout.endpoints + 1):
                process = self._new_standin(
                    f"{domain}-endpoint-{number}", "endpoint", *self.layout.endpoint_arguments
                )
                yield Node(process, "endpoint", domain)

    def _new_workers(self) -> Iterator[Node]:
        for domain in self.layout.domains:
            for number in range(1, self.layout.workers + 1):
                name = f"{domain}-worker-{number}"
                process = self._new_standin(
                    name, "agent", f"--worker={name}", *self.layout.worker_arguments
                )
                yield Node(process, "worker", domain, rack=f"{domain}-rack-{number % 2}")

    def _new_standin(self, name: str, module: str, *arguments: str) -> ManagedProcess:
        ports_file = self.directory / f"{name}.ports.json"
        command = ["-m", f"standins.{module}", "--port=0", f"--ports_file={ports_file}"]
        return ManagedProcess(name, self.directory, [*command, *arguments])

    def _write_settings(self, name: str, domain: str) -> Path:
        sections: dict[str, dict[str, object]] = {
            "instance": {"id": name, "failure_domain": domain, "region": "region-1"},
            "listen": {"ports_file": self.directory / f"{name}.ports.json"},
            "store": {"address": self.store_address},
            "platform": {"list_url": f"http://{self.list_address}/list"},
            "peer": {"secret": "peer-secret-for-tests", "fault_file": self._fault_file(name)},
            "tokens": {"operator": OPERATOR_TOKEN}
            | {f"team.{team}": token for team, token in self.layout.teams.items()},
        }
        for section, values in self.layout.settings.items():
            sections.setdefault(section, {}).update(values)
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict({s: {k: str(v) for k, v in kv.items()} for s, kv in sections.items()})
        file = self.directory / f"{name}.ini"
        with file.open("w") as stream:
            parser.write(stream)
        return file

    def _fault_file(self, name: str) -> Path:
        return self.directory / f"{name}.cut.json"

    def _processes(self) -> list[ManagedProcess]:
        return [self._instance_list, self._store, *(node.process for node in self.nodes.values())]


def first_address(ports: Mapping[str, Any]) -> str:
    """Return the only address in a stand-in's ports file."""
    return str(next(iter(ports.values())))


def main_address(node: Node) -> str:
    """Return the address that the platform's list holds for a node."""
    return str(node.ports["peer"]) if node.role == "entry" else first_address(node.ports)


async def eventually(condition: Callable[[], Any], description: str) -> Any:
    """Wait until an asynchronous condition is true and return its value.

    Raises
    ------
    AssertionError
        If the condition is not true within ``CONDITION_TIMEOUT_S``.
    """
    deadline = asyncio.get_running_loop().time() + CONDITION_TIMEOUT_S
    while asyncio.get_running_loop().time() < deadline:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"not reached within {CONDITION_TIMEOUT_S:.0f} s: {description}")
