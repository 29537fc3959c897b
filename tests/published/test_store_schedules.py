"""Whatever happens between a store and its gateways, they end with what it lists."""

from collections.abc import Callable
from typing import Final

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from trefoilpaddle.coordination.published import store_feed, store_view
from trefoilpaddle.coordination.published.store_view import RECOVERY_GRACE_S

from .store_fleet import GROUP, IDS, NAMES, Fleet, fleet

Step = Callable[[Fleet], None]


def step(name: str, do: Callable[..., object], *args: object) -> Step:
    def run(made: Fleet) -> None:
        do(made, *args)

    run.__qualname__ = f"{name}{args}"
    return run


names = st.sampled_from(NAMES)
ids = st.sampled_from(IDS)


def _hide(made: Fleet, name: str, hidden: str) -> None:
    """Let a gateway take another for gone, so that it may read for the others."""
    made.by_name[name].members = [m for m in GROUP if m.process_id != hidden]


def _pass(made: Fleet, for_s: float) -> None:
    made.now_s += for_s
    for gateway in made.by_name.values():
        gateway.feed.view.listing.remove_expired(made.now_s)


def _deliver(made: Fleet, one: str, other: str) -> None:
    if one != other:
        made.deliver(one, other)


def _turn(made: Fleet, name: str) -> None:
    """Let a gateway read and all hear of it, as on a day without faults."""
    made.now_s += store_feed.POLL_S / 2
    made.by_name[name].read()
    made.deliver_all()


STEPS: Final = st.one_of(
    names.map(lambda n: step("turn", _turn, n)),
    ids.map(lambda i: step("lapse", lambda made, i: made.store.lapse(i), i)),
    ids.map(lambda i: step("write", lambda made, i: made.store.write(i), i)),
    names.map(lambda n: step("begin", lambda made, n: made.by_name[n].begin(), n)),
    names.map(lambda n: step("go_on", lambda made, n: made.by_name[n].go_on(), n)),
    names.map(lambda n: step("read", lambda made, n: made.by_name[n].read(), n)),
    names.map(lambda n: step("ask", lambda made, n: made.by_name[n].ask_peers(), n)),
    st.just(step("publish", lambda made: made.store.publish())),
    st.tuples(names, names).map(lambda way: step("deliver", _deliver, *way)),
    st.tuples(names, names).map(lambda way: step("lose", Fleet.lose, *way)),
    st.tuples(names, names).map(lambda two: step("hide", _hide, *two)),
    st.sampled_from((0.2, 0.6, RECOVERY_GRACE_S)).map(lambda s: step("pass", _pass, s)),
    st.just(step("forget", lambda made: made.store.forget())),
    names.map(lambda n: step("away", lambda made, n: made.store.away_from.add(n), n)),
    st.just(step("back", lambda made: made.store.away_from.clear())),
)


def _return(made: Fleet) -> None:
    """Let the store come back from the copy that was made last."""
    if made.copies:
        made.store.return_from(made.copies[-1])


RETURNS: Final = st.one_of(
    STEPS,
    st.just(step("copy", lambda made: made.copies.append(made.store.copy()))),
    st.just(step("return", _return)),
    ids.map(lambda i: step("leave", Fleet.leave, i)),
)


def play(steps: list[Step], n_differing: int) -> None:
    """Let things happen, and look that no older table is ever in force again."""
    with fleet() as made, pytest.MonkeyPatch.context() as patch:
        patch.setattr(store_view, "MAX_DIGEST_MISMATCHES", n_differing)
        for do in steps:
            do(made)
            assert min(made.versions().values()) >= made.least_version()
        made.settle()
        assert made.known() == dict.fromkeys(NAMES, sorted(IDS))
        assert made.versions() == dict.fromkeys(NAMES, made.store.version)


MANY: Final = settings(
    max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)


class TestAnySchedule:
    @MANY
    @given(steps=st.lists(STEPS, max_size=40), n_differing=st.sampled_from((1, 4)))
    def test_all_end_with_what_the_store_lists(
        self, steps: list[Step], n_differing: int
    ) -> None:
        # Entries run out and come back, answers and news are late or lost, the
        # store is away from some or forgets, and who reads changes. None of it
        # may take a worker away for good: its entry does not change any more. One
        # difference is enough here for a list anew, so that short schedules have
        # lists that are asked for while answers and news are on their way.
        play(steps, n_differing)

    @MANY
    @given(steps=st.lists(RETURNS, max_size=40), n_differing=st.sampled_from((1, 4)))
    def test_all_end_with_what_is_written_after_returns(
        self, steps: list[Step], n_differing: int
    ) -> None:
        # The store comes back from copies, again and again: revisions are given out
        # again, and answers and news of one era arrive in the next.
        play(steps, n_differing)
