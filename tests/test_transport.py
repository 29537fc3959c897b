"""Links between peers under failure: every call ends, no connection leaks."""

import asyncio
import time

import pytest
from result import Err, Ok

from tests.peer_helpers import (
    WAIT_CAP_S,
    RawPeer,
    echo,
    heartbeat,
    hello_of,
    link_to,
    raw_listener,
    server_of,
)
from tests.waiting import until
from trefoilpaddle.protocol.errors import PeerError
from trefoilpaddle.protocol.frames import NEWEST_KIND, Message
from trefoilpaddle.protocol.gen.chain.ttypes import TablePull
from trefoilpaddle.protocol.gen.claims.ttypes import Claim, ClaimAnswer
from trefoilpaddle.protocol.gen.stage.ttypes import (
    Bar,
    BarAnswer,
    Cancel,
    Closing,
    Heartbeat,
    Hello,
)
from trefoilpaddle.transport import connection as connection_module
from trefoilpaddle.transport import link as link_module
from trefoilpaddle.transport.connection import Connection
from trefoilpaddle.transport.link import Link


class TestAsk:
    async def test_out_of_order_replies_reach_their_own_calls(self) -> None:
        # Two calls share a connection, and the first is answered after the second.
        # If replies were matched by order, each call would get the other's reply.
        first_may_finish = asyncio.Event()

        async def answer(request: Bar, peer: Hello) -> BarAnswer:
            if request.attempt_id == b"first":
                await first_may_finish.wait()
            return BarAnswer(attempt_id=request.attempt_id)

        server = server_of()
        server.add_handler(Bar, answer)
        async with server.listening(), link_to(server.address) as link:
            first = asyncio.create_task(
                link.ask(Bar(attempt_id=b"first"), timeout_s=10)
            )
            second = await link.ask(Bar(attempt_id=b"second"), timeout_s=10)
            first_may_finish.set()
            assert second == Ok(BarAnswer(attempt_id=b"second"))
            assert await first == Ok(BarAnswer(attempt_id=b"first"))

    async def test_call_numbers_stay_within_the_frame_after_wrapping(self) -> None:
        # A link that is open for weeks uses up the 32-bit call numbers. The number
        # after the last one did not fit the frame, and every further call raised.
        server = server_of()
        server.add_handler(Bar, echo)
        async with server.listening(), link_to(server.address) as link:
            await link.opened.wait()
            link._call_numbers = iter(range(link_module.MAX_CALL - 1, 1 << 40))  # type: ignore[assignment]
            for _ in range(4):
                assert (await link.ask(Bar(attempt_id=b"a"), timeout_s=10)).is_ok()

    async def test_waiting_for_a_connection_counts_towards_the_timeout(self) -> None:
        # A call has 0.8 s left. The peer connects after 0.4 s and then does not
        # reply: the call must end after 0.8 s, not after 1.2 s.
        opened_s = []

        async def serve(peer: RawPeer) -> None:
            await asyncio.sleep(0.4)
            peer.send(hello_of("slow")())
            opened_s.append(time.monotonic())
            await asyncio.sleep(30)

        async with raw_listener(serve) as address, link_to(address) as link:
            began_s = time.monotonic()
            answer = await link.ask(Bar(), timeout_s=0.8)
            ended_s = time.monotonic()
        assert opened_s
        assert answer.is_err()
        assert ended_s - began_s < opened_s[0] - began_s + 0.8

    async def test_a_closed_connection_says_that_nothing_was_sent(self) -> None:
        # The connection is already closing when a call begins. Nothing has been
        # sent, so "not run" may be reported to the caller.
        server = server_of()
        async with server.listening(), link_to(server.address) as link:
            await link.opened.wait()
            assert link.connection is not None
            link.connection.abort()
            match await link.ask(Bar(), timeout_s=1):
                case Err(PeerError() as error):
                    assert not error.is_sent
                case answer:
                    raise AssertionError(answer)

    async def test_a_lost_connection_ends_open_calls_at_once(self) -> None:
        async def serve(peer: RawPeer) -> None:
            peer.send(hello_of("cutter")())
            seen: list[Message] = []
            while not any(isinstance(m, Bar) for m in seen):
                seen += [frame.message for frame in await peer.receive()]

        async with raw_listener(serve) as address, link_to(address) as link:
            match await link.ask(Bar(), timeout_s=60):
                case Err(error):
                    assert error.is_sent and error.step == "wait"
                case answer:
                    raise AssertionError(answer)
            assert not link._calls

    async def test_a_reply_that_is_too_large_is_logged_not_leaked(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # A handler returns a reply that is too large for a frame, and writing it
        # raises. The exception must be logged, and other calls must succeed.
        async def too_large(request: Claim, peer: Hello) -> ClaimAnswer:
            return ClaimAnswer(result=bytes(3 * 1024 * 1024))

        server = server_of()
        server.add_handler(Claim, too_large)
        server.add_handler(Bar, echo)
        async with server.listening(), link_to(server.address) as link:
            assert (await link.ask(Claim(), timeout_s=0.2)).is_err()
            assert (await link.ask(Bar(), timeout_s=10)).is_ok()
        assert "too large" in caplog.text


class TestLink:
    async def test_a_handler_that_raises_loses_only_one_message(self) -> None:
        # An error while handling the frame of one attempt must not disconnect the
        # other attempts that share the connection.
        seen: list[Message] = []

        def on_message(link: Link, message: Message) -> None:
            if isinstance(message, Cancel):
                seen.append(message)
                if len(seen) == 1:
                    raise RuntimeError("error in a handler")

        opened: list[Connection] = []
        server = server_of(on_open=opened.append)
        async with (
            server.listening(),
            link_to(server.address, on_message=on_message) as link,
        ):
            await link.opened.wait()
            await until(lambda: bool(opened))
            opened[0].write(Cancel(attempt_id=b"1"))
            opened[0].write(Cancel(attempt_id=b"2"))
            await until(lambda: len(seen) == 2)
        assert len(opened) == 1

    async def test_a_peer_of_an_earlier_build_gets_no_frames_it_cannot_read(
        self,
    ) -> None:
        # Guards against connections that such a peer closes, and the calls on them.
        opened: list[Connection] = []
        seen: list[Message] = []
        server = server_of(
            on_open=opened.append, on_message=lambda _, message: seen.append(message)
        )
        async with server.listening(), link_to(server.address) as link:
            await link.opened.wait()
            assert not link.send(TablePull())
            assert (await link.ask(TablePull(), timeout_s=WAIT_CAP_S)).is_err()
            assert link.connection is not None
            link.connection.peer.newest_kind = NEWEST_KIND
            assert link.send(TablePull())
            await until(lambda: bool(seen))

    async def test_a_change_listener_that_raises_leaks_no_connection(self) -> None:
        def on_change(link: Link) -> None:
            raise RuntimeError("error in a listener")

        closed: list[Connection] = []
        server = server_of(on_close=closed.append)
        async with server.listening():
            async with link_to(server.address, on_change=on_change) as link:
                await until(lambda: link.connection is not None)
            await until(lambda: not server.connections)
        assert closed

    async def test_a_peer_that_closes_after_each_hello_is_dialled_with_back_off(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A peer repeatedly sends its hello and closes, for example because its
        # start-up check fails. Each hello reset the back-off, so every process of
        # the fleet dialled the peer 20 times a second.
        monkeypatch.setattr(link_module, "BACKOFF_MIN_S", 0.001)
        monkeypatch.setattr(link_module, "BACKOFF_MAX_S", 0.1)
        n_dials = 0

        async def serve(peer: RawPeer) -> None:
            nonlocal n_dials
            n_dials += 1
            peer.send(hello_of("flapper")())
            await peer.receive()

        async with raw_listener(serve) as address, link_to(address):
            await asyncio.sleep(0.5)
            await until(lambda: n_dials > 2)
        assert n_dials < 60

    async def test_messages_queued_before_a_stop_arrive(self) -> None:
        # A planned stop of a gateway begins right after it has queued its last
        # messages (an acknowledgement, a settled claim). They must not be dropped.
        seen: list[Message] = []
        server = server_of(on_message=lambda connection, m: seen.append(m))
        body = bytes(500_000)
        async with server.listening():
            async with link_to(server.address) as link:
                await link.opened.wait()
                for _ in range(8):
                    assert link.send(Cancel(attempt_id=body))
            await until(lambda: sum(isinstance(m, Cancel) for m in seen) == 8)

    async def test_a_link_refuses_a_connection_to_itself(self) -> None:
        # A sidecar crashes that listened on a port of the kernel's ephemeral range.
        # Its peer dials again, and the kernel connects the socket to itself. The
        # link would look alive and occupy the port that the sidecar needs to restart.
        async def serve(peer: RawPeer) -> None:
            peer.send(hello_of("client", incarnation=20)())
            await peer.wait_closed()

        async with raw_listener(serve) as address, link_to(address) as link:
            answer = await link.ask(Bar(), timeout_s=0.3)
            assert answer.is_err()
            assert not link.is_responsive()

    async def test_the_link_reports_the_new_incarnation_of_a_restarted_peer(
        self,
    ) -> None:
        server = server_of(own_hello=hello_of("server", incarnation=1))
        changes: list[int] = []

        def on_change(link: Link) -> None:
            changes.append(link.peer.incarnation if link.peer else 0)

        async with server.listening():
            address = server.address
            async with link_to(address, on_change=on_change) as link:
                await until(lambda: changes == [1])
                assert link.connection is not None
                link.connection.abort()
                server._own_hello = hello_of("server", incarnation=2)
                await until(lambda: changes == [1, 0, 2])

    @pytest.mark.usefixtures("fast")
    async def test_a_paused_peer_is_unresponsive_and_then_disconnected(self) -> None:
        # A peer is paused by its host (SIGSTOP): its connection stays open and
        # accepts bytes, but no heartbeat arrives.
        async def serve(peer: RawPeer) -> None:
            peer.send(hello_of("paused")())
            await peer.wait_closed()

        changes: list[bool] = []
        async with (
            raw_listener(serve) as address,
            link_to(
                address, on_change=lambda link: changes.append(link.connection is None)
            ) as link,
        ):
            await link.opened.wait()
            assert link.is_responsive()
            await until(lambda: not link.is_responsive())
            await until(lambda: True in changes)

    @pytest.mark.usefixtures("fast")
    async def test_a_peer_whose_host_fails_during_its_close_is_dialled_again(
        self,
    ) -> None:
        # A sidecar announces its close, and its host loses power before the
        # connection is closed. The link no longer checked whether the peer was alive,
        # and never dialled the sidecar that replaced it.
        n_dialled = 0

        async def serve(peer: RawPeer) -> None:
            nonlocal n_dialled
            n_dialled += 1
            peer.send(hello_of("sidecar", incarnation=n_dialled)())
            peer.send(Closing())
            await peer.wait_closed()

        async with raw_listener(serve) as address, link_to(address):
            await until(lambda: n_dialled > 1, cap_s=5.0)

    @pytest.mark.usefixtures("fast")
    async def test_own_pause_does_not_drop_a_live_peer(
        self,
    ) -> None:
        # This process is paused for longer than the time after which an unresponsive
        # peer counts as dead. When it resumes, heartbeats of the peer are still
        # unread, and the pause must not be attributed to the peer.
        changes: list[bool] = []
        server = server_of()
        async with (
            server.listening(),
            link_to(
                server.address,
                on_change=lambda link: changes.append(link.connection is None),
            ) as link,
        ):
            await link.opened.wait()
            for _ in range(3):
                time.sleep(0.4)  # noqa: ASYNC251 - the pause itself
                await asyncio.sleep(0.1)
            assert changes == [False]

    async def test_a_heartbeat_that_raises_does_not_end_the_heartbeats(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Reading the load fails once. If this ended the heartbeats, the peer would
        # consider this process unresponsive and never send it work again.
        monkeypatch.setattr(connection_module, "HEARTBEAT_S", 0.02, raising=False)
        monkeypatch.setattr(link_module, "HEARTBEAT_S", 0.02, raising=False)
        n_built = 0

        def flaky() -> Heartbeat:
            nonlocal n_built
            n_built += 1
            if n_built == 2:
                raise RuntimeError("load cannot be read")
            return heartbeat()

        server = server_of()
        async with (
            server.listening(),
            link_to(server.address, own_heartbeat=flaky),
        ):
            await until(lambda: n_built > 4)
