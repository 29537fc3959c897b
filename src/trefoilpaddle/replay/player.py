"""Plays a trace with open-loop load: a request is sent at its time, come what may."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp

from .balancer import Balancer
from .client import Judge, ask
from .faults import drive_faults
from .plant import Plant
from .results import Answer, Replayed
from .trace import Trace

LEAD_S: Final = 0.2
"""Time between the start of the player and the start of the trace."""

MAX_CONNECTIONS: Final = 2000

OnAnswer = Callable[[Answer], None]


async def play(
    trace: Trace, *, plant: Plant, judge: Judge, label: str, on_answer: OnAnswer
) -> Replayed:
    """Send all requests of `trace` at their times and collect what came of them.

    Parameters
    ----------
    trace : Trace
        What to send and what goes wrong.
    plant : Plant
        What to play against.
    judge : Judge
        Tells a right answer from a wrong one.
    label : str
        Names the run; idempotency keys carry it, so that runs don't mix.
    on_answer : callable
        Called with each answer; shows progress.
    """
    replayed = Replayed(label=label)
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        balancer = Balancer(gateways=plant.gateways)
        async with balancer.checking(session):
            begin = asyncio.get_running_loop().time() + LEAD_S
            async with asyncio.TaskGroup() as group:
                group.create_task(drive_faults(trace.head.faults, plant, begin))
                for index in range(len(trace.requests)):
                    call = _one(trace, index, session, balancer, judge, begin, replayed)
                    group.create_task(call).add_done_callback(
                        lambda task: on_answer(task.result())
                    )
    replayed.runs, replayed.n_lost_records = await plant.records()
    replayed.answers.sort(key=lambda answer: answer.index)
    return replayed


async def _one(
    trace: Trace,
    index: int,
    session: aiohttp.ClientSession,
    balancer: Balancer,
    judge: Judge,
    begin: float,
    replayed: Replayed,
) -> Answer:
    loop = asyncio.get_running_loop()
    request = trace.requests[index]
    due = begin + request.at_s
    await asyncio.sleep(max(0.0, due - loop.time()))
    replayed.late_starts_s.append(max(0.0, loop.time() - due))
    answer = await ask(
        session=session,
        gateway=balancer.pick(),
        index=index,
        request=request,
        judge=judge,
        key=f"{replayed.label}-{trace.head.name}-{trace.head.seed}-{index}",
    )
    replayed.answers.append(answer)
    return answer
