"""Model placement by a sidecar, which loads and unloads models of its own target."""

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
from ...state.model_plan import (
    MODELS_PER_TARGET,
    Holder,
    StableChanges,
    may_unload,
    plan_placement,
)
from ...state.published import Published
from ...state.rendezvous import highest
from ...transport.connection import Connection
from ...transport.server import PeerServer
from ..requests.peer_client import PeerClient, query_address
from .orders import Busy, Order, OrderKind, TargetOrders

ROUND_S: Final = 2.0
"""Time between two exchanges with the peers of the service."""

REPORT_TTL_S: Final = 3 * ROUND_S
"""A report that is older than this is ignored."""

MAX_PEERS_PER_ROUND: Final = 16
"""Most peers of the service that are queried in one round."""

EXCHANGE_TIMEOUT_S: Final = 0.5
"""Longest wait for the holdings of a peer."""

DEMAND_HALF_LIFE_S: Final = 20.0
"""Time after which past demand has half its weight."""

MAX_BACKOFF_S: Final = 60.0
"""Longest wait after an order failed because the target or store was busy."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """Holdings that a peer reported, and when they were received on this clock."""

    holder: Holder
    demand: dict[str, float]
    received_s: float


class Placement:
    """Decides which models the own target holds.

    The decision follows from the catalogue and the reports of peers.

    Parameters
    ----------
    process_id, service : str
        Id of this sidecar, and the service of its target.
    published : Published
        Active catalogue and host list.
    asker : PeerClient
        Sends messages to the other sidecars of the service.
    orders : TargetOrders
        Sends the orders to the target.
    journal : Journal
        Records each decision.
    loaded : frozenset of str
        Models that the target already holds.
    clock : callable
        Returns monotonic seconds.
    seed : int
        Seed of the jitter of its waits.
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
        self._reports: dict[str, PeerReport] = {}
        self._demand: dict[str, float] = {}
        self._steadied = StableChanges()
        self._not_before_s = 0.0
        self.loaded = loaded

    def mount(self, server: PeerServer) -> None:
        """Answer sidecars that send their holdings to `server`."""
        server.add_handler(Holdings, self.answer)

    def record_demand(self, model: str, work_s: float) -> None:
        """Add `work_s` target-seconds to the demand for `model` at this target."""
        self._demand[model] = self._demand.get(model, 0.0) + work_s

    def on_message(self, _connection: Connection, message: Message) -> None:
        """Record the demand of a start message from a gateway."""
        if isinstance(message, Start) and message.model:
            self.record_demand(message.model, message.predicted_s)

    async def run(self) -> None:
        """Exchange holdings and decide in rounds until cancelled."""
        while True:
            await asyncio.sleep(ROUND_S * self._random.uniform(0.8, 1.2))
            await self.exchange()
            await self.decide()

    async def answer(self, holdings: Holdings, _peer: Hello) -> Holdings:
        """Record the holdings of a peer and return the own holdings."""
        self._record_report(holdings)
        return self.holdings()

    def holdings(self) -> Holdings:
        """Return the models that this target holds and the demand at it."""
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
        """Exchange holdings with peers of the service, and decay past demand."""
        keep = 0.5 ** (ROUND_S / DEMAND_HALF_LIFE_S)
        self._demand = {name: keep * s for name, s in self._demand.items()}
        await asyncio.gather(
            *(self._exchange_with(peer) for peer in self._chosen_peers())
        )

    def _chosen_peers(self) -> list[Host]:
        peers = {host.process_id: host for host in self._peers()}
        chosen = highest(self._process_id, peers, n=MAX_PEERS_PER_ROUND)
        return [peers[name] for name in chosen]

    def _peers(self) -> Iterator[Host]:
        for host in self._published.hosts.sidecars(self._service):
            if host.process_id != self._process_id:
                yield host

    async def _exchange_with(self, peer: Host) -> None:
        reply = await query_address(
            self._asker,
            peer.peer_address,
            self.holdings(),
            timeout_s=EXCHANGE_TIMEOUT_S,
        )
        match reply:
            case Ok(Holdings() as holdings):
                self._record_report(holdings)

    def _record_report(self, holdings: Holdings) -> None:
        if holdings.service_name != self._service:
            return
        loaded = frozenset(use.name for use in holdings.models if use.loaded)
        self._reports[holdings.process_id] = PeerReport(
            holder=Holder(process_id=holdings.process_id, loaded=loaded),
            demand={use.name: use.demand for use in holdings.models},
            received_s=self._clock(),
        )

    async def decide(self) -> None:
        """Send at most one order to the target, if several rounds agree on it.

        A full target first unloads a model. A target that holds only last copies
        loads one model more than planned, because two such targets would otherwise
        wait for each other forever.
        """
        reports = self._fresh_reports()
        models = self._models()
        targets = [self._process_id, *(r.holder.process_id for r in reports)]
        plan = plan_placement(models, self._total_demand(reports), targets)
        own_models = frozenset(
            m for m, holders in plan.items() if self._process_id in holders
        )
        others = [report.holder for report in reports]
        extra = [
            model
            for model in self.loaded - own_models
            if models and may_unload(model, me=self._process_id, others=others)
        ]
        changes = self._steadied.confirm([*(own_models - self.loaded), *extra])
        if not changes or self._clock() < self._not_before_s:
            return
        loads = [model for model in changes if model in own_models]
        unloads = [model for model in changes if model not in own_models]
        is_full = len(self.loaded) >= MODELS_PER_TARGET
        if loads and not (is_full and unloads):
            await self._change(loads[0], is_load=True)
        else:
            await self._change(unloads[0], is_load=False)

    def _fresh_reports(self) -> list[PeerReport]:
        oldest_s = self._clock() - REPORT_TTL_S
        return [
            report for report in self._reports.values() if report.received_s > oldest_s
        ]

    def _models(self) -> frozenset[str]:
        """Return the models that the service lists and those that its stages name."""
        catalogue = self._published.catalogue
        service = catalogue.services.get(self._service)
        if service is None or not service.models:
            return frozenset()
        stage_models = {
            stage.model
            for pipeline in catalogue.pipelines.values()
            for stage in pipeline.stages
            if stage.service == self._service and stage.model
        }
        return frozenset(service.models) | stage_models

    def _total_demand(self, reports: list[PeerReport]) -> dict[str, float]:
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
            # Reported as unloaded before it is, so that no peer relies on it.
            self.loaded -= {model}
        match await self._orders.send(Order(kind=kind, name=model)):
            case Ok(_):
                self.loaded = self.loaded | {model} if is_load else self.loaded
                self._not_before_s = 0.0
            case Err(Busy(retry_after_s=wait_s)):
                # Many targets may load from the same store, so retries are spread
                # by jitter.
                wait_s = min(MAX_BACKOFF_S, wait_s * self._random.uniform(1.0, 2.0))
                self._not_before_s = self._clock() + wait_s
            case Err(_):
                self._not_before_s = self._clock() + ROUND_S
