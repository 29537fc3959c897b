"""Directories of the sidecars that accept work and of process addresses."""

from collections.abc import Iterator
from dataclasses import replace
from typing import Protocol

from result import Ok

from ...state.hosts import Host, HostState
from ...state.members import MemberRecord, MemberState
from ...state.published import Published
from ...transport.connection import Address
from ..own_process import OwnProcess
from .membership import Membership
from .pause_detector import PauseDetector
from .subset import subset


class Directory(Protocol):
    """Lookups of other processes that routing needs."""

    def sidecars(self, service: str) -> list[Host]:
        """Return the sidecars of `service` to which new work may be sent."""
        ...

    def host(self, process_id: str) -> Host | None:
        """Return the host entry of a process, or None if it is unknown."""
        ...


class PublishedDirectory:
    """Directory that uses only the published host list."""

    __slots__ = ("_published",)

    def __init__(self, *, published: Published) -> None:
        self._published = published

    def sidecars(self, service: str) -> list[Host]:
        """Return the sidecars of `service` that the host list marks as live."""
        return self._published.hosts.sidecars(service)

    def host(self, process_id: str) -> Host | None:
        """Return the host list entry of `process_id`, or None if it has none."""
        for host in self._published.hosts.hosts:
            if host.process_id == process_id:
                return host
        return None


class LiveDirectory:
    """Directory that combines the published host list with the member records.

    The host list is delayed: it contains hosts that were removed and lacks new
    ones. A sidecar gets new work unless the host list or its member record
    marks it as leaving, its member record marks it as dead, or it is suspected
    and this process receives nothing from it either. The link to a returned
    sidecar may still reject the work: a peer that has been unresponsive for
    ``UNRESPONSIVE_AFTER_S`` gets no new work.

    Parameters
    ----------
    process : OwnProcess
        The process that it runs in.
    membership : Membership
        The member records.
    pause_detector : PauseDetector
        Checked before each lookup of sidecars, so that a pause of this process
        is handled before outdated records are used.
    """

    __slots__ = (
        "_current_services",
        "_membership",
        "_pause_detector",
        "_process",
        "_subsets",
        "_versions",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        membership: Membership,
        pause_detector: PauseDetector,
    ) -> None:
        self._process = process
        self._membership = membership
        self._pause_detector = pause_detector
        self._subsets: dict[str, list[Host]] = {}
        self._current_services: set[str] = set()
        self._versions = (-1, -1)

    def sidecars(self, service: str) -> list[Host]:
        """Return the sidecars of `service` to which new work may be sent."""
        if self._pause_detector.is_pause_pending():
            self._pause_detector.check()
        self._discard_outdated()
        if service not in self._current_services:
            self._subsets[service] = self._choose(service)
            self._current_services.add(service)
        return [host for host in self._subsets[service] if self._is_usable(host)]

    def host(self, process_id: str) -> Host | None:
        """Return the host entry of a process, or None if it is unknown.

        The address of a member that is not dead replaces the published one.
        """
        record = self._membership.table.records.get(process_id)
        listed = self._listed(process_id)
        if record is None or record.state is MemberState.DEAD:
            return listed
        if listed is None:
            return _host_of(record)
        return replace(listed, peer_address=record.address)

    def is_wanted(self, address: Address) -> bool:
        """Return True if `address` belongs to a sidecar of a chosen subset."""
        text = str(address)
        return any(
            host.peer_address == text
            for hosts in self._subsets.values()
            for host in hosts
        )

    def _discard_outdated(self) -> None:
        versions = (
            self._membership.table.version,
            self._process.published.hosts.revision,
        )
        if versions != self._versions:
            self._versions = versions
            self._current_services.clear()

    def _choose(self, service: str) -> list[Host]:
        gateways = [
            host.process_id
            for host in self._process.published.hosts.hosts
            if host.role == "gateway"
        ]
        targets = list(self._candidates(service))
        return subset(self._membership.own.process_id, gateways, targets)

    def _candidates(self, service: str) -> Iterator[Host]:
        """Yield the candidate sidecars of `service`, published ones first."""
        records = self._membership.table.records
        listed = self._process.published.hosts.hosts
        for host in listed:
            if host.role != "sidecar" or host.service != service:
                continue
            record = records.get(host.process_id)
            if host.state is HostState.LIVE and not _is_leaving_or_dead(record):
                yield replace(host, peer_address=record.address) if record else host
        names = {host.process_id for host in listed}
        for record in records.values():
            if record.role != "sidecar" or record.service != service:
                continue
            if record.process_id not in names and not _is_leaving_or_dead(record):
                yield _host_of(record)

    def _is_usable(self, host: Host) -> bool:
        record = self._membership.table.records.get(host.process_id)
        if record is None or record.state is not MemberState.SUSPECT:
            return True
        match Address.parse(host.peer_address):
            case Ok(address):
                link = self._process.peers.links.get(address)
                return link is not None and link.is_responsive()
            case _:
                return False

    def _listed(self, process_id: str) -> Host | None:
        for host in self._process.published.hosts.hosts:
            if host.process_id == process_id:
                return host
        return None


def _is_leaving_or_dead(record: MemberRecord | None) -> bool:
    if record is None:
        return False
    return record.state in {MemberState.LEAVING, MemberState.DEAD}


def _host_of(record: MemberRecord) -> Host:
    return Host(
        name=record.process_id.removesuffix(f"-{record.role}"),
        failure_domain=record.failure_domain,
        region=record.region,
        role="sidecar" if record.role == "sidecar" else "gateway",
        peer_address=record.address,
        service=record.service,
        target=record.target,
        state=HostState.LEAVING
        if record.state is MemberState.LEAVING
        else HostState.LIVE,
    )
