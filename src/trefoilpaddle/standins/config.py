"""Stand-in for the configuration service: reads and watches with a rate limit."""

import asyncio
import time
from dataclasses import asdict, dataclass
from typing import Final

import orjson
from aiohttp import web

from .faults import Faults
from .record import Record
from .revisions import MAX_VALUE_BYTES, Revisions
from .web import faulty_application, json_answer

_POLL_S: Final = 0.05
_MAX_WATCH_S: Final = 60.0


@dataclass(slots=True, kw_only=True)
class Reads:
    """Counts of readers' calls since the start; a waiting watch counts as one.

    Parameters
    ----------
    n_reads, n_watches : int
        Calls that were admitted.
    n_refused : int
        Calls that exceeded the rate.
    n_bytes : int
        Bytes of values that were sent.
    """

    n_reads: int = 0
    n_watches: int = 0
    n_refused: int = 0
    n_bytes: int = 0


class Config:
    """The configuration service.

    Parameters
    ----------
    start_revision : int
        Revision before the first change. A lower one than before simulates a
        service that was restored from an old backup.
    reads_per_s : float
        Rate limit for all readers together, in calls per second.
    lag_s : float
        Delay with which a change is published.
    """

    __slots__ = (
        "_changed",
        "_lag_s",
        "_reads_per_s",
        "_refilled_s",
        "_tokens",
        "faults",
        "reads",
        "record",
        "revisions",
    )

    def __init__(
        self,
        *,
        start_revision: int = 0,
        reads_per_s: float = 2000.0,
        lag_s: float = 0.0,
    ) -> None:
        self.faults = Faults()
        self.record = Record()
        self.reads = Reads()
        self.revisions = Revisions(start=start_revision)
        self._reads_per_s = reads_per_s
        self._lag_s = lag_s
        self._tokens = reads_per_s
        self._refilled_s = time.monotonic()
        self._changed = asyncio.Event()
        self.faults.subscribe(self._notify_watches)

    def application(self) -> web.Application:
        """Return the HTTP application of the configuration service."""
        app = faulty_application(faults=self.faults, record=self.record)
        app.router.add_get("/v1/values", self._get_values)
        app.router.add_get("/v1/watch", self._get_watch)
        app.router.add_put("/admin/values/{key:.+}", self._put_value)
        app.router.add_delete("/admin/values/{key:.+}", self._delete_value)
        app.router.add_get("/admin/reads", self._get_reads)
        return app

    def publish(self, key: str, value: object) -> int:
        """Publish `value` under `key`, or delete it if None; return the revision."""
        encoded = b"" if value is None else orjson.dumps(value)
        revision = self.revisions.publish(key, encoded)
        self._notify_watches()
        return revision

    async def _get_values(self, request: web.Request) -> web.Response:
        if not self._take_token():
            return _refuse_over_rate()
        self.reads.n_reads += 1
        return self._answer(_after(request), self._visible())

    async def _get_watch(self, request: web.Request) -> web.Response:
        if not self._take_token():
            return _refuse_over_rate()
        self.reads.n_watches += 1
        after = _after(request)
        end_s = time.monotonic() + _timeout_s(request)
        while (left_s := end_s - time.monotonic()) > 0.0:
            if self.faults.is_down:
                return json_answer({"detail": "down"}, status=503)
            if self._visible() > after:
                break
            # The event is not set when a change becomes visible because its lag has
            # passed or a fault has expired, so the revision is polled.
            await _wait(self._changed, min(left_s, _POLL_S))
        return self._answer(after, self._visible())

    def _answer(self, after: int, until: int) -> web.Response:
        page = self.revisions.page(after=after, until=until)
        body = page.as_json()
        self.reads.n_bytes += len(body)
        return web.Response(body=body, content_type="application/json")

    async def _put_value(self, request: web.Request) -> web.Response:
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            return json_answer({"detail": "value is over 1 MB"}, status=413)
        try:
            value = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return json_answer({"detail": str(error)}, status=400)
        if not isinstance(value, dict):
            return json_answer({"detail": "value is not an object"}, status=400)
        revision = self.publish(request.match_info["key"], value)
        return json_answer({"revision": revision})

    async def _delete_value(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if not self.revisions.has(key):
            return json_answer({"detail": f"{key} has no value"}, status=404)
        return json_answer({"revision": self.publish(key, None)})

    async def _get_reads(self, _: web.Request) -> web.Response:
        return json_answer(asdict(self.reads))

    def _visible(self) -> int:
        return self.revisions.visible(self.faults.visible_s(self._lag_s))

    def _take_token(self) -> bool:
        now = time.monotonic()
        gained = (now - self._refilled_s) * self._reads_per_s
        self._tokens = min(self._reads_per_s, self._tokens + gained)
        self._refilled_s = now
        if self._tokens < 1.0:
            self.reads.n_refused += 1
            return False
        self._tokens -= 1.0
        return True

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return


def _after(request: web.Request) -> int:
    text = request.query.get("after", "0")
    return int(text) if text.lstrip("-").isdigit() else 0


def _timeout_s(request: web.Request) -> float:
    try:
        return min(_MAX_WATCH_S, float(request.query.get("timeout_s", "30")))
    except ValueError:
        return _MAX_WATCH_S


def _refuse_over_rate() -> web.Response:
    return json_answer(
        {"detail": "over the read rate"}, status=429, headers={"Retry-After": "1"}
    )
