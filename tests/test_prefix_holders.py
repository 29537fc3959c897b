"""Records of the targets that hold a prefix: capacity and expiry."""

from trefoilpaddle.state.prefix_holders import PrefixHolders

KEEP_S = 60.0


def holders(*, n_prefixes: int = 10, n_holders: int = 2) -> PrefixHolders[str]:
    return PrefixHolders(n_prefixes=n_prefixes, n_holders=n_holders, keep_s=KEEP_S)


class TestPrefixHolders:
    def test_record_expires_with_age(self) -> None:
        kept = holders()
        kept.record(["a"], "t1", 0.0)
        kept.record(["a"], "t2", 1.0)
        assert kept.holders_of("a", KEEP_S) == ["t1", "t2"]
        assert kept.holders_of("a", KEEP_S + 1.0) == ["t2"]
        assert not kept.has("a", "t1", KEEP_S + 1.0)
        assert not kept.has("b", "t2", 1.0)

    def test_least_recently_used_prefix_is_evicted(self) -> None:
        kept = holders(n_prefixes=2)
        kept.record(["a", "b"], "t1", 0.0)
        kept.record(["a", "c"], "t1", 1.0)
        assert [kept.has(prefix, "t1", 1.0) for prefix in "abc"] == [True, False, True]

    def test_least_recent_holder_is_evicted(self) -> None:
        kept = holders(n_holders=2)
        for second, target in enumerate(["t1", "t2", "t1", "t3"]):
            kept.record(["a"], target, float(second))
        assert sorted(kept.holders_of("a", 3.0)) == ["t1", "t3"]

    def test_exited_target_holds_no_prefixes(self) -> None:
        """An engine restarts under its old id with an empty cache.

        Records from before the restart would route prompts to it that it must
        process in full.
        """
        kept = holders()
        kept.record(["a", "b"], "t1", 0.0)
        kept.record(["b"], "t2", 0.0)
        kept.forget("t1")
        assert kept.holders_of("a", 0.0) == []
        assert kept.holders_of("b", 0.0) == ["t2"]
