"""A sidecar's placement: loads and unloads models of its own target alone."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from result import Err, Ok

from ...protocol.frames import Message
from ...protocol.gen.placement.ttypes import Holdings, ModelUse
from ...protocol.gen.stage.ttypes import Hello, Start
from ...state.hosts import Host
from ...state.journal import Decision, Event, Figure, Journal
from ...state.model_plan import MODELS_PER_TARGET, Holder, Steadied, may_unload, planned
from ...state.published import Published
from ...state.rendezvous import highest
from ...transport.connection import Connection
from ...transport.server import PeerServer
from ..requests.peer_client import PeerClient, query_address
from .orders import Busy, Order, OrderKind, TargetOrders

ROUND_S: Final = 2.0
"""Time between two exchanges with peers of the service."""

FRESH_S: Final = 3 * ROUND_S
"""A report older than this tells nothing of what a target holds."""

N_ASKED: Final = 16
"""Peers of the service asked in one round, at most."""

ASK_TIMEOUT_S: Final = 0.5
"""Longest wait for what a peer holds."""

DEMAND_HALF_LIFE_S: Final = 20.0
"""Time in which demand of the past loses half its weight."""

MAX_BACKOFF_S: Final = 60.0
"""Longest wait after an order that found its store busy."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a peer said of its target, and when by this process's clock."""

    holder: Holder
    demand: dict[str, float]
    heard_s: float


class Placement:
    """Decides what the own target holds, from the catalogue and what is heard.

    Parameters
    ----------
    process_id, service : str
        This sidecar and its target's service.
    published : Published
        Catalogue and host list in force.
    asker : PeerClient
        Reaches the other sidecars of the service.
    orders : TargetOrders
        Takes the orders.
    journal : Journal
        Takes each decision.
    loaded : frozenset of str
        What the target holds already.
    clock : callable
        Monotonic seconds.
    seed : int
        Of the jitter of its waits.
    """

    __slots__ = (
        "_asker",
        "_clock",
        "_demand",
        "_journal",
        "_not_before_s",
        "_orders",
        "_process_id",
        "_published",
        "_random",
        "_reports",
        "_service",
        "_steadied",
        "loaded",
    )

    def __init__(
        self,
        *,
        process_id: str,
        service: str,
        published: Published,
        asker: PeerClient,
        orders: TargetOrders,
        journal: Journal,
        loaded: frozenset[str] = frozenset(),
        clock: Callable[[], float] = time.monotonic,
        seed: int = 0,
    ) -> None:
        self._process_id = process_id
        self._service = service
        self._published = published
        self._asker = asker
        self._orders = orders
        self._journal = journal
        self._clock = clock
        self._random = random.Random(seed)
        self._reports: dict[str, Report] = {}
        self._demand: dict[str, float] = {}
        self._steadied = Steadied()
        self._not_before_s = 0.0
        self.loaded = loaded

    def mount(self, server: PeerServer) -> None:
        """Exchange holdings with sidecars that ask at `server`."""
        server.answer(Holdings, self.answer)

    def note_work(self, model: str, work_s: float) -> None:
        """Count target-seconds asked of this target for `model`."""
        self._demand[model] = self._demand.get(model, 0.0) + work_s

    def on_message(self, _connection: Connection, message: Message) -> None:
        """Count the work that a gateway asks for."""
        if isinstance(message, Start) and message.model:
            self.note_work(message.model, message.predicted_s)

    async def run(self) -> None:
        """Exchange and decide, round after round, until cancelled."""
        while True:
            await asyncio.sleep(ROUND_S * self._random.uniform(0.8, 1.2))
            await self.exchange()
            await self.decide()

    async def answer(self, holdings: Holdings, _peer: Hello) -> Holdings:
        """Take a peer's holdings and return the own ones."""
        self._take(holdings)
        return self.holdings()

    def holdings(self) -> Holdings:
        """Return what this target holds and was asked for."""
        names = sorted(self.loaded | self._demand.keys())
        models = [
            ModelUse(
                name=name,
                loaded=name in self.loaded,
                demand=self._demand.get(name, 0.0) / DEMAND_HALF_LIFE_S,
            )
            for name in names
        ]
        return Holdings(
            process_id=self._process_id, service_name=self._service, models=models
        )

    async def exchange(self) -> None:
        """Swap holdings with peers of the service, and let old demand fade."""
        keep = 0.5 ** (ROUND_S / DEMAND_HALF_LIFE_S)
        self._demand = {name: keep * s for name, s in self._demand.items()}
        await asyncio.gather(*(self._swap(peer) for peer in self._asked()))

    def _asked(self) -> list[Host]:
        peers = {host.process_id: host for host in self._peers()}
        chosen = highest(self._process_id, peers, n=N_ASKED)
        return [peers[name] for name in chosen]

    def _peers(self) -> Iterator[Host]:
        for host in self._published.hosts.sidecars(self._service):
            if host.process_id != self._process_id:
                yield host

    async def _swap(self, peer: Host) -> None:
        reply = await query_address(
            self._asker, peer.peer_address, self.holdings(), timeout_s=ASK_TIMEOUT_S
        )
        match reply:
            case Ok(Holdings() as holdings):
                self._take(holdings)

    def _take(self, holdings: Holdings) -> None:
        if holdings.service_name != self._service:
            return
        loaded = frozenset(use.name for use in holdings.models if use.loaded)
        self._reports[holdings.process_id] = Report(
            holder=Holder(process_id=holdings.process_id, loaded=loaded),
            demand={use.name: use.demand for use in holdings.models},
            heard_s=self._clock(),
        )

    async def decide(self) -> None:
        """Give the target at most one order, if several rounds agree on it.

        A full target unloads first. One whose models are all last copies takes
        one model more than planned, or two such targets would wait for each
        other for ever.
        """
        reports = self._fresh()
        models = self._models()
        targets = [self._process_id, *(r.holder.process_id for r in reports)]
        plan = planned(models, self._total_demand(reports), targets)
        mine = frozenset(m for m, places in plan.items() if self._process_id in places)
        others = [report.holder for report in reports]
        extra = [
            model
            for model in self.loaded - mine
            if models and may_unload(model, me=self._process_id, others=others)
        ]
        changes = self._steadied.agreed([*(mine - self.loaded), *extra])
        if not changes or self._clock() < self._not_before_s:
            return
        loads = [model for model in changes if model in mine]
        unloads = [model for model in changes if model not in mine]
        is_full = len(self.loaded) >= MODELS_PER_TARGET
        if loads and not (is_full and unloads):
            await self._change(loads[0], is_load=True)
        else:
            await self._change(unloads[0], is_load=False)

    def _fresh(self) -> list[Report]:
        oldest_s = self._clock() - FRESH_S
        return [
            report for report in self._reports.values() if report.heard_s > oldest_s
        ]

    def _models(self) -> frozenset[str]:
        """Return the models to keep: those listed, and those that stages name."""
        catalogue = self._published.catalogue
        service = catalogue.services.get(self._service)
        if service is None or not service.models:
            return frozenset()
        named = {
            stage.model
            for pipeline in catalogue.pipelines.values()
            for stage in pipeline.stages
            if stage.service == self._service and stage.model
        }
        return frozenset(service.models) | named

    def _total_demand(self, reports: list[Report]) -> dict[str, float]:
        total = {m: s / DEMAND_HALF_LIFE_S for m, s in self._demand.items()}
        for report in reports:
            for model, demand in report.demand.items():
                total[model] = total.get(model, 0.0) + demand
        return total

    async def _change(self, model: str, *, is_load: bool) -> None:
        kind = OrderKind.LOAD_MODEL if is_load else OrderKind.UNLOAD_MODEL
        self._journal.record(
            Decision(
                event=Event.PLACED,
                config_revision=self._published.catalogue.revision,
                detail=f"{kind.value} {model}",
                figures=(Figure(name="n_loaded", value=len(self.loaded)),),
            )
        )
        if not is_load:
            # Said to be gone before it is: a peer must not count on it.
            self.loaded -= {model}
        match await self._orders.send(Order(kind=kind, name=model)):
            case Ok(_):
                self.loaded = self.loaded | {model} if is_load else self.loaded
                self._not_before_s = 0.0
            case Err(Busy(retry_after_s=wait_s)):
                # Many targets may want the same store; each comes back at a
                # moment of its own.
                wait_s = min(MAX_BACKOFF_S, wait_s * self._random.uniform(1.0, 2.0))
                self._not_before_s = self._clock() + wait_s
            case Err(_):
                self._not_before_s = self._clock() + ROUND_S
