"""The limit of log lines per second, in a process that logs more."""

import re
import subprocess
import sys

import pytest

from trefoilpaddle.state.log_format import LogFormat

from .log_flood import N_REQUESTS, PROBLEM


@pytest.fixture(scope="class", params=list(LogFormat))
def log(request: pytest.FixtureRequest) -> str:
    """Return the log of a process that logs a flood of request lines."""
    format: LogFormat = request.param
    command = [sys.executable, "-m", "tests.log_flood", format.value]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


class TestFlood:
    def test_lines_of_requests_are_dropped(self, log: str) -> None:
        assert "n_lines=" in log
        assert 0 < log.count("request_refused") < N_REQUESTS

    # Guards against a burst of requests that hides how a process ended.
    def test_the_stop_of_the_process_is_logged(self, log: str) -> None:
        assert "process_stopped" in log

    # Guards against a burst of requests that hides an error.
    def test_an_error_is_logged(self, log: str) -> None:
        assert PROBLEM in log

    # Guards against lines that are missing at the end of a log without a word.
    def test_all_dropped_lines_are_counted(self, log: str) -> None:
        n_dropped = sum(map(int, re.findall(r"lines_dropped n_lines=(\d+)", log)))
        assert log.count("request_refused") + n_dropped == 2 * N_REQUESTS
