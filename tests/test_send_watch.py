"""When the time-out for unacknowledged bytes of a connection is suspended."""

import asyncio
import logging
import socket
from collections.abc import Callable, Iterator

import pytest

from trefoilpaddle.transport.send_watch import (
    MAX_UNANSWERED_PROBES,
    UNACKNOWLEDGED_TIMEOUT_MS,
    SendState,
    SendWatch,
    read_send_state,
)

from .waiting import until

FULL = SendState(n_pending_bytes=1000, n_in_flight=0, n_unanswered_probes=1)
IN_FLIGHT = SendState(n_pending_bytes=1000, n_in_flight=1, n_unanswered_probes=0)
SENT = SendState(n_pending_bytes=0, n_in_flight=0, n_unanswered_probes=0)
OUT_OF_REACH = SendState(
    n_pending_bytes=1000, n_in_flight=0, n_unanswered_probes=MAX_UNANSWERED_PROBES + 1
)


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Yield both ends of a connection whose first end has the time-out."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        sending = socket.create_connection(listening.getsockname())
        reading, _ = listening.accept()
    sending.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    with sending, reading:
        yield sending, reading


def _timeout_ms(connection: socket.socket) -> int:
    return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def _fill(connection: socket.socket) -> None:
    connection.setblocking(False)
    try:
        while True:
            connection.send(bytes(65536))
    except BlockingIOError:
        return


class TestSendState:
    async def test_a_peer_that_does_not_read_has_a_full_window(
        self, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        sending, _ = pair
        _fill(sending)
        await until(lambda: read_send_state(sending).is_window_full)

    async def test_nothing_is_pending_at_a_peer_that_has_read(
        self, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        sending, reading = pair
        sending.sendall(b"request")
        assert reading.recv(100) == b"request"
        await until(lambda: not read_send_state(sending).n_pending_bytes)

    async def test_a_closed_connection_raises_an_os_error(
        self, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        pair[0].close()
        with pytest.raises(OSError, match="closed"):
            read_send_state(pair[0])


class TestSendWatch:
    # Guards against links that are cut and not detected any more, once the window of
    # the peer was full.
    @pytest.mark.parametrize("later", [IN_FLIGHT, SENT])
    async def test_the_time_out_holds_again_after_a_full_window(
        self, later: SendState, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        watch = SendWatch(peer="worker", connection=pair[0], abort=_unexpected)
        watch.check(FULL)
        assert _timeout_ms(pair[0]) == 0
        watch.check(later)
        assert _timeout_ms(pair[0]) == UNACKNOWLEDGED_TIMEOUT_MS
        watch.stop()

    async def test_bytes_in_flight_do_not_suspend_it(
        self, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        watch = SendWatch(peer="worker", connection=pair[0], abort=_unexpected)
        watch.check(IN_FLIGHT)
        assert _timeout_ms(pair[0]) == UNACKNOWLEDGED_TIMEOUT_MS
        watch.stop()

    # Guards against a log that is full of a peer which reads slowly.
    async def test_a_peer_that_does_not_read_has_one_line(
        self,
        pair: tuple[socket.socket, socket.socket],
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        caplog.set_level(logging.INFO)
        watch = SendWatch(peer="worker", connection=pair[0], abort=_unexpected)
        for state in (FULL, IN_FLIGHT, FULL, SENT):
            watch.check(state)
        watch.stop()
        lines = [each.message for each in caplog.records]
        assert lines == ["worker does not read; 1000 bytes wait for it"]

    # Guards against a link that is cut while its peer's window is full.
    async def test_a_peer_that_answers_no_probe_is_out_of_reach(
        self, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        aborted: list[bool] = []
        watch = SendWatch(
            peer="worker", connection=pair[0], abort=lambda: aborted.append(True)
        )
        watch.check(FULL)
        watch.check(OUT_OF_REACH)
        watch.stop()
        assert aborted == [True]

    # Guards against a watch that goes on with a descriptor of another connection.
    async def test_a_closed_connection_is_not_watched(
        self,
        pair: tuple[socket.socket, socket.socket],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr("trefoilpaddle.transport.send_watch.CHECK_PERIOD_S", 0.01)
        n_read = 0
        original: Callable[[socket.socket], SendState] = read_send_state

        def count(connection: socket.socket) -> SendState:
            nonlocal n_read
            n_read += 1
            return original(connection)

        monkeypatch.setattr("trefoilpaddle.transport.send_watch.read_send_state", count)
        _fill(pair[0])
        watch = SendWatch(peer="worker", connection=pair[0], abort=_unexpected)
        await until(lambda: n_read > 1)
        watch.stop()
        n_before = n_read
        await asyncio.sleep(0.05)
        assert n_read == n_before


def _unexpected() -> None:
    raise AssertionError("the connection was broken")
