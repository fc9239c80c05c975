"""Settings of an entry instance that serves queues on the platform."""

from pydantic import Field, model_validator

from nutmeglb._internal.settings.models import InstanceSection, Section
from nutmeglb_formats.addresses import Address, settings_fault

# Part of the service agreement under which running work may be stopped for more urgent work.
PREEMPTION_AGREEMENT = "pressure"


class QueueListenSection(Section):
    """Addresses as ``ip:port``."""

    caller: Address = Field(description="Listener for callers.")
    health: Address = Field(description="Listener for the balancer's readiness checks.")
    peer: Address = Field(description="Listener for other entry instances.")


class MachineSection(Section):
    """What the machine of this instance can do."""

    cpu_share: float = Field(1.0, gt=0, le=1, description="Share of each of its cores.")
    cores_shown: float = Field(1.0, gt=0, le=1_024, description="Cores that the share is of.")
    link_mbps: float = Field(1_000.0, gt=0, description="Bandwidth of its link in Mbit/s.")
    memory_mb: int = Field(300, ge=64, description="Memory that a process may use, in MiB.")
    max_descriptors: int = Field(4_096, ge=256, description="Descriptors that a process may open.")

    @property
    def cores(self) -> float:
        """Return the processor time available to this instance, in cores."""
        return self.cpu_share * self.cores_shown


class QueueStoreSection(Section):
    """The platform's key-value store."""

    address: Address = Field(description="``ip:port`` of the store.")
    # A healthy store answers within milliseconds. A slow store in the users' examples took 350 ms.
    call_timeout_ms: float = Field(700, ge=50, le=30_000, description="Timeout of one call.")
    value_bytes: int = Field(
        1_048_576,
        ge=1_000,
        description="Largest value. A quarter bounds the workers in the progress of a job.",
    )
    min_lease_ms: int = Field(1_000, ge=1, description="Shortest lease.")


class AdviceSection(Section):
    """The platform's placement advice service."""

    address: str = Field("", description="``ip:port``; empty when there is none.")


class QueueSection(Section):
    """Scheduling of queues."""

    # With the default interval, four renewals may be lost before the lease ends.
    leader_lease_ms: int = Field(1_500, ge=500, le=60_000, description="Lease of the leader.")
    renew_ms: float = Field(300, ge=50, le=20_000, description="Interval between renewals.")
    # Covers store outages of a few seconds, as stated in the users' requirements.
    authority_ms: float = Field(
        5_000, ge=500, le=60_000, description="Without the store, a leader commands this long."
    )
    # Covers the replacement of a lost leader: expiry of its lease, election and first renewals.
    run_lease_ms: int = Field(6_000, ge=1_000, le=600_000, description="Lease of tasks.")
    max_run_lease_ms: int = Field(
        600_000, ge=1_000, description="Longest lease that workers grant; shortens run_lease_ms."
    )
    max_stop_ms: float = Field(
        200, ge=0, le=60_000, description="Longest time from the answer to a stop to its end."
    )
    # Ending a run takes as long as a stop, and a busy process begins late.
    max_kill_ms: float = Field(
        1_000,
        ge=0,
        le=60_000,
        description="Longest time from the end of a lease to that of its runs.",
    )
    # A suspended process continues after some seconds, as stated in the users' requirements.
    max_stall_ms: float = Field(
        20_000,
        ge=0,
        le=600_000,
        description="Runs of a worker that accepts connections without answering are held so long.",
    )
    worker_timeout_ms: float = Field(400, ge=20, le=30_000, description="Timeout of an order.")
    worker_stable_ms: float = Field(
        3_000,
        ge=100,
        le=600_000,
        description="A former, larger capacity of a worker counts this long after a beat.",
    )
    worker_beat_ms: float = Field(
        1_500, ge=10, le=60_000, description="Interval at which workers write their entries."
    )
    list_ms: float = Field(500, ge=50, le=10_000, description="Between reads of the workers.")
    inbox_ms: float = Field(1_000, ge=50, le=10_000, description="Between reads of new jobs.")
    commit_ms: float = Field(30, ge=1, le=1_000, description="Between two commits.")
    status_s: float = Field(120, ge=1, le=86_400, description="A finished job is kept this long.")
    agreements: str = Field(
        "",
        description="Comma-separated parts of the service agreement; `pressure` allows preemption.",
    )
    restore_ms: float = Field(
        1_000, ge=0, le=600_000, description="Time that a task needs to resume from a checkpoint."
    )
    keep_apart: bool = Field(
        False, description="Keeps tasks apart that slow each other down on one worker."
    )

    @property
    def allows_preemption(self) -> bool:
        """Return whether running work may be stopped for more urgent work."""
        return PREEMPTION_AGREEMENT in {name.strip() for name in self.agreements.split(",")}

    @property
    def lease_of_runs_ms(self) -> int:
        """Return the lease of runs, capped at the longest that workers grant."""
        return min(self.run_lease_ms, self.max_run_lease_ms)


class ConfigurationSection(Section):
    """The operators' configuration of queues and teams."""

    max_lag_ms: float = Field(
        3_000, ge=500, le=600_000, description="A stored version takes effect within this time."
    )


class TeamsSection(Section):
    """Teams and their keys."""

    key_required: bool = Field(
        False, description="Calls need a key also while the configuration has no team."
    )
    revoke_ms: float = Field(
        0, ge=0, le=600_000, description="A key is used this long without the store; 0: no limit."
    )


class QueueLogSection(Section):
    """Logs on standard output."""

    level: str = Field("info", pattern="^(debug|info|warning|error)$", description="Lowest level.")
    lines_per_s: int = Field(400, ge=10, le=100_000, description="Lines of decisions per second.")


class QueueStopSection(Section):
    """Planned stop."""

    # The balancer checks readiness once a second and removes an instance after two failed checks.
    balancer_notice_ms: float = Field(2_500, ge=0, le=60_000, description="Not ready, serving.")
    drain_limit_ms: float = Field(1_500, ge=0, le=600_000, description="Limit to finish requests.")


class QueueSettings(Section):
    """All settings of an entry instance on the platform."""

    instance: InstanceSection
    machine: MachineSection = MachineSection()
    listen: QueueListenSection
    store: QueueStoreSection
    advice: AdviceSection = AdviceSection()
    queues: QueueSection = QueueSection()
    configuration: ConfigurationSection = ConfigurationSection()
    teams: TeamsSection = TeamsSection()
    log: QueueLogSection = QueueLogSection()
    stop: QueueStopSection = QueueStopSection()

    @model_validator(mode="after")
    def _lease_outlasts_renewals(self) -> "QueueSettings":
        queues = self.queues
        if queues.leader_lease_ms < 2 * queues.renew_ms:
            raise settings_fault(
                "queues.leader_lease_ms must be at least twice queues.renew_ms",
                f"Raise it to at least {2 * queues.renew_ms:g} ms, or lower renew_ms",
                section="queues",
                key="leader_lease_ms",
            )
        if queues.authority_ms < queues.leader_lease_ms:
            raise settings_fault(
                "queues.authority_ms must be at least queues.leader_lease_ms",
                f"Raise it to at least {queues.leader_lease_ms} ms",
                section="queues",
                key="authority_ms",
            )
        if queues.worker_stable_ms <= queues.worker_timeout_ms + queues.list_ms:
            shortest_ms = queues.worker_timeout_ms + queues.list_ms
            raise settings_fault(
                "queues.worker_stable_ms must exceed queues.worker_timeout_ms and queues.list_ms "
                "together",
                f"Raise it above {shortest_ms:g} ms, or lower list_ms, so that tasks can start",
                section="queues",
                key="worker_stable_ms",
            )
        return self
