"""The limit of the active configuration on the headers of a request."""

import asyncio
from dataclasses import replace

import pytest

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.requests import Refused
from trefoilpaddle.state.chain.routes import CallerLimits
from trefoilpaddle.state.journal import Event, Journal

from .caller_harness import GET, Served, exchange, serving, status

KB = 1024
END = b"\r\n\r\n"


def fields(n_fields: int, n_bytes: int) -> bytes:
    """Return headers with names of four bytes and values of `n_bytes`."""
    return b"".join(b"X%03d: %b\r\n" % (n, b"v" * n_bytes) for n in range(n_fields))


class Active:
    """The limits of a configuration, which changes."""

    def __init__(self, max_header_bytes: int) -> None:
        self.limits = CallerLimits(max_header_bytes=max_header_bytes)

    def __call__(self) -> CallerLimits:
        return self.limits

    def change(self, max_header_bytes: int) -> None:
        self.limits = replace(self.limits, max_header_bytes=max_header_bytes)


class TestLimit:
    # Guards against requests within the published limits that are refused for good.
    @pytest.mark.parametrize(
        ("limit_bytes", "head"),
        [
            (16 * KB, GET + fields(150, 20)),
            (16 * KB, GET + fields(400, 20)),
            (16 * KB, GET + fields(900, 1)),
            (32 * KB, GET + fields(1, 29 * KB)),
            (128 * KB, GET + fields(140, 900)),
            (1024 * KB, GET + fields(1, 1000 * KB)),
            (48 * KB, GET.replace(b"/p/1", b"/p/" + b"1" * 40 * KB)),
        ],
        ids=["150", "400", "900", "long", "many", "longer-than-framing", "path"],
    )
    async def test_a_head_within_the_limit_is_served(
        self, limit_bytes: int, head: bytes
    ) -> None:
        async with serving(Served(), limits=Active(limit_bytes)) as port:
            assert status(await exchange(port, head + b"\r\n")) == 200

    # Guards against a limit that operators lowered and nothing keeps.
    @pytest.mark.parametrize(
        "head",
        [
            GET + fields(33, 1000),
            GET + fields(1, 17 * KB),
            GET.replace(b"/p/1", b"/p/" + b"1" * 17 * KB),
        ],
        ids=["many", "long", "path"],
    )
    async def test_a_longer_head_is_refused(self, head: bytes) -> None:
        served = Served()
        journal = Journal(process_id="g", n_records=10)
        async with serving(served, journal=journal, limits=Active(16 * KB)) as port:
            assert status(await exchange(port, head + b"\r\n")) == 431
        assert not served.requests
        (record,) = journal.recent()
        assert record.decision.event is Event.REQUEST_REFUSED
        assert record.decision.reason is Reason.HEADERS_TOO_LARGE
        figures = {each.name: each.value for each in record.decision.figures}
        assert figures["header_bytes"] > figures["limit_bytes"] == 16 * KB

    # Guards against a limit that reaches only the connections which open after it.
    async def test_a_change_reaches_open_connections(self) -> None:
        active = Active(16 * KB)
        async with serving(Served(), limits=active) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for limit_bytes, n_bytes, expected in [
                (16 * KB, 15 * KB, b"200"),
                (32 * KB, 30 * KB, b"200"),
                (16 * KB, 15 * KB, b"200"),
                (16 * KB, 30 * KB, b"431"),
                (32 * KB, 30 * KB, b"200"),
            ]:
                active.change(limit_bytes)
                writer.write(GET + fields(1, n_bytes) + b"\r\n")
                head = await reader.readuntil(END)
                assert head.split(b" ", 2)[1] == expected
                n_body = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(n_body)
            writer.close()


class TestUnknownConfiguration:
    # Guards against a gateway without a configuration that refuses for good what the
    # configuration allows.
    @pytest.mark.parametrize(
        "head",
        [
            fields(1, 40 * KB),
            fields(1, 1100 * KB),
            b"Content-Length: 9000000\r\n",
        ],
        ids=["header", "longer-header", "body"],
    )
    async def test_a_large_request_may_come_again(self, head: bytes) -> None:
        served = Served(outcome=Refused(reason=Reason.NO_CONFIGURATION))
        async with serving(served, limits=lambda: None) as port:
            answer = await exchange(port, GET + head + b"\r\n")
        assert status(answer) == 503
        assert b"\r\nRetry-After: " in answer


class TestEndlessHeads:
    # Guards against an answer that is lost behind a head which is given up.
    async def test_the_requests_before_one_are_answered_first(self) -> None:
        served = Served(works_s=0.2)
        async with serving(served, limits=Active(1 * KB)) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GET + b"\r\n" + GET + b"\r\n" + GET)
            await asyncio.sleep(0.05)
            writer.write(fields(90, 100))
            got = await reader.read()
            writer.close()
        statuses = [each.split(b" ", 1)[0] for each in got.split(b"HTTP/1.1 ")[1:]]
        assert statuses == [b"200", b"200", b"431"]
        assert len(served.requests) == 2

    # Guards against heads whose bytes are held without a bound.
    async def test_one_is_given_up_near_the_limit(self) -> None:
        async with serving(Served(), limits=Active(1 * KB)) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            n_bytes = 0
            answered = asyncio.create_task(reader.read())
            writer.write(GET)
            while not answered.done() and n_bytes < 64 * KB:
                writer.write(fields(1, 100))
                n_bytes += 100
                await asyncio.sleep(0.001)
            writer.close()
            assert status(await answered) == 431
        assert n_bytes < 16 * KB
