"""Run a gateway of the platform that dials its peers through a relay."""

import asyncio
import os
import runpy
from typing import Any, Final

RELAY: Final = os.environ["CUT_NETWORK_RELAY"]

_open_connection = asyncio.open_connection


async def _dial(host: str, port: int, **options: Any) -> Any:
    ip, relay_port = RELAY.rsplit(":", 1)
    reader, writer = await _open_connection(ip, int(relay_port), **options)
    writer.write(f"{host}:{port}\n".encode())
    return reader, writer


asyncio.open_connection = _dial  # type: ignore[assignment]
runpy.run_path("platform", run_name="__main__")
