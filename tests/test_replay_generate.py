"""Generated traces: reproducible by seed, at the stated share of capacity."""

import pytest

from trefoilpaddle.replay.capacity import StageWork, TargetCapacity
from trefoilpaddle.replay.generate import Site, generate
from trefoilpaddle.replay.scenarios import SCENARIOS
from trefoilpaddle.replay.trace import Request
from trefoilpaddle.replay.workloads import WORKLOADS


def work_of(request: Request) -> list[StageWork]:
    n_words = request.n_words + request.n_prefix_words
    work_s = 0.05 + 0.0002 * n_words
    return [
        StageWork(service="encode", work_s=0.01, unloaded_s=0.01),
        StageWork(service="draft", work_s=work_s, unloaded_s=work_s),
    ]


def make_site(deployment: str) -> Site:
    targets = tuple(
        TargetCapacity(
            name=f"{service}-{number}",
            service=service,
            failure_domain=f"fd-{number % 4 + 1}",
            speed=1.0,
        )
        for service, n_targets in (("encode", 4), ("draft", 9))
        for number in range(n_targets)
    )
    return Site(
        workload=WORKLOADS[deployment], targets=targets, work_of=work_of, time_scale=0.4
    )


class TestGenerate:
    @pytest.mark.parametrize("deployment", sorted(WORKLOADS))
    @pytest.mark.parametrize("scenario", SCENARIOS)
    def test_trace_is_reproducible_by_seed(
        self, deployment: str, scenario: str
    ) -> None:
        site = make_site(deployment)
        first = generate(site, scenario=scenario, seed=3)
        assert first == generate(site, scenario=scenario, seed=3)
        assert first.requests != generate(site, scenario=scenario, seed=4).requests

    def test_offered_load_matches_the_scenario(self) -> None:
        trace = generate(make_site("garantia"), scenario="overload", seed=1)
        assert trace.head.offered_share == pytest.approx(1.5, rel=0.15)

    def test_burst_raises_the_rate_of_one_account_only(self) -> None:
        trace = generate(make_site("baird"), scenario="burst", seed=1)
        head = trace.head
        assert head.disturbed is not None
        before = [each for each in trace.requests if each.at_s < head.disturbed.begin_s]
        during = [each for each in trace.requests if head.disturbed.has(each.at_s)]
        counts = [
            sum(each.account == head.bursting_account for each in part)
            for part in (before, during)
        ]
        others = [len(before) - counts[0], len(during) - counts[1]]
        assert 5.0 <= counts[1] / counts[0] <= 10.0
        assert others[1] / others[0] == pytest.approx(1.0, rel=0.3)

    @pytest.mark.parametrize("deployment", sorted(WORKLOADS))
    def test_shares_sum_to_one(self, deployment: str) -> None:
        workload = WORKLOADS[deployment]
        assert sum(mix.share for mix in workload.mixes) == pytest.approx(1.0)
        assert sum(each.share for each in workload.accounts) == pytest.approx(1.0)

    def test_unknown_scenario_error_lists_the_known_ones(self) -> None:
        with pytest.raises(ValueError, match="known: calm"):
            generate(make_site("baird"), scenario="storm", seed=1)
