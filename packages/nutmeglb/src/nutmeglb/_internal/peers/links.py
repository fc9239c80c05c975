"""Open connections by peer."""

from collections.abc import Iterator

from nutmeglb._internal.peers.link import Link


class LinkTable:
    """Open connections by peer. A peer has two when both sides connected at the same time."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._links: dict[str, list[Link]] = {}

    def __contains__(self, peer_id: str) -> bool:
        return peer_id in self._links

    def __len__(self) -> int:
        return len(self._links)

    def __iter__(self) -> Iterator[Link]:
        return (link for links in list(self._links.values()) for link in list(links))

    def preferred(self, peer_id: str) -> Link | None:
        """Return the connection for sending to a peer, or ``None`` when it is not connected.

        Both sides prefer the one that the instance with the lower id opened, then the newest.
        """
        links = self._links.get(peer_id)
        return links[-1] if links else None

    def all_preferred(self) -> list[Link]:
        """Return the connection for sending to each peer."""
        return [links[-1] for links in self._links.values()]

    def add(self, link: Link) -> list[Link]:
        """Add a connection and return those that it replaces.

        A peer that connects again has lost its former connection, for example after a restart.
        """
        links = self._links.setdefault(link.peer_id, [])
        replaced = [item for item in links if item.outgoing == link.outgoing]
        links.append(link)
        links.sort(key=lambda item: item.outgoing == (self._own_id < item.peer_id))
        return replaced

    def remove(self, link: Link) -> bool:
        """Remove a connection. Return whether it was the last one to its peer."""
        links = self._links.get(link.peer_id, [])
        if link not in links:
            return False
        links.remove(link)
        if links:
            return False
        del self._links[link.peer_id]
        return True
