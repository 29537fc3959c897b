"""Random schedules of a store and its gateways end with what the store lists."""

from collections.abc import Callable
from typing import Final

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from trefoilpaddle.coordination.published import store_feed, store_view
from trefoilpaddle.coordination.published.store_view import RECOVERY_GRACE_S

from .store_fleet import GROUP, NAMES, WORKER_IDS, Fleet, started_fleet

Step = Callable[[Fleet], None]


def step(name: str, do: Callable[..., object], *args: object) -> Step:
    def run(fleet: Fleet) -> None:
        do(fleet, *args)

    run.__qualname__ = f"{name}{args}"
    return run


names = st.sampled_from(NAMES)
ids = st.sampled_from(WORKER_IDS)


def _hide(fleet: Fleet, name: str, hidden: str) -> None:
    """Let a gateway consider another as gone, so that it may become a reader."""
    fleet.by_name[name].members = [m for m in GROUP if m.process_id != hidden]


def _pass_time(fleet: Fleet, for_s: float) -> None:
    fleet.now_s += for_s
    for gateway in fleet.by_name.values():
        gateway.feed.view.listing.remove_expired(fleet.now_s)


def _deliver(fleet: Fleet, one: str, other: str) -> None:
    if one != other:
        fleet.deliver(one, other)


def _read_and_deliver(fleet: Fleet, name: str) -> None:
    """Let a gateway read and all receive its update, as without faults."""
    fleet.now_s += store_feed.POLL_S / 2
    fleet.by_name[name].read()
    fleet.deliver_all()


STEPS: Final = st.one_of(
    names.map(lambda n: step("turn", _read_and_deliver, n)),
    ids.map(lambda i: step("lapse", lambda fleet, i: fleet.store.expire(i), i)),
    ids.map(lambda i: step("write", lambda fleet, i: fleet.store.write(i), i)),
    names.map(lambda n: step("begin", lambda fleet, n: fleet.by_name[n].begin(), n)),
    names.map(lambda n: step("go_on", lambda fleet, n: fleet.by_name[n].resume(), n)),
    names.map(lambda n: step("read", lambda fleet, n: fleet.by_name[n].read(), n)),
    names.map(
        lambda n: step("ask", lambda fleet, n: fleet.by_name[n].query_peers(), n)
    ),
    st.just(step("publish", lambda fleet: fleet.store.publish())),
    st.tuples(names, names).map(lambda way: step("deliver", _deliver, *way)),
    st.tuples(names, names).map(lambda way: step("lose", Fleet.lose, *way)),
    st.tuples(names, names).map(lambda two: step("hide", _hide, *two)),
    st.sampled_from((0.2, 0.6, RECOVERY_GRACE_S)).map(
        lambda s: step("pass", _pass_time, s)
    ),
    st.just(step("forget", lambda fleet: fleet.store.lose_history())),
    names.map(
        lambda n: step("away", lambda fleet, n: fleet.store.unavailable_to.add(n), n)
    ),
    st.just(step("back", lambda fleet: fleet.store.unavailable_to.clear())),
)


def _restore(fleet: Fleet) -> None:
    """Restore the store from the latest backup."""
    if fleet.backups:
        fleet.store.restore_from(fleet.backups[-1])


RETURNS: Final = st.one_of(
    STEPS,
    st.just(step("copy", lambda fleet: fleet.backups.append(fleet.store.back_up()))),
    st.just(step("return", _restore)),
    ids.map(lambda i: step("leave", Fleet.leave, i)),
)


def play(steps: list[Step], n_differing: int) -> None:
    """Run a schedule; check that no older table is ever activated again."""
    with started_fleet() as fleet, pytest.MonkeyPatch.context() as patch:
        patch.setattr(store_view, "MAX_DIGEST_MISMATCHES", n_differing)
        for do in steps:
            do(fleet)
            assert min(fleet.versions().values()) >= fleet.previous_min_version()
        fleet.settle()
        assert fleet.known() == dict.fromkeys(NAMES, sorted(WORKER_IDS))
        assert fleet.versions() == dict.fromkeys(NAMES, fleet.store.version)


MANY: Final = settings(
    max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)


class TestAnySchedule:
    @MANY
    @given(steps=st.lists(STEPS, max_size=40), n_differing=st.sampled_from((1, 4)))
    def test_all_end_with_what_the_store_lists(
        self, steps: list[Step], n_differing: int
    ) -> None:
        # Entries expire and are written again, responses and updates are late or lost,
        # the store is unavailable to some or loses its history, and the readers change.
        # None of this may remove a worker permanently: its entry does not change any
        # more. A single differing digest may suffice for a new list here, so that short
        # schedules contain lists requested while responses and updates are in transit.
        play(steps, n_differing)

    @MANY
    @given(steps=st.lists(RETURNS, max_size=40), n_differing=st.sampled_from((1, 4)))
    def test_all_end_with_what_is_written_after_returns(
        self, steps: list[Step], n_differing: int
    ) -> None:
        # The store is restored from backups repeatedly: revisions are reused, and
        # responses and updates of one era arrive in the next.
        play(steps, n_differing)
