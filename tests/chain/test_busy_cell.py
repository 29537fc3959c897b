"""A busy cell: fuller calls, and time left for what is more urgent.

Runs the model of a cell with 26 stage workers in virtual time, so the outcome
depends on the seed alone. Compared with the plain way in the same run.
"""

from collections.abc import Mapping

import pytest

from trefoilpaddle.coordination.chain import admission, piece_homes, stage_keeper
from trefoilpaddle.state.chain.bearable_waits import KEEP_S, BearableWaits

from .keeper_model import BUSY_DAY, Load, Model, Outcome
from .virtual_time import run_virtual

SEED = 1
PLAIN: Mapping[str, float] = {"FRESH_CALL_S": 0.0}
"""Each chain goes where it is done soonest, whatever that costs the others."""


def played(patch: pytest.MonkeyPatch, load: Load = BUSY_DAY) -> Outcome:
    with patch.context() as time_patch:

        async def run() -> Outcome:
            return await Model(load, seed=SEED).run()

        return run_virtual(time_patch, run())


def worth_in_time(outcome: Outcome, load: Load = BUSY_DAY) -> float:
    owed = sum(kind.worth * outcome.asked[kind.name] for kind in load.kinds)
    got = sum(kind.worth * outcome.in_time[kind.name] for kind in load.kinds)
    return got / owed


class TestCalls:
    def test_chains_that_share_calls_are_served_more_often(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Three bursts of 1.7 to 2.5 times. Calls are half full and all workers
        # are busy: each chain goes to the worker that is free soonest, so one
        # call's end sets off three small calls, and the next finds none free.
        chosen = played(monkeypatch)
        for name, value in PLAIN.items():
            monkeypatch.setattr(piece_homes, name, value)
        plain = played(monkeypatch)
        assert chosen.mean_pieces("draw") > 1.05 * plain.mean_pieces("draw")
        assert worth_in_time(chosen) > worth_in_time(plain) + 0.03
        assert chosen.again.total() < plain.again.total()


class TestUrgency:
    def test_what_is_less_urgent_leaves_time_to_what_is_more(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Chats have less to do at the engine, so they can wait longer in the
        # stages. Measured by their own patience alone, they are let in until
        # queues are longer than the checks before them can bear.
        chosen = played(monkeypatch)
        with monkeypatch.context() as patch:
            patch.setattr(BearableWaits, "of_more_urgent", lambda *_: float("inf"))
            alone = played(monkeypatch)
        share = chosen.share_in_time
        assert share("urgent") > alone.share_in_time("urgent")
        assert share("urgent") > share("chat") > 0.25


class TestBearableWaits:
    def test_only_more_urgent_routes_of_the_same_services_count(self) -> None:
        waits = BearableWaits()
        for route, priority, service, wait_s in (
            ("first", 0, "s", 0.4),
            ("other", 0, "t", 0.1),
            ("equal", 2, "s", 0.2),
        ):
            waits.note(
                route,
                priority=priority,
                services=frozenset({service}),
                wait_s=wait_s,
                now_s=0.0,
            )
        services = frozenset({"s"})
        assert waits.of_more_urgent(2, services, 1.0) == 0.4
        assert waits.of_more_urgent(0, services, 1.0) == float("inf")
        assert waits.of_more_urgent(2, services, KEEP_S + 1) == float("inf")


class TestShares:
    def test_they_fall_with_urgency(self) -> None:
        shares = admission.SHARE_BY_PRIORITY
        assert list(shares) == sorted(shares, reverse=True)
        assert shares[-1] > stage_keeper.LATE_SHARE
