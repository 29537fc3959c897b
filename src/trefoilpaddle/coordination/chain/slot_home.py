"""Home of services: divides their slots among the gateways that report."""

import math
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Final

from ...protocol.gen.chain.ttypes import SlotGrant, SlotReport, WorkerUse
from ...protocol.gen.stage.ttypes import Hello
from ...state.chain.slot_ledger import RECOMPUTE_SHARE, Division, SlotLedger
from ...state.chain.worker_uses import WorkerUses
from ...state.journal import Decision, Event, Figure, Journal
from ..own_process import OwnProcess
from .slot_wire import (
    grant_to_wire,
    load_from_wire,
    uses_from_wire,
    uses_to_wire,
)

MIN_REPORT_PERIOD_S: Final = 0.1
"""Shortest time between two reports; a fraction of the time that shares last."""

MAX_REPORT_PERIOD_S: Final = 1.5
"""Longest such time; unused shares are taken back within two seconds."""

GATEWAYS_PER_PERIOD: Final = 20
"""Gateways whose reports a home reads in the shortest period.

More of them report less often, so that the cost of a home does not grow with them.
"""

REPORT_VALID_S: Final = 0.5
PERIODS_VALID: Final = 3
"""A report counts for so many seconds, and for at least so many periods."""

MAX_SERVICES: Final = 256
"""Services of which a home keeps reports; more than any configuration has."""


def report_period_s(n_gateways: int) -> float:
    """Return the seconds between two reports of one gateway."""
    period_s = MIN_REPORT_PERIOD_S * n_gateways / GATEWAYS_PER_PERIOD
    return min(MAX_REPORT_PERIOD_S, max(MIN_REPORT_PERIOD_S, period_s))


class HomeService:
    """What the home of one service keeps."""

    __slots__ = ("_uses_wire", "_uses_wire_s", "is_contended", "ledger", "uses")

    def __init__(self) -> None:
        self.ledger = SlotLedger(may_grow=False)
        self.uses = WorkerUses()
        self.is_contended = False
        self._uses_wire: list[WorkerUse] = []
        self._uses_wire_s = -math.inf

    def uses_to_wire(self, now_s: float) -> list[WorkerUse]:
        """Return the requests at each worker, kept as long as a division.

        Most of a grant's cost in a large fleet is to make this list.
        """
        if now_s - self._uses_wire_s >= RECOMPUTE_SHARE * self.ledger.valid_s:
            self._uses_wire = uses_to_wire(self.uses.totals(now_s))
            self._uses_wire_s = now_s
        return self._uses_wire


class SlotHome:
    """The services whose home is this gateway.

    Parameters
    ----------
    process : OwnProcess
        Receives the reports of other gateways.
    n_gateways : callable
        Returns the number of live gateways.
    journal : Journal
        Receives a decision when a service becomes short of slots, and when that ends.
    """

    __slots__ = ("_journal", "_n_gateways", "_services")

    def __init__(
        self, *, process: OwnProcess, n_gateways: Callable[[], int], journal: Journal
    ) -> None:
        self._n_gateways = n_gateways
        self._journal = journal
        self._services: dict[str, HomeService] = {}
        process.server.add_handler(SlotReport, self.respond)

    async def respond(self, report: SlotReport, peer: Hello) -> SlotGrant:
        """Return what the gateway that reports may use."""
        return self.divide(report, peer.process_id)

    def divide(self, report: SlotReport, gateway_id: str) -> SlotGrant:
        """Record a report and return what its gateway may use."""
        now_s = time.monotonic()
        name = report.service_name
        service = self._service(name)
        if service is None:
            return SlotGrant(service_name=name)
        ledger = service.ledger
        ledger.may_grow = report.may_grow
        ledger.valid_s = max(
            REPORT_VALID_S, PERIODS_VALID * report_period_s(self._n_gateways())
        )
        if report.is_leaving:
            ledger.forget(gateway_id)
            service.uses.forget(gateway_id)
            return SlotGrant(service_name=name)
        ledger.record(gateway_id, load_from_wire(report), now_s)
        service.uses.record(
            gateway_id, uses_from_wire(report), until_s=now_s + ledger.valid_s
        )
        share = ledger.grant(gateway_id, now_s)
        self._record_contention(name, service, now_s)
        return grant_to_wire(name, share, service.uses_to_wire(now_s))

    def contended(self) -> list[str]:
        """Return the services that are short of slots, as far as is known here."""
        now_s = time.monotonic()
        return [
            name
            for name, service in self._services.items()
            if not service.ledger.is_empty and service.ledger.is_contended(now_s)
        ]

    def divisions(self) -> Iterator[tuple[str, Division]]:
        """Yield each service of which reports are valid, and how it is divided."""
        now_s = time.monotonic()
        for name, service in self._services.items():
            division = service.ledger.division(now_s)
            if not service.ledger.is_empty:
                yield name, division

    def _service(self, name: str) -> HomeService | None:
        service = self._services.get(name)
        if service is not None:
            return service
        if len(self._services) >= MAX_SERVICES:
            self._drop_unused()
        if len(self._services) >= MAX_SERVICES:
            return None
        service = self._services[name] = HomeService()
        return service

    def _drop_unused(self) -> None:
        now_s = time.monotonic()
        for name, service in list(self._services.items()):
            service.ledger.division(now_s)
            if service.ledger.is_empty:
                del self._services[name]

    def _record_contention(self, name: str, service: HomeService, now_s: float) -> None:
        """Log when a service becomes short of slots, and when that ends."""
        is_contended = service.ledger.is_contended(now_s)
        if is_contended == service.is_contended:
            return
        service.is_contended = is_contended
        division = service.ledger.division(now_s)
        figures: Sequence[tuple[str, float]] = (
            ("demand", division.total),
            ("capacity", division.capacity),
            ("n_published", division.n_published),
            ("n_measured", division.n_measured),
            ("n_accounts", len(division.demand)),
            ("n_beyond_share", division.beyond_share()),
        )
        self._journal.record(
            Decision(
                event=Event.CAPACITY_SHORT if is_contended else Event.CAPACITY_ENOUGH,
                stage=name,
                figures=tuple(Figure(name=n, value=float(v)) for n, v in figures),
            )
        )
