"""Tests of the check for gateways that go back to an older table version."""

import random

from .soak_actions import KillGateway
from .soak_callers import Callers, ObservedRequest
from .soak_checks import _key_regressions
from .soak_record import ActionInterval, Record


def call(version: int, sent_s: float, status: int) -> ObservedRequest:
    """Return a request with the key of a table version."""
    return ObservedRequest(
        request_id=f"q{sent_s}",
        kind="price",
        key=f"key{version}",
        gateway=0,
        sent_s=sent_s,
        fully_sent_s=sent_s,
        ended_s=sent_s + 0.01,
        status=status,
        deadline_s=20.0,
        error="",
    )


def found(*requests: ObservedRequest, killed_s: float | None = None) -> list[str]:
    """Return the violations found in requests to one gateway."""
    record = Record(workers=[])
    if killed_s is not None:
        action = KillGateway(gateway_index=0, for_s=0.0)
        interval = ActionInterval(
            action=action, host=0, began_s=killed_s, ended_s=killed_s
        )
        record.intervals.append(interval)
    callers = Callers(
        gateways=[], key=str, rng=random.Random(0), requests=list(requests)
    )
    return list(_key_regressions(record, callers))


class TestKeysForGood:
    def test_an_older_key_is_not_to_be_taken_after_a_newer(self) -> None:
        assert len(found(call(7, 1.0, 200), call(6, 5.0, 200))) == 1

    def test_one_that_is_not_in_force_yet_may_be_taken_later(self) -> None:
        # Two versions are published 0.2 s apart, so the first key is revoked before its
        # version has reached the gateway.
        calls = (call(6, 1.0, 200), call(7, 2.0, 401), call(7, 3.0, 200))
        assert found(*calls, call(8, 4.0, 200)) == []

    def test_a_call_that_the_end_of_the_run_broke_off_says_nothing(self) -> None:
        broken_off = call(7, 9.0, 200)
        broken_off.ended_s = 0.0
        assert found(broken_off, call(6, 1.0, 200)) == []

    def test_a_new_start_knows_nothing(self) -> None:
        calls = (call(7, 1.0, 200), call(6, 5.0, 200))
        assert found(*calls, killed_s=3.0) == []
