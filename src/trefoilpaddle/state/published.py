"""The published catalogue and host list that this process uses."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .catalogue import Catalogue
    from .hosts import HostList

OnChange = Callable[[], None]


class Published:
    """The active catalogue and host list of this process.

    The modules that define them are imported with the first catalogue or list.
    A deployment may publish neither. Importing the modules anyway took a third of
    the start of a process, for which all requests wait when all hosts of the
    deployment start at the same time.
    """

    __slots__ = ("_catalogue", "_hosts", "_listeners")

    def __init__(self) -> None:
        self._catalogue: Catalogue | None = None
        self._hosts: HostList | None = None
        self._listeners: list[OnChange] = []

    @property
    def catalogue(self) -> "Catalogue":
        """The active catalogue; empty before the first one is published."""
        if self._catalogue is None:
            from .catalogue import Catalogue

            self._catalogue = Catalogue()
        return self._catalogue

    @property
    def hosts(self) -> "HostList":
        """The active host list; empty before the first one is published."""
        if self._hosts is None:
            from .hosts import HostList

            self._hosts = HostList()
        return self._hosts

    @property
    def catalogue_revision(self) -> int:
        """Revision of the catalogue; 0 before the first one is published."""
        return 0 if self._catalogue is None else self._catalogue.revision

    def peer_addresses(self) -> list[str]:
        """Return the peer address of each listed host."""
        if self._hosts is None:
            return []
        return [host.peer_address for host in self._hosts.hosts]

    def subscribe(self, listener: OnChange) -> None:
        """Call `listener` after each change of the catalogue or the host list."""
        self._listeners.append(listener)

    def set_catalogue(self, catalogue: "Catalogue") -> bool:
        """Activate `catalogue`; return False if it is older or the same.

        A restarted or stale configuration service can offer an older revision,
        which would revert an accepted change. A catalogue of the same revision
        can differ if the last good value of a rejected change was received from
        a peer.
        """
        if catalogue.revision < self.catalogue.revision:
            return False
        if catalogue == self.catalogue:
            return False
        self._catalogue = catalogue
        self._notify_listeners()
        return True

    def set_hosts(self, hosts: "HostList") -> bool:
        """Activate `hosts`; return False if the list is not newer."""
        if hosts.revision <= self.hosts.revision:
            return False
        self._hosts = hosts
        self._notify_listeners()
        return True

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
