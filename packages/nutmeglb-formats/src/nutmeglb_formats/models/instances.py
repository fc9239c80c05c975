"""Instances in the platform's instance list, and entry instances as members of the cell."""

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
    """State of an entry instance as another entry instance sees it."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """An entry instance that is known to this one.

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
    """An instance in the platform's instance list.

    Attributes
    ----------
    address
        ``host:port`` of the peer listener of an entry instance, the HTTP listener of an endpoint or
        the agent listener of a worker.
    service
        Name of the service, for endpoints only.
    admin_address
        ``host:port`` of the administration listener, for entry instances only.
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
