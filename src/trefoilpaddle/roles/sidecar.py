"""The sidecar: the only process that sends requests to its target."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Final
from urllib.parse import urlsplit

from absl import logging
from result import Err, Ok

from ..coordination.claims.claim_setup import mount_sidecar_claims
from ..coordination.configuration.config_feed import config_feed
from ..coordination.limits.lease_home import LeaseHome
from ..coordination.placing.orders import TargetOrders
from ..coordination.placing.placement import Placement
from ..coordination.placing.target_models import read_loaded
from ..coordination.requests.attempts import AttemptTable
from ..coordination.requests.drain import drain
from ..coordination.targets.dispatcher import Dispatcher
from ..coordination.targets.engine_calls import EngineCaller
from ..coordination.targets.stage_journal import StageJournal
from ..coordination.targets.stage_server import StageServer
from ..coordination.targets.target_calls import PlainCaller, TargetCaller
from ..coordination.targets.target_monitor import TargetMonitor
from ..protocol.const import NS_PER_S
from ..protocol.gen.stage.ttypes import Bar
from ..state.catalogue import ServiceKind
from ..state.concurrency import AdaptiveSlots, FixedSlots, SlotLimit
from ..state.fair_queue import FairQueue
from ..state.held_results import HeldResults
from ..state.journal import Decision, Event, Journal
from ..state.settings import Order, SidecarSettings
from ..state.used_ids import UsedIds
from ..state.work_queue import FifoQueue, WorkQueue
from ..transport.connection import CLOSE_TIMEOUT_S, Address
from ..transport.port_lock import PortLockError, held_port
from ..transport.target_http import TargetHttp
from .operators import operators
from .process import Process, identity_of

EXPIRY_PERIOD_S: Final = 0.25
LOCK_MARGIN_S: Final = 4 * CLOSE_TIMEOUT_S
"""Time in seconds, added to the drain time, to wait for a predecessor's lock port.

If peers are paused, each of the three steps of the predecessor's close takes
``CLOSE_TIMEOUT_S``.
"""
DEFAULT_SLOTS: Final = {
    ServiceKind.ENGINE: 8,
    ServiceKind.POOL: 4,
    ServiceKind.PLAIN: 4,
}
"""Number of slots of a target while its service is not in the catalogue."""


async def run(settings: SidecarSettings) -> int:
    """Run a sidecar until a stop is requested; return its exit code."""
    listen = _address(settings.process.listen)
    lock = _lock_address(settings)
    wait_s = settings.stop.drain_s + LOCK_MARGIN_S
    try:
        async with held_port(lock, wait_s=wait_s):
            return await _run_locked(settings, listen)
    except PortLockError as error:
        logging.error("%s", error)
        return 1


async def _run_locked(settings: SidecarSettings, listen: Address) -> int:
    identity = identity_of(
        process=settings.process,
        role="sidecar",
        service=settings.target.service,
        target=settings.target.name,
    )
    journal = Journal(
        process_id=identity.process_id,
        n_records=settings.retention.explain_records,
        format=settings.log.format,
        keep_s=settings.retention.explain_s,
    )
    process = Process(identity=identity, listen=listen, journal=journal)
    sidecar = Sidecar(settings=settings, process=process)
    # No work is accepted before a catalogue is active: a process that starts while
    # the configuration service is unavailable has neither weights nor limits.
    sidecar.dispatcher.intake.is_configured = False
    async with (
        sidecar.open(),
        config_feed(
            process=process, platform=settings.platform, peers=settings.peers
        ) as feed,
        operators(
            process=process,
            listen=settings.process.operators_listen,
            is_ready=feed.is_ready,
            held_back=lambda: feed.state.held_back,
        ),
    ):
        await process.stopping.wait()
        process.n_interrupted = await sidecar.stop()
    return 0


class Sidecar:
    """The components of one sidecar, connected to its process.

    Parameters
    ----------
    settings : SidecarSettings
        Validated settings.
    process : Process
        Identity, peers and journal.
    """

    __slots__ = (
        "_http",
        "_journal",
        "_process",
        "_settings",
        "dispatcher",
        "server",
        "table",
    )

    def __init__(self, *, settings: SidecarSettings, process: Process) -> None:
        target = settings.target
        self._settings = settings
        self._process = process
        self._http = TargetHttp(url=target.url)
        journal = StageJournal(journal=process.journal, target=target.name)
        self.table = AttemptTable(
            held=HeldResults(
                max_bytes=settings.retention.held_results_bytes,
                keep_ns=int(settings.retention.held_results_s * NS_PER_S),
                on_drop=self._on_drop,
            ),
            spent=UsedIds(),
        )
        self.dispatcher = Dispatcher(
            name=target.name,
            table=self.table,
            queue=self._queue(),
            slots=self._slots(),
            caller=self._caller(),
            journal=journal,
            policy=settings.policy,
        )
        self.server = StageServer(
            name=target.name,
            incarnation=process.identity.incarnation,
            table=self.table,
            dispatcher=self.dispatcher,
            published=process.published,
            journal=journal,
        )
        self._journal = journal

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator["Sidecar"]:
        """Serve gateways while the context is open."""
        process = self._process
        process.load_reader = self.dispatcher.load
        process.message_listeners.append(self.server.on_message)
        process.close_listeners.append(self.server.on_close)
        process.server.add_handler(Bar, self.server.answer_bar)
        key_syncs = mount_sidecar_claims(
            process_id=process.identity.process_id,
            published=process.published,
            peers=process.peers,
            server=process.server,
            journal=process.journal,
            window_s=self._settings.retention.retry_window_s,
        )
        LeaseHome(
            process_id=process.identity.process_id,
            incarnation=process.identity.incarnation,
            published=process.published,
            journal=process.journal,
        ).mount(process.server)
        process.published.subscribe(self._on_published)
        async with self._http.opened(), process.running():
            tasks = [
                asyncio.create_task(self._expire_held_results()),
                asyncio.create_task(self._watch().run()),
                asyncio.create_task(key_syncs.run()),
            ]
            if self._settings.target.kind is ServiceKind.ENGINE:
                tasks.append(asyncio.create_task(self._run_placement()))
            try:
                yield self
            finally:
                for task in tasks:
                    task.cancel()

    async def stop(self) -> int:
        """Refuse new work and finish open calls; return how many were interrupted."""
        process = self._process
        self.dispatcher.intake.is_leaving = True
        process.server.broadcast(process.heartbeat())
        process.journal.record(
            Decision(event=Event.PROCESS_STOPPING, peer=process.identity.process_id)
        )
        return await drain(
            table=self.table,
            dispatcher=self.dispatcher,
            drain_s=self._settings.stop.drain_s,
        )

    def _caller(self) -> TargetCaller:
        name = self._settings.target.name
        match self._settings.target.kind:
            case ServiceKind.ENGINE:
                return EngineCaller(http=self._http, name=name)
            case ServiceKind.POOL | ServiceKind.PLAIN:
                return PlainCaller(http=self._http, name=name)

    def _queue(self) -> WorkQueue:
        match self._settings.policy.order:
            case Order.FIFO:
                return FifoQueue()
            case Order.FAIR:
                return FairQueue()

    def _slots(self) -> SlotLimit:
        n_slots = DEFAULT_SLOTS[self._settings.target.kind]
        if self._settings.policy.adapt_concurrency:
            return AdaptiveSlots(n_slots=n_slots)
        return FixedSlots(n_slots=n_slots)

    def _watch(self) -> TargetMonitor:
        target = self._settings.target
        return TargetMonitor(
            http=self._http,
            period_s=target.load_period_s,
            dispatcher=self.dispatcher,
        )

    async def _expire_held_results(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.table.held.expire(time.monotonic_ns())

    async def _run_placement(self) -> None:
        """Run the placement of models on the target, as the catalogue requires."""
        process, target = self._process, self._settings.target
        orders = TargetOrders(
            http=self._http,
            target=target.name,
            fencing=target.fencing,
            # The lock port is held as long as this role runs.
            has_lock=lambda: not self.dispatcher.intake.is_leaving,
            journal=process.journal,
        )
        placement = Placement(
            process_id=process.identity.process_id,
            service=target.service,
            published=process.published,
            asker=process.peers,
            orders=orders,
            journal=process.journal,
            loaded=await read_loaded(self._http),
            seed=process.identity.incarnation,
        )
        placement.mount(process.server)
        process.message_listeners.append(placement.on_message)
        await placement.run()

    def _on_drop(self, attempt_id: bytes) -> None:
        attempt = self.table.forget_dropped(attempt_id)
        if attempt is not None:
            self._journal.record_expired(attempt)

    def _on_published(self) -> None:
        catalogue = self._process.published.catalogue
        intake = self.dispatcher.intake
        intake.revision = catalogue.revision
        intake.is_configured = catalogue.revision > 0
        service = catalogue.services.get(self._settings.target.service)
        if service is not None:
            self.dispatcher.set_service(service)


def _address(text: str) -> Address:
    match Address.parse(text):
        case Ok(address):
            return address
        case Err(problem):
            raise ValueError(problem)


def _lock_address(settings: SidecarSettings) -> Address:
    ip = urlsplit(settings.target.url).hostname or "127.0.0.1"
    return Address(ip=ip, port=settings.target.lock_port)
