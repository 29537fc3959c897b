"""Stand-in for targets of a pool (encoder, retriever, reranker) or a plain service."""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

from aiohttp import web
from pydantic.dataclasses import dataclass as checked_dataclass

from trefoilpaddle.state.catalogue import STRICT

from .faults import Faults
from .lagged import Lagged
from .outputs import call_output, digest
from .pace import Pace
from .record import Outcome, Record
from .web import abort_connection, faulty_application, json_answer, not_run

BYTES_PER_KB: Final = 1024


@checked_dataclass(slots=True, kw_only=True, config=STRICT)
class CallModel:
    """Behaviour of a target of a pool or a plain service.

    Parameters
    ----------
    n_slots : int
        Number of calls that run at once; the rest wait in order of arrival.
    base_s : float
        Service time of an empty input.
    s_per_kb : float
        Service time for each 1024 bytes of input.
    max_waiting : int
        Largest number of waiting calls; further ones are refused as not run.
    once_paths : tuple of str
        Paths whose calls have an effect that must happen at most once; these
        calls continue when the caller disconnects.
    reports_load : bool
        Whether ``GET /load`` is served.
    load_lag_s : float
        Delay with which the load is reported.
    time_scale, jitter, seed
        See `Pace`.
    """

    n_slots: int = 4
    base_s: float = 0.01
    s_per_kb: float = 0.002
    max_waiting: int = 1000
    once_paths: tuple[str, ...] = ()
    reports_load: bool = True
    load_lag_s: float = 0.5
    time_scale: float = 1.0
    jitter: float = 0.0
    seed: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Running and waiting calls of a target at one moment."""

    n_running: int = 0
    n_waiting: int = 0


class CallService:
    """A target that answers each call with a JSON object.

    Parameters
    ----------
    model : CallModel
        Service times, slots and queue.
    name : str
        Name of the target, sent in the header ``X-Target``.
    """

    __slots__ = (
        "_load",
        "_n_running",
        "_waiting",
        "faults",
        "model",
        "name",
        "pace",
        "record",
    )

    def __init__(self, *, model: CallModel, name: str = "target") -> None:
        self.model = model
        self.name = name
        self.faults = Faults(seed=model.seed)
        self.record = Record()
        self.pace = Pace(
            time_scale=model.time_scale,
            jitter=model.jitter,
            seed=model.seed,
            faults=self.faults,
        )
        self._n_running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._load = Lagged(initial=LoadReport())

    def application(self) -> web.Application:
        """Return the HTTP application of the target."""
        app = faulty_application(faults=self.faults, record=self.record)
        if self.model.reports_load:
            app.router.add_get("/load", self._get_load)
        app.router.add_post("/{path:.+}", self._post_call)
        return app

    async def _get_load(self, _: web.Request) -> web.Response:
        reported_s = self.faults.visible_s(self.model.load_lag_s)
        load = self._load.at(reported_s)
        return json_answer(
            {
                "n_running": load.n_running,
                "n_waiting": load.n_waiting,
                "age_s": time.monotonic() - reported_s,
            }
        )

    async def _post_call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self._is_full():
            return not_run(f"{self.name} has {len(self._waiting)} calls waiting")
        if request.path not in self.model.once_paths:
            return await self._run(request, body)
        # The effect is completed even if the caller disconnects, as in a database.
        return await asyncio.shield(asyncio.ensure_future(self._run(request, body)))

    async def _run(self, request: web.Request, body: bytes) -> web.StreamResponse:
        async with self._slot():
            run = self.record.begin(
                request_id=request.headers.get("X-Request-Id", ""),
                attempt_id=request.headers.get("X-Attempt-Id", ""),
                path=request.path,
                input_digest=digest(body),
            )
            if self.faults.draw_failure():
                run.end(Outcome.FAILED)
                return json_answer({"detail": "fault: fail"}, status=500)
            model = self.model
            kb = len(body) / BYTES_PER_KB
            cost_s = self.pace.seconds(model.base_s + model.s_per_kb * kb)
            try:
                await asyncio.sleep(cost_s)
                await self.faults.wait_unpaused()
            except asyncio.CancelledError:
                run.cost_s = time.monotonic() - run.begin_s
                run.end(Outcome.CANCELLED)
                raise
            run.cost_s = cost_s
            if request.path in model.once_paths:
                self.record.add_effect(request_id=run.request_id, path=run.path)
            run.end(Outcome.DONE)
        headers = {"X-Cost-S": f"{cost_s:.6f}", "X-Target": self.name}
        answer = json_answer(call_output(request.path, body), headers=headers)
        if self.faults.draw_cut():
            return await _send_half(request, answer)
        return answer

    @contextlib.asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        if self._n_running >= self.model.n_slots:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            self._record_load()
            try:
                await turn
            except asyncio.CancelledError:
                self._abandon_turn(turn)
                raise
        else:
            self._n_running += 1
        self._record_load()
        try:
            yield
        finally:
            self._free_slot()

    def _is_full(self) -> bool:
        are_slots_taken = self._n_running >= self.model.n_slots
        return are_slots_taken and len(self._waiting) >= self.model.max_waiting

    def _abandon_turn(self, turn: "asyncio.Future[None]") -> None:
        if turn.done() and not turn.cancelled():
            self._free_slot()
        elif turn in self._waiting:
            self._waiting.remove(turn)

    def _free_slot(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self._record_load()
                return
        self._n_running -= 1
        self._record_load()

    def _record_load(self) -> None:
        load = LoadReport(n_running=self._n_running, n_waiting=len(self._waiting))
        self._load.set(load)


async def _send_half(request: web.Request, answer: web.Response) -> web.StreamResponse:
    body = answer.body
    assert isinstance(body, bytes)
    response = web.StreamResponse(headers=answer.headers)
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    abort_connection(request)
    return response
