"""Gateways that are out of step while engines of a new software version join."""

from .cut_off_plays import Kind, play

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
