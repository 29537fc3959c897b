"""Which targets got which prefixes: what is kept, and for how long."""

from trefoilpaddle.state.prefix_holders import PrefixHolders

KEEP_S = 60.0


def holders(*, n_prefixes: int = 10, n_holders: int = 2) -> PrefixHolders[str]:
    return PrefixHolders(n_prefixes=n_prefixes, n_holders=n_holders, keep_s=KEEP_S)


class TestPrefixHolders:
    def test_a_record_counts_until_it_is_too_old(self) -> None:
        kept = holders()
        kept.record(["a"], "t1", 0.0)
        kept.record(["a"], "t2", 1.0)
        assert kept.holders_of("a", KEEP_S) == ["t1", "t2"]
        assert kept.holders_of("a", KEEP_S + 1.0) == ["t2"]
        assert not kept.has("a", "t1", KEEP_S + 1.0)
        assert not kept.has("b", "t2", 1.0)

    def test_prefixes_used_longest_ago_are_forgotten(self) -> None:
        kept = holders(n_prefixes=2)
        kept.record(["a", "b"], "t1", 0.0)
        kept.record(["a", "c"], "t1", 1.0)
        assert [kept.has(prefix, "t1", 1.0) for prefix in "abc"] == [True, False, True]

    def test_the_target_that_got_it_longest_ago_makes_room(self) -> None:
        kept = holders(n_holders=2)
        for number, target in enumerate(["t1", "t2", "t1", "t3"]):
            kept.record(["a"], target, float(number))
        assert sorted(kept.holders_of("a", 3.0)) == ["t1", "t3"]

    def test_a_target_that_ended_holds_nothing(self) -> None:
        """An engine starts again under its old id with an empty cache. A record
        of its last start would draw prompts there that it must read again.
        """
        kept = holders()
        kept.record(["a", "b"], "t1", 0.0)
        kept.record(["b"], "t2", 0.0)
        kept.forget("t1")
        assert kept.holders_of("a", 0.0) == []
        assert kept.holders_of("b", 0.0) == ["t2"]
