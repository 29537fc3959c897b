"""The close of the sessions of a gateway."""

import asyncio
import time

import aiohttp
import pytest
from adapter.sessions import CLOSE_S, closing, single_use_session

from trefoilpaddle.coordination.chain.planned_stop import PlannedStop

from ..waiting import until
from .raw_engines import raw_engine, take_slowly

LARGE_BYTES = 1 << 24
"""Size of a body that does not fit into the buffers of a connection."""

SLACK_S = 0.3
"""Time in seconds by which a busy machine may exceed a bound."""


class TestClosing:
    async def test_a_peer_that_takes_a_call_slowly_does_not_delay_the_close(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        # Guards against a close that waits until the peer has taken all bytes.
        stop = PlannedStop(grace_s=8.0)
        stop.order()
        async with raw_engine(take_slowly) as address:
            async with closing(single_use_session(), stop=stop) as session:
                calling = asyncio.create_task(
                    session.request(
                        "POST", f"http://{address}", data=b"x" * LARGE_BYTES
                    )
                )
                await until(lambda: _has_unsent(session))
                began_s = time.monotonic()
            assert time.monotonic() - began_s < CLOSE_S + SLACK_S
            assert "the stop no longer waits for calls that are open: 1" in caplog.text
            with pytest.raises(aiohttp.ClientError):
                await calling


def _has_unsent(session: aiohttp.ClientSession) -> bool:
    connector = session.connector
    assert connector is not None
    return any(
        each.transport is not None and each.transport.get_write_buffer_size() > 0
        for each in connector._acquired
    )
