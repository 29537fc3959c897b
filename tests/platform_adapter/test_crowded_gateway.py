"""Most new connections go to one gateway of a weak host, with real gateways."""

from pathlib import Path

from .crowding_harness import UNREAD, crowding_harness, served_share

MIN_KEPT = 0.75
"""Least share of the requests served before that must be served while it lasts."""


class TestCrowdedGateway:
    # Guards against a gateway that reads more requests than it can work on, so that
    # their callers have left before any of them is answered.
    async def test_what_it_reads_is_served(self, tmp_path: Path) -> None:
        async with crowding_harness(tmp_path) as harness:
            observed = await harness.run(calm_per_s=60.0, crowded_per_s=400.0)
            logs = "".join(gateway.log() for gateway in harness.all_gateways)
        before = served_share(observed.calm())
        served = served_share(observed.crowded())
        assert served >= MIN_KEPT * before, observed.summary()
        assert "member_dead" not in logs

    # Guards against connections that are closed although the gateway keeps up.
    async def test_a_gateway_that_keeps_up_closes_nothing(self, tmp_path: Path) -> None:
        async with crowding_harness(tmp_path) as harness:
            observed = await harness.run(calm_per_s=40.0, crowded_per_s=80.0)
        assert not any(UNREAD in each.statuses for each in observed.tried)
        assert served_share(observed.tried) == 1.0, observed.summary()
