"""``check``: faults found in files, and differences to the active catalogue."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from trefoilpaddle.cli.check import EXIT_FAULTS, check
from trefoilpaddle.state.catalogue_diff import differences
from trefoilpaddle.state.check_files import check_path

DATA = Path(__file__).parent / "data" / "check"
EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


class TestCheck:
    def test_a_whole_folder_passes_with_warnings(
        self, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
    ) -> None:
        assert check(str(DATA / "whole"), against="", as_json=False) == 0
        assert capsys.readouterr().out == snapshot

    def test_every_fault_of_every_file_is_told(
        self, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
    ) -> None:
        path = str(DATA / "faulty")
        assert check(path, against="", as_json=False) == EXIT_FAULTS
        assert capsys.readouterr().out == snapshot

    def test_a_file_that_cannot_be_read_is_a_fault(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = str(DATA / "broken")
        assert check(path, against="", as_json=False) == EXIT_FAULTS
        assert "broken.toml: cannot be read" in capsys.readouterr().out

    def test_a_missing_path_is_a_fault(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert check(str(DATA / "none"), against="", as_json=False) == EXIT_FAULTS
        assert "does not exist" in capsys.readouterr().out

    def test_a_missing_answer_to_compare_with_is_reported(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        code = check(str(DATA / "whole"), against="http://127.0.0.1:1", as_json=False)
        assert code == 2
        assert "operators_listen" in capsys.readouterr().err


class TestDifferences:
    def test_each_changed_field_is_named_and_no_token_shown(self) -> None:
        published = check_path(DATA / "whole").catalogue
        assert published is not None
        active = check_path(DATA / "whole").catalogue
        assert active is not None
        entry = active.entries["bank-a-drafts"]
        active.entries["old"] = active.entries.pop("bank-a-more")
        active.entries["bank-a-drafts"] = type(entry)(
            owner=entry.owner,
            class_of_work=entry.class_of_work,
            pipelines=entry.pipelines,
            accounts=entry.accounts,
            limits=type(entry.limits)(rate_per_s=9.0, tokens_per_s=20.0),
            floor_share=entry.floor_share,
            deadline_s=entry.deadline_s,
        )
        account = active.accounts["bank-a"]
        active.accounts["bank-a"] = type(account)(token_sha256="2" * 64)
        found = differences(active=active, published=published)
        assert [str(difference) for difference in found] == [
            "change account/bank-a.token_sha256: … -> another",
            "change entry/bank-a-drafts.limits.rate_per_s: 9.0 -> 0.5",
            "add entry/bank-a-more",
            "retire entry/old",
        ]


class TestExamples:
    @pytest.mark.parametrize("name", ["baird", "garantia", "small"])
    def test_check_accepts_each_example(self, name: str) -> None:
        checked = check_path(EXAMPLES / name)
        assert not checked.problems
        assert checked.catalogue is not None
