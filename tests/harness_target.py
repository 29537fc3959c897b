"""A target of the harness that echoes its input and records its runs."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import orjson
from aiohttp import web


@dataclass(slots=True, kw_only=True)
class Run:
    """One call that a target ran, as recorded by the target."""

    request_id: str
    attempt_id: str
    text: str
    is_done: bool = False


class Target:
    """A target that echoes its input and records each run."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = 0
        self.runs: list[Run] = []
        self.service_s = 0.0
        self.gate = asyncio.Event()
        self.gate.set()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["Target"]:
        app = web.Application(client_max_size=1 << 26)
        app.router.add_get("/health", self._health)
        app.router.add_post("/run", self._run)
        runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port = runner.addresses[0][1]
        try:
            yield self
        finally:
            self.gate.set()
            await runner.cleanup()

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response()

    async def _run(self, request: web.Request) -> web.Response:
        payload = orjson.loads(await request.read())
        run = Run(
            request_id=request.headers["X-Request-Id"],
            attempt_id=request.headers["X-Attempt-Id"],
            text=_text_of(payload),
        )
        self.runs.append(run)
        await self.gate.wait()
        if self.service_s:
            await asyncio.sleep(self.service_s)
        run.is_done = True
        return web.json_response({"echo": run.text}, headers={"X-Cost-S": "0.01"})


def _text_of(payload: Any) -> str:
    previous = payload.get("previous")
    if isinstance(previous, dict):
        return str(previous["echo"])
    value = payload["input"]
    return str(value["text"]) if isinstance(value, dict) else str(value)
