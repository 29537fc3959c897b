"""Services whose workers do more than the slots that they publish."""

import time
from pathlib import Path
from typing import Final

import pytest

from trefoilpaddle.standins.platform.slots import Slots

from .shares_harness import shares_harness

PER_S: Final = 90.0
WORK_S: Final = 0.5
PLAY_S: Final = 9.0

GROWTH_S: Final = 3.0
"""Seconds of steady demand after which the capacity must have grown to it."""

MIN_SERVED: Final = 0.97


class TestTooFewPublished:
    # Guards against requests that are refused although the workers would do them.
    @pytest.mark.parametrize("n_gateways", [2, 6, 20])
    @pytest.mark.parametrize("n_slots", [1, 2])
    async def test_requests_are_served(
        self, tmp_path: Path, n_slots: int, n_gateways: int
    ) -> None:
        async with shares_harness(
            tmp_path, n_gateways=n_gateways, n_accounts=1, n_slots=n_slots
        ) as harness:
            for worker in harness.site.workers.values():
                worker.slots = Slots(n_slots=0, n_queued=0)
                worker.work_s = WORK_S
            began_s = time.monotonic()
            observed = await harness.send_steadily(per_s=PER_S, for_s=PLAY_S)
        later = [each for each in observed.sent if each.sent_s >= began_s + GROWTH_S]
        assert sum(each.is_served for each in later) >= MIN_SERVED * len(later)
