"""Gateways that are out of step while engines of a new software version join."""

from .cut_network import STORE, Cut
from .cut_off_plays import Kind, cut_harness, play

RATE_PER_S = 30.0
WHERE = "at the others"


class TestCutOff:
    async def test_its_streams_go_on_at_no_other_version(self) -> None:
        # Guards against streams that a gateway which is cut off for longer than streams
        # live begins by its old list, and others go on with by the new one.
        counts = await play(kind=Kind.BOTH, cut_s=26.0, rate_per_s=RATE_PER_S)
        assert counts["of two versions"] == 0
        assert counts[f"tries {WHERE} that go on"] >= 0.5 * counts[f"tries {WHERE}"] > 0
        assert counts[f"new {WHERE} that go on"] >= 0.95 * counts[f"new {WHERE}"]

    async def test_it_does_not_count_as_ready(self) -> None:
        # Guards against a balancer that sends callers to a gateway which refuses them.
        async with cut_harness(n_gateways=3) as (harness, network):
            *others, cut_off = harness.all_gateways
            inside = frozenset({cut_off.host})
            outside = frozenset({STORE, *(each.host for each in others)})
            await network.set_cuts(
                Cut(sources=inside, destinations=outside),
                Cut(sources=outside, destinations=inside),
            )
            await harness.until_ready(cut_off, is_ready=False)
            refused = await harness.read(cut_off)
            assert refused.status == 503
            assert 0 < refused.retry_after_s < 1
            for gateway in others:
                assert await harness.is_ready(gateway)
                assert (await harness.read(gateway)).is_complete
            await network.set_cuts()
            await harness.until_ready(cut_off, is_ready=True)
            assert (await harness.read(cut_off)).is_complete
