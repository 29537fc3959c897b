"""Two sets of simulation runs are compared in pairs with the same day and seed."""

from pathlib import Path

import orjson

from tools.compare_plays import pairs, plays, spread_table, table


def entry(folder: Path, name: str, why: str, *days: tuple[str, int, float]) -> None:
    fields = {
        "site": "s",
        "why": why,
        "days": [
            {"name": day, "seed": seed, "G": value, "served": 0.5}
            for day, seed, value in days
        ],
    }
    (folder / f"{name}.json").write_bytes(orjson.dumps(fields))


class TestPairs:
    def test_only_runs_of_both_sets_are_compared(self, tmp_path: Path) -> None:
        entry(tmp_path, "1", "before", ("d", 1, 0.1), ("d", 2, 0.2), ("e", 1, 0.9))
        entry(tmp_path, "2", "after", ("d", 1, 0.3), ("d", 2, 0.3))
        entry(tmp_path, "3", "other", ("d", 1, 0.9))
        found = pairs(plays(tmp_path, "s", "before"), plays(tmp_path, "s", "after"))
        assert [round(pair.gain, 3) for pair in found] == [0.2, 0.1]
        assert table(found)[-1].split()[:5] == ["all", "2", "0.150", "0.300", "+0.150"]

    def test_the_newest_run_replaces_older_ones(self, tmp_path: Path) -> None:
        entry(tmp_path, "1", "before", ("d", 1, 0.1))
        entry(tmp_path, "2", "before, again", ("d", 1, 0.2))
        entry(tmp_path, "3", "after", ("d", 1, 0.3))
        found = pairs(plays(tmp_path, "s", "before"), plays(tmp_path, "s", "after"))
        assert [round(pair.gain, 3) for pair in found] == [0.1]

    def test_without_runs_the_table_has_only_a_header(self) -> None:
        assert len(table([])) == 1


class TestSpread:
    def test_the_spread_is_given_by_day_and_over_all_days(self, tmp_path: Path) -> None:
        entry(tmp_path, "1", "set", ("d", 1, 0.1), ("d", 2, 0.3), ("e", 1, 0.5))
        lines = spread_table(list(plays(tmp_path, "s", "set")))
        assert lines[1].split() == ["d", "2", "0.200", "0.141", "0.100", "0.300"]
        assert [line.split()[0] for line in lines[1:]] == ["d", "e", "all"]
