"""Settings of all tests, with deterministic property-based tests."""

import pytest
from hypothesis import settings

from trefoilpaddle.transport import connection as connection_module
from trefoilpaddle.transport import link as link_module
from trefoilpaddle.transport import server as server_module

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")


@pytest.fixture
def fast(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten heartbeats, timeouts and failure detection, so that tests run fast."""
    for module in (connection_module, link_module, server_module):
        for name, value in (
            ("HEARTBEAT_S", 0.02),
            ("DEAD_AFTER_S", 0.2),
            ("HELLO_TIMEOUT_S", 0.2),
            ("CLOSE_TIMEOUT_S", 0.5),
            ("UNRESPONSIVE_AFTER_S", 0.15),
        ):
            if hasattr(module, name):
                monkeypatch.setattr(module, name, value)
