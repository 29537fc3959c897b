"""What callers hear of a gateway whose planned stop ends before their requests."""

import asyncio
import contextlib
import socket
from dataclasses import replace

import orjson
import pytest
from aiohttp import web_protocol

from tests.fake_sidecar import Call, FakeSidecar
from tests.gateway_bench import bench, catalogue, plain_stage
from tests.waiting import until

POST = (
    b"POST /v1/pipelines/p HTTP/1.1\r\nHost: g\r\nX-Client-Account: club\r\n"
    b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n"
)


class TestEndOfDrain:
    async def test_what_still_runs_is_told_so_before_the_close(self) -> None:
        """A request is still at its target when the gateway's time to drain is over.
        Its caller saw a closed connection; now it hears that nobody knows.
        """
        never = asyncio.Event()

        async def script(call: Call) -> None:
            await never.wait()

        sidecar = FakeSidecar(service="s", name="t1", script=script)
        async with bench(sidecar, published=catalogue(plain_stage())) as b:
            known = b.gateway._settings
            stop = replace(known.stop, drain_s=0.2)
            b.gateway._settings = replace(known, stop=stop)
            asking = asyncio.create_task(b.post(json={}).__aenter__())
            await until(lambda: bool(b.sidecars[0].calls))
            b.gateway.process.stopping.set()
            await b.gateway.drain()
            async with asyncio.timeout(1.0):
                answer = await asking
            error = (await answer.json())["error"]
            assert answer.status == 504
            assert (error["outcome"], error["reason"]) == ("unknown", "stopping")
            assert b.gateway.process.n_cut_off == 1

    async def test_one_that_is_half_read_is_told_that_it_has_not_run(self) -> None:
        """A caller still sends its body when the gateway's time to drain is over.
        It saw a closed connection, and could not know that nothing had run.
        """
        sidecar = FakeSidecar(service="s", name="t1")
        published = catalogue(plain_stage())
        async with bench(sidecar, published=published, drain_s=0.1) as b:
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

    async def test_a_caller_that_reads_slowly_gets_its_answer_whole(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The last answer of a gateway that stops goes to a caller that reads slowly.
        Up to 64 KB of it were still in the process when all was drained; they ended
        with it, and the caller had half of an answer.
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
            async with bench(sidecar, published=catalogue(plain_stage())) as b:
                address = b.gateway.server.address
                await loop.sock_connect(caller, (address.ip, address.port))
                await loop.sock_sendall(caller, POST + b"{}")
                await until(lambda: any(t.get_write_buffer_size() for t in transports))
                reading = asyncio.create_task(read_late())
            for transport in transports:
                # What the end of the process does to what it has not sent.
                transport.abort()
            assert (await reading).count(b"x") >= size


class TestChangeOfConfiguration:
    async def test_a_pipeline_that_goes_while_a_request_is_read(self) -> None:
        """A caller still sends its body when a publication takes its pipeline away.
        It was told "unknown", and not to send it again, of what had not run: the
        pipeline was looked up once more, in what was in force by then.
        """
        sidecar = FakeSidecar(service="s", name="t1")
        async with bench(sidecar, published=catalogue(plain_stage())) as b:
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
