"""Settings: read completely or rejected, with what is accepted for each problem."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from trefoilpaddle.cli import serve
from trefoilpaddle.state.settings_read import lines_of, load_gateway, load_sidecar

DATA = Path(__file__).parent / "data" / "settings"


def in_data(lines: list[str]) -> list[str]:
    return [line.replace(f"{DATA}/", "") for line in lines]


class TestLoadGateway:
    def test_valid_settings_are_read_with_defaults(self) -> None:
        settings = load_gateway(DATA / "gateway.toml").unwrap()
        assert settings.callers.listen == "127.0.0.1:7400"
        assert settings.retention.explain_s == 300.0

    def test_every_fault_is_told_at_once(self, snapshot: SnapshotAssertion) -> None:
        problems = load_gateway(DATA / "faulty_gateway.toml").unwrap_err()
        assert in_data(list(lines_of(problems))) == snapshot

    def test_missing_file_is_one_problem(self) -> None:
        problems = load_gateway(DATA / "none.toml").unwrap_err()
        assert len(problems) == 1


class TestLoadSidecar:
    def test_settings_that_clash_are_refused(self, snapshot: SnapshotAssertion) -> None:
        problems = load_sidecar(DATA / "clashing_sidecar.toml").unwrap_err()
        assert in_data(list(lines_of(problems))) == snapshot


class TestServe:
    def test_invalid_settings_stop_the_start_with_all_problems(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert serve.gateway(str(DATA / "faulty_gateway.toml")) == serve.EXIT_BAD_INPUT
        assert len(capsys.readouterr().err.splitlines()) >= 8
