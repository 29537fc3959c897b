"""What the platform has published, as far as this process knows it."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .catalogue import Catalogue
    from .hosts import HostList

OnChange = Callable[[], None]


class Published:
    """The catalogue and the host list in force in this process.

    Their models are loaded with the first of either. Where a deployment has none, as
    on the users' platform, loading them was a third of a process's start, and all
    requests wait for that when all its hosts come back at once.
    """

    __slots__ = ("_catalogue", "_hosts", "_listeners")

    def __init__(self) -> None:
        self._catalogue: Catalogue | None = None
        self._hosts: HostList | None = None
        self._listeners: list[OnChange] = []

    @property
    def catalogue(self) -> "Catalogue":
        """The catalogue; an empty one before any was published."""
        if self._catalogue is None:
            from .catalogue import Catalogue

            self._catalogue = Catalogue()
        return self._catalogue

    @property
    def hosts(self) -> "HostList":
        """The host list; an empty one before any was published."""
        if self._hosts is None:
            from .hosts import HostList

            self._hosts = HostList()
        return self._hosts

    @property
    def catalogue_revision(self) -> int:
        """Revision of the catalogue; 0 before any was published."""
        return 0 if self._catalogue is None else self._catalogue.revision

    def peer_addresses(self) -> list[str]:
        """Return where the listed hosts hear their peers."""
        if self._hosts is None:
            return []
        return [host.peer_address for host in self._hosts.hosts]

    def subscribe(self, listener: OnChange) -> None:
        """Call `listener` after each change of either."""
        self._listeners.append(listener)

    def set_catalogue(self, catalogue: "Catalogue") -> bool:
        """Put `catalogue` in force; return False if it is older or the same.

        A restarted or stale configuration service can offer an older revision;
        taking it would revert an accepted change. A catalogue of the same
        revision can differ where the last good value of a rejected change has
        been learnt from a peer.
        """
        if catalogue.revision < self.catalogue.revision:
            return False
        if catalogue == self.catalogue:
            return False
        self._catalogue = catalogue
        self._notify_listeners()
        return True

    def set_hosts(self, hosts: "HostList") -> bool:
        """Put `hosts` in force; return False if the list is not newer."""
        if hosts.revision <= self.hosts.revision:
            return False
        self._hosts = hosts
        self._notify_listeners()
        return True

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
