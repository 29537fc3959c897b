"""Two sets of plays are compared in pairs of a day and a seed."""

from pathlib import Path

import orjson

from tools.compare_plays import pairs, plays, spread_table, table


def entry(folder: Path, name: str, why: str, *days: tuple[str, int, float]) -> None:
    fields = {
        "site": "s",
        "why": why,
        "days": [
            {"name": day, "seed": seed, "G": worth, "served": 0.5}
            for day, seed, worth in days
        ],
    }
    (folder / f"{name}.json").write_bytes(orjson.dumps(fields))


class TestPairs:
    def test_only_what_both_have_is_compared(self, tmp_path: Path) -> None:
        entry(tmp_path, "1", "before", ("d", 1, 0.1), ("d", 2, 0.2), ("e", 1, 0.9))
        entry(tmp_path, "2", "after", ("d", 1, 0.3), ("d", 2, 0.3))
        entry(tmp_path, "3", "other", ("d", 1, 0.9))
        found = pairs(plays(tmp_path, "s", "before"), plays(tmp_path, "s", "after"))
        assert [round(pair.gain, 3) for pair in found] == [0.2, 0.1]
        assert table(found)[-1].split()[:5] == ["all", "2", "0.150", "0.300", "+0.150"]

    def test_the_newest_play_counts(self, tmp_path: Path) -> None:
        entry(tmp_path, "1", "before", ("d", 1, 0.1))
        entry(tmp_path, "2", "before, again", ("d", 1, 0.2))
        entry(tmp_path, "3", "after", ("d", 1, 0.3))
        found = pairs(plays(tmp_path, "s", "before"), plays(tmp_path, "s", "after"))
        assert [round(pair.gain, 3) for pair in found] == [0.1]

    def test_without_any_there_is_only_a_head(self) -> None:
        assert len(table([])) == 1


class TestSpread:
    def test_each_day_and_all_together(self, tmp_path: Path) -> None:
        entry(tmp_path, "1", "set", ("d", 1, 0.1), ("d", 2, 0.3), ("e", 1, 0.5))
        lines = spread_table(list(plays(tmp_path, "s", "set")))
        assert lines[1].split() == ["d", "2", "0.200", "0.141", "0.100", "0.300"]
        assert [line.split()[0] for line in lines[1:]] == ["d", "e", "all"]
