"""Builds what a gateway and a sidecar need for request keys."""

from ..protocol.gen.stage.ttypes import Hello
from ..state.claim_table import ClaimTable
from ..state.journal import Journal
from ..state.published import Published
from ..transport.peers import Peers
from ..transport.server import PeerServer
from .claim_book import ClaimBook, IncarnationOf
from .claim_home import ClaimHome
from .claims import Claimer
from .directory import Directory
from .minted import MintedClaims
from .request_keys import RequestKeys


def incarnations_at(server: PeerServer) -> IncarnationOf:
    """Return what tells the incarnation last heard from a process at `server`."""

    def incarnation_of(process_id: str) -> int | None:
        heard = [c for c in server.connections if c.peer.process_id == process_id]
        if not heard:
            return None
        return max(heard, key=lambda connection: connection.heard_s).peer.incarnation

    return incarnation_of


def sidecar_keys(
    *,
    process_id: str,
    published: Published,
    peers: Peers,
    server: PeerServer,
    journal: Journal,
    window_s: float,
) -> ClaimHome:
    """Return a sidecar's part, answering at `server`."""
    book = ClaimBook(
        process_id=process_id,
        published=published,
        table=ClaimTable(window_s=window_s),
        incarnation_of=incarnations_at(server),
    )
    home = ClaimHome(book=book, asker=peers, journal=journal)
    home.mount(server)
    return home


class GatewayKeys:
    """A gateway's part: ids that it mints, and the keys of its requests.

    Parameters
    ----------
    hello : Hello
        Process id and incarnation of this gateway.
    published, directory, peers, server
        Of this process.
    window_s : float
        The retry window.
    """

    __slots__ = ("minted", "requests")

    def __init__(
        self,
        *,
        hello: Hello,
        published: Published,
        directory: Directory,
        peers: Peers,
        server: PeerServer,
        window_s: float,
    ) -> None:
        book = ClaimBook(
            process_id=hello.process_id,
            published=published,
            table=ClaimTable(window_s=window_s),
            incarnation_of=incarnations_at(server),
        )
        self.minted = MintedClaims(
            book=book, process_id=hello.process_id, incarnation=hello.incarnation
        )
        self.minted.mount(server)
        claimer = Claimer(
            hello=lambda: hello,
            published=published,
            directory=directory,
            asker=peers,
            minted=self.minted,
        )
        self.requests = RequestKeys(claimer=claimer)
