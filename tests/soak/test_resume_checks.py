"""Tests of the check for streams that callers resume."""

import random
from collections.abc import Sequence

import pytest

from trefoilpaddle.standins.platform.worker import PlatformWorker

from .soak_actions import Action, KillGateway, StopGateway
from .soak_callers import Callers, ObservedRequest
from .soak_record import ActionInterval, Record
from .soak_resume_checks import MIN_RESUMED, resumed_streams

BEGUN_S = 100.0
RESUMED_S = 105.0
STOP = StopGateway(gateway_index=0)


def stream(
    number: int, *, goes_on: bool, resumes: str = "", sent_s: float = BEGUN_S
) -> ObservedRequest:
    """Return a stream of version v1, or the refusal of one."""
    data = f"id: 1\ndata: q{number} v1\n\n".encode()
    return ObservedRequest(
        request_id=f"q{number}",
        kind="draft",
        key="key1",
        gateway=0,
        sent_s=sent_s,
        ended_s=sent_s + 1.0,
        status=200 if goes_on else 503,
        body=data if goes_on else b"",
        is_complete=False,
        resumes=resumes,
        after_event=int(bool(resumes)),
    )


def found(
    *,
    n_gone_on: int,
    n_resumed: int = MIN_RESUMED,
    n_refused: int = 0,
    n_workers: int = 2,
    action: Action = STOP,
    left_s: float | None = None,
    listed_s: float = 0.0,
    others: Sequence[ObservedRequest] = (),
) -> list[str]:
    """Return the violations in a run of streams that break and are resumed once."""
    workers = [
        PlatformWorker(worker_id=f"model{number}", n_events=4, software_version="v1")
        for number in range(n_workers)
    ]
    other = PlatformWorker(worker_id="other", n_events=4, software_version="v2")
    record = Record(workers=[*workers, other])
    record.listed_s = {worker.worker_id: listed_s for worker in workers}
    if left_s is not None:
        record.left_s["model0"] = left_s
    record.intervals.append(
        ActionInterval(action=action, host=0, began_s=BEGUN_S, ended_s=RESUMED_S)
    )
    begun = [stream(number, goes_on=True) for number in range(n_resumed)]
    refused = [stream(100 + number, goes_on=False) for number in range(n_refused)]
    resumed = [
        stream(
            200 + number,
            goes_on=number < n_gone_on,
            resumes=f"q{number}",
            sent_s=RESUMED_S,
        )
        for number in range(n_resumed)
    ]
    callers = Callers(
        gateways=[],
        key=str,
        rng=random.Random(0),
        requests=[*begun, *refused, *resumed, *others],
    )
    return list(resumed_streams(record, callers))


class TestResumedStreams:
    def test_at_least_half_of_them_go_on(self) -> None:
        # Guards against origins that are lost when all gateways are stopped in turn.
        assert found(n_gone_on=6) == []
        assert len(found(n_gone_on=5)) == 1

    def test_the_share_of_new_streams_that_begin_is_the_measure(self) -> None:
        # Guards against a check that blames a gateway that refuses all alike.
        assert found(n_gone_on=3, n_refused=MIN_RESUMED) == []
        assert len(found(n_gone_on=2, n_refused=MIN_RESUMED)) == 1

    def test_new_streams_with_another_deadline_are_no_measure(self) -> None:
        short = [stream(300 + n, goes_on=False) for n in range(MIN_RESUMED)]
        for request in short:
            request.deadline_s /= 2
        assert len(found(n_gone_on=5, others=short)) == 1

    def test_a_few_show_nothing(self) -> None:
        assert found(n_gone_on=0, n_resumed=MIN_RESUMED - 1) == []

    @pytest.mark.parametrize("n_workers", [0, 1])
    def test_two_workers_of_their_version_are_to_serve(self, n_workers: int) -> None:
        assert found(n_gone_on=0, n_workers=n_workers) == []

    def test_neither_one_that_has_left_nor_one_that_is_listed_later_serves(
        self,
    ) -> None:
        assert found(n_gone_on=0, left_s=RESUMED_S) == []
        assert len(found(n_gone_on=0, left_s=RESUMED_S + 2.0)) == 1
        assert found(n_gone_on=0, listed_s=RESUMED_S + 0.1) == []

    def test_another_fault_excuses_them_while_it_lasts(self) -> None:
        kill = KillGateway(gateway_index=0, for_s=0.0)
        assert found(n_gone_on=0, action=kill) == []
