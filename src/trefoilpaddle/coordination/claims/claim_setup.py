"""Builds the request key services of a sidecar, and parts that gateways share."""

from ...state.claim_table import ClaimTable
from ...state.journal import Journal
from ...state.published import Published
from ...transport.peers import Peers
from ...transport.server import PeerServer
from .claim_home import ClaimHome
from .claim_registry import ClaimRegistry, IncarnationOf
from .claim_sync import ClaimSynchroniser


def connected_incarnations(server: PeerServer) -> IncarnationOf:
    """Return a function that looks up the incarnation of a process at `server`.

    It is the incarnation on the connection that received a message last.
    """

    def incarnation_of(process_id: str) -> int | None:
        known = [c for c in server.connections if c.peer.process_id == process_id]
        if not known:
            return None
        return max(
            known, key=lambda connection: connection.last_received_s
        ).peer.incarnation

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
    """Serve request keys at `server`; return the synchroniser to run after a start."""
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
