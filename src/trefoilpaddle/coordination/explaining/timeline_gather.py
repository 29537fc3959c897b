"""Gathers the timeline of a request from the processes that took part in it."""

import asyncio
import time
from collections.abc import Iterable
from typing import Final

from result import Err, Ok, Result

from ...protocol.ids import RequestId
from ...state.hosts import Host, HostList
from ...state.timeline import Absence, Step, Timeline
from ...state.timeline_order import ProcessSteps, merge_steps
from ..requests.operator_queries import OperatorQueries, ReportedSteps

MAX_QUERIED: Final = 64
"""Largest number of other processes queried about one request."""


class TimelineGatherer:
    """Gathers the timeline of one request; create a new instance for each.

    The process that the request id names knows which sidecars and gateways took
    part; those are queried next. If that process is not available, all listed
    processes are queried, up to ``MAX_QUERIED``: a sidecar records its own steps.

    Parameters
    ----------
    queries : OperatorQueries
        Queries other processes.
    hosts : HostList
        The active host list.
    own_process_id, own_target : str
        This process, whose steps are known without a query, and its target.
    own_incarnation : int
        Incarnation of this process.
    """

    __slots__ = (
        "_absences",
        "_hosts",
        "_own_incarnation",
        "_own_process_id",
        "_own_target",
        "_queried",
        "_queries",
        "_reports",
    )

    def __init__(
        self,
        *,
        queries: OperatorQueries,
        hosts: HostList,
        own_process_id: str,
        own_target: str,
        own_incarnation: int,
    ) -> None:
        self._queries = queries
        self._hosts = hosts
        self._own_process_id = own_process_id
        self._own_target = own_target
        self._own_incarnation = own_incarnation
        self._reports: list[ProcessSteps] = []
        self._absences: list[Absence] = []
        self._queried = {own_process_id}

    async def gather(self, request_id: str, own_steps: Iterable[Step]) -> Timeline:
        """Return the timeline of the request, with the processes that are missing."""
        own_report = ProcessSteps(
            names=_names(self._own_process_id, self._own_target),
            steps=tuple(own_steps),
            reported_s=time.monotonic(),
        )
        self._reports.append(own_report)
        await self._query_home(request_id)
        while named := self._named():
            await self._query_all(named, request_id)
        if not any(report.steps for report in self._reports):
            await self._query_all(self._not_queried(), request_id)
        return Timeline(
            request_id=request_id,
            steps=merge_steps(self._reports, now_s=time.monotonic()),
            absences=tuple(self._absences),
        )

    async def _query_home(self, request_id: str) -> None:
        match RequestId.parse(request_id):
            case Err(detail):
                self._record_absence(request_id, detail)
            case Ok(parsed) if parsed.process_id == self._own_process_id:
                self._check_incarnation(parsed, self._own_incarnation)
            case Ok(parsed):
                await self._query_other_home(parsed, request_id)

    async def _query_other_home(self, parsed: RequestId, request_id: str) -> None:
        host = self._host(parsed.process_id)
        if host is None:
            self._record_absence(
                parsed.process_id, "is not on the host list; its place is gone"
            )
            await self._query_all(self._not_queried(), request_id)
            return
        match await self._query(host, request_id):
            case Ok(reported):
                self._check_incarnation(parsed, reported.incarnation)
            case Err(_):
                await self._query_all(self._not_queried(), request_id)

    def _check_incarnation(self, parsed: RequestId, incarnation: int) -> None:
        if incarnation != parsed.incarnation:
            detail = "was restarted since; what it knew before is gone"
            self._record_absence(parsed.process_id, detail)

    async def _query_all(self, hosts: list[Host], request_id: str) -> None:
        await asyncio.gather(*(self._query(host, request_id) for host in hosts))

    async def _query(
        self, host: Host, request_id: str
    ) -> Result[ReportedSteps, Absence]:
        self._queried.add(host.process_id)
        answer = await self._queries.steps(host, request_id)
        match answer:
            case Ok(reported):
                report = ProcessSteps(
                    names=_names(host.process_id, host.target),
                    steps=reported.steps,
                    reported_s=reported.received_s,
                )
                self._reports.append(report)
            case Err(absence):
                self._absences.append(absence)
        return answer

    def _named(self) -> list[Host]:
        """Return the processes named in the steps so far that were not queried yet."""
        names = {step.peer for report in self._reports for step in report.steps}
        named = [
            host
            for host in self._hosts.hosts
            if host.process_id not in self._queried
            and (host.process_id in names or (host.target and host.target in names))
        ]
        return named[: self._n_left()]

    def _not_queried(self) -> list[Host]:
        hosts = [h for h in self._hosts.hosts if h.process_id not in self._queried]
        if len(hosts) > self._n_left():
            self._record_absence(
                self._own_process_id,
                f"asked {self._n_left()} of {len(hosts)} processes that may know more",
            )
        return hosts[: self._n_left()]

    def _n_left(self) -> int:
        return max(0, MAX_QUERIED + 1 - len(self._queried))

    def _host(self, process_id: str) -> Host | None:
        for host in self._hosts.hosts:
            if host.process_id == process_id:
                return host
        return None

    def _record_absence(self, process_id: str, detail: str) -> None:
        self._absences.append(Absence(process_id=process_id, detail=detail))


def _names(process_id: str, target: str) -> frozenset[str]:
    return frozenset({process_id, target} - {""})
