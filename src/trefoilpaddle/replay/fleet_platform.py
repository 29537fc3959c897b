"""The platform of a measured fleet: values and hosts, served from memory."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any, Final

import orjson
from aiohttp import web

MAX_PAGE_BYTES: Final = 1_000_000


class FleetPlatform:
    """Publishes values and a host list on loopback and counts what is read."""

    def __init__(self) -> None:
        self._items: dict[str, bytes] = {}
        self._revisions: dict[str, int] = {}
        self._hosts: list[dict[str, Any]] = []
        self._hosts_revision = 1
        self._changed = asyncio.Event()
        self.revision = 0
        self.url = ""

    def publish(self, key: str, value: object) -> int:
        """Set `key` and return the revision."""
        self.revision += 1
        self._revisions.pop(key, None)
        self._revisions[key] = self.revision
        self._items[key] = orjson.dumps(
            {"key": key, "revision": self.revision, "value": value}
        )
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def list_hosts(self, hosts: list[dict[str, Any]]) -> None:
        """Publish `hosts` as the host list."""
        self._hosts = hosts
        self._hosts_revision += 1

    def _page(self, after: int) -> web.Response:
        items: list[bytes] = []
        size_bytes = 0
        is_cut = False
        for key, revision in self._revisions.items():
            if revision <= after:
                continue
            if size_bytes > MAX_PAGE_BYTES:
                is_cut = True
                break
            items.append(self._items[key])
            size_bytes += len(self._items[key])
        more = b"true" if is_cut else b"false"
        body = b'{"revision":%d,"more":%s,"items":[%s]}' % (
            self.revision,
            more,
            b",".join(items),
        )
        return web.Response(body=body, content_type="application/json")

    async def _values(self, request: web.Request) -> web.Response:
        return self._page(int(request.query["after"]))

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        changed = self._changed
        if after >= self.revision:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(float(request.query["timeout_s"])):
                    await changed.wait()
        return self._page(after)

    async def _list(self, request: web.Request) -> web.Response:
        body = orjson.dumps({"revision": self._hosts_revision, "hosts": self._hosts})
        return web.Response(body=body, content_type="application/json")

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["FleetPlatform"]:
        """Serve on a free port while the context is open."""
        app = web.Application()
        app.router.add_get("/v1/values", self._values)
        app.router.add_get("/v1/watch", self._watch)
        app.router.add_get("/v1/hosts", self._list)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        try:
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            ip, port = runner.addresses[0][:2]
            self.url = f"http://{ip}:{port}"
            yield self
        finally:
            await runner.cleanup()
