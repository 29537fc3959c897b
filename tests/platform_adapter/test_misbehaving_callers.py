"""Crowds of callers that hold memory and connections of a real gateway."""

import asyncio
import contextlib
import resource
import signal
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from typing import Final

import aiohttp
import psutil
import pytest

from trefoilpaddle.standins.platform.gateway_process import (
    GatewayProcess,
    gateways,
    headers,
)
from trefoilpaddle.standins.platform.site import HOST, IP, KEY, Site, small_site

from ..waiting import CAP_S, until

MEMORY_MB: Final = 200
"""Memory of the gateway's machine."""

N_DESCRIPTORS: Final = 300
"""Descriptors that the gateway may have open."""

N_LARGE: Final = 60
LARGE_BYTES: Final = 4 * 1024 * 1024
"""Bodies of a crowd, each as large as is allowed."""

N_MANY: Final = 600
MANY_LIMITS: Final = {"memory_mb": 300, "file_descriptors": 4100}
"""A large crowd, and the machine of a gateway that it meets."""

PART_BYTES: Final = 64 * 1024
N_IDLE: Final = 400
N_AHEAD: Final = 4
N_REQUESTS: Final = 15000
"""Connections on which requests are sent ahead, and requests on each."""

BUFFER_BYTES: Final = 4096
"""Receive buffer of callers that do not read, so that the kernel holds little."""

ORDINARY_BYTES: Final = 20_000
SLOW_WORK_S: Final = 5.0
SETTLE_S: Final = 2.0
"""Time for the gateway to read what workers answer."""

RETRY_S: Final = 0.2

Send = Callable[[int], Sequence[bytes]]
"""Returns what one caller of a crowd sends, by its number."""

HEAD: Final = (
    f"Host: {HOST}\r\nTrefoilpaddle-Credential: {KEY}\r\n"
    "Trefoilpaddle-Deadline-Milliseconds: 20000\r\n"
)


def _head(number: int, framing: str, *, path: str = "hold") -> bytes:
    return (
        f"POST /{path}/1 HTTP/1.1\r\n{HEAD}"
        f"Trefoilpaddle-Attempt-Id: {number:016x}\r\n{framing}\r\n\r\n"
    ).encode()


def _whole(number: int) -> Sequence[bytes]:
    return (_head(number, f"Content-Length: {LARGE_BYTES}"), bytes(LARGE_BYTES))


def _cut_short(number: int) -> Sequence[bytes]:
    return (_head(number, f"Content-Length: {LARGE_BYTES}"), bytes(LARGE_BYTES - 1))


def _in_parts(number: int) -> Sequence[bytes]:
    part = f"{PART_BYTES:x}\r\n".encode() + bytes(PART_BYTES) + b"\r\n"
    n_parts = LARGE_BYTES // PART_BYTES
    return (_head(number, "Transfer-Encoding: chunked"), *[part] * n_parts)


def _ahead(number: int) -> Sequence[bytes]:
    return [_head(number, "Content-Length: 0", path="price")] * N_REQUESTS


def _asks(number: int) -> Sequence[bytes]:
    return (_head(number, "Content-Length: 0", path="price"),)


def _nothing(number: int) -> Sequence[bytes]:
    return ()


@contextlib.asynccontextmanager
async def crowd(
    gateway: GatewayProcess,
    sends: Sequence[Sequence[bytes]],
    *,
    has_small_buffers: bool,
) -> AsyncIterator[None]:
    """Keep the connections of callers open that send and never read.

    The context is entered once all have sent, or cannot go on.
    """
    loop = asyncio.get_running_loop()
    opened: list[socket.socket] = []

    async def send(parts: Sequence[bytes]) -> None:
        connected = socket.socket()
        connected.setblocking(False)
        if has_small_buffers:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        opened.append(connected)
        with contextlib.suppress(OSError):
            await loop.sock_connect(connected, (IP, gateway.ports[0]))
            for part in parts:
                await loop.sock_sendall(connected, part)

    sending = [asyncio.create_task(send(parts)) for parts in sends]
    try:
        await asyncio.wait(sending, timeout=SLOW_WORK_S)
        yield
    finally:
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        for connected in opened:
            connected.close()


async def is_served(client: aiohttp.ClientSession, gateway: GatewayProcess) -> bool:
    """Return True if an ordinary request is answered, at the first try or later."""
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with client.post(
            f"{gateway.url}/price/1",
            data=bytes(ORDINARY_BYTES),
            headers=headers("ordinary"),
            timeout=aiohttp.ClientTimeout(total=SLOW_WORK_S),
        ) as answer:
            return answer.status == 200
    return False


async def wait_served(client: aiohttp.ClientSession, gateway: GatewayProcess) -> None:
    while not await is_served(client, gateway):
        assert gateway.run is not None and gateway.run.poll() is None
        await asyncio.sleep(RETRY_S)


def _peak_mb(gateway: GatewayProcess) -> float:
    assert gateway.run is not None
    status = Path(f"/proc/{gateway.run.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


async def _set_limits(processes: list[GatewayProcess]) -> None:
    for each in processes:
        each.limits = {"memory_mb": MEMORY_MB, "file_descriptors": N_DESCRIPTORS}


def _slow(site: Site) -> None:
    for worker_id in ("stock1", "stock2"):
        site.workers[worker_id].work_s = SLOW_WORK_S


def _answer_at_length(site: Site) -> None:
    """Let the workers send a large answer to each of the crowd at the same time."""
    for worker_id in ("stock1", "stock2"):
        site.workers[worker_id].answer_bytes = LARGE_BYTES
        site.workers[worker_id].n_slots = N_LARGE
        site.list_worker(worker_id, "stock")


class TestMisbehavingCallers:
    # Guards against callers that end a gateway, or keep it from all others, by what
    # they leave open.
    @pytest.mark.parametrize(
        ("sends", "n_callers"),
        [
            (_whole, N_LARGE),
            (_cut_short, N_LARGE),
            (_in_parts, N_LARGE),
            (_ahead, N_AHEAD),
            (_nothing, N_IDLE),
            (_asks, N_LARGE),
        ],
        ids=["whole", "cut-short", "in-parts", "sent-ahead", "idle", "unread"],
    )
    async def test_a_crowd_leaves_the_gateway_within_its_machine(
        self, sends: Send, n_callers: int, tmp_path: Path
    ) -> None:
        async with (
            small_site() as site,
            gateways(site, tmp_path, "a", prepare=_set_limits) as (gateway,),
            aiohttp.ClientSession() as client,
        ):
            assert gateway.run is not None
            process = psutil.Process(gateway.run.pid)
            most = (N_DESCRIPTORS, N_DESCRIPTORS)
            process.rlimit(resource.RLIMIT_NOFILE, most)
            await until(lambda: "stock1" in gateway.log())
            if sends is _whole:
                _slow(site)
            if sends is _asks:
                _answer_at_length(site)
            async with crowd(
                gateway,
                [sends(number) for number in range(n_callers)],
                has_small_buffers=sends is _asks,
            ):
                await asyncio.sleep(SETTLE_S)
                for worker in site.workers.values():
                    worker.work_s = 0.0
                async with asyncio.timeout(CAP_S):
                    await wait_served(client, gateway)
                assert process.num_fds() <= N_DESCRIPTORS
            await wait_served(client, gateway)
            assert gateway.run.poll() is None
            assert _peak_mb(gateway) <= MEMORY_MB


class TestManyCallers:
    # Guards against a crowd of which each caller holds little that is not counted.
    @pytest.mark.parametrize("sends", [_cut_short, _in_parts, _whole])
    async def test_a_large_crowd_leaves_the_gateway_within_its_machine(
        self, sends: Send, tmp_path: Path
    ) -> None:
        async def set_limits(processes: list[GatewayProcess]) -> None:
            for each in processes:
                each.limits = dict(MANY_LIMITS)

        async with (
            small_site() as site,
            gateways(site, tmp_path, "a", prepare=set_limits) as (gateway,),
            aiohttp.ClientSession() as client,
        ):
            await until(lambda: "stock1" in gateway.log())
            async with crowd(
                gateway,
                [sends(number) for number in range(N_MANY)],
                has_small_buffers=False,
            ):
                async with asyncio.timeout(CAP_S):
                    await wait_served(client, gateway)
            assert gateway.run is not None and gateway.run.poll() is None
            assert _peak_mb(gateway) <= MANY_LIMITS["memory_mb"]


class TestPlannedStop:
    # Guards against a stop that waits for a crowd until the process is killed.
    @pytest.mark.parametrize(
        ("sends", "n_callers"),
        [(_cut_short, N_LARGE), (_ahead, N_AHEAD), (_nothing, N_IDLE)],
        ids=["cut-short", "sent-ahead", "idle"],
    )
    async def test_a_crowd_does_not_hold_it_up(
        self, sends: Send, n_callers: int, tmp_path: Path
    ) -> None:
        async with (
            small_site() as site,
            gateways(site, tmp_path, "a", prepare=_set_limits) as (gateway,),
        ):
            await until(lambda: "stock1" in gateway.log())
            async with crowd(
                gateway,
                [sends(number) for number in range(n_callers)],
                has_small_buffers=False,
            ):
                gateway.signal(signal.SIGTERM)
                assert await gateway.wait_exit() == 0
            assert "name=process_stopped" in gateway.log()
            assert "no longer waits" not in gateway.log()
