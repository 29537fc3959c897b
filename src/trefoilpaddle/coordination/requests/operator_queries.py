"""Asks other processes what they know, without keeping links to them."""

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
"""Longest wait for one process; longer than ``SILENCE_S``, so a silent one shows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportedSteps:
    """What one process told of a request.

    Parameters
    ----------
    steps : tuple of Step
        Empty if it knows nothing.
    incarnation : int
        Which start of the process told it; 0 if that is not known.
    received_s : float
        Middle of the asking, by this process's monotonic clock.
    """

    steps: tuple[Step, ...]
    incarnation: int
    received_s: float


class OperatorQueries:
    """Asks listed processes the operators' questions.

    Parameters
    ----------
    peers : Peers
        The links that this process dials; one opened only for a question is
        closed after it, so that asking the whole fleet leaves no mesh behind.
    """

    __slots__ = ("_peers",)

    def __init__(self, *, peers: Peers) -> None:
        self._peers = peers

    async def steps(
        self, host: Host, request_id: str
    ) -> Result[ReportedSteps, Absence]:
        """Return what the process on `host` knows of a request."""
        async with self._link(host) as link:
            if link is None:
                return _absent(host, f"listed with a bad address {host.peer_address}")
            began_s = time.monotonic()
            answer = await link.ask(
                ExplainAsk(request_id=request_id), timeout_s=QUERY_TIMEOUT_S
            )
            received_s = (began_s + time.monotonic()) / 2
            match answer:
                case Ok(ExplainAnswer() as told):
                    return _told(host, told, link.peer, received_s=received_s)
                case other:
                    return _absent(host, _why(other))

    async def status(self, host: Host) -> Result[ProcessStatus, Absence]:
        """Return what the process on `host` says of itself."""
        async with self._link(host) as link:
            if link is None:
                return _absent(host, f"listed with a bad address {host.peer_address}")
            match await link.ask(StatusAsk(), timeout_s=QUERY_TIMEOUT_S):
                case Ok(StatusAnswer() as told):
                    return decode_process(told.status).map_err(
                        lambda detail: Absence(
                            process_id=host.process_id, detail=detail
                        )
                    )
                case other:
                    return _absent(host, _why(other))

    @contextlib.asynccontextmanager
    async def _link(self, host: Host) -> AsyncIterator[Link | None]:
        match Address.parse(host.peer_address):
            case Ok(address):
                was_open = address in self._peers.links
                try:
                    yield self._peers.link(address)
                finally:
                    if not was_open:
                        await self._peers.forget(address)
            case Err(_):
                yield None


def _told(
    host: Host, answer: ExplainAnswer, peer: Hello | None, *, received_s: float
) -> Result[ReportedSteps, Absence]:
    incarnation = peer.incarnation if peer is not None else 0
    if not answer.known:
        return Ok(
            ReportedSteps(steps=(), incarnation=incarnation, received_s=received_s)
        )
    match decode_steps(answer.records):
        case Ok(steps):
            return Ok(
                ReportedSteps(
                    steps=steps, incarnation=incarnation, received_s=received_s
                )
            )
        case Err(detail):
            return _absent(host, detail)


def _why(answer: Result[Message, PeerError]) -> str:
    match answer:
        case Err(error):
            return f"{error.step} {error.peer}: {error.detail}"
        case _:
            return "answered something else"


def _absent(host: Host, detail: str) -> Err[Absence]:
    return Err(Absence(process_id=host.process_id, detail=detail))
