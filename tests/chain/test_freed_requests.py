"""Requests are freed as they end, without the cyclic garbage collector."""

import asyncio
import gc
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest

from trefoilpaddle.state.chain.requests import CallerRequest
from trefoilpaddle.state.chain.routes import RepeatPolicy, Route
from trefoilpaddle.state.chain.target_answers import CallFault

from ..waiting import until
from .fakes import FakeAnswer, FakeCalls, Script, route
from .test_request_path import HeldChecks, Rig, Serving, leave


@pytest.fixture
def without_collector() -> Iterator[None]:
    """Keep the cyclic collector off during a test."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def n_alive() -> int:
    """Return the number of requests that have not been freed."""
    return sum(type(each) is CallerRequest for each in gc.get_objects())


@dataclass(slots=True, kw_only=True)
class Ending:
    """A way in which a request ends.

    Parameters
    ----------
    of_route : Route
        The route of the request.
    scripts : list of Script
        What its workers answer.
    end : callable or None
        Ends the request while its worker is checked; None if it ends by itself.
    """

    of_route: Route
    scripts: list[Script] = field(default_factory=lambda: [FakeAnswer()])
    end: Callable[[Rig, Serving], None] | None = None


def stop(rig: Rig, serving: Serving) -> None:
    """End the time in which requests are sent to workers."""
    rig.stop_sending()


ONCE = route()
IDEMPOTENT = route(repeat=RepeatPolicy.IDEMPOTENT)

ENDINGS = {
    "answered": Ending(of_route=ONCE),
    "answered stream": Ending(
        of_route=route(is_stream=True), scripts=[FakeAnswer(n_events=2)]
    ),
    "refused by its workers": Ending(
        of_route=ONCE, scripts=[CallFault.FULL, CallFault.FULL]
    ),
    "failed": Ending(of_route=ONCE, scripts=[CallFault.BROKEN]),
    "refused at a stop": Ending(of_route=ONCE, end=stop),
    "idempotent, refused at a stop": Ending(of_route=IDEMPOTENT, end=stop),
    "left by its caller": Ending(of_route=ONCE, end=leave),
    "idempotent, left by its caller": Ending(of_route=IDEMPOTENT, end=leave),
}


class TestFreedRequests:
    async def kept_after(self, ending: Ending) -> int:
        """Return how many requests are kept after one has ended."""
        n_before = n_alive()
        calls = FakeCalls(scripts=ending.scripts)
        if ending.end is not None:
            calls = HeldChecks(scripts=ending.scripts)
        rig = Rig(calls, ending.of_route)
        if ending.end is not None:
            rig.record_crash()
        serving = asyncio.create_task(rig.serve())
        if ending.end is not None:
            await until(lambda: calls.n_checks)
            ending.end(rig, serving)
        await asyncio.gather(serving, return_exceptions=True)
        await rig.finished()
        # The script has the calls that were sent.
        calls.sent.clear()
        del serving
        # A task that has ended is freed in the next turn of the event loop.
        await asyncio.sleep(0)
        return n_alive() - n_before

    async def test_no_request_outlives_its_end(self, without_collector: None) -> None:
        # Guards against bodies that fill the memory of a gateway that is idle, as they
        # stay until the cyclic collector runs.
        kept = [name for name, each in ENDINGS.items() if await self.kept_after(each)]
        assert kept == []
