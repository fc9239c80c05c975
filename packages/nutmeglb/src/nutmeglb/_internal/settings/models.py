"""Validated settings of an entry instance. One model per INI section."""

from pydantic import BaseModel, ConfigDict, Field, model_validator

from nutmeglb_formats.addresses import Address, HttpUrl, Name, settings_fault
from nutmeglb_formats.names import NAME_HINT, is_name

TOKEN_MIN_CHARACTERS = 8
TEAM_PREFIX = "team."
OPERATOR_KEY = "operator"


class Section(BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class InstanceSection(Section):
    """Identity of this instance."""

    id: Name = Field(min_length=1, max_length=64, description="Unique id of this instance.")
    failure_domain: Name = Field(min_length=1, max_length=64, description="Its failure domain.")
    region: str = Field("", max_length=64, description="Region of the failure domain.")


class MachineSection(Section):
    """What a process of this instance may use."""

    memory_mb: int = Field(512, ge=64, description="Memory that a process may use, in MiB.")
    max_descriptors: int = Field(4_096, ge=256, description="Descriptors that a process may open.")


class ListenSection(Section):
    """Addresses as ``ip:port``. Port 0 picks a free port."""

    caller: Address = Field("127.0.0.1:0", description="Listener for callers' requests.")
    admin: Address = Field("127.0.0.1:0", description="Listener of the administration API.")
    peer: Address = Field("127.0.0.1:0", description="Listener for other entry instances.")
    ports_file: str = Field("", description="File that receives the bound addresses as JSON.")


class StoreSection(Section):
    """The platform's key-value store."""

    address: Address = Field(description="``ip:port`` of the store's HTTP gateway.")
    call_timeout_ms: float = Field(2_000, ge=50, le=30_000, description="Timeout of one call.")
    calls_per_s: float = Field(60, ge=1, le=2_000, description="Calls of this instance per second.")
    backoff_max_ms: float = Field(5_000, ge=100, le=60_000, description="Longest retry delay.")


class PlatformSection(Section):
    """The platform's instance list."""

    list_url: HttpUrl = Field(description="URL of the instance list.")
    poll_ms: float = Field(500, ge=50, le=1_000, description="Interval between reads.")


class PeerSection(Section):
    """Connections between entry instances."""

    secret: str = Field(min_length=8, description="Shared secret of all entry instances.")
    heartbeat_ms: float = Field(1_000, ge=50, le=10_000, description="Heartbeat interval.")
    suspect_ms: float = Field(3_000, ge=100, le=60_000, description="Silence until suspected.")
    queue_frames: int = Field(1_000, ge=10, le=100_000, description="Send queue per peer.")
    reconnect_max_ms: float = Field(2_000, ge=50, le=60_000, description="Longest retry delay.")
    fault_file: str = Field(
        "", description="Tests only: file that lists failure domains to cut off."
    )


class LeadershipSection(Section):
    """Leadership of the failure domain."""

    lease_s: int = Field(3, ge=1, le=60, description="Length of the store lease.")
    renew_ms: float = Field(1_000, ge=50, le=20_000, description="Interval between renewals.")
    margin_ms: float = Field(500, ge=10, le=10_000, description="Clock margin on every lease.")
    promise_ms: float = Field(2_000, ge=100, le=60_000, description="Length of a peer's promise.")


class JournalSection(Section):
    """Group commit of the domain's journal."""

    commit_interval_ms: float = Field(100, ge=10, le=1_000, description="Between two commits.")
    snapshot_pages: int = Field(500, ge=10, le=10_000, description="Pages until a snapshot.")


class RoutingSection(Section):
    """Callers' requests."""

    grant_start_ms: float = Field(1_000, ge=50, le=10_000, description="Time to use a grant.")
    body_limit_bytes: int = Field(1_000_000, ge=1_000, le=1_000_000, description="Largest body.")
    retry_budget: float = Field(0.1, ge=0, le=1, description="Retries as a share of requests.")


class TasksSection(Section):
    """Tasks on workers."""

    task_lease_ms: float = Field(15_000, ge=500, le=600_000, description="Lease of tasks.")
    sync_wait_ms: float = Field(5_000, ge=100, le=60_000, description="Long poll of an agent.")


class LogSection(Section):
    """Logs and time line."""

    file: str = Field("", description="Log file; empty writes to standard error.")
    level: str = Field("info", pattern="^(debug|info|warning|error)$", description="Lowest level.")
    timeline_events: int = Field(10_000, ge=100, le=1_000_000, description="Events kept.")


class StopSection(Section):
    """Planned stop."""

    balancer_notice_ms: float = Field(2_000, ge=0, le=60_000, description="Not ready, serving.")
    drain_limit_ms: float = Field(30_000, ge=0, le=600_000, description="Limit to finish work.")


class TokensSection(BaseModel):
    """Tokens of the administration API: key ``operator``, or ``team.<name>``."""

    model_config = ConfigDict(extra="allow", frozen=True)

    operator: str = Field(min_length=TOKEN_MIN_CHARACTERS, description="Token of the operators.")

    @model_validator(mode="after")
    def _extra_keys_are_team_tokens(self) -> "TokensSection":
        key_by_token = {self.operator: OPERATOR_KEY}
        for key, token in (self.model_extra or {}).items():
            if not key.startswith(TEAM_PREFIX) or key == TEAM_PREFIX:
                remedy = "Use 'operator' or 'team.<name>'"
                raise settings_fault("The key is unknown", remedy, section="tokens", key=key)
            if not is_name(key.removeprefix(TEAM_PREFIX)):
                raise settings_fault(
                    "The team's name is not valid", NAME_HINT, section="tokens", key=key
                )
            if not isinstance(token, str) or len(token) < TOKEN_MIN_CHARACTERS:
                remedy = f"Use a token of at least {TOKEN_MIN_CHARACTERS} characters"
                raise settings_fault("The token is too short", remedy, section="tokens", key=key)
            if token in key_by_token:
                remedy = f"Give {key!r} and {key_by_token[token]!r} different tokens"
                raise settings_fault("Two tokens are equal", remedy, section="tokens", key=key)
            key_by_token[token] = key
        return self

    def teams(self) -> dict[str, str]:
        """Return the token of each team by team name."""
        extra = self.model_extra or {}
        return {key.removeprefix(TEAM_PREFIX): str(token) for key, token in extra.items()}


class Settings(Section):
    """All settings."""

    instance: InstanceSection
    machine: MachineSection = MachineSection()
    listen: ListenSection = ListenSection()
    store: StoreSection
    platform: PlatformSection
    peer: PeerSection
    leadership: LeadershipSection = LeadershipSection()
    journal: JournalSection = JournalSection()
    routing: RoutingSection = RoutingSection()
    tasks: TasksSection = TasksSection()
    log: LogSection = LogSection()
    stop: StopSection = StopSection()
    tokens: TokensSection

    @model_validator(mode="after")
    def _leases_outlast_heartbeats(self) -> "Settings":
        lease = self.leadership
        checks = (
            ("leadership.lease_s", lease.lease_s * 1_000, "leadership.renew_ms", lease.renew_ms),
            ("leadership.lease_s", lease.lease_s * 1_000, "leadership.margin_ms", lease.margin_ms),
            (
                "leadership.promise_ms",
                lease.promise_ms,
                "peer.heartbeat_ms",
                self.peer.heartbeat_ms,
            ),
            ("peer.suspect_ms", self.peer.suspect_ms, "peer.heartbeat_ms", self.peer.heartbeat_ms),
            (
                "tasks.task_lease_ms",
                self.tasks.task_lease_ms,
                "tasks.sync_wait_ms",
                self.tasks.sync_wait_ms,
            ),
        )
        for long_name, long_ms, short_name, short_ms in checks:
            if long_ms < 2 * short_ms:
                section, key = long_name.split(".")
                message = f"{long_name} must be at least twice {short_name}"
                remedy = f"Raise {long_name} to at least {2 * short_ms:g} ms, or lower {short_name}"
                raise settings_fault(message, remedy, section=section, key=key)
        return self

    @model_validator(mode="after")
    def _authority_outlasts_renewals(self) -> "Settings":
        lease = self.leadership
        # Authority is renewed once per renewal interval, and twice per interval while it rests on
        # promises of peers.
        checks = (
            ("lease_s", lease.lease_s * 1_000, 2 * lease.renew_ms + lease.margin_ms),
            ("promise_ms", lease.promise_ms, lease.renew_ms + lease.margin_ms),
        )
        for key, value_ms, needed_ms in checks:
            if value_ms < needed_ms:
                message = f"leadership.{key} leaves too little time between renewals"
                remedy = f"Raise it to at least {needed_ms:g} ms, or lower renew_ms or margin_ms"
                raise settings_fault(message, remedy, section="leadership", key=key)
        return self

    @model_validator(mode="after")
    def _listeners_differ(self) -> "Settings":
        listener_by_address: dict[str, str] = {}
        for name in ("caller", "admin", "peer"):
            address = getattr(self.listen, name)
            if address in listener_by_address and not address.endswith(":0"):
                message = f"listen.{name} equals listen.{listener_by_address[address]}"
                remedy = "Use a separate port for each listener"
                raise settings_fault(message, remedy, section="listen", key=name)
            listener_by_address[address] = name
        return self
