"""What is remembered of crashes, for how long, and how much of it."""

import time
from typing import Final

import pytest

from trefoilpaddle.state.chain import crash_registry
from trefoilpaddle.state.chain.crash_registry import Crash, CrashRegistry, CrashStatus

ACCOUNT: Final = "0" * 8
OTHER: Final = "1" * 8


def name(number: int, account: str = ACCOUNT) -> str:
    return f"{account}{number:024x}"


def crash(worker_id: str, *, level: int = 1, ended: float = 0.5) -> Crash:
    """Return a crash some seconds before now."""
    return Crash(
        worker_id=worker_id,
        born_ms=1,
        level=level,
        ended_s=time.monotonic() - ended,
    )


def noted(n_crashes: int, *, ago: float = 0.0) -> CrashRegistry:
    """Return a book in which one request has crashed some workers in turn."""
    book = CrashRegistry()
    for number in range(n_crashes):
        ended = ago + n_crashes - number
        book.record(name(0), crash(f"w{number}", level=1 + number, ended=ended))
    return book


class TestStanding:
    @pytest.mark.parametrize(
        ("n_crashes", "standing"),
        [
            (0, CrashStatus.CLEAR),
            (1, CrashStatus.WATCHED),
            (2, CrashStatus.SUSPECT),
            (3, CrashStatus.BLOCKED),
        ],
    )
    def test_it_gets_worse_with_each_crash(
        self, n_crashes: int, standing: CrashStatus
    ) -> None:
        assert noted(n_crashes).status(name(0)) is standing

    def test_one_that_ended_well_is_cleared(self) -> None:
        book = noted(3)
        assert book.clear(name(0))
        assert book.status(name(0)) is CrashStatus.CLEAR

    def test_news_from_before_do_not_undo_the_clearing(self) -> None:
        book = noted(2)
        book.clear(name(0))
        assert not book.record(name(0), crash("w9", ended=0.1))
        assert book.status(name(0)) is CrashStatus.CLEAR


class TestOneCrash:
    def test_workers_that_lose_their_power_together_count_once(self) -> None:
        # A hundred runs of one popular request end when all workers do, and the news
        # of some of them come seconds later, from gateways that were paused.
        book = CrashRegistry()
        for number in range(100):
            book.record(name(0), crash(f"w{number}", ended=number / 10))
        assert book.status(name(0)) is CrashStatus.WATCHED

    def test_a_worker_that_is_back_under_its_id_counts_again(self) -> None:
        book = CrashRegistry()
        for level in (1, 2, 3):
            assert book.record(name(0), crash("w0", level=level))
        assert book.status(name(0)) is CrashStatus.BLOCKED


class TestTime:
    def test_one_that_was_unlucky_is_tried_again_alone(self) -> None:
        hour_s = 3600.0
        assert noted(3, ago=hour_s).status(name(0)) is CrashStatus.SUSPECT
        assert noted(4, ago=hour_s / 2).status(name(0)) is CrashStatus.BLOCKED

    def test_two_tries_at_most_follow_a_block(self) -> None:
        # Later than its third crash a request may reach three workers, in all.
        assert noted(5, ago=crash_registry.RETENTION_S / 2).status(name(0)) is (
            CrashStatus.BLOCKED
        )

    def test_what_was_long_ago_is_forgotten(self) -> None:
        assert (
            noted(3, ago=crash_registry.RETENTION_S).status(name(0))
            is CrashStatus.CLEAR
        )


class TestBounds:
    def test_made_up_bodies_do_not_push_out_what_is_suspect(self) -> None:
        book = noted(2)
        for number in range(1, 2 * crash_registry.MAX_REQUESTS_PER_ACCOUNT):
            book.record(name(number), crash("w0"))
        assert len(book) == crash_registry.MAX_REQUESTS_PER_ACCOUNT
        assert book.status(name(0)) is CrashStatus.SUSPECT

    def test_made_up_bodies_take_no_place_of_another_account(self) -> None:
        book = CrashRegistry()
        book.record(name(0, OTHER), crash("w0"))
        for number in range(crash_registry.MAX_REQUESTS + 1):
            account = f"{2 + number % 12:08x}"
            book.record(name(number, account), crash("w0"))
        assert len(book) <= crash_registry.MAX_REQUESTS
        assert book.status(name(0, OTHER)) is CrashStatus.WATCHED

    def test_one_request_keeps_few_crashes(self) -> None:
        book = noted(3 * crash_registry.MAX_LEVEL)
        assert len(book.crashes(name(0))) == crash_registry.MAX_LEVEL
