"""Overlay and subsets: reachability, balance, spread and stability."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.coordination.members.overlay import FAN_OUT, neighbours
from trefoilpaddle.coordination.members.subset import subset
from trefoilpaddle.state.hosts import Host


def sidecar(number: int, *, n_domains: int = 5) -> Host:
    return Host(
        name=f"t{number}",
        failure_domain=f"d{number % n_domains}",
        role="sidecar",
        peer_address="127.0.0.1:1",
        service="s",
    )


class TestOverlay:
    @given(n=st.integers(1, 60))
    def test_every_member_is_reachable_from_another(self, n: int) -> None:
        names = [f"p{number}" for number in range(n)]
        links = {name: neighbours(name, names) for name in names}
        assert all(len(chosen) <= FAN_OUT for chosen in links.values())
        reached = {names[0]}
        front = list(reached)
        while front:
            front = [new for name in front for new in links[name] if new not in reached]
            reached.update(front)
        assert reached == set(names)

    def test_one_more_member_changes_few_links(self) -> None:
        names = [f"p{number}" for number in range(200)]
        before = {name: set(neighbours(name, names)) for name in names}
        after = {name: set(neighbours(name, [*names, "new"])) for name in names}
        n_changed = sum(len(after[name] - before[name]) for name in names)
        assert n_changed <= 4 * FAN_OUT


class TestSubset:
    def test_all_targets_are_chosen_if_they_are_few(self) -> None:
        targets = [sidecar(number) for number in range(9)]
        assert subset("g1", ["g1", "g2"], targets) == targets

    def test_targets_are_in_nearly_equal_numbers_of_subsets(self) -> None:
        gateways = [f"g{number}" for number in range(400)]
        targets = [sidecar(number) for number in range(91)]
        used = Counter(
            host.name
            for gateway in gateways
            for host in subset(gateway, gateways, targets, n=16)
        )
        assert max(used.values()) - min(used.values()) <= 2

    def test_each_subset_is_spread_over_the_domains(self) -> None:
        gateways = [f"g{number}" for number in range(40)]
        targets = [sidecar(number) for number in range(91)]
        for gateway in gateways:
            chosen = subset(gateway, gateways, targets, n=16)
            per_domain = Counter(host.failure_domain for host in chosen)
            assert len(per_domain) == 5
            assert max(per_domain.values()) <= 5

    def test_one_less_target_changes_few_subset_members(self) -> None:
        gateways = [f"g{number}" for number in range(40)]
        targets = [sidecar(number) for number in range(91)]
        for gateway in gateways:
            before = {h.name for h in subset(gateway, gateways, targets, n=16)}
            after = {h.name for h in subset(gateway, gateways, targets[1:], n=16)}
            assert len(after - before) <= 4
