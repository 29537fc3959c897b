"""HTTP client of the command line for the operators' port of a process."""

import asyncio
from dataclasses import dataclass
from typing import Final

import aiohttp
from result import Err, Ok, Result

TIMEOUT_S: Final = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """HTTP answer of a process."""

    status: int
    body: bytes


def get(at: str, path: str) -> Result[Reply, str]:
    """Return the answer to ``GET path`` at the URL `at`, or a message for the user."""
    return asyncio.run(_get(at.rstrip("/") + path))


async def _get(url: str) -> Result[Reply, str]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            return Ok(Reply(status=response.status, body=await response.read()))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return Err(
            f"{url}: no answer ({error or type(error).__name__}); name with --at the"
            " operators_listen address of a running process, as http://IP:PORT"
        )
