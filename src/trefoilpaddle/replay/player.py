"""Replays a trace as open-loop load: answers never delay the next requests."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp

from .balancer import Balancer
from .client import Judge, send_request
from .faults import inject_faults
from .results import Answer, Replayed
from .system_under_test import SystemUnderTest
from .trace import Trace

START_DELAY_S: Final = 0.2
"""Time between the start of the player and the start of the trace."""

PRELUDE_S: Final = 4.0
"""Time between the warm-up requests and the trace."""

MAX_CONNECTIONS: Final = 2000

OnAnswer = Callable[[Answer], None]


async def play(
    trace: Trace,
    *,
    system: SystemUnderTest,
    judge: Judge,
    label: str,
    on_answer: OnAnswer,
    sends_deadline: bool = True,
) -> Replayed:
    """Send all requests of `trace` at their times and collect their answers.

    Parameters
    ----------
    trace : Trace
        The requests to send and the faults to inject.
    system : SystemUnderTest
        The processes that receive the requests and the faults.
    judge : Judge
        Classifies the texts of answers.
    label : str
        Name of the replay. Idempotency keys contain it, so that keys of different
        replays differ.
    on_answer : callable
        Called with each answer, to show progress.
    sends_deadline : bool
        False to send requests without their deadlines.
    """
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        player = _Player(
            trace=trace,
            session=session,
            balancer=Balancer(gateways=system.gateways),
            judge=judge,
            label=label,
            sends_deadline=sends_deadline,
        )
        await player.warm_up(system)
        await player.run(system, on_answer)
    replayed = player.replayed
    replayed.runs, replayed.n_lost_records = await system.records()
    replayed.answers.sort(key=lambda answer: answer.index)
    return replayed


class _Player:
    """Sends the requests of one trace."""

    __slots__ = (
        "_balancer",
        "_judge",
        "_sends_deadline",
        "_session",
        "_trace",
        "replayed",
    )

    def __init__(
        self,
        *,
        trace: Trace,
        session: aiohttp.ClientSession,
        balancer: Balancer,
        judge: Judge,
        label: str,
        sends_deadline: bool,
    ) -> None:
        self._trace = trace
        self._session = session
        self._balancer = balancer
        self._judge = judge
        self._sends_deadline = sends_deadline
        self.replayed = Replayed(label=label)

    async def warm_up(self, system: SystemUnderTest) -> None:
        """Warm up: send one uncounted request of each entry to each gateway.

        A gateway leases an entry's limits at its first request and refuses requests
        for some seconds until it has the lease. The replay must not measure that.
        """
        first: dict[tuple[str, str], int] = {}
        for index, request in enumerate(self._trace.requests):
            first.setdefault((request.account, request.class_of_work), index)
        if not first:
            return
        await asyncio.gather(
            *(
                self._send_now(index, gateway, key=f"prelude-{gateway}-{index}")
                for index in first.values()
                for gateway in system.gateways
            )
        )
        await asyncio.sleep(PRELUDE_S)
        await system.clear_records()

    async def run(self, system: SystemUnderTest, on_answer: OnAnswer) -> None:
        """Send all requests of the trace and inject its faults."""
        async with self._balancer.checking(self._session):
            begin = asyncio.get_running_loop().time() + START_DELAY_S
            async with asyncio.TaskGroup() as group:
                group.create_task(inject_faults(self._trace.head.faults, system, begin))
                for index in range(len(self._trace.requests)):
                    group.create_task(self._send_at_its_time(index, begin, on_answer))

    async def _send_at_its_time(
        self, index: int, begin: float, on_answer: OnAnswer
    ) -> None:
        loop = asyncio.get_running_loop()
        request = self._trace.requests[index]
        head = self._trace.head
        due = begin + request.at_s
        await asyncio.sleep(max(0.0, due - loop.time()))
        self.replayed.late_starts_s.append(max(0.0, loop.time() - due))
        key = f"{self.replayed.label}-{head.name}-{head.seed}-{index}"
        answer = await self._send_now(index, self._balancer.pick(), key=key)
        self.replayed.answers.append(answer)
        on_answer(answer)

    async def _send_now(self, index: int, gateway: str, *, key: str) -> Answer:
        return await send_request(
            session=self._session,
            gateway=gateway,
            index=index,
            request=self._trace.requests[index],
            judge=self._judge,
            key=key,
            sends_deadline=self._sends_deadline,
        )
