"""Answers to callers whose requests outlast a gateway's planned stop."""

import asyncio
import contextlib
import socket
from dataclasses import replace

import orjson
import pytest
from aiohttp import web_protocol

from tests.fake_sidecar import Call, FakeSidecar
from tests.gateway_harness import catalogue, gateway_harness, plain_stage
from tests.waiting import until

POST = (
    b"POST /v1/pipelines/p HTTP/1.1\r\nHost: g\r\nX-Client-Account: club\r\n"
    b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n"
)


class TestEndOfDrain:
    async def test_a_request_that_still_runs_gets_unknown_before_the_close(
        self,
    ) -> None:
        """A request is still at its target when the gateway's drain time is over. Its
        caller got a closed connection; it must get "unknown" instead.
        """
        never = asyncio.Event()

        async def script(call: Call) -> None:
            await never.wait()

        sidecar = FakeSidecar(service="s", name="t1", script=script)
        async with gateway_harness(sidecar, published=catalogue(plain_stage())) as b:
            known = b.gateway._settings
            stop = replace(known.stop, drain_s=0.2)
            b.gateway._settings = replace(known, stop=stop)
            request = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(b.sidecars[0].calls))
            b.gateway.process.stopping.set()
            await b.gateway.drain()
            async with asyncio.timeout(1.0):
                answer = await request
            error = (await answer.json())["error"]
            assert answer.status == 504
            assert (error["outcome"], error["reason"]) == ("unknown", "stopping")
            assert b.gateway.process.n_interrupted == 1

    async def test_a_request_with_a_partial_body_is_answered_as_not_run(self) -> None:
        """A caller is still sending its body when the gateway's drain time is over.
        It got a closed connection and could not know that nothing had run.
        """
        sidecar = FakeSidecar(service="s", name="t1")
        published = catalogue(plain_stage())
        async with gateway_harness(sidecar, published=published, drain_s=0.1) as b:
            address = b.gateway.server.address
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(POST + b"{")
            await until(lambda: b.gateway.callers.answering)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503")
        error = orjson.loads(answer.partition(b"\r\n\r\n")[2])["error"]
        assert (error["outcome"], error["reason"]) == ("not run", "stopping")
        assert not sidecar.calls
        writer.close()

    async def test_a_slow_reader_gets_its_complete_answer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The last answer of a stopping gateway goes to a caller that reads slowly.
        Up to 64 KB of it were still buffered in the process when the drain had
        ended. They were lost with the process, and the caller got a partial answer.
        """
        size = 60_000
        transports: list[asyncio.Transport] = []
        made = web_protocol.RequestHandler.connection_made

        def connection_made(
            connection: web_protocol.RequestHandler, transport: asyncio.Transport
        ) -> None:
            accepted = transport.get_extra_info("socket")
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            transports.append(transport)
            made(connection, transport)

        monkeypatch.setattr(
            web_protocol.RequestHandler, "connection_made", connection_made
        )

        async def script(call: Call) -> None:
            call.answer(b'"', b"x" * size, b'"')

        loop = asyncio.get_running_loop()
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)

        async def read_late() -> bytes:
            await asyncio.sleep(0.3)
            got = b""
            with contextlib.suppress(ConnectionError):
                while more := await loop.sock_recv(caller, 1 << 16):
                    got += more
            return got

        sidecar = FakeSidecar(service="s", name="t1", script=script)
        with caller:
            async with gateway_harness(
                sidecar, published=catalogue(plain_stage())
            ) as b:
                address = b.gateway.server.address
                await loop.sock_connect(caller, (address.ip, address.port))
                await loop.sock_sendall(caller, POST + b"{}")
                await until(lambda: any(t.get_write_buffer_size() for t in transports))
                reading = asyncio.create_task(read_late())
            for transport in transports:
                # The exit of the process discards unsent data in the same way.
                transport.abort()
            assert (await reading).count(b"x") >= size


class TestChangeOfConfiguration:
    async def test_a_pipeline_removed_while_a_request_is_read_still_runs_it(
        self,
    ) -> None:
        """A caller is still sending its body when a publication removes its pipeline.
        It got "unknown" and that a retry was not safe, although nothing had run: the
        pipeline was looked up a second time, in the configuration active by then.
        """
        sidecar = FakeSidecar(service="s", name="t1")
        async with gateway_harness(sidecar, published=catalogue(plain_stage())) as b:
            address = b.gateway.server.address
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(POST + b"{")
            await until(lambda: b.gateway.callers.answering)
            published = b.gateway.process.published
            published.set_catalogue(
                replace(published.catalogue, revision=8, pipelines={}, entries={})
            )
            writer.write(b"}")
            assert b" 200 " in await reader.readline()
            writer.close()
