"""Who can be given work and where a process is found."""

from typing import Protocol

from ..state.hosts import Host
from ..state.published import Published


class Directory(Protocol):
    """Answers the two questions that routing asks about other processes."""

    def sidecars(self, service: str) -> list[Host]:
        """Return the sidecars of `service` that may be given new work."""
        ...

    def host(self, process_id: str) -> Host | None:
        """Return where a process is found, or None if it is not known."""
        ...


class PublishedDirectory:
    """Directory that knows only the published host list."""

    __slots__ = ("_published",)

    def __init__(self, *, published: Published) -> None:
        self._published = published

    def sidecars(self, service: str) -> list[Host]:
        """Return the sidecars of `service` that the list calls live."""
        return self._published.hosts.sidecars(service)

    def host(self, process_id: str) -> Host | None:
        """Return the listed host of `process_id`, or None."""
        for host in self._published.hosts.hosts:
            if host.process_id == process_id:
                return host
        return None
