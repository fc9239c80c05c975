"""Membership of entry instances: heartbeats, failure suspicion, departure and relay selection.

The state machine processes the platform's list, heartbeats, connection changes and the time, and
returns the changes of members. It performs no I/O.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from nutmeglb_formats.models.instances import Instance, InstanceState, Member, MemberState
from nutmeglb_formats.wire.membership import Heartbeat


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member was added, changed state, or was removed (``state`` is ``None``)."""

    instance_id: str
    state: MemberState | None
    cause: str


@dataclass(slots=True)
class _Peer:
    instance_id: str
    domain: str
    peer_address: str
    admin_address: str
    listed: bool = False
    listed_leaving: bool = False
    announced_leaving: bool = False
    connected: bool = False
    last_received_ms: float | None = None
    state: MemberState = MemberState.SUSPECTED
    heartbeat: Heartbeat | None = None


@dataclass(slots=True)
class _Leader:
    epoch: int
    instance_id: str


class Membership:
    """Entry instances known to this instance, with their states.

    An instance of the same failure domain is suspected until its first heartbeat and after
    ``suspect_ms`` without one. Instances of other failure domains are reached through relays and
    send heartbeats only if they are connected; otherwise the platform's list determines their
    state.

    Parameters
    ----------
    instance_id, domain
        Identity of this instance.
    suspect_ms
        Time in milliseconds without a heartbeat after which a member is suspected.
    """

    def __init__(self, instance_id: str, domain: str, suspect_ms: float) -> None:
        self._id = instance_id
        self._domain = domain
        self._suspect_ms = suspect_ms
        self._peers: dict[str, _Peer] = {}
        self._leaders: dict[str, _Leader] = {}
        self._own_member = Member(instance_id, domain, "", "", MemberState.LIVE)

    def set_self(self, peer_address: str, admin_address: str, *, leaving: bool) -> None:
        """Set the addresses and the state of this instance."""
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        self._own_member = Member(self._id, self._domain, peer_address, admin_address, state)

    def set_leader(self, domain: str, epoch: int, instance_id: str | None) -> None:
        """Record the leader of a failure domain. An older epoch is ignored."""
        known = self._leaders.get(domain)
        if known is not None and epoch < known.epoch:
            return
        self._leaders[domain] = _Leader(epoch, instance_id or "")

    def on_platform_list(self, instances: Sequence[Instance], now_ms: float) -> list[MemberChanged]:
        """Apply an update of the platform's list of entry instances."""
        listed = {item.instance_id: item for item in instances if item.instance_id != self._id}
        for instance_id, peer in self._peers.items():
            peer.listed = instance_id in listed
        for instance_id, item in listed.items():
            peer = self._peers.setdefault(
                instance_id, _Peer(instance_id, item.domain, item.address, item.admin_address)
            )
            peer.listed = True
            peer.listed_leaving = item.state is InstanceState.LEAVING
            peer.domain = item.domain
            peer.peer_address = item.address
            peer.admin_address = item.admin_address or peer.admin_address
        return self.advance(now_ms, cause="platform list")

    def on_heartbeat(self, sender: str, heartbeat: Heartbeat, now_ms: float) -> list[MemberChanged]:
        """Apply a heartbeat of another instance."""
        peer = self._peers.setdefault(
            sender, _Peer(sender, heartbeat.domain, heartbeat.peer_address, heartbeat.admin_address)
        )
        peer.last_received_ms = now_ms
        peer.announced_leaving = heartbeat.leaving
        peer.admin_address = heartbeat.admin_address or peer.admin_address
        peer.heartbeat = heartbeat
        if not peer.listed:
            peer.peer_address = heartbeat.peer_address
        if heartbeat.leader_epoch:
            self.set_leader(heartbeat.domain, heartbeat.leader_epoch, heartbeat.leader)
        return self.advance(now_ms, cause="heartbeat")

    def on_connection(
        self, instance_id: str, connected: bool, now_ms: float
    ) -> list[MemberChanged]:
        """Record that a connection was opened or that the last one was closed."""
        peer = self._peers.get(instance_id)
        if peer is not None:
            peer.connected = connected
            # A new connection proves that the instance is alive, as a heartbeat does.
            peer.last_received_ms = now_ms if connected else peer.last_received_ms
        return self.advance(now_ms, cause="connection")

    def advance(self, now_ms: float, cause: str = "no heartbeat") -> list[MemberChanged]:
        """Update all states and remove unlisted members without a recent heartbeat."""
        changes = []
        for instance_id, peer in list(self._peers.items()):
            if not peer.listed and not self._has_recent_contact(peer, now_ms):
                del self._peers[instance_id]
                changes.append(MemberChanged(instance_id, None, cause))
                continue
            state = self._state_of(peer, now_ms)
            if state is not peer.state:
                peer.state = state
                changes.append(MemberChanged(instance_id, state, cause))
        return changes

    def members(self, domain: str | None = None) -> list[Member]:
        """Return the members of one or all domains, including this instance, sorted by id."""
        known = [
            Member(p.instance_id, p.domain, p.peer_address, p.admin_address, p.state)
            for p in self._peers.values()
        ]
        selected = [m for m in [self._own_member, *known] if domain is None or m.domain == domain]
        return sorted(selected, key=lambda member: member.instance_id)

    def member(self, instance_id: str) -> Member | None:
        """Return another member, or ``None`` if it is unknown."""
        peer = self._peers.get(instance_id)
        if peer is None:
            return None
        return Member(
            peer.instance_id, peer.domain, peer.peer_address, peer.admin_address, peer.state
        )

    def last_heartbeat(self, instance_id: str) -> Heartbeat | None:
        """Return the last heartbeat of another member, or ``None`` if it has sent none."""
        peer = self._peers.get(instance_id)
        return peer.heartbeat if peer else None

    def leader_of(self, domain: str) -> tuple[int, str]:
        """Return the highest known epoch of a failure domain and its leader, ``""`` if unknown."""
        known = self._leaders.get(domain)
        return (known.epoch, known.instance_id) if known else (0, "")

    def is_relay(self) -> bool:
        """Return whether this instance connects its failure domain to the others.

        The relay is the leader if it is live, otherwise the live instance with the lowest id.
        """
        return self._relay_candidates(self._domain)[:1] == [self._id]

    def domains(self) -> list[str]:
        """Return the other failure domains that have members."""
        return sorted({p.domain for p in self._peers.values()} - {self._domain})

    def relay_of(self, domain: str, unreachable: Iterable[str] = ()) -> str | None:
        """Return the instance through which a failure domain is reached.

        Parameters
        ----------
        unreachable
            Instances to which the last connection attempt failed. They are used only if connected.
        """
        excluded = set(unreachable)
        live_ids = self._relay_candidates(domain)
        connected = [i for i in live_ids if self._peers[i].connected]
        candidates = [i for i in live_ids if i not in excluded or i in connected]
        leader = self.leader_of(domain)[1]
        if leader in candidates and (leader in connected or not connected):
            return leader
        return next(iter(connected or candidates), None)

    def relays(self) -> dict[str, str]:
        """Return the relay of every other failure domain to which a connection is open."""
        relay_by_domain = {domain: self.relay_of(domain) for domain in self.domains()}
        return {
            d: i for d, i in relay_by_domain.items() if i is not None and self._peers[i].connected
        }

    def dial_targets(self, unreachable: Iterable[str] = ()) -> dict[str, str]:
        """Return the instances to which this one keeps a connection, with their addresses.

        Within a failure domain, the instance with the lower id opens the connection. Between two
        failure domains, the relay of the domain with the lower name connects to the other relay.
        """
        targets = {
            p.instance_id: p.peer_address
            for p in self._peers.values()
            if p.domain == self._domain and self._id < p.instance_id
        }
        if self.is_relay():
            for domain in self.domains():
                relay = self.relay_of(domain, unreachable) if self._domain < domain else None
                if relay is not None:
                    targets[relay] = self._peers[relay].peer_address
        return {instance_id: address for instance_id, address in targets.items() if address}

    def _relay_candidates(self, domain: str) -> list[str]:
        live_ids = [m.instance_id for m in self.members(domain) if m.state is MemberState.LIVE]
        leader = self.leader_of(domain)[1] or self._announced_relay(domain)
        if leader in live_ids:
            live_ids.remove(leader)
            live_ids.insert(0, leader)
        return live_ids

    def _announced_relay(self, domain: str) -> str:
        heartbeats = [p.heartbeat for p in self._peers.values() if p.domain == self._domain]
        return next((b.relays[domain] for b in heartbeats if b and domain in b.relays), "")

    def _has_recent_contact(self, peer: _Peer, now_ms: float) -> bool:
        return (
            peer.last_received_ms is not None and now_ms - peer.last_received_ms < self._suspect_ms
        )

    def _state_of(self, peer: _Peer, now_ms: float) -> MemberState:
        monitored = peer.domain == self._domain or peer.connected
        if monitored and not self._has_recent_contact(peer, now_ms):
            return MemberState.SUSPECTED
        if peer.listed_leaving or peer.announced_leaving:
            return MemberState.LEAVING
        return MemberState.LIVE
