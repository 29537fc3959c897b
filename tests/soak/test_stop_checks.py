"""What the soak counts as cut by a planned stop, and what not."""

import random

import pytest

from .soak_actions import Action, HangUpGateway, KillGateway, PauseGateway
from .soak_callers import Callers, Seen
from .soak_record import GRACE_S, Mark, Record, StopOrder
from .soak_stalls import Stall
from .soak_stop_checks import cut_at_stops

ORDERED_S = 100.0
CLOSED_S = ORDERED_S + GRACE_S - 0.7
GONE_S = CLOSED_S + 0.1


def found(
    seen: Seen,
    *,
    action: Action | None = None,
    host: int = 0,
    at_s: float = CLOSED_S,
    stalls: tuple[Stall, ...] = (),
) -> list[str]:
    """Return what is found in a run with one stop, a request and an action."""
    record = Record(workers=[], stalls=list(stalls))
    record.orders.append(StopOrder(host=0, ordered_s=ORDERED_S, ended_s=GONE_S))
    if action is not None:
        mark = Mark(action=action, host=host, began_s=at_s, ended_s=at_s)
        record.marks.append(mark)
    callers = Callers(gateways=[], key=str, rng=random.Random(0), seen=[seen])
    return list(cut_at_stops(record, callers))


def cut(
    *,
    kind: str = "patient",
    gateway: int = 0,
    whole_s: float = ORDERED_S + 1.0,
    ended_s: float = CLOSED_S,
    status: int = 0,
) -> Seen:
    """Return a request whose connection was closed before its answer's end."""
    return Seen(
        request_id="q1",
        kind=kind,
        key="key1",
        gateway=gateway,
        sent_s=whole_s or ORDERED_S,
        whole_s=whole_s,
        ended_s=ended_s,
        status=status,
        deadline_s=20.0,
        error="ServerDisconnectedError",
    )


class TestCutAtStops:
    # Streams waited for their stages when their gateway's stop came to its end, and
    # were closed without an answer. Each soak excused all that ended in the last
    # second of a stop, and never looked at what no worker had seen.
    @pytest.mark.parametrize("kind", ["patient", "hold"])
    def test_one_that_waits_is_not_to_be_cut(self, kind: str) -> None:
        assert len(found(cut(kind=kind))) == 1

    def test_nor_one_that_came_before_the_order(self) -> None:
        assert len(found(cut(whole_s=ORDERED_S - 3.0))) == 1

    def test_one_that_crosses_the_close_may_be(self) -> None:
        assert found(cut(whole_s=CLOSED_S - 0.1)) == []
        assert len(found(cut(whole_s=CLOSED_S - 0.3))) == 1

    def test_a_close_is_as_old_as_the_stall_in_which_it_was_not_seen(self) -> None:
        # A gateway refused all it read until it closed; the request sent in that
        # moment was reported as cut 0.36 s later, when the soak, which had stood
        # still for 0.42 s, saw it. Time in which nobody looks does not count.
        stall = Stall(began_s=CLOSED_S - 0.36, ended_s=CLOSED_S + 0.04)
        assert found(cut(whole_s=CLOSED_S - 0.36), stalls=(stall,)) == []
        assert len(found(cut(whole_s=CLOSED_S - 0.6), stalls=(stall,))) == 1

    def test_so_may_one_that_was_not_sent_whole(self) -> None:
        assert found(cut(whole_s=0.0)) == []

    def test_a_stream_is_broken_off_in_the_last_sixth_alone(self) -> None:
        assert found(cut(status=200)) == []
        early_s = ORDERED_S + GRACE_S * 5 / 6 - 0.1
        assert len(found(cut(status=200, ended_s=early_s))) == 1

    def test_or_at_the_deadline_of_its_caller(self) -> None:
        # A stream of a caller with 3 s began after 0.8 s at a slow engine, and was
        # broken off after 3.01 s for want of time. A stop began in that moment.
        ended_s = ORDERED_S + 0.01
        begun = cut(status=200, whole_s=ended_s - 3.01, ended_s=ended_s)
        assert len(found(begun)) == 1
        begun.deadline_s = 3.0
        assert found(begun) == []
        begun.status = 0
        assert len(found(begun)) == 1

    def test_a_plain_answer_never_is(self) -> None:
        assert len(found(cut(kind="hold", status=200))) == 1

    def test_a_stop_of_another_gateway_does_not_count(self) -> None:
        assert found(cut(gateway=1)) == []

    def test_other_faults_excuse_it_while_they_last(self) -> None:
        kill, pause = KillGateway(number=0, for_s=0), PauseGateway(number=1, for_s=0)
        assert found(cut(), action=kill) == []
        assert found(cut(), action=pause, host=1) == []
        assert len(found(cut(), action=kill, at_s=ORDERED_S - 9.0)) == 1

    def test_a_hang_up_does_not(self) -> None:
        assert len(found(cut(), action=HangUpGateway(number=0))) == 1
