"""Tells a peer that does not read for a while from one that is out of reach."""

import asyncio
import errno
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from absl import logging

UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
"""Time after which unacknowledged bytes break a connection.

A network partition is not detected in any other way.
"""

NO_TIMEOUT_MS: Final = 0
"""Leaves it to the kernel how long unacknowledged bytes may wait."""

CHECK_PERIOD_S: Final = 0.5
"""Period of the checks; a third of the time-out, so that a full window is seen."""

MAX_UNANSWERED_PROBES: Final = 2
"""Probes of a full window without an answer after which a peer is out of reach.

One may be lost, and one under way.
"""

INFO_BYTES: Final = 28
PROBES_AT: Final = 3
UNACKNOWLEDGED_AT: Final = 24
"""Size and offsets of the fields of the kernel's `tcp_info` that are read."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SendState:
    """What the kernel has still to send on a connection.

    Parameters
    ----------
    n_pending_bytes : int
        Bytes that the peer has not acknowledged, sent or not.
    n_in_flight : int
        Segments that are sent and not acknowledged.
    n_unanswered_probes : int
        Probes of a full window in a row to which no answer has come.
    """

    n_pending_bytes: int
    n_in_flight: int
    n_unanswered_probes: int

    @property
    def is_window_full(self) -> bool:
        """True if the peer has acknowledged all that it takes, and more is left."""
        return self.n_pending_bytes > 0 and not self.n_in_flight


def read_send_state(connection: socket.socket) -> SendState:
    """Return what the kernel has still to send on a connection.

    Raises
    ------
    OSError
        If the connection is closed, or the kernel does not tell.
    """
    descriptor = connection.fileno()
    if descriptor < 0:
        raise OSError(errno.EBADF, "the connection is closed")
    pending = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    return SendState(
        n_pending_bytes=struct.unpack("=i", pending)[0],
        n_in_flight=struct.unpack_from("=I", info, UNACKNOWLEDGED_AT)[0],
        n_unanswered_probes=info[PROBES_AT],
    )


class SendWatch:
    """Suspends the time-out of a connection while its peer's window is full.

    The kernel counts the time in which a peer acknowledges probes and reads nothing
    like the time in which nothing arrives from it. A busy worker that does not read a
    body for a while would lose its request.

    Parameters
    ----------
    peer : str
        Address of the peer, for the log.
    connection : socket.socket
        The connection, with `UNACKNOWLEDGED_TIMEOUT_MS` set.
    abort : callable
        Breaks the connection, as its peer is out of reach.
    """

    __slots__ = (
        "_abort",
        "_connection",
        "_is_recorded",
        "_is_suspended",
        "_peer",
        "_timer",
    )

    def __init__(
        self, *, peer: str, connection: socket.socket, abort: Callable[[], None]
    ) -> None:
        self._peer = peer
        self._is_recorded = False
        self._connection = connection
        self._abort = abort
        self._is_suspended = False
        self._timer: asyncio.TimerHandle | None = None
        self._check_later()

    def stop(self) -> None:
        """Stop watching, as the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def check(self, state: SendState) -> None:
        """Suspend or restore the time-out; abort if the peer is out of reach."""
        if state.is_window_full and state.n_unanswered_probes > MAX_UNANSWERED_PROBES:
            logging.info("%s is out of reach; closing the connection", self._peer)
            self._abort()
            return
        if state.is_window_full is not self._is_suspended:
            self._record_change(state)
            self._is_suspended = state.is_window_full
            timeout_ms = (
                NO_TIMEOUT_MS if self._is_suspended else UNACKNOWLEDGED_TIMEOUT_MS
            )
            self._connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )
        if state.n_pending_bytes:
            self._check_later()

    def _record_change(self, state: SendState) -> None:
        """Write a line when the peer first does not read; a slow one stops often."""
        if not self._is_recorded:
            self._is_recorded = True
            logging.info(
                "%s does not read; %d bytes wait for it",
                self._peer,
                state.n_pending_bytes,
            )

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_PERIOD_S, self._look)

    def _look(self) -> None:
        self._timer = None
        try:
            self.check(read_send_state(self._connection))
        except OSError as error:
            # The connection keeps its time-out, or is closed: the event loop reports
            # no loss of one whose attempt is cancelled as it opens.
            logging.debug("what a connection has to send is not known: %s", error)
