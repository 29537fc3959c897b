"""What a gateway asks of the client that reads the platform's store."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from result import Result

from ...state.chain.routes import RouteTable
from ...state.chain.workers import Worker
from .store_position import StorePosition


@unique
class StoreFault(Enum):
    """Why the store gave no answer that can be used."""

    HISTORY_LOST = "history_lost"
    """It no longer has the changes since the revision that was asked for."""
    REFUSED = "refused"
    """It answered, but does not serve this gateway now."""
    SILENT = "silent"
    """It did not answer in time, or cannot be reached."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedTable:
    """A route table with the bytes that it was read from.

    Parameters
    ----------
    table : RouteTable
        Decoded.
    data : bytes
        As published; what gateways pass on to one another.
    """

    table: RouteTable
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class UnreadableEntry:
    """An entry that names no worker to use, whoever wrote it.

    Parameters
    ----------
    worker_id : str
        Under which it stands; empty where not even that can be read.
    problem : str
        What is wrong with it, short.
    """

    worker_id: str
    problem: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreChanges:
    """What the store holds, or what has changed in it.

    Parameters
    ----------
    position : StorePosition
        What this leads up to.
    table : PublishedTable or None
        The newest route table, if it is among the changes.
    workers : tuple of Worker
        Workers as they are listed now.
    removed : tuple of str
        Ids of workers that are listed no more.
    unreadable : tuple of UnreadableEntry
        Entries that name no worker to use; one that did before is withdrawn.
    relisted : tuple of str
        Ids of those of `workers` that were not listed for a while meanwhile.
    """

    position: StorePosition
    table: PublishedTable | None = None
    workers: tuple[Worker, ...] = ()
    removed: tuple[str, ...] = ()
    unreadable: tuple[UnreadableEntry, ...] = ()
    relisted: tuple[str, ...] = ()


class PublishedStore(Protocol):
    """Reads the store; knows its protocol and decides nothing."""

    async def snapshot(self) -> Result[StoreChanges, StoreFault]:
        """Return all that the store holds now."""

    async def changes(self, after: StorePosition) -> Result[StoreChanges, StoreFault]:
        """Return what has changed since a position, at once.

        An answer from another era than that of `after` holds what has changed in
        that one since the same revision, or nothing if it has no such revision; it
        leads on from nothing that is known.
        """
