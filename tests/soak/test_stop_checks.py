"""Tests of the check for requests that a planned stop interrupts."""

import random

import pytest

from .soak_actions import Action, HangUpGateway, KillGateway, PauseGateway
from .soak_callers import Callers, ObservedRequest
from .soak_record import GRACE_S, ActionInterval, Record, StopOrder
from .soak_stalls import Stall
from .soak_stop_checks import interrupted_at_stops

ORDERED_S = 100.0
CLOSED_S = ORDERED_S + GRACE_S - 0.7
GONE_S = CLOSED_S + 0.1


def found(
    request: ObservedRequest,
    *,
    action: Action | None = None,
    host: int = 0,
    at_s: float = CLOSED_S,
    stalls: tuple[Stall, ...] = (),
) -> list[str]:
    """Return the violations in a run with one stop, a request and an action."""
    record = Record(workers=[], stalls=list(stalls))
    record.orders.append(StopOrder(host=0, ordered_s=ORDERED_S, ended_s=GONE_S))
    if action is not None:
        interval = ActionInterval(action=action, host=host, began_s=at_s, ended_s=at_s)
        record.intervals.append(interval)
    callers = Callers(gateways=[], key=str, rng=random.Random(0), requests=[request])
    return list(interrupted_at_stops(record, callers))


def interrupted(
    *,
    kind: str = "patient",
    gateway: int = 0,
    fully_sent_s: float = ORDERED_S + 1.0,
    ended_s: float = CLOSED_S,
    status: int = 0,
) -> ObservedRequest:
    """Return a request whose connection closed before its answer was complete."""
    return ObservedRequest(
        request_id="q1",
        kind=kind,
        key="key1",
        gateway=gateway,
        sent_s=fully_sent_s or ORDERED_S,
        fully_sent_s=fully_sent_s,
        ended_s=ended_s,
        status=status,
        deadline_s=20.0,
        error="ServerDisconnectedError",
    )


class TestCutAtStops:
    # Streams that still waited for their stages at the end of a stop were closed
    # without an answer. The soak missed it: it excused all requests that ended in the
    # last second of a stop and ignored those that had not reached a worker.
    @pytest.mark.parametrize("kind", ["patient", "hold"])
    def test_one_that_waits_is_not_to_be_cut(self, kind: str) -> None:
        assert len(found(interrupted(kind=kind))) == 1

    def test_nor_one_that_came_before_the_order(self) -> None:
        assert len(found(interrupted(fully_sent_s=ORDERED_S - 3.0))) == 1

    def test_nor_one_that_crosses_the_close(self) -> None:
        assert len(found(interrupted(fully_sent_s=CLOSED_S - 0.01))) == 1
        assert len(found(interrupted(fully_sent_s=CLOSED_S - 0.3))) == 1

    def test_a_close_is_as_old_as_the_stall_in_which_it_was_not_seen(self) -> None:
        # A gateway refused all requests that it read until it closed. A request sent at
        # the moment of the close was reported as interrupted 0.36 s later, after a
        # stall of the test process of 0.42 s. The stalled time must not count.
        stall = Stall(began_s=CLOSED_S - 0.36, ended_s=CLOSED_S + 0.04)
        assert found(interrupted(fully_sent_s=CLOSED_S - 0.36), stalls=(stall,)) == []
        assert (
            len(found(interrupted(fully_sent_s=CLOSED_S - 0.6), stalls=(stall,))) == 1
        )

    def test_so_may_one_that_was_not_sent_whole(self) -> None:
        assert found(interrupted(fully_sent_s=0.0)) == []

    def test_a_stream_is_broken_off_in_the_last_sixth_alone(self) -> None:
        assert found(interrupted(status=200)) == []
        early_s = ORDERED_S + GRACE_S * 5 / 6 - 0.1
        assert len(found(interrupted(status=200, ended_s=early_s))) == 1

    def test_or_at_the_deadline_of_its_caller(self) -> None:
        # A stream with a deadline of 3 s started after 0.8 s at a slow engine and was
        # interrupted at its deadline after 3.01 s, just when a stop began.
        ended_s = ORDERED_S + 0.01
        begun = interrupted(status=200, fully_sent_s=ended_s - 3.01, ended_s=ended_s)
        assert len(found(begun)) == 1
        begun.deadline_s = 3.0
        assert found(begun) == []
        begun.status = 0
        assert len(found(begun)) == 1

    def test_nor_is_one_that_its_caller_left(self) -> None:
        left = interrupted(status=200, ended_s=ORDERED_S + 2.0)
        assert len(found(left)) == 1
        left.is_left = True
        assert found(left) == []

    def test_a_plain_answer_never_is(self) -> None:
        assert len(found(interrupted(kind="hold", status=200))) == 1

    def test_a_stop_of_another_gateway_does_not_count(self) -> None:
        assert found(interrupted(gateway=1)) == []

    def test_other_faults_excuse_it_while_they_last(self) -> None:
        kill, pause = (
            KillGateway(gateway_index=0, for_s=0),
            PauseGateway(gateway_index=1, for_s=0),
        )
        assert found(interrupted(), action=kill) == []
        assert found(interrupted(), action=pause, host=1) == []
        assert len(found(interrupted(), action=kill, at_s=ORDERED_S - 9.0)) == 1

    def test_a_hang_up_does_not(self) -> None:
        assert len(found(interrupted(), action=HangUpGateway(gateway_index=0))) == 1
