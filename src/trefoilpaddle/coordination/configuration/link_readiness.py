"""Readiness of a starting process: whether its links to the other role are open."""

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
"""Wait after which a process is ready without links; it may be partitioned."""


class LinkReadiness:
    """Remembers whether enough links have once been open.

    A rolling replacement continues with the next process when this one reports
    that it is ready. If a sidecar reported it before the gateways have linked to
    it, a request whose first stages have run could find no target for the next
    stage and be lost. If a gateway reported it before it has linked to sidecars,
    it would refuse its first requests.

    Parameters
    ----------
    has_links : callable
        Returns True if enough links are open now.
    """

    __slots__ = ("_has_links", "_is_ready", "_started_s")

    def __init__(self, *, has_links: Callable[[], bool]) -> None:
        self._has_links = has_links
        self._is_ready = False
        self._started_s: float | None = None

    def is_ready(self) -> bool:
        """Return True once the links have been open, or after ``LINK_WAIT_S``."""
        if self._is_ready:
            return True
        if self._started_s is None:
            self._started_s = time.monotonic()
        waited_s = time.monotonic() - self._started_s
        self._is_ready = waited_s > LINK_WAIT_S or self._has_links()
        return self._is_ready


class SidecarLinks:
    """The links of gateways to this sidecar.

    Parameters
    ----------
    process : OwnProcess
        The sidecar.
    membership : Membership
        Provides the gateways and the other sidecars.
    """

    __slots__ = ("_membership", "_process")

    def __init__(self, *, process: OwnProcess, membership: Membership) -> None:
        self._process = process
        self._membership = membership

    def has_links(self) -> bool:
        """Return True if the gateways that will use this sidecar have linked.

        One gateway is enough if the service has more targets than a subset holds:
        only some of the gateways will use this sidecar then.
        """
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
    """The links of this gateway to sidecars.

    Parameters
    ----------
    process : OwnProcess
        The gateway.
    directory : Directory
        Provides the sidecars.
    """

    __slots__ = ("_directory", "_process")

    def __init__(self, *, process: OwnProcess, directory: Directory) -> None:
        self._process = process
        self._directory = directory

    def has_links(self) -> bool:
        """Return True if each service that has sidecars has a responsive one."""
        for service in self._process.published.catalogue.services:
            hosts = self._directory.sidecars(service)
            if hosts and not any(self._is_responsive(host) for host in hosts):
                return False
        return True

    def _is_responsive(self, host: Host) -> bool:
        match Address.parse(host.peer_address):
            case Ok(address):
                link = self._process.peers.links.get(address)
                return link is not None and link.is_responsive()
            case _:
                return False
