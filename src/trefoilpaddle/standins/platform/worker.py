"""Stand-in for a worker of the platform: requests, streams, or pieces of stages."""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Any, Final

import orjson
from aiohttp import web

from ..faults import Faults
from ..record import Record
from ..web import abort_connection, faulty_application, json_answer
from .run_copies import RunCopies, sending
from .slots import Slots

SEAL: Final = "Trefoilpaddle-Server-Seal"
ATTEMPT: Final = "Trefoilpaddle-Attempt-Id"
EXPECTED: Final = "Trefoilpaddle-Expected-Instance"
PROMPT_PARTS: Final = "Trefoilpaddle-Prompt-Prefix"
NOT_RUN: Final = "Trefoilpaddle-Not-Executed"
LOAD: Final = "Trefoilpaddle-Server-Load"
INPUTS: Final = "Trefoilpaddle-Inputs"
BACKUP: Final = "Trefoilpaddle-Cache-Backup"
COPY_FROM: Final = "Kv-From"

FREE_MB: Final = 10.0
"""Free memory of a worker that holds no results, as published by the site."""

RESULT_MB: Final = 0.001
"""Size of a result, as published by the site for its first stage."""


FOR_EVER_S: Final = 1e6
"""Longer than any stand-in runs."""


def _do_nothing() -> None:
    pass


class UnframedResponse(web.StreamResponse):
    """An answer with neither a length nor chunks, which ends with its connection."""

    _length_check = False


class PlatformWorker:
    """A worker that records what it ran.

    Parameters
    ----------
    worker_id : str
        Id of the worker in the store.
    n_events : int
        Number of events in each stream; 0 sends complete answers instead.
    work_s : float
        Time for a request, an event, or a call of pieces.
    software_version : str
        Version of its software, as listed in the store.
    n_slots : int
        Requests that it runs at the same time; 0 for any number.
    n_queued : int
        Requests that may wait for a slot; others are turned away without being run.

    Attributes
    ----------
    born_ms : int
        Unix time of the current start, in milliseconds.
    held : set of str
        Handles of the results that the worker holds.
    breaks_after : int
        Number of events after which a stream that began here is broken off; 0 never.
    ends_with_connection : bool
        True answers with neither a length nor chunks and closes the connection.
    breaks_inside_event : bool
        True writes a part of the next event before a stream is broken off, and closes
        the connection in order.
    hangs_after : int
        Number of events after which a stream that began here pauses, with its
        connection open; 0 never.
    hangs_s : float
        Length of that pause in seconds.
    copies : RunCopies
        Copies of the runs of other workers.
    answer_bytes : int
        Size of complete answers; 0 answers with the id of the request.
    running : set of str
        Ids of the requests that run now.
    interrupts_answers : bool
        True aborts the connection of each request after running it, or at the
        first event of a stream.
    states_load : bool
        True states its load in all of its answers.
    load_percent : int
        How long work takes on its machine, as it states it; 100 as usual.
    stated : dict of str to str
        Headers in which the worker states its needs, in all of its answers.
    slots : Slots
        The slots in which requests run.
    n_done : int
        Requests that were answered completely.
    fails : bool
        True answers each request with 500 at once.
    turns_away : bool
        True answers each request and call with 503, without running it.
    turned_away_s : list of float
        Monotonic times at which requests and calls were turned away.
    rests_s : list of float
        Rest in seconds that the worker asked for each time; 0 if for none.
    turned_away : list of str
        Ids of these requests; empty text for a call of pieces.
    ran : list of str
        Ids of the requests that were run, once for each run.
    ran_s : list of float
        Monotonic times at which these requests arrived.
    headers : list of dict
        Headers of these requests.
    marker : bytes
        Requests whose body contains the marker, and pieces whose key contains it,
        are marked; empty marks none.
    marked_parts : frozenset of str
        Requests with one of these parts in their prompts are marked; the worker begins
        to write an answer and never ends it.
    marked_s : list of float
        Monotonic times at which marked requests or pieces started.
    on_marked : callable
        Called at each start of a marked request or piece.
    pieces : list of tuple
        Request, stage, piece and inputs of each piece that was completed.
    """

    __slots__ = (
        "_handle_numbers",
        "address",
        "answer_bytes",
        "born_ms",
        "breaks_after",
        "breaks_inside_event",
        "copies",
        "ends_with_connection",
        "fails",
        "faults",
        "freed",
        "hangs_after",
        "hangs_s",
        "headers",
        "held",
        "interrupts_answers",
        "load_percent",
        "marked_parts",
        "marked_s",
        "marker",
        "n_busy",
        "n_calls",
        "n_done",
        "n_events",
        "n_slots",
        "on_marked",
        "pieces",
        "ran",
        "ran_s",
        "record",
        "rests_s",
        "running",
        "slots",
        "software_version",
        "stated",
        "states_load",
        "turned_away",
        "turned_away_s",
        "turns_away",
        "work_s",
        "worker_id",
    )

    def __init__(
        self,
        *,
        worker_id: str,
        n_events: int = 0,
        work_s: float = 0.005,
        software_version: str = "v1",
        n_slots: int = 0,
        n_queued: int = 0,
    ) -> None:
        self.n_slots = n_slots
        self.slots = Slots(n_slots=n_slots, n_queued=n_queued)
        self.n_done = 0
        self.answer_bytes = 0
        self.fails = False
        self.states_load = False
        self.load_percent = 100
        self.worker_id = worker_id
        self.n_events = n_events
        self.work_s = work_s
        self.software_version = software_version
        self.breaks_after = 0
        self.hangs_after = 0
        self.hangs_s = FOR_EVER_S
        self.copies = RunCopies()
        self.running: set[str] = set()
        self.address = ""
        self.born_ms = int(time.time() * 1000)
        self.held: set[str] = set()
        self.breaks_inside_event = False
        self.ends_with_connection = False
        self.interrupts_answers = False
        self.stated: dict[str, str] = {}
        self.turns_away = False
        self.rests_s: list[float] = []
        self.turned_away: list[str] = []
        self.turned_away_s: list[float] = []
        self.marker = b""
        self.marked_parts: frozenset[str] = frozenset()
        self.marked_s: list[float] = []
        self.on_marked: Callable[[], None] = _do_nothing
        self.faults = Faults()
        self.record = Record()
        self.ran: list[str] = []
        self.ran_s: list[float] = []
        self.headers: list[dict[str, str]] = []
        self.pieces: list[tuple[str, int, int, tuple[str, ...]]] = []
        self.freed: list[str] = []
        self.n_calls = 0
        self.n_busy = 0
        self._handle_numbers = itertools.count()

    def restart(self) -> None:
        """Simulate a restart under the same id; held results and copies are lost."""
        self.born_ms = max(self.born_ms + 1, int(time.time() * 1000))
        self.held.clear()
        self.copies.held.clear()

    def application(self) -> web.Application:
        """Return the HTTP application of the worker."""
        app = faulty_application(faults=self.faults, record=self.record)
        app.on_response_prepare.append(self._state_needs)
        app.router.add_post("/trefoilpaddle/stage-run", self._run_pieces)
        app.router.add_post("/trefoilpaddle/stage-free", self._free)
        app.router.add_get("/trefoilpaddle/report", self._report)
        self.copies.add_routes(app)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def _state_needs(
        self, request: web.Request, answer: web.StreamResponse
    ) -> None:
        answer.headers.update(self.stated)
        if self.states_load:
            at = self.slots
            load = (at.n_running, at.n_waiting, self.n_slots, self.load_percent)
            answer.headers[LOAD] = ",".join(map(str, load))

    def _is_for_another_worker(self, request: web.Request) -> bool:
        expected = request.headers.get(EXPECTED)
        return expected is not None and expected != self.worker_id

    def _turn_away(self, request: web.Request) -> web.Response:
        self.turned_away.append(request.headers.get(ATTEMPT, ""))
        self.turned_away_s.append(time.monotonic())
        self.rests_s.append(float(self.stated.get("Retry-After", 0.0)))
        return web.Response(status=503, headers={NOT_RUN: "1"})

    async def _crash_if_marked(self, body: bytes) -> None:
        """Call `on_marked` for a marked request, which then never gets an answer."""
        if self.marker and self.marker in body:
            self.marked_s.append(time.monotonic())
            self.on_marked()
            await asyncio.Event().wait()

    def _has_marked_part(self, request: web.Request) -> bool:
        parts = request.headers.get(PROMPT_PARTS, "").split(",")
        return not self.marked_parts.isdisjoint(
            part.strip().partition(":")[0] for part in parts
        )

    async def _begin_marked(
        self, request: web.Request, headers: dict[str, str], begun: bytes
    ) -> None:
        """Begin to write the answer of a marked request, and never end it."""
        self.marked_s.append(time.monotonic())
        answer = web.StreamResponse(headers=headers)
        await answer.prepare(request)
        await answer.write(begun)
        self.on_marked()
        await asyncio.Event().wait()

    def _new_answer(self, headers: dict[str, str]) -> web.StreamResponse:
        if not self.ends_with_connection:
            return web.StreamResponse(headers=headers)
        answer = UnframedResponse(headers=headers)
        answer.force_close()
        return answer

    async def _run(self, request: web.Request) -> web.StreamResponse:
        if self._is_for_another_worker(request):
            return json_answer({}, status=421)
        request_id = request.headers[ATTEMPT]
        body = await request.read()
        if self.turns_away or self.slots.is_full or self._lacks_copy(request):
            return self._turn_away(request)
        async with self.slots.one():
            self.running.add(request_id)
            try:
                answer = await self._run_in_slot(request, request_id, body)
            finally:
                self.running.discard(request_id)
            self.n_done += answer.status < 300
            return answer

    def _lacks_copy(self, request: web.Request) -> bool:
        """Return True if a request is to go on from a copy that is not here."""
        copy_from = request.headers.get(COPY_FROM)
        if copy_from is None:
            return False
        address, _, run_id = copy_from.partition("/")
        return (
            address != self.address
            or run_id != request.headers[ATTEMPT]
            or self.copies.get(run_id, self.software_version) is None
        )

    async def _read_missing(self, request: web.Request, request_id: str) -> None:
        """Read what a copy lacks of a run that goes on here."""
        if COPY_FROM not in request.headers:
            return
        copied = self.copies.held.pop(request_id, None)
        last = int(request.headers.get("Last-Event-Id", "0"))
        n_missing = max(0, last - (0 if copied is None else copied.n_events))
        self.copies.n_read[request_id] = n_missing
        await asyncio.sleep(n_missing * self.work_s)

    async def _run_in_slot(
        self, request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        self.ran.append(request_id)
        self.ran_s.append(time.monotonic())
        self.headers.append(dict(request.headers))
        await self._crash_if_marked(body)
        headers = {ATTEMPT: request_id, SEAL: f"{self.worker_id}.{request_id}"}
        if self.fails:
            return web.Response(status=500, headers=headers)
        is_marked = self._has_marked_part(request)
        if not self.n_events:
            await asyncio.sleep(self.work_s)
            if is_marked:
                await self._begin_marked(request, headers, request_id[:1].encode())
            if self.interrupts_answers:
                abort_connection(request)
            if self.ends_with_connection:
                answer = self._new_answer(headers)
                await answer.prepare(request)
                await answer.write(request_id.encode())
                return answer
            whole = bytes(self.answer_bytes) or request_id.encode()
            return web.Response(body=whole, headers=headers)
        headers["Content-Type"] = "text/event-stream"
        if is_marked:
            await self._begin_marked(request, headers, b"id: ")
        answer = self._new_answer(headers)
        await answer.prepare(request)
        await self._read_missing(request, request_id)
        backup = request.headers.get(BACKUP, "")
        async with sending(backup, request_id, self.software_version) as copy:
            first = int(request.headers.get("Last-Event-Id", "0")) + 1
            for event_id in range(first, self.n_events + 1):
                await asyncio.sleep(self.work_s)
                if first == 1 and event_id - 1 == self.hangs_after > 0:
                    await asyncio.sleep(self.hangs_s)
                is_broken = first == 1 and 0 < self.breaks_after < event_id
                if is_broken and self.breaks_inside_event:
                    await answer.write(f"id: {event_id}\nda".encode())
                    return answer
                if self.interrupts_answers or is_broken:
                    abort_connection(request)
                    return answer
                data = f"{request_id} {self.software_version}"
                await answer.write(f"id: {event_id}\ndata: {data}\n\n".encode())
                await copy.send(event_id)
            await answer.write_eof()
            await copy.drop()
        return answer

    async def _run_pieces(self, request: web.Request) -> web.Response:
        if self._is_for_another_worker(request):
            return json_answer({}, status=421)
        body = await request.read()
        if self.turns_away:
            return self._turn_away(request)
        await self._crash_if_marked(body)
        items: list[dict[str, Any]] = orjson.loads(body)["items"]
        self.n_calls += 1
        self.n_busy += 1
        await asyncio.sleep(self.work_s)
        results = []
        for item in items:
            inputs = tuple(item.get("inputs", ()))
            self.pieces.append(
                (item["identifier"], item["stage"], item["piece"], inputs)
            )
            handle = f"{self.address}/{next(self._handle_numbers)}"
            self.held.add(handle)
            results.append({"handle": handle})
        self.n_busy -= 1
        return json_answer({"items": results})

    async def _free(self, request: web.Request) -> web.Response:
        handles = orjson.loads(await request.read())["handles"]
        self.freed += handles
        self.held.difference_update(handles)
        return json_answer({})

    async def _report(self, request: web.Request) -> web.Response:
        free_mb = FREE_MB - len(self.held) * RESULT_MB
        return json_answer(
            {
                "queued_requests": max(0, self.n_busy - 1),
                "busy": self.n_busy > 0,
                "free_mb": free_mb,
            }
        )
