"""HTTP functions that all stand-ins share: faults, record, serving."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final, Protocol

import orjson
from aiohttp import web
from pydantic import TypeAdapter, ValidationError

from .faults import Fault, Faults
from .record import Record

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
_EXEMPT_PATHS: Final = frozenset({"/fault", "/record"})
_ADMIN_PREFIX: Final = "/admin/"
_FAULT: Final = TypeAdapter(Fault)


class StandIn(Protocol):
    """A stand-in that can be served."""

    def application(self) -> web.Application:
        """Return the HTTP application of the stand-in."""
        ...


def json_answer(
    value: object, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return `value` as a JSON response."""
    return web.Response(
        body=orjson.dumps(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def not_run(detail: str, *, status: int = 503) -> web.Response:
    """Return the answer that refuses a call that was not run."""
    return json_answer({"detail": detail}, status=status, headers={"X-Not-Run": "1"})


def faulty_application(*, faults: Faults, record: Record) -> web.Application:
    """Return an application with ``/fault``, ``/record`` and ``/health``."""

    @web.middleware
    async def apply_faults(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path in _EXEMPT_PATHS or request.path.startswith(_ADMIN_PREFIX):
            return await handler(request)
        await faults.wait_unpaused()
        if faults.is_down:
            return not_run("down")
        return await handler(request)

    async def post_fault(request: web.Request) -> web.Response:
        try:
            faults.set(_FAULT.validate_json(await request.read()))
        except ValidationError as error:
            return json_answer({"detail": str(error)}, status=400)
        return json_answer({})

    async def get_record(_: web.Request) -> web.Response:
        return json_answer(record.as_json())

    async def delete_record(_: web.Request) -> web.Response:
        record.clear()
        return json_answer({})

    async def get_health(_: web.Request) -> web.Response:
        return json_answer({"status": "ok"})

    app = web.Application(middlewares=[apply_faults], client_max_size=MAX_BODY_BYTES)
    app.router.add_post("/fault", post_fault)
    app.router.add_get("/record", get_record)
    app.router.add_delete("/record", delete_record)
    app.router.add_get("/health", get_health)
    return app


def abort_connection(request: web.Request) -> None:
    """Abort the connection of `request` without a closing handshake."""
    if request.transport is not None:
        request.transport.abort()


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, *, ip: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serve `app` while the context is open and yield its base URL.

    Parameters
    ----------
    app : web.Application
        Application to serve.
    ip : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    """
    runner = web.AppRunner(
        app, handler_cancellation=True, access_log=None, shutdown_timeout=0.5
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, ip, port).start()
        bound = runner.addresses[0]
        yield f"http://{bound[0]}:{bound[1]}"
    finally:
        await runner.cleanup()


async def serve_process(app: web.Application, *, listen: str) -> None:
    """Serve `app` at ``ip:port`` until SIGTERM or SIGINT; print the address."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    ip, _, port = listen.rpartition(":")
    async with serving(app, ip=ip, port=int(port)) as base_url:
        print(f"listening {base_url.removeprefix('http://')}", flush=True)
        await stopping.wait()
