"""Generates traces from a seed: Poisson arrivals, log-normal sizes, shared prefixes."""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from .capacity import TargetCapacity, WorkOf, offered_share
from .scenarios import Scenario, scenario_of
from .trace import Head, Request, Trace
from .workloads import Mix, Workload

N_SAMPLES: Final = 1000
"""Number of requests sampled to estimate the mean work of a request."""

_AT_DECIMALS: Final = 4
_SEED_BITS: Final = 48


@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """The workload and the deployment that a trace is generated for.

    Parameters
    ----------
    workload : Workload
        Accounts and the requests that they send.
    targets : tuple of TargetCapacity
        The deployment's targets and their speeds.
    work_of : callable
        Target-seconds of each stage of a request.
    time_scale : float
        Factor on real deadlines and faults; `work_of` includes it already.
    """

    workload: Workload
    targets: tuple[TargetCapacity, ...]
    work_of: WorkOf
    time_scale: float


def generate(site: Site, *, scenario: str, seed: int) -> Trace:
    """Return the trace of one scenario; the same seed gives the same trace.

    The request rate is the scenario's share of the rate that the capacity can
    serve: the speed of the bottleneck service divided by the mean work that a
    request of the workload requires there, with every shared prefix cached.
    """
    plan = scenario_of(scenario, site.workload, site.time_scale)
    base_rate = plan.offered_share / _load_of_one_request_per_s(site)
    rng = random.Random(f"{site.workload.deployment}:{scenario}:{seed}")
    arrivals = sorted(_arrivals(site.workload, plan, base_rate, rng))
    requests = tuple(_request(at_s, account, site, rng) for at_s, account in arrivals)
    head = Head(
        name=scenario,
        origin=(
            f"generated: Poisson arrivals at {base_rate:.1f} requests a second, "
            f"which is {plan.offered_share:g} of the speed of the scarcest service "
            "over the mean work of a request with shared prefixes cached"
        ),
        seed=seed,
        deployment=site.workload.deployment,
        time_scale=site.time_scale,
        duration_s=plan.duration_s,
        offered_share=round(_offered(requests, plan, site), 3),
        faults=plan.faults,
        disturbed=plan.disturbed,
        bursting_account=plan.bursting_account,
        stated=plan.stated,
    )
    return Trace(head=head, requests=requests)


def _offered(requests: Sequence[Request], plan: Scenario, site: Site) -> float:
    return offered_share(
        requests,
        duration_s=plan.duration_s,
        targets=site.targets,
        work_of=site.work_of,
    )


def _load_of_one_request_per_s(site: Site) -> float:
    """Return the share of capacity used by a rate of one request a second."""
    rng = random.Random("mean work")
    account = site.workload.accounts[0].account
    sample = [_request(0.0, account, site, rng) for _ in range(N_SAMPLES)]
    return offered_share(
        sample, duration_s=N_SAMPLES, targets=site.targets, work_of=site.work_of
    )


def _arrivals(
    workload: Workload, plan: Scenario, base_rate: float, rng: random.Random
) -> Iterator[tuple[float, str]]:
    for share in workload.accounts:
        at_s = 0.0
        while True:
            rate = base_rate * share.share
            if _is_bursting(plan, share.account, at_s):
                rate *= plan.burst_factor
            at_s += rng.expovariate(rate)
            if at_s >= plan.duration_s:
                break
            yield round(at_s, _AT_DECIMALS), share.account


def _is_bursting(plan: Scenario, account: str, at_s: float) -> bool:
    if account != plan.bursting_account or plan.disturbed is None:
        return False
    return plan.disturbed.has(at_s)


def _request(at_s: float, account: str, site: Site, rng: random.Random) -> Request:
    mixes = site.workload.mixes
    (mix,) = rng.choices(mixes, weights=[mix.share for mix in mixes])
    has_prefix = mix.n_prefix_words > 0
    return Request(
        at_s=at_s,
        account=account,
        class_of_work=mix.class_of_work,
        pipeline=mix.pipeline,
        deadline_s=round(mix.deadline_s * site.time_scale, 3),
        priority=mix.priority,
        kind=mix.kind,
        n_words=_n_words(mix, rng),
        prefix=f"{account}:{mix.pipeline}" if has_prefix else "",
        n_prefix_words=mix.n_prefix_words,
        is_streamed=mix.is_streamed,
        is_keyed=mix.is_keyed,
        input_seed=rng.getrandbits(_SEED_BITS),
    )


def _n_words(mix: Mix, rng: random.Random) -> int:
    n_words = rng.lognormvariate(math.log(mix.median_words), mix.sigma)
    return max(1, min(mix.max_words, round(n_words)))
