"""Copies of runs that stand-in workers send to one another as the runs grow."""

import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Final

import aiohttp
import orjson
from aiohttp import web

from ..web import json_answer

PARTS_PATH: Final = "/standin/copy-parts"
"""Path of the stand-ins only; how workers send copies is not published."""

KEEP_S: Final = 3.0
"""Time for which a copy is kept after its last part."""

SEND_TIMEOUT_S: Final = 0.5
"""Longest wait for a worker to take a part; the run goes on without it."""

NO_ROOM_STATUS: Final = 507


@dataclass(frozen=True, slots=True, kw_only=True)
class CopiedRun:
    """What has arrived of the copy of a run.

    Parameters
    ----------
    n_events : int
        Events of the run that the copy covers.
    software_version : str
        Version of the worker that runs it.
    until_s : float
        Monotonic time until which the copy is kept.
    """

    n_events: int
    software_version: str
    until_s: float


class RunCopies:
    """The copies that a worker holds, and those that it sends.

    Attributes
    ----------
    held : dict of str to CopiedRun
        Copies by the id of their runs.
    max_events : int
        Events after which no more parts of a run are taken, for lack of room.
    n_parts : int
        Parts that have arrived.
    n_read : dict of str to int
        Events that were missing in a copy when its run went on, by the id of the run.
    has_room : bool
        False takes no part of any run.
    """

    __slots__ = ("has_room", "held", "max_events", "n_parts", "n_read")

    def __init__(self) -> None:
        self.held: dict[str, CopiedRun] = {}
        self.max_events = 10**9
        self.n_parts = 0
        self.n_read: dict[str, int] = {}
        self.has_room = True

    def get(self, run_id: str, software_version: str) -> CopiedRun | None:
        """Return the copy of a run of this version; None if there is none."""
        found = self.held.get(run_id)
        if found is None or time.monotonic() >= found.until_s:
            return None
        return found if found.software_version == software_version else None

    def add_routes(self, app: web.Application) -> None:
        """Let the application take parts of copies."""
        app.router.add_post(PARTS_PATH, self._take)
        app.router.add_delete(PARTS_PATH, self._drop)

    async def _take(self, request: web.Request) -> web.Response:
        part = orjson.loads(await request.read())
        if not self.has_room or part["n_events"] > self.max_events:
            return json_answer({}, status=NO_ROOM_STATUS)
        self.n_parts += 1
        self.held[part["run"]] = CopiedRun(
            n_events=part["n_events"],
            software_version=part["version"],
            until_s=time.monotonic() + KEEP_S,
        )
        return json_answer({})

    async def _drop(self, request: web.Request) -> web.Response:
        self.held.pop(orjson.loads(await request.read())["run"], None)
        return json_answer({})


class CopySender:
    """Sends the copy of one run.

    Parameters
    ----------
    client : aiohttp.ClientSession
        For requests to the other worker.
    address : str
        ``ip:port`` of the worker that gets the copy; empty for no copy.
    run_id, software_version : str
        The run, and the version of the worker that runs it.
    """

    __slots__ = ("_address", "_client", "_run_id", "_software_version")

    def __init__(
        self,
        *,
        client: aiohttp.ClientSession,
        address: str,
        run_id: str,
        software_version: str,
    ) -> None:
        self._client = client
        self._address = address
        self._run_id = run_id
        self._software_version = software_version

    async def send(self, n_events: int) -> None:
        """Send the part that covers the first `n_events` events."""
        await self._call(
            "POST",
            {
                "run": self._run_id,
                "n_events": n_events,
                "version": self._software_version,
            },
        )

    async def drop(self) -> None:
        """Have the copy dropped, as the run has ended successfully."""
        await self._call("DELETE", {"run": self._run_id})

    async def _call(self, method: str, body: dict[str, Any]) -> None:
        if not self._address:
            return
        url = f"http://{self._address}{PARTS_PATH}"
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self._client.request(method, url, data=orjson.dumps(body)):
                pass


@contextlib.asynccontextmanager
async def sending(
    address: str, run_id: str, software_version: str
) -> AsyncIterator[CopySender]:
    """Yield the sender of a copy, after the first part was sent."""
    timeout = aiohttp.ClientTimeout(total=SEND_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as client:
        sender = CopySender(
            client=client,
            address=address,
            run_id=run_id,
            software_version=software_version,
        )
        await sender.send(0)
        yield sender
