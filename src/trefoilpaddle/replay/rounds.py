"""Plays one trace under the baseline and the product, one after the other."""

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
"""Round robin, first come first served, no refusal, no budget.

Requests are sent without a deadline: nothing is dropped, cancelled or put off
because it is late. It is given up when its caller leaves, after
`trefoilpaddle.replay.client.GRACE_FACTOR` deadlines.
"""

OpenSystem = Callable[
    [PolicySettings, float], AbstractAsyncContextManager[SystemUnderTest]
]
"""Starts fresh processes under a policy, with the entries' deadlines multiplied
by a factor, and ends them with the context."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoundSetup:
    """What a round needs besides its trace.

    Parameters
    ----------
    site : Site
        The deployment's targets and what a request costs there.
    open_system : callable
        Starts the processes to play against.
    judge : callable
        Tells a right answer from a wrong one.
    once_paths : frozenset of str
        Paths of stages that must run at most once.
    on_answer : callable
        Shows progress.
    """

    site: Site
    open_system: OpenSystem
    judge: Judge
    once_paths: frozenset[str]
    on_answer: OnAnswer


async def play_round(
    trace: Trace, *, product: PolicySettings, setup: RoundSetup
) -> Round:
    """Play `trace` under the baseline, then the product; each on fresh processes.

    Where the trace states an outcome against a fresh run, the product plays it
    once more without its faults.
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
    """Play `trace` once under `policy` on fresh processes, and audit it.

    Parameters
    ----------
    trace : Trace
        What to play.
    label : str
        Names the play.
    policy : PolicySettings
        Of every gateway and sidecar.
    setup : RoundSetup
        The rest.
    sends_deadline : bool
        False plays it without deadlines, as the baseline.
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
    """Return how many times a round plays `trace`."""
    return 3 if _needs_fresh(trace) else 2


def _needs_fresh(trace: Trace) -> bool:
    return any(stated.measure is Measure.OF_FRESH for stated in trace.head.stated)
