"""The signal that orders a gateway to stop."""

import os
import signal
import time
from collections.abc import Iterator

import pytest
from adapter.gateway import Gateway
from adapter.node_settings import decode

from trefoilpaddle.standins.platform.site import settings

from ..waiting import until

BLOCKED_S = 0.3
"""How long one callback keeps the event loop."""


@pytest.fixture
def gateway() -> Iterator[Gateway]:
    fields = settings(
        host="g0", domain="a", ports=[1, 2, 3, 4], store="127.0.0.1:5", seeds=[]
    )
    numbers = (signal.SIGHUP, signal.SIGTERM)
    earlier = [signal.getsignal(number) for number in numbers]
    yield Gateway(settings=decode(fields, ""))
    for number, handler in zip(numbers, earlier, strict=True):
        signal.signal(number, handler)


class TestOrder:
    async def test_the_grace_time_begins_with_the_signal(
        self, gateway: Gateway
    ) -> None:
        # Guards against a process that lags at the order and outlives its grace time.
        gateway._watch_signals()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(BLOCKED_S)  # noqa: ASYNC251
        await until(lambda: gateway._stop.is_ordered)
        assert gateway._stop.since_s >= BLOCKED_S
