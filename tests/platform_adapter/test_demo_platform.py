"""The demo on the stand-in platform, as `make demo-platform` plays it."""

from trefoilpaddle.standins.platform.demo import demo_platform


class TestDemo:
    async def test_every_stream_comes_whole(self) -> None:
        assert await demo_platform() == 0
