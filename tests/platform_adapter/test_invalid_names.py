"""Answers of workers with a blank or a control byte in the name of a header."""

import asyncio
from typing import Final

import pytest
from result import Err, Ok, Result

from trefoilpaddle.state.chain.target_answers import CallFault
from trefoilpaddle.state.chain.workers import Worker

from .raw_engines import raw_engine
from .test_worker_client import COMPLETE, call, worker_client

STATUS_LINE: Final = b"HTTP/1.1 200 OK\r\n"
INTERIM: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
EARLY_HINTS: Final = b"HTTP/1.1 103 Early Hints\r\n X-Hidden: 1\r\n\r\n"
BLANK: Final = COMPLETE.replace(STATUS_LINE, STATUS_LINE + b" X-Hidden: 1\r\n")
FOLDED: Final = COMPLETE.replace(STATUS_LINE, STATUS_LINE + b"X: 1\r\n folded\r\n")
LONG_STATUS: Final = b"HTTP/1.1 200 " + b"fine " * 50 + b"\r\n"


async def body_of(answer: bytes, *, part_bytes: int) -> Result[bytes, CallFault]:
    """Return the body of an answer that arrives in parts."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for begin in range(0, len(answer), part_bytes):
            writer.write(answer[begin : begin + part_bytes])
            await asyncio.sleep(0)
        await reader.read()

    async with raw_engine(handle) as address, worker_client() as client:
        at = Worker(
            worker_id="w1", service="plain", address=address, failure_domain="here"
        )
        async with client.exchange(at, call()) as opened:
            return await opened.ok_value.read() if isinstance(opened, Ok) else opened


@pytest.mark.parametrize("part_bytes", [1, 2, 7, len(STATUS_LINE), 10_000])
class TestAnswers:
    # Guards against a header that reaches the caller under another name than the
    # worker has sent, as the library removes the blank.
    @pytest.mark.parametrize(
        "answer",
        [
            BLANK,
            BLANK.replace(STATUS_LINE, LONG_STATUS),
            b"\r\n" + BLANK,
            INTERIM + BLANK,
            EARLY_HINTS + COMPLETE,
        ],
        ids=["first", "long-status", "after-blank-line", "after-interim", "interim"],
    )
    async def test_a_blank_after_the_status_line_is_rejected(
        self, answer: bytes, part_bytes: int
    ) -> None:
        assert await body_of(answer, part_bytes=part_bytes) == Err(CallFault.BROKEN)

    # Guards against sound answers that are rejected with them.
    @pytest.mark.parametrize(
        "answer",
        [
            COMPLETE,
            FOLDED,
            FOLDED.replace(STATUS_LINE, LONG_STATUS),
            b"\r\n" + COMPLETE,
            INTERIM + COMPLETE,
        ],
        ids=["plain", "folded", "long-status", "after-blank-line", "after-interim"],
    )
    async def test_other_answers_are_passed_on(
        self, answer: bytes, part_bytes: int
    ) -> None:
        assert await body_of(answer, part_bytes=part_bytes) == Ok(b"body")


class TestNames:
    # Guards against the same where the blank, or a control byte, is within the name.
    @pytest.mark.parametrize(
        "name", [b"A B", b"A ", b"A\tB", b"A\x01B", b"\x0bA", b"A\0"]
    )
    async def test_an_invalid_name_is_rejected(self, name: bytes) -> None:
        answer = COMPLETE.replace(STATUS_LINE, STATUS_LINE + name + b": 1\r\n")
        body = await body_of(answer, part_bytes=len(answer))
        assert body == Err(CallFault.BROKEN)
