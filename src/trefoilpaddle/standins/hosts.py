"""Stand-in for the platform's list of live and leaving hosts, published late."""

from dataclasses import dataclass

import orjson
from aiohttp import web

from .faults import Faults
from .lagged import Lagged
from .record import Record
from .web import faulty_application, json_answer


@dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """The host list at one revision; `hosts` is JSON."""

    revision: int = 0
    hosts: bytes = b"[]"


class Hosts:
    """The host list.

    Parameters
    ----------
    start_revision : int
        Revision before the first change.
    lag_s : float
        Delay with which a change is published.
    """

    __slots__ = ("_lag_s", "faults", "listing", "record")

    def __init__(self, *, start_revision: int = 0, lag_s: float = 0.0) -> None:
        self.faults = Faults()
        self.record = Record()
        self.listing = Lagged(initial=Listing(revision=start_revision))
        self._lag_s = lag_s

    def application(self) -> web.Application:
        """Return the HTTP application of the host list."""
        app = faulty_application(faults=self.faults, record=self.record)
        app.router.add_get("/v1/hosts", self._get_hosts)
        app.router.add_put("/admin/hosts", self._put_hosts)
        return app

    def publish(self, hosts: list[dict[str, object]]) -> int:
        """Publish `hosts` and return the list's revision."""
        revision = self.listing.latest.revision + 1
        self.listing.set(Listing(revision=revision, hosts=orjson.dumps(hosts)))
        return revision

    async def _get_hosts(self, _: web.Request) -> web.Response:
        listing = self.listing.at(self.faults.visible_s(self._lag_s))
        hosts = orjson.Fragment(listing.hosts)
        return json_answer({"revision": listing.revision, "hosts": hosts})

    async def _put_hosts(self, request: web.Request) -> web.Response:
        try:
            body = orjson.loads(await request.read())
        except orjson.JSONDecodeError as error:
            return json_answer({"detail": str(error)}, status=400)
        hosts = body.get("hosts") if isinstance(body, dict) else None
        if not isinstance(hosts, list):
            return json_answer({"detail": 'send {"hosts": [...]}'}, status=400)
        return json_answer({"revision": self.publish(hosts)})
