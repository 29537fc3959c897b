"""Which crashes are remembered, for how long, and within which limits."""

import time
from dataclasses import replace
from typing import Final

import pytest

from trefoilpaddle.state.chain import crash_registry
from trefoilpaddle.state.chain.crash_registry import Crash, CrashRegistry, CrashStatus

ACCOUNT: Final = "0" * 8
OTHER: Final = "1" * 8


def name(number: int, account: str = ACCOUNT) -> str:
    return f"{account}{number:024x}"


def crash(worker_id: str, *, level: int = 1, ended: float = 0.5) -> Crash:
    """Return a crash that happened `ended` seconds ago."""
    return Crash(
        worker_id=worker_id,
        born_ms=1,
        level=level,
        ended_s=time.monotonic() - ended,
    )


def registry_with(n_crashes: int, *, ago: float = 0.0) -> CrashRegistry:
    """Return a registry in which one request has crashed workers in succession."""
    registry = CrashRegistry()
    for number in range(n_crashes):
        ended = ago + n_crashes - number
        registry.record(name(0), crash(f"w{number}", level=1 + number, ended=ended))
    return registry


class TestStatus:
    @pytest.mark.parametrize(
        ("n_crashes", "status"),
        [
            (0, CrashStatus.CLEAR),
            (1, CrashStatus.WATCHED),
            (2, CrashStatus.SUSPECT),
            (3, CrashStatus.BLOCKED),
        ],
    )
    def test_each_crash_makes_the_status_worse(
        self, n_crashes: int, status: CrashStatus
    ) -> None:
        assert registry_with(n_crashes).status(name(0)) is status

    def test_a_cleared_request_has_no_crashes(self) -> None:
        registry = registry_with(3)
        assert registry.clear(name(0))
        assert registry.status(name(0)) is CrashStatus.CLEAR

    def test_an_older_crash_does_not_undo_the_clearing(self) -> None:
        registry = registry_with(2)
        registry.clear(name(0))
        assert not registry.record(name(0), crash("w9", ended=0.1))
        assert registry.status(name(0)) is CrashStatus.CLEAR


class TestOneCrash:
    def test_workers_that_lose_power_together_count_once(self) -> None:
        # All workers crash, which ends a hundred runs of one popular request. Some of
        # the crashes are reported seconds later, by gateways that were paused.
        registry = CrashRegistry()
        for number in range(100):
            registry.record(name(0), crash(f"w{number}", ended=number / 10))
        assert registry.status(name(0)) is CrashStatus.WATCHED

    def test_each_start_of_one_worker_id_counts(self) -> None:
        registry = CrashRegistry()
        for level in (1, 2, 3):
            each = replace(crash("w0", level=level), born_ms=level)
            assert registry.record(name(0), each)
        assert registry.status(name(0)) is CrashStatus.BLOCKED

    # Guards against a request that is suspected after one crash, as its runs at the
    # worker began with different knowledge.
    @pytest.mark.parametrize("levels", [(1, 2, 3), (3, 2, 1)])
    def test_the_exit_of_a_process_counts_once(self, levels: tuple[int, ...]) -> None:
        registry = CrashRegistry()
        for level in levels:
            registry.record(name(0), crash("w0", level=level))
        assert registry.status(name(0)) is CrashStatus.WATCHED
        (known,) = registry.crashes(name(0))
        assert known.level == 1


class TestTime:
    def test_a_blocked_request_becomes_suspect_after_a_while(self) -> None:
        hour_s = 3600.0
        assert registry_with(3, ago=hour_s).status(name(0)) is CrashStatus.SUSPECT
        assert registry_with(4, ago=hour_s / 2).status(name(0)) is CrashStatus.BLOCKED

    def test_at_most_two_further_runs_follow_a_block(self) -> None:
        # After its third crash a request may reach at most three workers.
        assert registry_with(5, ago=crash_registry.RETENTION_S / 2).status(name(0)) is (
            CrashStatus.BLOCKED
        )

    def test_old_crashes_are_forgotten(self) -> None:
        assert (
            registry_with(3, ago=crash_registry.RETENTION_S).status(name(0))
            is CrashStatus.CLEAR
        )


class TestBounds:
    def test_many_requests_of_an_account_do_not_evict_suspects(self) -> None:
        registry = registry_with(2)
        for number in range(1, 2 * crash_registry.MAX_REQUESTS_PER_ACCOUNT):
            registry.record(name(number), crash("w0"))
        assert len(registry) == crash_registry.MAX_REQUESTS_PER_ACCOUNT
        assert registry.status(name(0)) is CrashStatus.SUSPECT

    def test_many_requests_do_not_evict_those_of_other_accounts(self) -> None:
        registry = CrashRegistry()
        registry.record(name(0, OTHER), crash("w0"))
        for number in range(crash_registry.MAX_REQUESTS + 1):
            account = f"{2 + number % 12:08x}"
            registry.record(name(number, account), crash("w0"))
        assert len(registry) <= crash_registry.MAX_REQUESTS
        assert registry.status(name(0, OTHER)) is CrashStatus.WATCHED

    def test_the_crashes_of_one_request_are_limited(self) -> None:
        registry = registry_with(2 * crash_registry.MAX_STARTS)
        assert len(registry.crashes(name(0))) == crash_registry.MAX_STARTS
        assert registry.n_successive(name(0)) == crash_registry.MAX_LEVEL
        assert registry.level(name(0)) == crash_registry.MAX_LEVEL
