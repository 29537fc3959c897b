"""Whether a request can be on time, told at the door before anything is paid for."""

from dataclasses import dataclass
from typing import Final

from ...state.chain.requests import CallerRequest
from ...state.chain.routes import Route
from .piece_homes import PieceHomes

ENGINE_S: Final = 0.25
"""Time from the last stage to the first event: prompt, queue and first step.

A prompt of 10,000 tokens is read in 0.15 to 0.25 s at the published 40 to 70
tokens a millisecond.
"""

MIN_RETRY_AFTER_S: Final = 0.2
"""Shortest time after which a refused caller is asked back: about one call."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Forecast:
    """When a request would have its first event.

    Parameters
    ----------
    finish_s : float
        Seconds from now.
    has_workers : bool
        False if a stage has no worker at all.
    """

    finish_s: float
    has_workers: bool


def forecast(request: CallerRequest, route: Route, homes: PieceHomes) -> Forecast:
    """Return when the stages and the model would be done, as queues stand now.

    Parameters
    ----------
    request : CallerRequest
        Says how many pieces each stage has.
    route : Route
        Says which stages follow which.
    homes : PieceHomes
        Knows the queues.
    """
    done_s: list[float] = []
    for number, plan in enumerate(route.stages):
        n_pieces = request.n_pieces[number] if number < len(request.n_pieces) else 1
        begin_s = max((done_s[before] for before in plan.after), default=0.0)
        if not n_pieces:
            done_s.append(begin_s)
            continue
        wait_s = homes.wait_s(plan.service, n_pieces)
        if wait_s is None:
            return Forecast(finish_s=0.0, has_workers=False)
        call_s = homes.call_s(plan.service, n_pieces)
        # A later stage's queue is shorter by what is done until then, but the
        # running call may be the whole of it.
        done_s.append(begin_s + max(call_s, wait_s - begin_s))
    stages_s = max(done_s, default=0.0)
    return Forecast(finish_s=stages_s + ENGINE_S, has_workers=True)


def retry_after_s(finish_s: float, target_s: float) -> float:
    """Return when a refused request would be on time if it came anew."""
    return max(MIN_RETRY_AFTER_S, finish_s - target_s)
