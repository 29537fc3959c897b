"""Holds slots of services for requests, as far as their accounts' shares allow."""

import asyncio
import contextlib
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass
from typing import Final

from result import Ok

from ...protocol.frames import is_read_by
from ...protocol.gen.chain.ttypes import SlotGrant, SlotReport
from ...state.chain.requests import Refused
from ...state.chain.routes import EngineService, PieceService, RouteTable, Service
from ...state.chain.worker_uses import WorkerStart
from ...state.chain.workers import Worker, WorkerTable
from ...state.journal import Journal
from ...state.members import MemberRecord
from ...state.rendezvous import highest
from ...transport.connection import Address
from ..members.duty_rank import duty_rank
from ..own_process import OwnProcess
from .job import Job
from .planned_stop import PlannedStop
from .service_lease import GRANT_WAIT_S, HeldSlot, PublishedSlots, ServiceLease
from .slot_home import SlotHome

LEAVE_CHECK_S: Final = 0.1
"""Seconds between checks of a stopping gateway whether it needs a share any more."""

Members = Callable[[], Sequence[MemberRecord]]


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownSlots:
    """Published slots, with what they were derived from."""

    workers: Sequence[Worker]
    service: Service
    slots: PublishedSlots | None


class SlotLeases:
    """The leases of all services at this gateway.

    Nothing is limited without client accounts, for stage workers, whose scheduler
    knows all their work, and for services whose slots are not published.

    Parameters
    ----------
    process : OwnProcess
        Holds links to other gateways.
    live : callable
        Returns the live gateways, this one included; the same object until one changes.
    workers : WorkerTable
        The listed workers.
    home : SlotHome
        The services whose home is this gateway.
    uses : callable
        Returns the requests of this gateway at the workers of a service.
    on_uses : callable
        Called with a service and the requests of all gateways at its workers.
    journal : Journal
        Receives decisions.
    is_on : bool
        False if operators have switched shares off.
    """

    __slots__ = (
        "_has_accounts",
        "_home",
        "_homes",
        "_is_on",
        "_journal",
        "_known_slots",
        "_leases",
        "_live",
        "_live_known",
        "_on_uses",
        "_process",
        "_services",
        "_unable",
        "_uses",
        "_workers",
    )

    def __init__(
        self,
        *,
        process: OwnProcess,
        live: Members,
        workers: WorkerTable,
        home: SlotHome,
        uses: Callable[[str], Mapping[WorkerStart, int]],
        on_uses: Callable[[str, Mapping[WorkerStart, int]], None],
        journal: Journal,
        is_on: bool = True,
    ) -> None:
        self._process = process
        self._live = live
        self._workers = workers
        self._home = home
        self._uses = uses
        self._on_uses = on_uses
        self._journal = journal
        self._is_on = is_on
        self._has_accounts = False
        self._services: Mapping[str, Service] = {}
        self._leases: dict[str, ServiceLease] = {}
        self._known_slots: dict[str, KnownSlots] = {}
        self._homes: dict[str, MemberRecord] = {}
        self._live_known: Sequence[MemberRecord] = ()
        self._unable: frozenset[int] = frozenset()

    def activate(self, table: RouteTable) -> None:
        """Use the services and the accounts of a route table."""
        self._has_accounts = table.has_accounts
        self._services = table.services
        for name in self._leases.keys() - table.services.keys():
            if self._leases[name].is_idle:
                self._leases.pop(name).close()
                self._known_slots.pop(name, None)

    @contextlib.asynccontextmanager
    async def slot(self, job: Job) -> AsyncIterator[HeldSlot | Refused]:
        """Hold a slot of its service for a request while the context is open.

        Yields a `Refused` instead if the request could not be in time.
        """
        lease = self._lease(job)
        if lease is None:
            yield HeldSlot()
            return
        async with lease.slot(job) as held:
            yield held

    def hear_contention(self, services: Iterable[str]) -> None:
        """Report the load of services, as their homes have announced contention."""
        for name in services:
            lease = self._leases.get(name)
            if lease is not None:
                lease.hear_contention()

    def leases(self) -> Iterator[tuple[str, ServiceLease]]:
        """Yield the lease of each service that has had requests here."""
        yield from self._leases.items()

    async def give_back(self, stop: PlannedStop) -> None:
        """Give shares back once a planned stop has left no request; until cancelled."""
        await stop.event.wait()
        while True:
            await asyncio.sleep(LEAVE_CHECK_S)
            for lease in list(self._leases.values()):
                if lease.is_idle and lease.has_reported:
                    await lease.leave()

    def close(self) -> None:
        """Stop reporting."""
        for lease in self._leases.values():
            lease.close()

    def _lease(self, job: Job) -> ServiceLease | None:
        if not self._is_on or not self._has_accounts:
            return None
        name = job.service
        service = self._services.get(name)
        if service is None or isinstance(service, PieceService):
            return None
        lease = self._leases.get(name)
        if lease is not None:
            return lease
        lease = ServiceLease(
            service=name,
            may_grow=lambda: not isinstance(self._services.get(name), EngineService),
            published=lambda: self._published(name),
            n_gateways=lambda: len(self._live()),
            ask_home=lambda report: self._ask_home(name, report),
            uses=lambda: self._uses(name),
            on_uses=lambda uses: self._on_uses(name, uses),
            journal=self._journal,
        )
        self._leases[name] = lease
        return lease

    def _published(self, name: str) -> PublishedSlots | None:
        """Return the slots of the usable workers of a service; None if unknown."""
        service = self._services.get(name)
        if service is None or isinstance(service, PieceService):
            return None
        workers = self._workers.usable(name)
        known = self._known_slots.get(name)
        if (
            known is None
            or known.workers is not workers
            or known.service is not service
        ):
            known = KnownSlots(
                workers=workers, service=service, slots=_slots_of(service, workers)
            )
            self._known_slots[name] = known
        return known.slots

    def _home_of(self, service: str) -> MemberRecord | None:
        """Return the home of a service, one of the strongest live gateways.

        Gateways of earlier builds are left out once they are known to read no reports.
        """
        live = self._live()
        if live is not self._live_known:
            self._live_known = live
            self._homes = {}
            self._unable &= {each.incarnation for each in live}
        home = self._homes.get(service)
        able = [each for each in live if each.incarnation not in self._unable]
        if home is None and able:
            strongest = min(duty_rank(each).negative_bit_length for each in able)
            by_id = {
                each.process_id: each
                for each in able
                if duty_rank(each).negative_bit_length == strongest
            }
            home = by_id[highest(service, by_id, n=1)[0]]
            self._homes[service] = home
        return home

    async def _ask_home(
        self, service: str, report: SlotReport
    ) -> tuple[str, SlotGrant] | None:
        """Return the home's id and its grant; None without an answer in time."""
        while (home := self._home_of(service)) is not None:
            own_id = self._process.identity.process_id
            if home.process_id == own_id:
                return own_id, self._home.divide(report, own_id)
            match Address.parse(home.address):
                case Ok(address):
                    link = self._process.peers.link(address)
                case _:
                    return None
            match await link.ask(report, timeout_s=GRANT_WAIT_S):
                case Ok(SlotGrant() as grant):
                    return home.process_id, grant
            if link.peer is None or is_read_by(link.peer, report):
                return None
            self._unable |= {home.incarnation}
            self._homes = {}
        return None


def _slots_of(service: Service, workers: Sequence[Worker]) -> PublishedSlots | None:
    if not workers:
        return None
    if isinstance(service, EngineService):
        n_slots = service.n_slots * len(workers)
    elif all(worker.n_slots for worker in workers):
        n_slots = sum(worker.n_slots for worker in workers)
    else:
        return None
    return PublishedSlots(n_slots=n_slots, n_workers=len(workers))
