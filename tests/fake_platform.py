"""Fake configuration service and host list with failures, for tests."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import orjson
from aiohttp import web
from aiohttp.test_utils import TestServer

from trefoilpaddle.state.settings import PlatformSettings


class FakePlatform:
    """Serves values and hosts; tests set its attributes."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[int, object]] = {}
        self.revision = 0
        self.hosts: dict[str, Any] = {"revision": 1, "hosts": []}
        self.is_down = False
        self.frozen: bytes | None = None
        self.n_reads = 0
        self.url = ""
        self._changed = asyncio.Event()

    def publish(self, key: str, value: object) -> int:
        """Set `key`, or delete it if `value` is None, and return the revision."""
        self.revision += 1
        self.values[key] = (self.revision, value)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def freeze(self) -> None:
        """Keep serving the present state, whatever is published later."""
        self.frozen = self._page(0)

    def _page(self, after: int) -> bytes:
        changed = [
            {"key": key, "revision": revision, "value": value}
            for key, (revision, value) in self.values.items()
            if revision > after
        ]
        changed.sort(key=lambda item: item["revision"])  # type: ignore[arg-type,return-value]
        return orjson.dumps({"revision": self.revision, "items": changed})

    async def read(self, request: web.Request) -> web.Response:
        self.n_reads += 1
        if self.is_down:
            raise web.HTTPServiceUnavailable
        if self.frozen is not None:
            return web.Response(body=self.frozen)
        return web.Response(body=self._page(int(request.query["after"])))

    async def watch(self, request: web.Request) -> web.Response:
        self.n_reads += 1
        if self.is_down:
            raise web.HTTPServiceUnavailable
        after = int(request.query["after"])
        changed = self._changed
        if after >= self.revision or self.frozen is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(float(request.query["timeout_s"])):
                    await changed.wait()
        if self.frozen is not None:
            return web.Response(body=self.frozen)
        return web.Response(body=self._page(after))

    async def list_hosts(self, request: web.Request) -> web.Response:
        if self.is_down:
            raise web.HTTPServiceUnavailable
        return web.Response(body=orjson.dumps(self.hosts))

    def settings(self, *, poll_s: float = 0.2, n_readers: int = 1) -> PlatformSettings:
        """Return settings that refer to this platform."""
        return PlatformSettings(
            config_url=self.url, hosts_url=self.url, poll_s=poll_s, n_readers=n_readers
        )

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["FakePlatform"]:
        """Serve on a free port while the context is open."""
        app = web.Application()
        app.router.add_get("/v1/values", self.read)
        app.router.add_get("/v1/watch", self.watch)
        app.router.add_get("/v1/hosts", self.list_hosts)
        async with TestServer(app) as server:
            self.url = f"http://{server.host}:{server.port}"
            yield self
