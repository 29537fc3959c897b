"""Failures listed in KNOWN-RED.txt are printed; all other failures fail the run."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""
EXIT_FAILED = 1
EXIT_USAGE = 4


def run(folder: Path, *listed: str) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text("\n".join(listed))
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "tools.known_red"],
        cwd=folder,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


class TestKnownRed:
    def test_an_unlisted_failure_fails_the_run(self, tmp_path: Path) -> None:
        assert run(tmp_path)[0] == EXIT_FAILED

    def test_a_listed_failure_is_ignored_and_printed(self, tmp_path: Path) -> None:
        code, out = run(tmp_path, "tests/test_it.py::test_red | slow link | issue 3")
        assert code == 0
        assert "tests/test_it.py::test_red: slow link (issue 3)" in out

    def test_a_listed_test_that_does_not_exist_fails_the_run(
        self, tmp_path: Path
    ) -> None:
        code, out = run(tmp_path, "tests/test_it.py::test_gone | cause | issue 3")
        assert code == EXIT_USAGE
        assert "take it out" in out

    def test_a_line_without_a_cause_fails_the_run(self, tmp_path: Path) -> None:
        assert run(tmp_path, "tests/test_it.py::test_red")[0] == EXIT_USAGE
