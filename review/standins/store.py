"""Stand-in of the platform's store: ranges, watches, entries that expire.

Workers and the operator write with ``PUT /write?key=KEY``; a worker's entry is removed
after three heartbeat intervals of silence.
"""

import asyncio
import base64
import contextlib
import json
import time

from . import http11

HEARTBEAT_S = 1.2
EXPIRES_S = 3 * HEARTBEAT_S


class Store:
    """Items by key, with one counter of revisions and the events since the start."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.written_s: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task | None = None

    def put(self, key: str, value: object) -> int:
        """Write an item; the return is the confirmation."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)
        self.written_s[key] = time.monotonic()
        self._notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self.events.append(event)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_change(self, longest_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                await self._changed.wait()

    async def open(self, ip: str, port: int) -> str:
        """Serve; return the address."""
        self._server = await http11.serve(self._handle, ip, port)
        self._expiry = asyncio.create_task(self._expire())
        return f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.close()
        if self._expiry is not None:
            self._expiry.cancel()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for key in [k for k in self.items if k.startswith("servers/")]:
                if now_s - self.written_s[key] > EXPIRES_S:
                    self.remove(key)

    async def _handle(
        self, request: http11.Request, writer: asyncio.StreamWriter
    ) -> None:
        query = request.query
        if request.method == "PUT" and request.path == "/write":
            self.put(query["key"], json.loads(request.body))
            await http11.send(writer, 200)
        elif request.path == "/trefoilpaddle/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys]
            await self._answer(writer, {"items": items, "has_more": False})
        elif request.path == "/trefoilpaddle/kv-watch":
            after = int(query["after"])
            if self.revision <= after:
                await self._wait_for_change(int(query.get("wait_ms", "0")) / 1000)
            prefix = query.get("prefix", "")
            events = [
                event
                for event in self.events[max(0, len(self.events) - 5000) :]
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            await self._answer(writer, {"events": events})
        else:
            await http11.send(writer, 404)

    async def _answer(self, writer: asyncio.StreamWriter, fields: dict) -> None:
        body = json.dumps(fields | {"store_revision": self.revision}).encode()
        await http11.send(writer, 200, body, {"Content-Type": "application/json"})
