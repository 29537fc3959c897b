"""The platform of a measured fleet: stand-ins served by the measuring process."""

import contextlib
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web

from ..standins.config import Config
from ..standins.hosts import Hosts

LOOPBACK: Final = "127.0.0.1"


class FleetPlatform:
    """Publishes values and a host list on loopback and counts the reads."""

    __slots__ = ("config", "config_url", "hosts", "hosts_url")

    def __init__(self) -> None:
        self.config = Config()
        self.hosts = Hosts()
        self.config_url = ""
        self.hosts_url = ""

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["FleetPlatform"]:
        """Serve on free ports while the context is open."""
        async with (
            _serving(self.config.application()) as config_url,
            _serving(self.hosts.application()) as hosts_url,
        ):
            self.config_url = config_url
            self.hosts_url = hosts_url
            yield self


@contextlib.asynccontextmanager
async def _serving(application: web.Application) -> AsyncIterator[str]:
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    try:
        await web.TCPSite(runner, LOOPBACK, 0).start()
        yield f"http://{LOOPBACK}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
