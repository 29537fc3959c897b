"""Workers, calls and a caller that are scripted by a test."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from trefoilpaddle.coordination.chain.catch_up import CatchUp
from trefoilpaddle.coordination.chain.cell_dispatch import CellDispatch
from trefoilpaddle.coordination.chain.chain_scheduler import ChainScheduler
from trefoilpaddle.coordination.chain.crash_guard import CrashGuard
from trefoilpaddle.coordination.chain.crash_relay import CrashRelay
from trefoilpaddle.coordination.chain.limit_relay import LimitRelay
from trefoilpaddle.coordination.chain.send_limits import SendLimits
from trefoilpaddle.coordination.chain.target_calls import (
    OpenAnswer,
    StreamBrokenError,
    StreamCutError,
    TargetCall,
    TargetCalls,
)
from trefoilpaddle.coordination.chain.worker_needs import WorkerNeeds
from trefoilpaddle.roles.process import Identity, Process
from trefoilpaddle.state.chain.crash_registry import CrashRegistry
from trefoilpaddle.state.chain.piece_work import PieceOutcome, PieceResult, PieceWork
from trefoilpaddle.state.chain.repeat_budget import RepeatBudgets
from trefoilpaddle.state.chain.requests import CallerRequest
from trefoilpaddle.state.chain.routes import (
    PieceService,
    PlainService,
    RepeatPolicy,
    Route,
    RouteTable,
    Split,
    table_by_host,
)
from trefoilpaddle.state.chain.served_versions import ServedVersions
from trefoilpaddle.state.chain.stated_limits import StatedLimits
from trefoilpaddle.state.chain.target_answers import (
    AnswerHead,
    CallFault,
    StreamEvent,
    WorkerReport,
)
from trefoilpaddle.state.chain.workers import Worker, WorkerTable
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.transport.connection import Address

OK_HEAD = AnswerHead(status=200, headers=())


def catch_up(own: Process, guard: CrashGuard) -> CatchUp:
    """Return one of a gateway that no other one can tell anything."""
    return CatchUp(
        process=own,
        crashes=guard._relay,
        limits=LimitRelay(
            process=own,
            links=list,
            needs=WorkerNeeds(workers=WorkerTable(), journal=journal()),
        ),
        served=ServedVersions(workers=WorkerTable()),
        live=list,
        stopping=list,
        wait_known=no_wait,
        is_settled=lambda: True,
        is_alone=True,
    )


async def no_wait() -> None:
    """Return at once."""


def worker(
    worker_id: str, service: str = "plain", *, domain: str = "here", **fields: Any
) -> Worker:
    return Worker(
        worker_id=worker_id,
        service=service,
        address=f"{worker_id}:1",
        failure_domain=domain,
        **fields,
    )


def piece_service(name: str, **fields: float) -> PieceService:
    known = {
        "n_slots": 1,
        "batch": 4,
        "call_s": 0.02,
        "piece_s": 0.001,
        "memory_bytes": 1e6,
        "retention_s": 4.0,
    }
    return PieceService(name=name, **(known | fields))  # type: ignore[arg-type]


def route(**fields: object) -> Route:
    known: dict[str, object] = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "splits": (Split(service="plain", weight=1.0),),
        "repeat": RepeatPolicy.NON_IDEMPOTENT,
        "timeout_s": 2.0,
        "target_latency_s": 0.5,
    }
    return Route(**(known | fields))  # type: ignore[arg-type]


def table(*routes: Route, services: Sequence[PieceService] = ()) -> RouteTable:
    known = {"plain": PlainService(name="plain")}
    return RouteTable(
        version=1,
        by_host=table_by_host(list(routes)),
        services=known | {service.name: service for service in services},
    )


def request(**fields: object) -> CallerRequest:
    now_s = asyncio.get_running_loop().time()
    known: dict[str, object] = {
        "request_id": "a1",
        "method": "POST",
        "target": "/x",
        "host": "h",
        "path": "/x",
        "headers": (),
        "body": b"",
        "body_digest": b"",
        "received_s": now_s,
        "deadline_s": now_s + 2.0,
    }
    return CallerRequest(**(known | fields))  # type: ignore[arg-type]


def budgets(*, slack: float = 100.0, ratio: float = 1.0) -> RepeatBudgets:
    return RepeatBudgets(ratio=ratio, slack=slack, window_s=10.0, n_gateways=lambda: 1)


@dataclass
class FakeAnswer:
    """An answer of a worker: a body, or events that may be interrupted."""

    head: AnswerHead = OK_HEAD
    body: bytes = b"body"
    n_events: int = 0
    first: int = 1
    breaks: bool = False
    is_cut: bool = False
    hangs_s: float = 0.0
    n_later: int = 0
    room_s: float = 0.0
    fault: CallFault | None = None

    async def wait_for_room(self) -> None:
        await asyncio.sleep(self.room_s)

    async def read(self) -> Result[bytes, CallFault]:
        await asyncio.sleep(self.hangs_s)
        return Ok(self.body) if self.fault is None else Err(self.fault)

    async def events(self) -> AsyncIterator[StreamEvent]:
        for index in range(self.n_events + self.n_later):
            await asyncio.sleep(self.hangs_s if index == self.n_events else 0.0)
            number = self.first + index
            yield StreamEvent(number=number, data=f"id: {number}\n\n".encode())
        if not self.n_later:
            await asyncio.sleep(self.hangs_s)
        if self.breaks:
            raise (StreamCutError if self.is_cut else StreamBrokenError)("interrupted")


Script = FakeAnswer | CallFault


@dataclass
class FakeCalls:
    """Answers calls from a script of the test."""

    scripts: list[Script] = field(default_factory=list)
    sent: list[tuple[str, TargetCall]] = field(default_factory=list)
    batches: list[list[PieceWork]] = field(default_factory=list)
    freed: list[str] = field(default_factory=list)
    make: (
        Callable[[Worker, Sequence[PieceWork]], list[PieceOutcome] | CallFault] | None
    ) = None
    call_s: float = 0.01
    sending_s: float = 0.0
    free_gate: asyncio.Event | None = None
    worker_report: WorkerReport | None = None
    n_reports: int = 0
    refusing: set[str] = field(default_factory=set)
    unreachable: set[str] = field(default_factory=set)
    is_unreachable: bool = False
    is_crashing: bool = False
    n_checks: int = 0

    @asynccontextmanager
    async def exchange(
        self, worker: Worker, call: TargetCall
    ) -> AsyncIterator[Result[OpenAnswer, CallFault]]:
        self.sent.append((worker.worker_id, call))
        script = self.scripts.pop(0)
        if isinstance(script, CallFault):
            if self.is_crashing:
                self.refusing.add(worker.worker_id)
            yield Err(script)
        else:
            yield Ok(script)

    async def run_pieces(
        self,
        worker: Worker,
        works: Sequence[PieceWork],
        *,
        timeout_s: float,
        on_sent: Callable[[], None],
    ) -> Result[list[PieceOutcome], CallFault]:
        self.batches.append(list(works))
        if self.sending_s:
            await asyncio.sleep(self.sending_s)
        on_sent()
        await asyncio.sleep(self.call_s)
        if self.make is None:
            return Ok([result_of(worker, work) for work in works])
        ends = self.make(worker, works)
        return Err(ends) if isinstance(ends, CallFault) else Ok(ends)

    async def report(self, worker: Worker, *, timeout_s: float) -> WorkerReport | None:
        self.n_reports += 1
        await asyncio.sleep(0)
        return self.worker_report

    async def is_listening(self, worker: Worker) -> bool | None:
        self.n_checks += 1
        await asyncio.sleep(0)
        if self.is_unreachable or worker.worker_id in self.unreachable:
            return None
        return worker.worker_id not in self.refusing

    async def free_results(self, worker: Worker, handles: Sequence[str]) -> bool:
        if self.free_gate is not None:
            await self.free_gate.wait()
        self.freed += handles
        return True


def result_of(worker: Worker, work: PieceWork) -> PieceResult:
    handle = f"{worker.worker_id}/{work.request_id}.{work.stage}.{work.piece}"
    return PieceResult(handle=handle, worker_id=worker.worker_id)


@dataclass
class FakeSink:
    """Records what a caller receives."""

    seen: list[str] = field(default_factory=list)

    async def whole(self, head: AnswerHead, body: bytes) -> None:
        self.seen.append(f"{head.status} {body.decode()}")

    async def begin(self, head: AnswerHead) -> None:
        self.seen.append("begin")

    async def event(self, event: StreamEvent) -> None:
        self.seen.append(str(event.number))

    async def end(self) -> None:
        self.seen.append("end")


def journal() -> Journal:
    return Journal(process_id="test", n_records=1000)


def scheduler(
    calls: FakeCalls,
    workers: WorkerTable,
    routes: RouteTable,
    notes: Journal,
    guard: CrashGuard | None = None,
) -> ChainScheduler:
    dispatch = CellDispatch(
        failure_domains=frozenset({"here"}),
        calls=calls,
        workers=workers,
        journal=notes,
        table=routes,
        guard=guard or crash_guard(calls, workers),
        send_limits=send_limits(workers),
    )
    return ChainScheduler(dispatch=dispatch, budgets=budgets(), journal=notes)


def crash_guard(calls: TargetCalls, workers: WorkerTable) -> CrashGuard:
    book = CrashRegistry()
    return CrashGuard(
        workers=workers,
        calls=calls,
        journal=journal(),
        book=book,
        relay=CrashRelay(process=process("g"), links=list, book=book),
    )


def send_limits(workers: WorkerTable, stated: StatedLimits | None = None) -> SendLimits:
    return SendLimits(
        workers=workers,
        stated=stated or StatedLimits(),
        own_id="g",
        gateway_ids=lambda: ("g",),
        is_settled=lambda: True,
    )


def process(name: str, domain: str = "here") -> Process:
    """Return the process of a gateway that is not running yet."""
    return Process(
        identity=Identity(
            process_id=name,
            incarnation=1,
            role="gateway",
            failure_domain=domain,
            region="",
        ),
        listen=Address(ip="127.0.0.1", port=0),
        journal=journal(),
    )
