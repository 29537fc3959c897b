"""Stand-in for a model engine with batching, a prefix cache and resumable streams."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Annotated, Final

import orjson
from aiohttp import web
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass

from trefoilpaddle.state.catalogue import STRICT

from .batching import Batch, BatchModel
from .engine_stream import answer_complete, stream
from .faults import Faults
from .generation import Generation
from .orders import Orders
from .outputs import digest
from .pace import Pace
from .prefix_cache import PrefixCache
from .record import Outcome, Record
from .web import faulty_application, json_answer, not_run

_SWEEP_S: Final = 0.5


@checked_dataclass(slots=True, kw_only=True, config=ConfigDict(extra="ignore"))
class Completion:
    """Body of ``POST /v1/completions``."""

    prompt: str
    model: str = ""
    max_tokens: Annotated[int, Field(ge=0, le=100_000)] = 16
    priority: int = 5
    stream: bool = True


_COMPLETION: Final = TypeAdapter(Completion)


@checked_dataclass(slots=True, kw_only=True, config=STRICT)
class EngineModel:
    """Behaviour of an engine.

    Parameters
    ----------
    batch : BatchModel
        Duration of steps and capacity of the batch.
    models : tuple of str
        Models that are loaded at the start.
    is_fenced : bool
        Whether orders with an old fencing number are refused.
    load_s : float
        Nominal time to load a model.
    weights_url : str
        Base URL of the weight store; empty loads models without one.
    n_cache_blocks : int
        Capacity of the prefix cache in blocks.
    cache_event_lag_s : float
        Delay with which cache events are published.
    cache_event_gap_share : float
        Share of the cache events that are lost.
    load_lag_s : float
        Delay with which the load is reported.
    resume_s : float
        Time for which a stream without a reader can be resumed.
    time_scale, jitter, seed
        See `Pace`.
    """

    batch: BatchModel = BatchModel()
    models: tuple[str, ...] = ("base",)
    is_fenced: bool = True
    load_s: float = 1.0
    weights_url: str = ""
    n_cache_blocks: int = 2000
    cache_event_lag_s: float = 0.5
    cache_event_gap_share: float = 0.1
    load_lag_s: float = 0.5
    resume_s: float = 10.0
    time_scale: float = 1.0
    jitter: float = 0.0
    seed: int = 0


class Engine:
    """A model engine that simulates the work of a model.

    Parameters
    ----------
    model : EngineModel
        Service times, cache and batch.
    name : str
        Name of the target.
    """

    __slots__ = (
        "_generations",
        "batch",
        "cache",
        "faults",
        "model",
        "name",
        "orders",
        "record",
    )

    def __init__(self, *, model: EngineModel, name: str = "engine") -> None:
        self.model = model
        self.name = name
        self.faults = Faults(seed=model.seed)
        self.record = Record()
        pace = Pace(
            time_scale=model.time_scale,
            jitter=model.jitter,
            seed=model.seed,
            faults=self.faults,
        )
        self.cache = PrefixCache(
            n_blocks=model.n_cache_blocks,
            gap_share=model.cache_event_gap_share,
            seed=model.seed,
        )
        self.batch = Batch(
            model=model.batch, cache=self.cache, pace=pace, faults=self.faults
        )
        self.orders = Orders(
            models=model.models,
            is_fenced=model.is_fenced,
            load_s=model.load_s,
            weights_url=model.weights_url,
            pace=pace,
            record=self.record,
        )
        self._generations: dict[str, Generation] = {}

    def application(self) -> web.Application:
        """Return the HTTP application of the engine."""
        app = faulty_application(faults=self.faults, record=self.record)
        app.cleanup_ctx.append(self._run_tasks)
        app.router.add_post("/v1/completions", self._post_completion)
        app.router.add_get("/v1/resume/{attempt_id}", self._get_resume)
        app.router.add_post("/v1/cancel/{attempt_id}", self._post_cancel)
        app.router.add_get("/v1/kv/{attempt_id}", self._get_kv)
        app.router.add_put("/v1/kv/{attempt_id}", self._put_kv)
        app.router.add_get("/cache-events", self._get_cache_events)
        app.router.add_get("/load", self._get_load)
        app.router.add_post("/v1/orders", self.orders.post_order)
        app.router.add_get("/v1/models", self.orders.get_loaded)
        return app

    async def _run_tasks(self, _: web.Application) -> AsyncIterator[None]:
        sweeper = asyncio.create_task(self._sweep())
        async with self.batch.stepping():
            yield
        sweeper.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sweeper

    async def _sweep(self) -> None:
        """Cancel and remove generations that had no reader for `resume_s`."""
        while True:
            await asyncio.sleep(min(_SWEEP_S, self.model.resume_s / 2))
            oldest_s = time.monotonic() - self.model.resume_s
            for key, generation in list(self._generations.items()):
                if generation.n_readers == 0 and generation.unread_since_s < oldest_s:
                    generation.end(Outcome.CANCELLED)
                    del self._generations[key]

    async def _post_completion(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        try:
            completion = _COMPLETION.validate_json(body)
        except ValidationError as error:
            return not_run(str(error), status=400)
        if completion.model and completion.model not in self.orders.models:
            return not_run(f"model {completion.model!r} is not loaded", status=404)
        if self.batch.is_full:
            return not_run(f"{self.name} has no room to wait")
        generation = self._begin(request, completion)
        if self.faults.draw_failure():
            generation.end(Outcome.FAILED)
            return json_answer({"detail": "fault: fail"}, status=500)
        self.batch.add(generation)
        if not completion.stream:
            return await answer_complete(generation)
        return await stream(
            request,
            generation,
            faults=self.faults,
            n_sent=0,
            is_cut=self.faults.draw_cut(),
        )

    def _begin(self, request: web.Request, completion: Completion) -> Generation:
        attempt_id = request.headers.get("X-Attempt-Id", "")
        run = self.record.begin(
            request_id=request.headers.get("X-Request-Id", ""),
            attempt_id=attempt_id,
            path=request.path,
            input_digest=digest(completion.prompt.encode()),
        )
        generation = Generation(
            attempt_id=attempt_id,
            prompt=completion.prompt,
            max_tokens=completion.max_tokens,
            priority=completion.priority,
            run=run,
        )
        if attempt_id:
            self._generations[attempt_id] = generation
        return generation

    async def _get_resume(self, request: web.Request) -> web.StreamResponse:
        generation = self._generations.get(request.match_info["attempt_id"])
        if generation is None:
            return json_answer({"detail": "attempt is not known"}, status=404)
        return await stream(
            request,
            generation,
            faults=self.faults,
            n_sent=_query_int(request, "from_token"),
            is_cut=False,
        )

    async def _post_cancel(self, request: web.Request) -> web.Response:
        generation = self._generations.get(request.match_info["attempt_id"])
        if generation is None:
            return json_answer({"detail": "attempt is not known"}, status=404)
        generation.end(Outcome.CANCELLED)
        is_cancelled = generation.run.outcome is Outcome.CANCELLED
        return json_answer({"cancelled": is_cancelled})

    async def _get_kv(self, request: web.Request) -> web.Response:
        generation = self._generations.get(request.match_info["attempt_id"])
        if generation is None:
            return json_answer({"detail": "attempt is not known"}, status=404)
        body = orjson.dumps(generation.hashes)
        return web.Response(body=body, content_type="application/octet-stream")

    async def _put_kv(self, request: web.Request) -> web.Response:
        try:
            hashes = orjson.loads(await request.read())
        except orjson.JSONDecodeError:
            return json_answer({"detail": "not an exported KV cache"}, status=400)
        self.cache.store(hashes)
        return json_answer({"n_blocks": len(hashes)})

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        until_s = self.faults.visible_s(self.model.cache_event_lag_s)
        after = _query_int(request, "after")
        events = self.cache.events(after=after, until_s=until_s)
        return json_answer(
            {
                "seq": events[-1].seq if events else after,
                "events": [
                    {
                        "seq": each.seq,
                        "kind": each.kind,
                        "prefix_hash": each.prefix_hash,
                    }
                    for each in events
                ],
            }
        )

    async def _get_load(self, _: web.Request) -> web.Response:
        reported_s = self.faults.visible_s(self.model.load_lag_s)
        load = self.batch.load.at(reported_s)
        return json_answer(
            {
                "n_running": load.n_running,
                "n_waiting": load.n_waiting,
                "age_s": time.monotonic() - reported_s,
            }
        )


def _query_int(request: web.Request, name: str) -> int:
    text = request.query.get(name, "0")
    return int(text) if text.isdigit() else 0
