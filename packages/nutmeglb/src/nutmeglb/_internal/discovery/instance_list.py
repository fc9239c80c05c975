"""Reader of the platform's instance list (Prometheus HTTP service discovery format)."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Metrics
from nutmeglb._internal.settings.models import Settings
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import InstanceListError
from nutmeglb_formats.models.instances import Instance, InstanceRole, InstanceState

logger = get_logger("platform")

NOT_MODIFIED = 304
READ_TIMEOUT_S = 2.0
BODY_LIMIT_BYTES = 8 * 1024 * 1024
MS_PER_S = 1_000.0
CLIENT_HEADER = "X-Client-Instance"


class Labels(BaseModel):
    """Labels of a target group. Labels that nutmeglb does not use are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    role: InstanceRole
    failure_domain: str = Field(min_length=1, max_length=64)
    instance: str = Field(min_length=1, max_length=64)
    state: InstanceState = InstanceState.LIVE
    region: str = ""
    rack: str = ""
    service: str = ""
    admin: str = ""


class TargetGroup(BaseModel):
    """One entry of the list. Every entry has exactly one target."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    targets: list[str] = Field(min_length=1, max_length=1)
    labels: Labels


TARGET_GROUPS = TypeAdapter(list[TargetGroup])


def parse_list(body: bytes) -> Result[tuple[Instance, ...], InstanceListError]:
    """Parse a list. It is rejected as a whole if an entry is invalid or an id repeats in a role."""
    try:
        groups = TARGET_GROUPS.validate_json(body)
    except ValidationError as error:
        return Err(_list_error(f"{error.error_count()} invalid values"))
    instances = tuple(_to_instance(group) for group in groups)
    if len({(item.role, item.instance_id) for item in instances}) < len(instances):
        return Err(_list_error("an instance id is listed twice"))
    return Ok(instances)


class PolledInstanceList:
    """Implements ``InstanceList`` by polling. The last valid list stays in use during an outage.

    Parameters
    ----------
    settings
        ``platform.list_url`` and ``platform.poll_ms`` are used.
    """

    name = "instance_list"

    def __init__(self, settings: Settings, clock: Clock, metrics: Metrics) -> None:
        self._url = settings.platform.list_url
        self._poll_interval_ms = settings.platform.poll_ms
        self._headers = {CLIENT_HEADER: settings.instance.id}
        self._clock = clock
        self._instances: tuple[Instance, ...] = ()
        self._etag = ""
        self._last_read_ms: float | None = None
        self._is_failing = False
        self._subscribers: list[Callable[[], None]] = []
        self._background = BackgroundTasks()
        self._client: AsyncHTTPClient | None = None
        self._reads_counter = metrics.counter(
            "nutmeglb_instance_list_reads_total", "Reads of the platform's list, by result."
        )
        self._age_gauge = metrics.gauge(
            "nutmeglb_instance_list_age_seconds", "Time since the last successful read."
        )

    @property
    def is_loaded(self) -> bool:
        """Return whether the list has been read at least once."""
        return self._last_read_ms is not None

    def instances(self, role: InstanceRole, domain: str | None = None) -> Sequence[Instance]:
        """Return the listed instances of a role."""
        return [
            item
            for item in self._instances
            if item.role is role and (domain is None or item.domain == domain)
        ]

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change of the list."""
        self._subscribers.append(callback)

    async def start(self) -> None:
        """Read the list once and start polling."""
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=1, max_body_size=BODY_LIMIT_BYTES
        )
        await self._read_list()
        self._background.spawn(self._poll_loop())

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: the list stays in use until the process ends."""

    async def stop(self) -> None:
        """Stop polling."""
        await self._background.cancel()
        if self._client is not None:
            self._client.close()

    def status(self) -> Mapping[str, object]:
        """Return the number of instances and the age of the list in milliseconds."""
        return {"instances": len(self._instances), "age_ms": self._age_ms()}

    async def _poll_loop(self) -> None:
        while True:
            await asyncio.sleep(self._poll_interval_ms / MS_PER_S)
            await self._read_list()

    async def _read_list(self) -> None:
        result = await self._fetch()
        if isinstance(result, Err):
            self._reads_counter.inc(result="error")
            if not self._is_failing:
                logger.warning(
                    "cannot read the instance list; keeping the last valid one",
                    cause=result.err_value,
                )
            self._is_failing = True
        else:
            self._is_failing = False
            self._last_read_ms = self._clock.now_ms()
            self._apply_list(result.ok_value)
        age_ms = self._age_ms()
        if age_ms is not None:
            self._age_gauge.set(age_ms / MS_PER_S)

    def _apply_list(self, instances: tuple[Instance, ...] | None) -> None:
        self._reads_counter.inc(result="unchanged" if instances is None else "changed")
        if instances is None or instances == self._instances:
            return
        self._instances = instances
        for callback in self._subscribers:
            callback()

    async def _fetch(self) -> Result[tuple[Instance, ...] | None, InstanceListError]:
        assert self._client is not None
        headers = self._headers | ({"If-None-Match": self._etag} if self._etag else {})
        request = HTTPRequest(
            self._url,
            headers=headers,
            request_timeout=READ_TIMEOUT_S,
            connect_timeout=READ_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            return Err(_list_error(str(error)))
        if response.code == NOT_MODIFIED:
            return Ok(None)
        if response.error is not None:
            return Err(_list_error(str(response.error)))
        parsed = parse_list(response.body)
        if isinstance(parsed, Ok):
            self._etag = response.headers.get("ETag", "")
        return parsed

    def _age_ms(self) -> float | None:
        return None if self._last_read_ms is None else self._clock.now_ms() - self._last_read_ms


def _to_instance(group: TargetGroup) -> Instance:
    labels = group.labels
    return Instance(
        labels.instance,
        labels.role,
        labels.failure_domain,
        group.targets[0],
        labels.state,
        labels.region,
        labels.rack,
        labels.service,
        labels.admin,
    )


def _list_error(cause: str) -> InstanceListError:
    return InstanceListError(
        "The platform's instance list cannot be read",
        context={"cause": cause},
        hint="The last valid list stays in use; check platform.list_url",
    )
