"""Instances as the platform's list shows them."""

from dataclasses import dataclass
from enum import StrEnum


class InstanceRole(StrEnum):
    """Role of an instance in the platform's list."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"
    WORKER = "worker"


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class MemberState(StrEnum):
    """State of an entry instance as seen by another one."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """A known entry instance.

    Attributes
    ----------
    peer_address, admin_address
        ``host:port`` of its listeners; empty when unknown.
    """

    instance_id: str
    domain: str
    peer_address: str
    admin_address: str
    state: MemberState


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance.

    Attributes
    ----------
    address
        ``host:port``. The peer listener of an entry instance, the HTTP listener of an endpoint, the
        agent listener of a worker.
    admin_address
        ``host:port`` of the administration listener, for entry instances only.
    service
        Name of the service, for endpoints only.
    """

    instance_id: str
    role: InstanceRole
    domain: str
    address: str
    state: InstanceState = InstanceState.LIVE
    region: str = ""
    rack: str = ""
    service: str = ""
    admin_address: str = ""
