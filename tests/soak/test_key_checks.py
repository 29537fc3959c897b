"""What the soak counts as a gateway that goes back to an older version."""

import random

from .soak_actions import KillGateway
from .soak_callers import Callers, Seen
from .soak_checks import _keys_for_good
from .soak_record import Mark, Record


def call(version: int, sent_s: float, status: int) -> Seen:
    """Return a call with the key of a version."""
    return Seen(
        request_id=f"q{sent_s}",
        kind="price",
        key=f"key{version}",
        gateway=0,
        sent_s=sent_s,
        whole_s=sent_s,
        ended_s=sent_s + 0.01,
        status=status,
        deadline_s=20.0,
        error="",
    )


def found(*seen: Seen, killed_s: float | None = None) -> list[str]:
    """Return what is found in calls of one gateway."""
    record = Record(workers=[])
    if killed_s is not None:
        action = KillGateway(number=0, for_s=0.0)
        mark = Mark(action=action, host=0, began_s=killed_s, ended_s=killed_s)
        record.marks.append(mark)
    callers = Callers(gateways=[], key=str, rng=random.Random(0), seen=list(seen))
    return list(_keys_for_good(record, callers))


class TestKeysForGood:
    def test_an_older_key_is_not_to_be_taken_after_a_newer(self) -> None:
        assert len(found(call(7, 1.0, 200), call(6, 5.0, 200))) == 1

    def test_one_that_is_not_in_force_yet_may_be_taken_later(self) -> None:
        # Two versions are published 0.2 s apart: the first key is revoked before its
        # version has come to the gateway.
        calls = (call(6, 1.0, 200), call(7, 2.0, 401), call(7, 3.0, 200))
        assert found(*calls, call(8, 4.0, 200)) == []

    def test_a_call_that_the_end_of_the_run_broke_off_says_nothing(self) -> None:
        broken_off = call(7, 9.0, 200)
        broken_off.ended_s = 0.0
        assert found(broken_off, call(6, 1.0, 200)) == []

    def test_a_new_start_knows_nothing(self) -> None:
        calls = (call(7, 1.0, 200), call(6, 5.0, 200))
        assert found(*calls, killed_s=3.0) == []
