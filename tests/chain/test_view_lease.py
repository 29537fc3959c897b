"""Gateways begin and infer streams only by lists that others can rely on."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from typing import Any, Final

import pytest

from trefoilpaddle.coordination.chain.stream_origins import UnknownOrigin
from trefoilpaddle.coordination.chain.view_lease import CURRENT_S, ViewLease
from trefoilpaddle.coordination.published.view_age import ViewAge
from trefoilpaddle.coordination.published.view_poll import RECENT_S, ViewPoll
from trefoilpaddle.protocol.gen.chain.ttypes import StoreState
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.chain.requests import Answered, Outcome, Refused
from trefoilpaddle.state.chain.routes import RepeatPolicy
from trefoilpaddle.state.chain.served_versions import VIEW_LAG_S, ServedVersions
from trefoilpaddle.state.chain.stream_versions import stream_key
from trefoilpaddle.state.chain.workers import WorkerTable
from trefoilpaddle.state.members import MemberRecord, MemberState

from .fakes import FakeAnswer, FakeCalls, route, worker
from .origins_fleet import LIFE_S, SERVICE, Fleet
from .test_chain_router import member
from .test_request_path import Rig
from .virtual_time import VirtualLoop, run_virtual

OUT_OF_DATE_S: Final = VIEW_LAG_S + 0.5


def members(*states: MemberState) -> list[MemberRecord]:
    """Return a live gateway, g0, and others in these states."""
    records = [member("g0", 0)]
    for number, state in enumerate(states, start=1):
        records.append(replace(member(f"g{number}", number), state=state))
    return records


def lease(
    age: ViewAge, *states: MemberState, poll: ViewPoll | None = None
) -> ViewLease:
    return ViewLease(age=age, members=lambda: members(*states), poll=poll)


class Poll:
    """Polls of other gateways, of which the first ones respond with nothing newer."""

    def __init__(self, age: ViewAge, known: Sequence[MemberRecord], n: int) -> None:
        self.polled: Counter[str] = Counter()
        self._responding = [member.process_id for member in known][1 : n + 1]
        self.poll = ViewPoll(
            own_id="g0",
            age=age,
            members=lambda: known,
            query=self._query,
            apply=lambda state, sent_s: state.revision > 0,
        )

    async def _query(self, polled: MemberRecord) -> StoreState | None:
        self.polled[polled.process_id] += 1
        if polled.process_id not in self._responding:
            return None
        return StoreState(revision=1)

    async def run(self, for_s: float = RECENT_S) -> None:
        """Poll for some seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                await self.poll.run()


class TestBegin:
    async def _begin(
        self,
        age: ViewAge,
        *states: MemberState,
        poll: ViewPoll | None = None,
        **fields: Any,
    ) -> Outcome:
        known = {"is_stream": True, "is_resumable": True}
        known["repeat"] = RepeatPolicy.NON_IDEMPOTENT  # type: ignore[assignment]
        rig = Rig(FakeCalls([FakeAnswer(n_events=3)]), route(**(known | fields)))
        rig.path._origins.lease = lease(age, *states, poll=poll)
        return await rig.serve()

    def test_no_stream_begins_by_a_list_that_nobody_has_confirmed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against streams that begin by an old list; others infer by a new one.
        async def scenario() -> None:
            age = ViewAge()
            age.confirm(ago_s=0.0)
            others = [MemberState.SUSPECT] * 3
            assert isinstance(await self._begin(age, *others), Answered)
            await asyncio.sleep(OUT_OF_DATE_S)
            match await self._begin(age, *others):
                case Refused(reason=reason, retry_after_s=retry_after_s):
                    assert reason is Reason.LIST_OUTDATED
                    assert 0 < retry_after_s < 1
                case outcome:
                    raise AssertionError(outcome)

        run_virtual(monkeypatch, scenario())

    def test_requests_that_cannot_be_resumed_are_served(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway out of step that refuses what nobody goes on with.
        async def scenario() -> None:
            outcome = await self._begin(ViewAge(), is_resumable=False)
            assert isinstance(outcome, Answered)

        run_virtual(monkeypatch, scenario())

    def test_a_gateway_that_stood_still_waits_for_its_first_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against refusals of all that callers sent to a gateway while it stood
        # still, although its list is confirmed a moment later.
        async def scenario() -> None:
            age = ViewAge()
            asyncio.get_running_loop().call_later(0.1, lambda: age.confirm(ago_s=0.0))
            assert isinstance(await self._begin(age, MemberState.LIVE), Answered)

        run_virtual(monkeypatch, scenario())

    def test_a_gateway_that_is_cut_off_refuses_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a wait for a confirmation that is known not to come.
        async def scenario() -> None:
            age, others = ViewAge(), [MemberState.SUSPECT] * 3
            polls = Poll(age, members(*others), 0)
            await polls.run()
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            assert isinstance(await self._begin(age, *others, poll=polls.poll), Refused)
            assert loop.time() == began_s

        run_virtual(monkeypatch, scenario())

    @pytest.mark.parametrize(
        ("n_live", "n_lost", "may_begin"),
        [(0, 0, True), (1, 2, True), (1, 3, False), (0, 1, True), (0, 3, False)],
    )
    def test_at_least_half_go_on_while_the_store_is_away(
        self,
        n_live: int,
        n_lost: int,
        may_begin: bool,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # Guards against an outage of the store that ends all streams, and against a few
        # gateways that confirm one another's old lists.
        async def scenario() -> None:
            age = ViewAge()
            states = [MemberState.LIVE] * n_live + [MemberState.SUSPECT] * n_lost
            known = members(*states)
            polls = Poll(age, known, n_live)
            here = lease(age, *states, poll=polls.poll)
            await polls.run()
            assert here.may_begin() is may_begin
            await asyncio.sleep(OUT_OF_DATE_S)
            # One of two is half by itself; responses count for a while.
            assert here.may_begin() is (len(states) < 2)

        run_virtual(monkeypatch, scenario())

    def test_a_suspended_host_finds_its_list_old(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a clock that stands still while the host is suspended.
        async def scenario() -> None:
            age = ViewAge()
            age.confirm(ago_s=0.0)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            before_s = loop.time()
            monkeypatch.setattr("time.monotonic", lambda: before_s)
            loop.pass_time(OUT_OF_DATE_S)
            assert not lease(age, MemberState.SUSPECT, MemberState.SUSPECT).may_begin()

        run_virtual(monkeypatch, scenario())


class TestPoll:
    @pytest.mark.parametrize("state", [MemberState.SUSPECT, MemberState.DEAD])
    def test_gateways_believed_lost_count(
        self, state: MemberState, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a gateway on the small side of a partition that polls only it.
        async def scenario() -> None:
            polls = Poll(ViewAge(), members(MemberState.LIVE, *[state] * 3), 1)
            await polls.run()
            assert len(polls.polled) == 4
            assert polls.poll.n_agreeing() == 2
            assert polls.poll.n_known() == 5

        run_virtual(monkeypatch, scenario())

    def test_gateways_that_leave_do_not_count(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> None:
            polls = Poll(ViewAge(), members(*[MemberState.LEAVING] * 3), 0)
            await polls.run()
            assert polls.poll.n_known() == 1

        run_virtual(monkeypatch, scenario())

    @pytest.mark.parametrize("n_others", [3, 11, 60, 399])
    def test_all_are_polled_while_a_response_counts(
        self, n_others: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a few gateways of many that draw one another as a sample, and
        # take themselves for half of all.
        async def scenario() -> None:
            n_near = n_others // 2 - 1
            known = members(*[MemberState.LIVE] * n_others)
            polls = Poll(ViewAge(), known, n_near)
            await polls.run(2 * RECENT_S)
            assert len(polls.polled) == n_others
            assert polls.poll.n_agreeing() == n_near + 1
            here = ViewLease(age=ViewAge(), members=lambda: known, poll=polls.poll)
            assert not here.may_begin()
            assert here.is_lost()
            assert here.is_minority()

        run_virtual(monkeypatch, scenario())

    def test_nobody_is_polled_in_calm(self, monkeypatch: pytest.MonkeyPatch) -> None:
        async def scenario() -> None:
            age = ViewAge()
            age.confirm(ago_s=0.0)
            polls = Poll(age, members(MemberState.LIVE), 1)
            await polls.run(0.9)
            assert not polls.polled

        run_virtual(monkeypatch, scenario())


class TestInference:
    @pytest.mark.parametrize(
        ("states", "age_s", "may_infer"),
        [
            ([MemberState.LIVE] * 3, CURRENT_S - 1.0, True),
            ([MemberState.LIVE] * 3, CURRENT_S + 1.0, False),
            ([MemberState.LIVE, MemberState.LIVE, MemberState.SUSPECT], 1.0, True),
            (
                [MemberState.LIVE, MemberState.LIVE, MemberState.SUSPECT],
                OUT_OF_DATE_S,
                False,
            ),
            ([MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD], 0.0, False),
            ([MemberState.LEAVING] * 3, 0.0, True),
        ],
    )
    def test_only_more_than_half_infer_by_a_recent_list(
        self,
        states: list[MemberState],
        age_s: float,
        may_infer: bool,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # Guards against gateways that infer although those out of reach may have begun
        # the stream by another list.
        async def scenario() -> None:
            age = ViewAge()
            age.confirm(ago_s=age_s)
            assert lease(age, *states).may_infer() is may_infer

        run_virtual(monkeypatch, scenario())

    def test_a_minority_infers_nothing(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # Guards against a gateway that is cut off from most others and infers alone.
        async def scenario() -> None:
            fleet = Fleet(1, versions=["v1"])
            await asyncio.sleep(2 * LIFE_S)
            here, age = fleet.gateways[0], ViewAge()
            age.confirm(ago_s=0.0)
            here.origins.lease = lease(age, MemberState.SUSPECT)
            found = await here.origins.find("unknown", SERVICE, life_s=LIFE_S)
            assert isinstance(found, UnknownOrigin)

        run_virtual(monkeypatch, scenario())


class TestKeptSplits:
    def test_a_split_counts_for_a_stream_s_life_after_a_partition(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against streams that one side began by its old list until the end of a
        # partition, and the other one then goes on with by the new one.
        async def scenario() -> None:
            workers = WorkerTable()
            served = ServedVersions(workers=workers)
            workers.put(worker("w0", SERVICE, software_version="v1"))
            await asyncio.sleep(LIFE_S)
            workers.put(worker("w1", SERVICE, software_version="v2"))
            served.known_s  # noqa: B018 - takes the change in
            keys = [stream_key(f"a{number}") for number in range(40)]
            of_v2 = [k for k in keys if served.assigned_version(SERVICE, k) == "v2"]
            cut_s = asyncio.get_running_loop().time()
            for _ in range(round(2 * LIFE_S)):
                await asyncio.sleep(1.0)
                served.keep(since_s=cut_s - 10.0)
            await asyncio.sleep(LIFE_S)
            assert not any(served.inferred_version(SERVICE, k, LIFE_S) for k in of_v2)
            await asyncio.sleep(VIEW_LAG_S + 1.0)
            assert all(served.inferred_version(SERVICE, k, LIFE_S) for k in of_v2)

        run_virtual(monkeypatch, scenario())
