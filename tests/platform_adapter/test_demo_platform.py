"""The demo on the stand-in of the platform, as `make demo-platform` runs it."""

from trefoilpaddle.standins.platform.demo import demo_platform


class TestDemo:
    async def test_every_stream_is_complete(self) -> None:
        assert await demo_platform() == 0
