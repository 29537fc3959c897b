"""Streams of the only version go on while other gateways stop."""

import asyncio
import signal
from pathlib import Path
from typing import Final

from .test_stream_versions import N_TAKEN, Stream, version_harness

TIMEOUT_S: Final = 1.0
KNOWN_S: Final = 2.5
"""Longer than twice the timeout: from then on the version is inferred."""


class TestSoleVersionAtStops:
    async def test_a_stream_without_attempt_goes_on_after_a_gateway_has_exited(
        self, tmp_path: Path
    ) -> None:
        # Guards against refusals with one version for the rest of a grace period.
        async with version_harness(
            tmp_path, n_gateways=3, n_engines=1, timeout_s=TIMEOUT_S
        ) as harness:
            await asyncio.sleep(KNOWN_S)
            stopped, here, _ = harness.all_gateways
            begun = Stream(request_id="", status=200, n_events=N_TAKEN)
            before = await harness.read(here, goes_on=begun)
            stopped.signal(signal.SIGTERM)
            assert await stopped.wait_exit() == 0
            after = await harness.read(here, goes_on=begun)
        assert before.status == 200
        assert after.status == 200
