"""The peer server under failure: bounds, exchange of hellos, close."""

import asyncio

import pytest
from result import Err, Ok

from tests.peer_helpers import (
    RawPeer,
    answer_to,
    echo,
    hello_of,
    link_to,
    raw_listener,
    raw_peer,
    server_of,
)
from tests.waiting import until
from trefoilpaddle.protocol.frames import encode
from trefoilpaddle.protocol.gen.claims.ttypes import Claim, ClaimAnswer
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Bar,
    BarAnswer,
    Cancel,
    Hello,
)
from trefoilpaddle.transport import connection as connection_module
from trefoilpaddle.transport import server as server_module
from trefoilpaddle.transport.connection import Address, Connection


class TestPeerServer:
    @pytest.mark.usefixtures("fast")
    async def test_a_peer_that_vanished_gives_its_place_back(self) -> None:
        # The host of a gateway loses power and sends no FIN. The connection stayed
        # open forever, until dead gateways had used up all connections.
        server = server_of()
        async with server.listening(), raw_peer(server.address) as peer:
            peer.send(hello_of("vanished")())
            await until(lambda: len(server.connections) == 1)
            await until(lambda: not server.connections)

    @pytest.mark.usefixtures("fast")
    async def test_connections_without_a_hello_count_towards_the_bound(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(server_module, "MAX_CONNECTIONS", 2)
        monkeypatch.setattr(connection_module, "HELLO_TIMEOUT_S", 30.0)
        server = server_of()
        async with (
            server.listening(),
            raw_peer(server.address),
            raw_peer(server.address),
            raw_peer(server.address) as third,
        ):
            await third.wait_closed()

    async def test_an_open_listener_that_raises_leaks_no_connection(self) -> None:
        def on_open(connection: Connection) -> None:
            raise RuntimeError("error in a listener")

        server = server_of(on_open=on_open)
        async with server.listening(), raw_peer(server.address) as peer:
            peer.send(hello_of("p")())
            await until(lambda: len(server.connections) == 1)
            peer.writer.close()
            await until(lambda: not server.connections)

    async def test_closing_answers_the_open_calls_first(self) -> None:
        # A planned stop of a sidecar begins while a gateway requests whether an
        # attempt ran. Dropping the request would turn a known outcome into "unknown".
        begun = asyncio.Event()
        may_finish = asyncio.Event()

        async def answer(request: Bar, peer: Hello) -> BarAnswer:
            begun.set()
            await may_finish.wait()
            return BarAnswer(attempt_id=request.attempt_id)

        server = server_of()
        server.add_handler(Bar, answer)
        context = server.listening()
        await context.__aenter__()
        async with link_to(server.address) as link:
            pending_request = asyncio.create_task(
                link.ask(Bar(attempt_id=b"x"), timeout_s=30)
            )
            await begun.wait()
            closing = asyncio.create_task(context.__aexit__(None, None, None))
            await asyncio.sleep(0)
            may_finish.set()
            assert await pending_request == Ok(BarAnswer(attempt_id=b"x"))
            await closing

    async def test_a_request_sent_before_the_peer_learns_of_the_close_is_answered(
        self,
    ) -> None:
        # A sidecar closes in a planned stop. A gateway that has not yet been notified
        # sends a request, which arrives while the sidecar only waits for the other
        # side to close. It was read, but its reply was written to a connection that
        # sent nothing more, and the gateway's caller waited until its deadline.
        server = server_of()
        server.add_handler(Bar, echo)
        context = server.listening()
        await context.__aenter__()
        async with raw_peer(server.address) as peer:
            peer.send(hello_of("gateway")())
            await until(lambda: len(server.connections) == 1)
            closing = asyncio.create_task(context.__aexit__(None, None, None))
            await asyncio.sleep(0.05)
            peer.send(Bar(attempt_id=b"x"), call=1)
            assert await answer_to(peer, call=1) == BarAnswer(attempt_id=b"x")
        await closing

    async def test_a_request_sent_directly_after_the_hello_is_answered_at_the_close(
        self,
    ) -> None:
        # A gateway has just connected to a sidecar that stops. It has received the
        # sidecar's hello and sends its own, followed by its first request. The sidecar
        # dropped connections whose hello it had not yet read.
        server = server_of()
        server.add_handler(Bar, echo)
        context = server.listening()
        await context.__aenter__()
        async with raw_peer(server.address) as peer:
            assert await peer.receive()
            closing = asyncio.create_task(context.__aexit__(None, None, None))
            await asyncio.sleep(0.05)
            peer.send(hello_of("gateway")())
            peer.send(Bar(attempt_id=b"x"), call=1)
            assert await answer_to(peer, call=1) == BarAnswer(attempt_id=b"x")
        await closing

    async def test_a_closing_link_reports_new_messages_as_not_sent(self) -> None:
        # A sidecar closes while a gateway waits for a reply from it. New messages
        # of the gateway are reported as not sent, so that it can use another sidecar
        # immediately.
        may_finish = asyncio.Event()

        async def answer(request: Bar, peer: Hello) -> BarAnswer:
            await may_finish.wait()
            return BarAnswer(attempt_id=request.attempt_id)

        server = server_of()
        server.add_handler(Bar, answer)
        context = server.listening()
        await context.__aenter__()
        async with link_to(server.address) as link:
            pending_request = asyncio.create_task(
                link.ask(Bar(attempt_id=b"x"), timeout_s=30)
            )
            await until(lambda: bool(server._open_queries))
            closing = asyncio.create_task(context.__aexit__(None, None, None))
            await until(
                lambda: link.connection is not None and link.connection.is_closing()
            )
            assert not link.send(Cancel())
            match await link.ask(Bar(attempt_id=b"y"), timeout_s=30):
                case Err(error):
                    assert not error.is_sent
                case answered:
                    raise AssertionError(answered)
            may_finish.set()
            assert await pending_request == Ok(BarAnswer(attempt_id=b"x"))
            await closing

    @pytest.mark.usefixtures("fast")
    async def test_peers_that_never_read_do_not_delay_the_close(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # All peers must still be connected at the close, even if this process is
        # paused for a moment: none may be disconnected as unresponsive before.
        monkeypatch.setattr(connection_module, "HELLO_TIMEOUT_S", 30.0)
        monkeypatch.setattr(connection_module, "DEAD_AFTER_S", 30.0)
        n_peers = 8
        server = server_of()
        context = server.listening()
        await context.__aenter__()
        peers = [raw_peer(server.address) for _ in range(n_peers)]
        opened = [await peer.__aenter__() for peer in peers]
        for i, peer in enumerate(opened):
            peer.send(hello_of(f"p{i}")())
        await until(lambda: len(server.connections) == n_peers)
        server.broadcast(Cancel(attempt_id=bytes(2_000_000)))
        server.broadcast(Cancel(attempt_id=bytes(2_000_000)))
        server.broadcast(Cancel(attempt_id=bytes(2_000_000)))
        async with asyncio.timeout(n_peers * connection_module.CLOSE_TIMEOUT_S):
            await context.__aexit__(None, None, None)
        assert not server.connections
        for each in peers:
            await each.__aexit__(None, None, None)

    async def test_a_connection_whose_hello_arrives_after_the_close_is_not_served(
        self,
    ) -> None:
        # A peer connects, the server closes, and then the hello arrives. A process
        # that has already stopped would serve the connection.
        opened: list[Connection] = []
        server = server_of(on_open=opened.append)
        async with raw_listener(RawPeer.wait_closed):
            context = server.listening()
            await context.__aenter__()
            async with raw_peer(server.address) as peer:
                await peer.receive()
                await context.__aexit__(None, None, None)
                peer.send(hello_of("late")())
                await peer.wait_closed()
        assert not opened

    async def test_a_handler_that_hangs_times_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Handlers wait for a third process that has exited. At the bound of open
        # requests the connection is no longer read, including heartbeats. Without a
        # timeout of each handler, this would last forever.
        monkeypatch.setattr(server_module, "MAX_OPEN_QUERIES", 2)
        monkeypatch.setattr(server_module, "ANSWER_TIMEOUT_S", 0.1, raising=False)

        async def hang(request: Claim, peer: Hello) -> ClaimAnswer:
            await asyncio.Event().wait()
            return ClaimAnswer()

        server = server_of()
        server.add_handler(Claim, hang)
        server.add_handler(Bar, echo)
        async with server.listening(), link_to(server.address) as link:
            hanging = [
                asyncio.create_task(link.ask(Claim(), timeout_s=30)) for _ in range(5)
            ]
            await until(lambda: len(link._calls) == len(hanging))
            assert (await link.ask(Bar(), timeout_s=15)).is_ok()
            for task in hanging:
                task.cancel()

    async def test_a_question_may_be_given_more_time_than_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The stages of a request with a deadline of 20 s take 11 s under load. Their
        # scheduler cancelled them after 10 s without a reply, and the gateway that had
        # sent the request waited until the deadline.
        monkeypatch.setattr(server_module, "ANSWER_TIMEOUT_S", 0.05)

        async def slow(request: Bar, peer: Hello) -> BarAnswer:
            await asyncio.sleep(0.2)
            return BarAnswer()

        server = server_of()
        server.add_handler(Bar, slow, timeout_s=5.0)
        async with server.listening(), link_to(server.address) as link:
            assert (await link.ask(Bar(), timeout_s=5.0)).is_ok()

    async def test_a_peer_that_never_reads_is_disconnected_at_the_bound(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(connection_module, "MAX_UNSENT_BYTES", 1_000_000)
        opened: list[Connection] = []
        server = server_of(on_open=opened.append)
        async with server.listening(), raw_peer(server.address) as peer:
            peer.send(hello_of("mute")())
            await until(lambda: bool(opened))
            n_written = 0
            while opened[0].write(Cancel(attempt_id=bytes(1_000_000))):
                n_written += 1
                assert n_written < 30
            await until(lambda: not server.connections)


class TestHello:
    @pytest.mark.parametrize("process_id", ["", "x" * 300])
    async def test_a_peer_with_an_invalid_process_id_is_refused(
        self, process_id: str
    ) -> None:
        server = server_of()
        async with server.listening(), raw_peer(server.address) as peer:
            peer.send(hello_of(process_id)())
            await peer.wait_closed()
            assert not server.connections

    async def test_another_version_is_refused(self) -> None:
        server = server_of()
        async with server.listening(), raw_peer(server.address) as peer:
            peer.send(Hello(version=99, process_id="p"))
            await peer.wait_closed()

    @pytest.mark.usefixtures("fast")
    async def test_a_connection_whose_hello_never_completes_is_closed(self) -> None:
        server = server_of()
        async with server.listening(), raw_peer(server.address) as peer:
            peer.writer.write(encode(hello_of("p")())[:7])
            await peer.wait_closed()


class TestAddress:
    @pytest.mark.parametrize(
        "text", ["", "1.2.3.4", "1.2.3.4:", ":80", "1.2.3.4:99999"]
    )
    def test_bad_text_is_refused(self, text: str) -> None:
        assert Address.parse(text).is_err()

    def test_good_text_is_read(self) -> None:
        assert Address.parse("1.2.3.4:80") == Ok(Address(ip="1.2.3.4", port=80))
