"""The repeats of all gateways together stay within the published budget."""

from trefoilpaddle.state.chain.repeat_budget import RepeatBudget


def n_spent(budget: RepeatBudget, n: int, now_s: float) -> int:
    return sum(budget.spend(now_s) for _ in range(n))


def budget(**fields: float) -> RepeatBudget:
    known = {"ratio": 0.2, "slack": 40.0, "window_s": 10.0}
    n_gateways = int(fields.pop("n_gateways", 4))
    return RepeatBudget(n_gateways=lambda: n_gateways, **(known | fields))


class TestRepeatBudget:
    def test_shares_of_the_slack_add_up(self) -> None:
        gateways = [budget(n_gateways=4) for _ in range(4)]
        assert sum(n_spent(each, 100, 0.0) for each in gateways) <= 40

    def test_requests_earn_repeats(self) -> None:
        alone = budget(slack=0.0)
        for _ in range(100):
            alone.earn(0.0)
        assert n_spent(alone, 100, 0.0) == 16

    def test_repeats_before_the_window_do_not_count(self) -> None:
        alone = budget(n_gateways=1)
        first = n_spent(alone, 100, 0.0)
        assert n_spent(alone, 100, 5.0) == 0
        assert n_spent(alone, 100, 10.1) == first
