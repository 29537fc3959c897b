"""Answers that a worker begins while it is still being sent the request."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import replace
from typing import Final

import pytest
from result import Err, Ok, Result

from trefoilpaddle.state.chain.target_answers import CallFault
from trefoilpaddle.state.chain.workers import Worker

from .raw_engines import raw_engine
from .test_worker_client import (
    OLD_VERSION,
    UNANNOUNCED,
    UNFRAMED,
    call,
    worker_client,
)

UPLOAD_BYTES: Final = 16 * 1024 * 1024
"""Body of a request, larger than what the kernel holds of it."""

RESET: Final = struct.pack("ii", 1, 0)
"""Option with which a close resets the connection."""


async def body_of(answer: bytes, *, reset_after_s: float) -> Result[bytes, CallFault]:
    """Return the body of an answer whose worker does not read the request's."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await asyncio.sleep(reset_after_s)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async with raw_engine(handle) as address, worker_client() as client:
        at = Worker(
            worker_id="w1", service="plain", address=address, failure_domain="here"
        )
        asked = call()
        upload = replace(asked.request, body=bytes(UPLOAD_BYTES))
        async with client.exchange(at, replace(asked, request=upload)) as opened:
            return await opened.ok_value.read() if isinstance(opened, Ok) else opened


class TestResets:
    # Guards against a part of an answer that is taken for the whole one, as its worker
    # resets the connection while the request is still being sent.
    @pytest.mark.parametrize("reset_after_s", [0.0, 0.05, 0.3])
    @pytest.mark.parametrize("begun", [UNFRAMED, UNANNOUNCED, OLD_VERSION])
    async def test_a_part_of_an_unframed_answer_is_broken(
        self, begun: bytes, reset_after_s: float
    ) -> None:
        body = await body_of(begun + b"bo", reset_after_s=reset_after_s)
        assert body == Err(CallFault.BROKEN)
