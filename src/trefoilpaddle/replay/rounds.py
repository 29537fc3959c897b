"""Replays one trace under the baseline policy, then under the product's."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Final

from ..state.settings import Choice, Order, PolicySettings
from .audit import find_violations
from .capacity import capacity_bound
from .client import GRACE_FACTOR, Judge
from .figures import figures_of
from .generate import Site
from .outcomes import AuditedReplay, Round
from .player import OnAnswer, play
from .system_under_test import SystemUnderTest
from .trace import Measure, Trace

BASELINE: Final = PolicySettings(
    choice=Choice.ROUND_ROBIN,
    order=Order.FIFO,
    refuse_early=False,
    split_deadline=False,
    retry_budget=False,
    hedge=False,
    eject_slow=False,
    prefix_affinity=False,
    adapt_concurrency=False,
    drop_expired=False,
)
"""Round robin, first in first out, without early refusal or retry budget.

Requests are sent without a deadline, so none is dropped, cancelled or delayed for
being late. A request is abandoned when its caller disconnects, after
`trefoilpaddle.replay.client.GRACE_FACTOR` deadlines.
"""

OpenSystem = Callable[
    [PolicySettings, float], AbstractAsyncContextManager[SystemUnderTest]
]
"""Starts new processes under a policy, with the entries' deadlines multiplied by a
factor, and stops them at the end of the context."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundSetup:
    """Parameters of a round other than its trace.

    Parameters
    ----------
    site : Site
        The deployment's targets and the cost of requests there.
    open_system : callable
        Starts the processes that receive the requests.
    judge : callable
        Classifies the texts of answers.
    once_paths : frozenset of str
        Paths of stages that must run at most once for a request.
    on_answer : callable
        Called with each answer, to show progress.
    """

    site: Site
    open_system: OpenSystem
    judge: Judge
    once_paths: frozenset[str]
    on_answer: OnAnswer


async def play_round(
    trace: Trace, *, product: PolicySettings, setup: RoundSetup
) -> Round:
    """Replay `trace` under the baseline, then the product, each on new processes.

    If the trace states an outcome relative to a run without faults, it is replayed
    once more under the product without its faults.
    """
    before = await play_under(trace, "baseline", BASELINE, setup, sends_deadline=False)
    after = await play_under(trace, "product", product, setup)
    fresh = None
    if _needs_fresh(trace):
        fresh = await play_under(trace.without_faults(), "fresh", product, setup)
    return Round(
        trace=trace,
        baseline=before,
        product=after,
        fresh=fresh,
        allowed=capacity_bound(
            trace, targets=setup.site.targets, work_of=setup.site.work_of
        ),
    )


async def play_under(
    trace: Trace,
    label: str,
    policy: PolicySettings,
    setup: RoundSetup,
    *,
    sends_deadline: bool = True,
) -> AuditedReplay:
    """Replay `trace` once under `policy` on new processes, and audit the result.

    Parameters
    ----------
    trace : Trace
        The trace to replay.
    label : str
        Name of the replay.
    policy : PolicySettings
        Policy of all gateways and sidecars.
    setup : RoundSetup
        The other parameters of the round.
    sends_deadline : bool
        False to send requests without deadlines, as for the baseline.
    """
    deadline_factor = 1.0 if sends_deadline else GRACE_FACTOR
    async with setup.open_system(policy, deadline_factor) as system:
        replayed = await play(
            trace,
            system=system,
            judge=setup.judge,
            label=label,
            on_answer=setup.on_answer,
            sends_deadline=sends_deadline,
        )
    found = find_violations(
        replayed, n_requests=len(trace.requests), once_paths=setup.once_paths
    )
    return AuditedReplay(
        replayed=replayed,
        figures=figures_of(trace, replayed),
        violations=tuple(found),
    )


def n_plays(trace: Trace) -> int:
    """Return how many times a round replays `trace`."""
    return 3 if _needs_fresh(trace) else 2


def _needs_fresh(trace: Trace) -> bool:
    return any(stated.measure is Measure.OF_FRESH for stated in trace.head.stated)
