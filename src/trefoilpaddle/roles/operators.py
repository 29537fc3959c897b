"""HTTP for operators in both roles: health, metrics, explain and status."""

import contextlib
import time
from collections.abc import AsyncIterator, Callable, Iterable
from http import HTTPStatus
from typing import Final

import orjson
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..coordination.explaining.status_gather import gather_status
from ..coordination.explaining.timeline_gather import TimelineGatherer
from ..coordination.requests.operator_queries import OperatorQueries
from ..protocol.gen.explain.ttypes import (
    ExplainAnswer,
    ExplainAsk,
    StatusAnswer,
    StatusAsk,
)
from ..protocol.gen.stage.ttypes import Hello
from ..state import timeline_text
from ..state.catalogue_build import HeldBack
from ..state.metrics import Metrics
from ..state.status import (
    HeldBackStatus,
    LeaseStatus,
    LoadStatus,
    ProcessStatus,
    encode_process,
    use_statuses,
)
from ..state.tally import Tally
from ..state.timeline import Step, encode_steps, steps_of
from ..transport.connection import Address
from ..transport.http_connection import raw_answer
from ..transport.http_listener import serving_http
from .process import Process

MAX_REQUEST_BYTES: Final = 4096
MAX_HELD_BACK: Final = 50
CLOSE_WAIT_S: Final = 1.0
STOPPED_ANSWER: Final = raw_answer(
    HTTPStatus.SERVICE_UNAVAILABLE, {"Content-Type": "text/plain"}, b"not ready\n"
)
"""Answer to a query that crosses the close."""

JSON_TYPE: Final = "application/json"

ReadyReader = Callable[[], bool]
LeaseReader = Callable[[], Iterable[LeaseStatus]]
HeldBackReader = Callable[[], Iterable[HeldBack]]


class OperatorsView:
    """Operators' view of one process, and through it of all processes.

    Parameters
    ----------
    process : Process
        The process whose journal, peers and published state are shown.
    is_ready : callable
        Returns True while the process accepts new work.
    leases, held_back : callable
        Return the current leases, and the published changes that are not active.
    """

    __slots__ = (
        "_held_back",
        "_is_ready",
        "_leases",
        "_process",
        "_queries",
        "_started_s",
        "_tally",
        "metrics",
    )

    def __init__(
        self,
        *,
        process: Process,
        is_ready: ReadyReader,
        leases: LeaseReader = tuple,
        held_back: HeldBackReader = tuple,
    ) -> None:
        self._process = process
        self._is_ready = is_ready
        self._leases = leases
        self._held_back = held_back
        self._queries = OperatorQueries(peers=process.peers)
        self._started_s = time.monotonic()
        self._tally = Tally()
        self.metrics = Metrics()
        self._set_gauges()
        process.journal.subscribe_on_flush(self._tally.count)
        process.journal.subscribe_on_flush(self.metrics.count)
        process.server.add_handler(ExplainAsk, self._answer_explain)
        process.server.add_handler(StatusAsk, self._answer_status)

    def is_ready(self) -> bool:
        """Return True while the process accepts new work and is not stopping."""
        return self._is_ready() and not self._process.stopping.is_set()

    def status(self) -> ProcessStatus:
        """Return the status of this process."""
        process = self._process
        process.journal.flush()
        identity = process.identity
        links = list(process.peers.links.values())
        return ProcessStatus(
            process_id=identity.process_id,
            role=identity.role,
            failure_domain=identity.failure_domain,
            region=identity.region,
            service=identity.service,
            target=identity.target,
            incarnation=f"{identity.incarnation:x}",
            is_ready=self.is_ready(),
            is_leaving=process.stopping.is_set(),
            config_revision=process.published.catalogue.revision,
            hosts_revision=process.published.hosts.revision,
            up_s=round(time.monotonic() - self._started_s, 3),
            n_peers_heard=sum(link.is_responsive() for link in links),
            n_peers=len(links),
            load=self._load() if identity.role == "sidecar" else None,
            owners=tuple(use_statuses(self._tally.by_owner())),
            stages=tuple(use_statuses(self._tally.by_stage())),
            leases=tuple(self._leases()),
            held_back=tuple(self._held_back_statuses()),
        )

    def own_steps(self, request_id: str) -> list[Step]:
        """Return the steps of a request that this process has recorded."""
        journal = self._process.journal
        records = journal.timeline(request_id)
        return list(
            steps_of(records, process_id=journal.process_id, now_s=time.monotonic())
        )

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.add_routes(
            [
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
                web.get("/metrics", self._metrics),
                web.get("/v1/explain/{request_id}", self._explain),
                web.get("/v1/status", self._status),
                web.get("/v1/catalogue", self._catalogue),
            ]
        )
        return app

    def _load(self) -> LoadStatus:
        load = self._process.load_reader()
        age_ms = load.reported_age_ms
        return LoadStatus(
            n_running=load.n_running,
            n_queued=load.n_queued,
            n_slots=load.n_slots,
            queued_work_s=load.queued_work_s,
            running_work_s=load.running_work_s,
            slowness=load.slowness,
            is_target_up=load.target_up,
            reported_age_s=age_ms / 1000 if age_ms >= 0 else None,
        )

    def _held_back_statuses(self) -> Iterable[HeldBackStatus]:
        for held in list(self._held_back())[:MAX_HELD_BACK]:
            yield HeldBackStatus(
                key=held.key,
                revision=held.revision,
                stays_revision=held.stays,
                detail="; ".join(str(problem) for problem in held.problems),
            )

    def _set_gauges(self) -> None:
        process = self._process
        published = process.published
        gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            ("ready", "1 while new work is taken.", self.is_ready),
            ("leaving", "1 while the process stops.", process.stopping.is_set),
            (
                "config_revision",
                "Revision of the catalogue in force.",
                lambda: published.catalogue.revision,
            ),
            (
                "hosts_revision",
                "Revision of the host list in force.",
                lambda: published.hosts.revision,
            ),
            (
                "config_held_back",
                "Published changes that are not in force.",
                lambda: len(tuple(self._held_back())),
            ),
            ("up_seconds", "Time since the start.", self._up_s),
            (
                "running_calls",
                "Stage calls running.",
                lambda: process.load_reader().n_running,
            ),
            (
                "queued_calls",
                "Stage calls waiting.",
                lambda: process.load_reader().n_queued,
            ),
            (
                "slots",
                "Calls that the target bears.",
                lambda: process.load_reader().n_slots,
            ),
            (
                "target_up",
                "1 while the target answers; sidecars only.",
                lambda: process.load_reader().target_up,
            ),
        )
        for name, help_text, read in gauges:
            self.metrics.gauge(name, help_text).set_function(read)

    def _up_s(self) -> float:
        return time.monotonic() - self._started_s

    async def _answer_explain(self, ask: ExplainAsk, peer: Hello) -> ExplainAnswer:
        steps = self.own_steps(ask.request_id)
        return ExplainAnswer(
            known=bool(steps),
            process_id=self._process.identity.process_id,
            records=encode_steps(steps),
        )

    async def _answer_status(self, ask: StatusAsk, peer: Hello) -> StatusAnswer:
        return StatusAnswer(
            process_id=self._process.identity.process_id,
            status=encode_process(self.status()),
        )

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        self._process.journal.flush()
        body = generate_latest(self.metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _explain(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        gatherer = TimelineGatherer(
            queries=self._queries,
            hosts=self._process.published.hosts,
            own_process_id=self._process.identity.process_id,
            own_target=self._process.identity.target,
            own_incarnation=self._process.identity.incarnation,
        )
        timeline = await gatherer.gather(request_id, self.own_steps(request_id))
        status = 200 if timeline.steps else 404
        if request.query.get("format") == "text":
            text = "\n".join(timeline_text.lines(timeline)) + "\n"
            return web.Response(status=status, text=text)
        return _json(timeline, status=status)

    async def _status(self, request: web.Request) -> web.Response:
        if request.query.get("scope") == "own":
            return _json(self.status())
        fleet = await gather_status(
            queries=self._queries,
            own=self.status(),
            hosts=self._process.published.hosts,
            catalogue=self._process.published.catalogue,
        )
        return _json(fleet)

    async def _catalogue(self, request: web.Request) -> web.Response:
        return _json(self._process.published.catalogue)


@contextlib.asynccontextmanager
async def operators(
    *,
    process: Process,
    listen: str,
    is_ready: ReadyReader,
    leases: LeaseReader = tuple,
    held_back: HeldBackReader = tuple,
) -> AsyncIterator[OperatorsView]:
    """Serve operators at `listen`, ``ip:port``, while the context is open.

    Open it around ``process.running()``: the handlers for peers are then registered
    before the peer port opens, and operators can still query a draining process.

    Raises
    ------
    OSError
        If the port is held by another process.
    ValueError
        If `listen` is not an address; the validation of the settings prevents this.
    """
    view = OperatorsView(
        process=process, is_ready=is_ready, leases=leases, held_back=held_back
    )
    address = Address.parse(listen).unwrap_or_raise(ValueError)
    runner = web.AppRunner(view.app(), access_log=None, handle_signals=False)
    await runner.setup()
    assert runner.server is not None
    try:
        async with serving_http(
            http=runner.server,
            refusal=STOPPED_ANSWER,
            ip=address.ip,
            port=address.port,
            close_timeout_s=lambda: CLOSE_WAIT_S,
        ):
            yield view
    finally:
        await runner.cleanup()


def _json(value: object, *, status: int = 200) -> web.Response:
    return web.Response(status=status, body=orjson.dumps(value), content_type=JSON_TYPE)
