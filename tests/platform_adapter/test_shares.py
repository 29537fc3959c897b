"""One account sends three times what workers can do, with real gateways.

Seven accounts, or fifteen, send less than their shares beside it.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import pytest

from .shares_harness import (
    SHARE,
    SharesHarness,
    kill_and_start,
    pause,
    shares_harness,
)

MIN_KEPT = 0.95
MIN_DONE = 0.95
"""Requirements of the operators; see docs/design/sharing-capacity.md."""

N_ACCOUNTS = 8

InBurst = Callable[[SharesHarness], Awaitable[None]]


async def pause_one(harness: SharesHarness) -> None:
    """Pause a gateway for 2 s."""
    await pause(harness.all_gateways[-1], 2.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A play, and what it guards against."""

    name: str
    why: str
    n_gateways: int = 6
    n_accounts: int = N_ACCOUNTS
    is_at_one: bool = False
    in_burst: InBurst | None = None


CASES = (
    Case(
        name="six-gateways",
        why="a burst of one account delays all requests of the others",
    ),
    Case(
        name="two-gateways",
        why="a gateway sends too little, as it counts on others",
        n_gateways=2,
    ),
    Case(
        name="at-one-gateway",
        why="the slots of gateways without a burst stay idle",
        is_at_one=True,
    ),
    Case(
        name="sixteen-accounts",
        why="shares are too small for requests that arrive in clumps",
        n_accounts=2 * N_ACCOUNTS,
    ),
    Case(
        name="killed-and-started",
        why="slots granted to a lost gateway stay idle, or a new one takes too many",
        in_burst=kill_and_start,
    ),
    Case(
        name="paused",
        why="a gateway that wakes uses slots that others were granted meanwhile",
        in_burst=pause_one,
    ),
)


class TestPlainRequests:
    @pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
    async def test_the_others_are_served_and_the_workers_stay_busy(
        self, case: Case, tmp_path: Path
    ) -> None:
        async with shares_harness(
            tmp_path, n_gateways=case.n_gateways, n_accounts=case.n_accounts
        ) as harness:
            in_burst = case.in_burst and partial(case.in_burst, harness)
            observed = await harness.run(
                is_at_one=case.is_at_one,
                share=SHARE * N_ACCOUNTS / case.n_accounts,
                in_burst=in_burst,
            )
        print(observed.summary())
        assert observed.others_kept() >= MIN_KEPT, observed.summary()
        assert observed.done_share() >= MIN_DONE, observed.summary()
