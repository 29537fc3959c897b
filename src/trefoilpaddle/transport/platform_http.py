"""HTTP client for what the platform publishes: configuration and host list."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Final

import aiohttp
import orjson
from result import Err, Ok, Result

from ..protocol.errors import PeerError
from .checked_response import CheckedResponse

READ_TIMEOUT_S: Final = 5.0
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
"""Largest accepted response; a page holds at most one megabyte of values."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedValue:
    """One value of the configuration service.

    Parameters
    ----------
    key : str
        Its key.
    revision : int
        Revision of the service that set or deleted the value.
    value : bytes or None
        JSON of the value; None if it was deleted.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ValuesPage:
    """One page of changed values.

    Parameters
    ----------
    revision : int
        Current revision of the service.
    values : tuple of PublishedValue
        The changes in order of revision.
    has_more : bool
        True if more changes follow after the last value.
    """

    revision: int
    values: tuple[PublishedValue, ...]
    has_more: bool


class PlatformClient:
    """Client of the configuration service and the host list.

    Parameters
    ----------
    config_url, hosts_url : str
        Base URLs of the two services.
    session : aiohttp.ClientSession
        Session used for the calls.

    Attributes
    ----------
    n_reads : int
        Number of calls to the configuration service, including failed ones.
    n_host_reads : int
        Number of calls to the host list, including failed ones.
    """

    __slots__ = ("_config_url", "_hosts_url", "_session", "n_host_reads", "n_reads")

    def __init__(
        self, *, config_url: str, hosts_url: str, session: aiohttp.ClientSession
    ) -> None:
        self._config_url = config_url
        self._hosts_url = hosts_url
        self._session = session
        self.n_reads = 0
        self.n_host_reads = 0

    async def values(self, *, after: int) -> Result[ValuesPage, PeerError]:
        """Return the first page of the changes after revision `after`."""
        self.n_reads += 1
        return await self._page(
            f"{self._config_url}/v1/values?after={after}", timeout_s=READ_TIMEOUT_S
        )

    async def watch(
        self, *, after: int, timeout_s: float
    ) -> Result[ValuesPage, PeerError]:
        """Return changes after revision `after` as soon as there are any.

        Parameters
        ----------
        after : int
            Last revision that the caller has.
        timeout_s : float
            Longest time in seconds that the service waits for a change; it then
            returns an empty page.
        """
        self.n_reads += 1
        return await self._page(
            f"{self._config_url}/v1/watch?after={after}&timeout_s={timeout_s:g}",
            timeout_s=timeout_s + READ_TIMEOUT_S,
        )

    async def hosts(self) -> Result[bytes, PeerError]:
        """Return the host list as published, in JSON."""
        self.n_host_reads += 1
        return await self._get(f"{self._hosts_url}/v1/hosts", timeout_s=READ_TIMEOUT_S)

    async def _page(
        self, url: str, *, timeout_s: float
    ) -> Result[ValuesPage, PeerError]:
        match await self._get(url, timeout_s=timeout_s):
            case Ok(body):
                return _read_page(url, body)
            case Err(error):
                return Err(error)

    async def _get(self, url: str, *, timeout_s: float) -> Result[bytes, PeerError]:
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.get(url) as response,
            ):
                if response.status != 200:
                    return _failed("answer", url, f"status {response.status}")
                return await _bounded_body(url, response)
        except TimeoutError:
            return _failed("wait", url, f"no answer in {timeout_s:g} s")
        except (aiohttp.ClientError, OSError) as error:
            return _failed("connect", url, str(error) or type(error).__name__)


async def _bounded_body(
    url: str, response: aiohttp.ClientResponse
) -> Result[bytes, PeerError]:
    parts: list[bytes] = []
    n_bytes = 0
    async for part in response.content.iter_any():
        n_bytes += len(part)
        if n_bytes > MAX_ANSWER_BYTES:
            return _failed("read", url, f"answer over {MAX_ANSWER_BYTES} bytes")
        parts.append(part)
    return Ok(b"".join(parts))


def _read_page(url: str, body: bytes) -> Result[ValuesPage, PeerError]:
    try:
        page = orjson.loads(body)
        values = tuple(_read_item(item) for item in page["items"])
        return Ok(
            ValuesPage(
                revision=int(page["revision"]),
                values=values,
                has_more=bool(page.get("more", False)),
            )
        )
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return _failed("decode", url, f"not a page of values: {error!r}")


def _read_item(item: Any) -> PublishedValue:
    value = item["value"]
    return PublishedValue(
        key=str(item["key"]),
        revision=int(item["revision"]),
        value=None if value is None else orjson.dumps(value),
    )


def _failed(step: str, url: str, detail: str) -> Err[PeerError]:
    return Err(PeerError(step=step, peer=url, detail=detail, is_sent=True))


@contextlib.asynccontextmanager
async def platform_client(
    *, config_url: str, hosts_url: str
) -> AsyncIterator[PlatformClient]:
    """Yield a client whose connections are closed on exit from the context."""
    async with aiohttp.ClientSession(response_class=CheckedResponse) as session:
        yield PlatformClient(
            config_url=config_url, hosts_url=hosts_url, session=session
        )
