"""What the platform has published, as far as this process knows it."""

from collections.abc import Callable

from .catalogue import Catalogue
from .hosts import HostList

OnChange = Callable[[], None]


class Published:
    """The catalogue and the host list in force in this process."""

    __slots__ = ("_listeners", "catalogue", "hosts")

    def __init__(self) -> None:
        self.catalogue = Catalogue()
        self.hosts = HostList()
        self._listeners: list[OnChange] = []

    def subscribe(self, listener: OnChange) -> None:
        """Call `listener` after each change of either."""
        self._listeners.append(listener)

    def set_catalogue(self, catalogue: Catalogue) -> bool:
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
        self.catalogue = catalogue
        self._tell()
        return True

    def set_hosts(self, hosts: HostList) -> bool:
        """Put `hosts` in force; return False if the list is not newer."""
        if hosts.revision <= self.hosts.revision:
            return False
        self.hosts = hosts
        self._tell()
        return True

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
