"""Gathers a request's timeline from every process that took part in it."""

import asyncio
import time
from collections.abc import Iterable
from typing import Final

from result import Err, Ok, Result

from ...protocol.ids import RequestId
from ...state.hosts import Host, HostList
from ...state.timeline import Absence, Step, Timeline
from ...state.timeline_order import Heard, in_order
from ..requests.operator_queries import OperatorQueries, ReportedSteps

MAX_ASKED: Final = 64
"""Most processes asked about one request."""


class TimelineGatherer:
    """Asks for one request; use a new one for each.

    The process that the id names knows which sidecars and gateways took part;
    those are asked next. When that process is gone, all listed ones are asked,
    up to ``MAX_ASKED``: a sidecar remembers its own part.

    Parameters
    ----------
    asker : OperatorQueries
        Asks other processes.
    hosts : HostList
        The list in force.
    own_process_id, own_target : str
        This process, whose steps are known without asking, and its target.
    own_incarnation : int
        Which start of it this is.
    """

    __slots__ = (
        "_absences",
        "_asked",
        "_asker",
        "_heards",
        "_hosts",
        "_own_incarnation",
        "_own_process_id",
        "_own_target",
    )

    def __init__(
        self,
        *,
        asker: OperatorQueries,
        hosts: HostList,
        own_process_id: str,
        own_target: str,
        own_incarnation: int,
    ) -> None:
        self._asker = asker
        self._hosts = hosts
        self._own_process_id = own_process_id
        self._own_target = own_target
        self._own_incarnation = own_incarnation
        self._heards: list[Heard] = []
        self._absences: list[Absence] = []
        self._asked = {own_process_id}

    async def gather(self, request_id: str, own_steps: Iterable[Step]) -> Timeline:
        """Return the request's timeline, with what is missing from it."""
        own = Heard(
            names=_names(self._own_process_id, self._own_target),
            steps=tuple(own_steps),
            heard_s=time.monotonic(),
        )
        self._heards.append(own)
        await self._ask_home(request_id)
        while named := self._named():
            await self._ask_all(named, request_id)
        if not any(heard.steps for heard in self._heards):
            await self._ask_all(self._not_asked(), request_id)
        return Timeline(
            request_id=request_id,
            steps=in_order(self._heards, now_s=time.monotonic()),
            absences=tuple(self._absences),
        )

    async def _ask_home(self, request_id: str) -> None:
        match RequestId.parse(request_id):
            case Err(detail):
                self._miss(request_id, detail)
            case Ok(parsed) if parsed.process_id == self._own_process_id:
                self._note_start(parsed, self._own_incarnation)
            case Ok(parsed):
                await self._ask_named_home(parsed, request_id)

    async def _ask_named_home(self, parsed: RequestId, request_id: str) -> None:
        host = self._host(parsed.process_id)
        if host is None:
            self._miss(parsed.process_id, "is not on the host list; its place is gone")
            await self._ask_all(self._not_asked(), request_id)
            return
        match await self._ask(host, request_id):
            case Ok(told):
                self._note_start(parsed, told.incarnation)
            case Err(_):
                await self._ask_all(self._not_asked(), request_id)

    def _note_start(self, parsed: RequestId, incarnation: int) -> None:
        if incarnation != parsed.incarnation:
            detail = "was restarted since; what it knew before is gone"
            self._miss(parsed.process_id, detail)

    async def _ask_all(self, hosts: list[Host], request_id: str) -> None:
        await asyncio.gather(*(self._ask(host, request_id) for host in hosts))

    async def _ask(self, host: Host, request_id: str) -> Result[ReportedSteps, Absence]:
        self._asked.add(host.process_id)
        answer = await self._asker.steps(host, request_id)
        match answer:
            case Ok(told):
                heard = Heard(
                    names=_names(host.process_id, host.target),
                    steps=told.steps,
                    heard_s=told.received_s,
                )
                self._heards.append(heard)
            case Err(absence):
                self._absences.append(absence)
        return answer

    def _named(self) -> list[Host]:
        """Return who is named in the steps so far and was not asked yet."""
        names = {step.peer for heard in self._heards for step in heard.steps}
        named = [
            host
            for host in self._hosts.hosts
            if host.process_id not in self._asked
            and (host.process_id in names or (host.target and host.target in names))
        ]
        return named[: self._left()]

    def _not_asked(self) -> list[Host]:
        hosts = [h for h in self._hosts.hosts if h.process_id not in self._asked]
        if len(hosts) > self._left():
            self._miss(
                self._own_process_id,
                f"asked {self._left()} of {len(hosts)} processes that may know more",
            )
        return hosts[: self._left()]

    def _left(self) -> int:
        return max(0, MAX_ASKED + 1 - len(self._asked))

    def _host(self, process_id: str) -> Host | None:
        for host in self._hosts.hosts:
            if host.process_id == process_id:
                return host
        return None

    def _miss(self, process_id: str, detail: str) -> None:
        self._absences.append(Absence(process_id=process_id, detail=detail))


def _names(process_id: str, target: str) -> frozenset[str]:
    return frozenset({process_id, target} - {""})
