"""Builds what a sidecar needs for request keys, and what both roles share."""

from ...state.claim_table import ClaimTable
from ...state.journal import Journal
from ...state.published import Published
from ...transport.peers import Peers
from ...transport.server import PeerServer
from .claim_home import ClaimHome
from .claim_registry import ClaimRegistry, IncarnationOf
from .claim_sync import ClaimSynchroniser


def connected_incarnations(server: PeerServer) -> IncarnationOf:
    """Return what tells the incarnation last heard from a process at `server`."""

    def incarnation_of(process_id: str) -> int | None:
        heard = [c for c in server.connections if c.peer.process_id == process_id]
        if not heard:
            return None
        return max(heard, key=lambda connection: connection.heard_s).peer.incarnation

    return incarnation_of


def mount_sidecar_claims(
    *,
    process_id: str,
    published: Published,
    peers: Peers,
    server: PeerServer,
    journal: Journal,
    window_s: float,
) -> ClaimSynchroniser:
    """Answer for request keys at `server`; return what must run after a start."""
    registry = ClaimRegistry(
        process_id=process_id,
        published=published,
        table=ClaimTable(window_s=window_s),
        incarnation_of=connected_incarnations(server),
    )
    ClaimHome(registry=registry, asker=peers, journal=journal).mount(server)
    syncs = ClaimSynchroniser(registry=registry, asker=peers)
    syncs.mount(server)
    return syncs
