"""Whether the gateways have had the time to reach a sidecar that started."""

import time
from collections.abc import Callable
from typing import Final

from ..state.hosts import HostState
from ..state.published import Published
from ..transport.link import BACKOFF_MAX_S
from ..transport.server import PeerServer

REACH_S: Final = 2 * BACKOFF_MAX_S
"""A peer that dials a process again waits at most this long between dials."""


class Reach:
    """Tells from when on new work finds its way to this process.

    Guards a rolling replacement: a sidecar that calls itself ready before any
    gateway has dialled it again lets its operator stop the next one, and for a
    moment no target of the service can be given work; callers are refused.

    Parameters
    ----------
    server : PeerServer
        Where the gateways connect.
    published : Published
        Lists the gateways.
    clock : callable
        Monotonic seconds.
    """

    __slots__ = ("_born_s", "_clock", "_published", "_server")

    def __init__(
        self,
        *,
        server: PeerServer,
        published: Published,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._server = server
        self._published = published
        self._clock = clock
        self._born_s = clock()

    def is_given(self) -> bool:
        """Return True once all live gateways are connected, or had the time."""
        if self._clock() - self._born_s >= REACH_S:
            return True
        connected = {each.peer.process_id for each in self._server.connections}
        listed = {
            host.process_id
            for host in self._published.hosts.hosts
            if host.role == "gateway" and host.state is HostState.LIVE
        }
        return bool(listed) and listed <= connected
