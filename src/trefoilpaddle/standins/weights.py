"""Stand-in for the weight store: sends bytes at a limited rate."""

import asyncio
import math
from typing import Final

from aiohttp import web

from .faults import Faults
from .pace import Pace
from .record import Outcome, Record
from .web import faulty_application, json_answer

_CHUNK_BYTES: Final = 64 * 1024


class Weights:
    """The weight store.

    Parameters
    ----------
    size_bytes : int
        Size of the weights of each model.
    bytes_per_s : float
        Rate of one download.
    max_readings : int
        Largest number of concurrent downloads; others are refused with 429.
    time_scale : float
        Factor for the duration of a download.
    """

    __slots__ = (
        "_bytes_per_s",
        "_max_downloads",
        "_n_downloads",
        "_pace",
        "_size_bytes",
        "faults",
        "record",
    )

    def __init__(
        self,
        *,
        size_bytes: int = 1024 * 1024,
        bytes_per_s: float = 4 * 1024 * 1024,
        max_readings: int = 2,
        time_scale: float = 1.0,
    ) -> None:
        self.faults = Faults()
        self.record = Record()
        self._size_bytes = size_bytes
        self._bytes_per_s = bytes_per_s
        self._max_downloads = max_readings
        self._n_downloads = 0
        self._pace = Pace(time_scale=time_scale, jitter=0.0, seed=0, faults=self.faults)

    def application(self) -> web.Application:
        """Return the HTTP application of the weight store."""
        app = faulty_application(faults=self.faults, record=self.record)
        app.router.add_get("/v1/weights/{name}", self._get_weights)
        return app

    async def _get_weights(self, request: web.Request) -> web.StreamResponse:
        if self._n_downloads >= self._max_downloads:
            wait_s = math.ceil(self._pace.seconds(self._size_bytes / self._bytes_per_s))
            headers = {"Retry-After": str(max(1, wait_s))}
            return json_answer({"detail": "too many"}, status=429, headers=headers)
        run = self.record.begin(
            request_id=request.headers.get("X-Request-Id", ""),
            attempt_id=request.headers.get("X-Attempt-Id", ""),
            path=request.path,
            input_digest="",
        )
        self._n_downloads += 1
        try:
            response = await self._send(request)
            run.end(Outcome.DONE)
        finally:
            self._n_downloads -= 1
            if run.outcome is Outcome.RUNNING:
                run.end(Outcome.CANCELLED)
        return response

    async def _send(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "application/octet-stream"
        response.content_length = self._size_bytes
        await response.prepare(request)
        n_bytes_left = self._size_bytes
        while n_bytes_left > 0:
            n_bytes = min(n_bytes_left, _CHUNK_BYTES)
            await asyncio.sleep(self._pace.seconds(n_bytes / self._bytes_per_s))
            await response.write(bytes(n_bytes))
            n_bytes_left -= n_bytes
        await response.write_eof()
        return response
