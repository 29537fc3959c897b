"""Transfers route tables between gateways, compressed and in parts.

A table may take seconds on a slow link. A part that is lost or late is requested
again by itself; the parts before it are kept, whichever peer sent them.
"""

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from absl import logging
from result import Ok

from ...protocol.checksum import checksum
from ...protocol.const import MAX_FRAME_BYTES
from ...protocol.gen.chain.ttypes import TablePart, TablePull
from ...protocol.gen.stage.ttypes import Hello
from ...transport.connection import Address
from ..own_process import OwnProcess
from .published_store import PublishedTable

PART_BYTES: Final = 64 * 1024
"""Largest part: a tenth of a second on a link of 5 Mbit/s."""

PART_TIMEOUT_S: Final = 1.0
"""Longest wait for a part; it may share its link with callers' streams."""

LOG_PERIOD_S: Final = 1
"""Least seconds between log lines on parts that are not used."""

MAX_TABLE_BYTES: Final = MAX_FRAME_BYTES
"""Largest table that is accepted, compressed or not."""

COMPRESSION_LEVEL: Final = 1
"""The fastest; routes are so alike that higher levels save little."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PackedTable:
    """A table as it is sent to peers.

    Parameters
    ----------
    version : int
        Version of the table.
    data : bytes
        The compressed table.
    checksum : int
        Checksum of `data`.
    """

    version: int
    data: bytes
    checksum: int


@dataclass(slots=True, kw_only=True)
class Incoming:
    """A compressed table of which some parts have arrived.

    Parameters
    ----------
    version : int
        Version of the table.
    n_bytes, checksum : int
        Size and checksum of the whole compressed table.
    data : bytearray
        What has arrived.
    senders : set of Address
        Peers that sent the parts.
    """

    version: int = 0
    n_bytes: int = 0
    checksum: int = 0
    data: bytearray = field(default_factory=bytearray)
    senders: set[Address] = field(default_factory=set)

    def is_continued_by(self, part: TablePart) -> bool:
        """Return True if a part is the next one of this table."""
        return (part.version, part.n_bytes, part.checksum, part.from_byte) == (
            self.version,
            self.n_bytes,
            self.checksum,
            len(self.data),
        ) and len(self.data) + len(part.data) <= self.n_bytes


class TableTransfer:
    """Sends the newest table to peers, and requests a newer one from them.

    At most one part is under way to this gateway at a time.

    Parameters
    ----------
    process : OwnProcess
        Listens for peers and holds connections to them.
    published : callable
        Returns the newest table known to this gateway, or None.
    """

    __slots__ = ("_holders", "_incoming", "_lock", "_packed", "_process", "_published")

    def __init__(
        self,
        *,
        process: OwnProcess,
        published: Callable[[], PublishedTable | None],
    ) -> None:
        self._process = process
        self._published = published
        self._packed: PackedTable | None = None
        self._incoming = Incoming()
        self._holders: dict[Address, int] = {}
        self._lock = asyncio.Lock()
        process.server.add_handler(TablePull, self.respond)

    async def respond(self, request: TablePull, peer: Hello) -> TablePart:
        """Return the requested part, or the first one of another newest table."""
        packed = self._pack()
        if packed is None:
            return TablePart()
        is_same = request.version == packed.version
        from_byte = request.from_byte if is_same else 0
        if not 0 <= from_byte <= len(packed.data):
            from_byte = 0
        return TablePart(
            version=packed.version,
            from_byte=from_byte,
            n_bytes=len(packed.data),
            checksum=packed.checksum,
            data=packed.data[from_byte : from_byte + PART_BYTES],
        )

    def _pack(self) -> PackedTable | None:
        published = self._published()
        if published is None:
            return None
        version = published.table.version
        if self._packed is None or self._packed.version != version:
            data = zlib.compress(published.data, COMPRESSION_LEVEL)
            self._packed = PackedTable(
                version=version, data=data, checksum=checksum(data)
            )
        return self._packed

    def add_holder(self, address: Address, version: int) -> None:
        """Note that a peer has a table and sends it in parts."""
        self._holders[address] = version

    def has_newer(self, version: int) -> bool:
        """Return True if a peer has a table that is newer than `version`."""
        return any(held > version for held in self._holders.values())

    async def fetch_newer(self, version: int) -> bytes | None:
        """Return a table that is newer than `version`; None if no peer sends one.

        Raises
        ------
        asyncio.CancelledError
            If the caller is cancelled; the parts that have arrived are kept.
        """
        async with self._lock:
            known = self._published()
            if known is not None and known.table.version > version:
                return None
            while (holder := self._newest_holder(version)) is not None:
                part = await self._request_part(holder)
                if part is None or not self._add(part, holder, newer_than=version):
                    self._log_given_up(holder, is_lost=part is None)
                    self._give_up(holder, is_lost=part is None)
                elif len(self._incoming.data) == self._incoming.n_bytes:
                    incoming, self._incoming = self._incoming, Incoming()
                    data = _unpacked(incoming)
                    if data is not None or incoming.senders == {holder}:
                        del self._holders[holder]
                    if data is not None:
                        return data
            return None

    def _newest_holder(self, version: int) -> Address | None:
        for address in [a for a, held in self._holders.items() if held <= version]:
            del self._holders[address]
        return max(self._holders, key=self._holders.__getitem__, default=None)

    async def _request_part(self, holder: Address) -> TablePart | None:
        request = TablePull(
            version=self._incoming.version, from_byte=len(self._incoming.data)
        )
        link = self._process.peers.link(holder)
        match await link.ask(request, timeout_s=PART_TIMEOUT_S):
            case Ok(TablePart() as part):
                return part
            case _:
                return None

    def _add(self, part: TablePart, sender: Address, *, newer_than: int) -> bool:
        """Add a part; return False if it is not of use."""
        if not part.data or part.version <= newer_than:
            return False
        if self._incoming.is_continued_by(part):
            self._incoming.data += part.data
        elif part.from_byte == 0 and len(part.data) <= part.n_bytes <= MAX_TABLE_BYTES:
            self._incoming = Incoming(
                version=part.version,
                n_bytes=part.n_bytes,
                checksum=part.checksum,
                data=bytearray(part.data),
            )
        else:
            return False
        self._incoming.senders.add(sender)
        return True

    def _log_given_up(self, holder: Address, *, is_lost: bool) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            "a part of table %d from %s %s; %d of %d bytes are here",
            LOG_PERIOD_S,
            self._holders[holder],
            holder,
            "did not arrive in time" if is_lost else "is of no use",
            len(self._incoming.data),
            self._incoming.n_bytes,
        )

    def _give_up(self, holder: Address, *, is_lost: bool) -> None:
        """Ask a peer no more, or ask it for the table from the beginning.

        Two peers may compress a table differently, so that the parts of one do not
        continue those of the other.
        """
        senders = self._incoming.senders
        if senders and holder not in senders and not is_lost:
            self._incoming = Incoming()
        else:
            del self._holders[holder]


def _unpacked(incoming: Incoming) -> bytes | None:
    """Return the table whose parts have all arrived; None if it is damaged."""
    if checksum(bytes(incoming.data)) != incoming.checksum:
        logging.warning("table %d of a peer is damaged", incoming.version)
        return None
    unpacking = zlib.decompressobj()
    try:
        data = unpacking.decompress(incoming.data, MAX_TABLE_BYTES)
    except zlib.error as error:
        logging.warning("table %d of a peer: %s", incoming.version, error)
        return None
    if not unpacking.eof:
        logging.warning("table %d of a peer is too large", incoming.version)
        return None
    return data
