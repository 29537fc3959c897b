"""Operators' queries to other processes, without keeping links to them."""

import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from ...protocol.errors import PeerError
from ...protocol.frames import Message
from ...protocol.gen.explain.ttypes import (
    ExplainAnswer,
    ExplainAsk,
    StatusAnswer,
    StatusAsk,
)
from ...protocol.gen.stage.ttypes import Hello
from ...state.hosts import Host
from ...state.status import ProcessStatus, decode_process
from ...state.timeline import Absence, Step, decode_steps
from ...transport.connection import Address
from ...transport.link import Link
from ...transport.peers import Peers

QUERY_TIMEOUT_S: Final = 3.0
"""Longest wait for one process.

Longer than ``UNRESPONSIVE_AFTER_S``, so that an unresponsive process is recognised
as such.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedSteps:
    """What one process reported about a request.

    Parameters
    ----------
    steps : tuple of Step
        Recorded steps; empty if the process does not know the request.
    incarnation : int
        Incarnation of the process that replied; 0 if it is not known.
    received_s : float
        Midpoint between query and reply, in seconds of this process's monotonic
        clock.
    """

    steps: tuple[Step, ...]
    incarnation: int
    received_s: float


class OperatorQueries:
    """Sends the operators' queries to listed processes.

    Parameters
    ----------
    peers : Peers
        The links that this process dials. A link opened only for a query is
        closed after it, so that querying the whole fleet does not leave this
        process linked to every other one.
    """

    __slots__ = ("_peers",)

    def __init__(self, *, peers: Peers) -> None:
        self._peers = peers

    async def steps(
        self, host: Host, request_id: str
    ) -> Result[ReportedSteps, Absence]:
        """Return the steps that the process on `host` recorded of a request."""
        async with self._link(host) as link:
            if link is None:
                return _absent(host, f"listed with a bad address {host.peer_address}")
            began_s = time.monotonic()
            result = await link.ask(
                ExplainAsk(request_id=request_id), timeout_s=QUERY_TIMEOUT_S
            )
            received_s = (began_s + time.monotonic()) / 2
            match result:
                case Ok(ExplainAnswer() as reply):
                    return _reported_steps(
                        host, reply, link.peer, received_s=received_s
                    )
                case other:
                    return _absent(host, _failure_detail(other))

    async def status(self, host: Host) -> Result[ProcessStatus, Absence]:
        """Return the status that the process on `host` reports."""
        async with self._link(host) as link:
            if link is None:
                return _absent(host, f"listed with a bad address {host.peer_address}")
            match await link.ask(StatusAsk(), timeout_s=QUERY_TIMEOUT_S):
                case Ok(StatusAnswer() as reply):
                    return decode_process(reply.status).map_err(
                        lambda detail: Absence(
                            process_id=host.process_id, detail=detail
                        )
                    )
                case other:
                    return _absent(host, _failure_detail(other))

    @contextlib.asynccontextmanager
    async def _link(self, host: Host) -> AsyncIterator[Link | None]:
        match Address.parse(host.peer_address):
            case Ok(address):
                was_open = address in self._peers.links
                try:
                    yield self._peers.link(address)
                finally:
                    if not was_open:
                        await self._peers.close_link(address)
            case Err(_):
                yield None


def _reported_steps(
    host: Host, reply: ExplainAnswer, peer: Hello | None, *, received_s: float
) -> Result[ReportedSteps, Absence]:
    incarnation = peer.incarnation if peer is not None else 0
    if not reply.known:
        return Ok(
            ReportedSteps(steps=(), incarnation=incarnation, received_s=received_s)
        )
    match decode_steps(reply.records):
        case Ok(steps):
            return Ok(
                ReportedSteps(
                    steps=steps, incarnation=incarnation, received_s=received_s
                )
            )
        case Err(detail):
            return _absent(host, detail)


def _failure_detail(result: Result[Message, PeerError]) -> str:
    match result:
        case Err(error):
            return f"{error.step} {error.peer}: {error.detail}"
        case _:
            return "answered something else"


def _absent(host: Host, detail: str) -> Err[Absence]:
    return Err(Absence(process_id=host.process_id, detail=detail))
