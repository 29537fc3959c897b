"""Reads which models a target reports as loaded."""

import asyncio
from typing import Final

import orjson
from aiohttp import ClientError

from ...transport.target_http import TargetHttp

PATH: Final = "/v1/models"

TIMEOUT_S: Final = 2.0
"""Longest wait for the list of models of a target."""


async def read_loaded(http: TargetHttp) -> frozenset[str]:
    """Return the models that the target reports as loaded; none if it reports none.

    A loaded model that is not reported is ordered again, which is harmless.
    """
    try:
        async with asyncio.timeout(TIMEOUT_S), http.get(PATH) as response:
            body = await response.read()
            if not response.ok:
                return frozenset()
        return _names_in(orjson.loads(body))
    except (ClientError, OSError, TimeoutError, orjson.JSONDecodeError):
        return frozenset()


def _names_in(body: object) -> frozenset[str]:
    match body:
        case {"models": dict(models)}:
            return frozenset(str(name) for name in models)
        case {"data": list(models)}:
            return frozenset(
                str(m["id"]) for m in models if isinstance(m, dict) and "id" in m
            )
        case _:
            return frozenset()
