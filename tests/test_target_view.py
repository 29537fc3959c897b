"""The state of a target view when a gateway first uses the target."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from tests.peer_helpers import heartbeat, hello_of, server_of
from tests.waiting import until
from trefoilpaddle.coordination.requests.target_view import TargetViews
from trefoilpaddle.protocol.gen.stage.ttypes import Hello
from trefoilpaddle.state.hosts import Host
from trefoilpaddle.transport.peers import Peers

STAMP_NS = 12_345


def hello() -> Hello:
    message = hello_of("t1-sidecar", incarnation=10)()
    message.stamp_ns = STAMP_NS
    return message


@contextlib.asynccontextmanager
async def own_peers() -> AsyncIterator[Peers]:
    peers = Peers(
        own_hello=hello_of("g1-gateway", incarnation=20),
        own_heartbeat=heartbeat,
        on_message=lambda link, message: None,
    )
    async with peers.open():
        yield peers


class TestNewView:
    async def test_takes_over_the_stamp_of_an_earlier_hello(self) -> None:
        """The first call to each target was refused as for a previous incarnation.

        Membership opens the link to a sidecar and its hello arrives. Later the
        gateway creates a view of the target. The new view was not notified of the
        hello, so its first call carried no stamp of the sidecar's clock.
        """
        async with server_of(own_hello=hello).listening() as server, own_peers() as own:
            link = own.link(server.address)
            await until(lambda: link.connection is not None)
            before_ns = link.connection.hello_received_ns if link.connection else 0
            host = Host(
                name="t1",
                failure_domain="fd-1",
                role="sidecar",
                peer_address=str(server.address),
            )
            view = TargetViews(peers=own).of(host)
            await asyncio.sleep(0)
        assert view is not None
        assert view.stamp_ns == STAMP_NS
        assert view.stamp_at_ns == before_ns > 0
