"""Parts of prompts that crash workers, with real gateways."""

from pathlib import Path

import pytest

from .parts_harness import parts_harness

RUN_S = 14.0
MAX_LATE = 3
MIN_CRASHES = 3

MIN_SERVED = 0.95
"""Least share of sound requests answered once all gateways know the part."""


class TestCrashingPart:
    # Guards against a part of a prompt that crashes one worker after the other, as no
    # two requests that contain it are alike.
    @pytest.mark.parametrize(
        ("name", "is_first"), [("answer", False), ("once", False), ("draft", True)]
    )
    async def test_requests_with_it_reach_few_workers(
        self, tmp_path: Path, name: str, is_first: bool
    ) -> None:
        async with parts_harness(tmp_path) as harness:
            observed = await harness.run(name, for_s=RUN_S, is_first=is_first)
        assert len(observed.crashed_s) >= MIN_CRASHES
        assert observed.n_late() <= MAX_LATE, observed.summary()
        assert observed.served_share() >= MIN_SERVED, observed.summary()
