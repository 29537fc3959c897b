"""Whether a process that has just started has its links to the other role."""

import time
from collections.abc import Callable
from typing import Final

from result import Ok

from ...state.hosts import Host
from ...state.members import MemberState
from ...transport.connection import Address
from ..members.directory import Directory
from ..members.membership import Membership
from ..members.subset import N_SUBSET
from ..own_process import OwnProcess

LINK_WAIT_S: Final = 3.0
"""After so long ready all the same; the others may be cut off from here."""


class LinkReadiness:
    """Remembers whether enough links have been there once.

    A rolling replacement goes on with the next process when this one says
    ready. Were a sidecar to say so before the gateways have linked to it, a
    request whose first stages have run could find no target for the next and be
    lost; were a gateway to say so before it has linked to sidecars, it would
    refuse its first requests.

    Parameters
    ----------
    has_links : callable
        Returns True if enough links are there now.
    """

    __slots__ = ("_has_links", "_is_ready", "_started_s")

    def __init__(self, *, has_links: Callable[[], bool]) -> None:
        self._has_links = has_links
        self._is_ready = False
        self._started_s: float | None = None

    def is_ready(self) -> bool:
        """Return True once the links have been there, or after a while."""
        if self._is_ready:
            return True
        if self._started_s is None:
            self._started_s = time.monotonic()
        waited_s = time.monotonic() - self._started_s
        self._is_ready = waited_s > LINK_WAIT_S or self._has_links()
        return self._is_ready


class SidecarLinks:
    """Which gateways have linked to this sidecar.

    Parameters
    ----------
    process : OwnProcess
        The sidecar.
    membership : Membership
        Knows gateways and other sidecars.
    """

    __slots__ = ("_membership", "_process")

    def __init__(self, *, process: OwnProcess, membership: Membership) -> None:
        self._process = process
        self._membership = membership

    def has_links(self) -> bool:
        """Return True if all gateways that will use this sidecar have linked."""
        linked = {
            connection.peer.process_id
            for connection in self._process.server.connections
        }
        gateways = {
            record.process_id
            for record in self._membership.live()
            if record.role == "gateway"
        }
        if self._is_in_every_subset():
            return gateways <= linked
        return bool(gateways & linked) or not gateways

    def _is_in_every_subset(self) -> bool:
        service = self._process.identity.service
        n_targets = sum(
            record.role == "sidecar" and record.service == service
            for record in self._membership.table.records.values()
            if record.state is not MemberState.DEAD
        )
        return n_targets <= N_SUBSET


class GatewayLinks:
    """Which sidecars this gateway has linked to.

    Parameters
    ----------
    process : OwnProcess
        The gateway.
    directory : Directory
        Knows the sidecars.
    """

    __slots__ = ("_directory", "_process")

    def __init__(self, *, process: OwnProcess, directory: Directory) -> None:
        self._process = process
        self._directory = directory

    def has_links(self) -> bool:
        """Return True if a sidecar of each service that has any is heard."""
        for service in self._process.published.catalogue.services:
            hosts = self._directory.sidecars(service)
            if hosts and not any(self._is_heard(host) for host in hosts):
                return False
        return True

    def _is_heard(self, host: Host) -> bool:
        match Address.parse(host.peer_address):
            case Ok(address):
                link = self._process.peers.links.get(address)
                return link is not None and link.is_heard()
            case _:
                return False
