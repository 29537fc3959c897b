"""Activates configuration received from the platform or from peers."""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from absl import logging
from result import Err, Ok

from ...state.catalogue_build import CatalogueBuilder, HeldBack
from ...state.config_items import ConfigItems, PublishedItem
from ...state.hosts_read import read_hosts
from ...state.journal import Decision, Event, Figure, Journal
from ...state.published import Published

MAX_DETAIL_CHARS: Final = 300
"""Longest `detail` text of a recorded decision; longer texts are truncated."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigChange:
    """A change that has become active in this process.

    Parameters
    ----------
    keys : frozenset of str
        Keys with new versions; empty if only the host list changed.
    base_revision : int
        Revision that was active before the change.
    source : str
        The peer that sent it, or ``"platform"``.
    """

    keys: frozenset[str]
    base_revision: int
    source: str


ChangeListener = Callable[[ConfigChange], None]


class ConfigState:
    """The versions known here and the catalogue that follows from them.

    Parameters
    ----------
    published : Published
        Receives the active catalogue and host list.
    journal : Journal
        Records each change and each version held back.

    Attributes
    ----------
    items : ConfigItems
        The versions known.
    held_back : tuple of HeldBack
        Published versions that are not active, and the reasons.
    hosts_json : bytes
        The active host list, as published.
    has_queried_peers : bool
        Whether peers have been queried for the highest revision since the start
        or the last pause.
    known : asyncio.Event
        Set while a catalogue is active and peers have been queried.
    last_read_s : float or None
        Monotonic time of the last known read of the service by any process.
    """

    __slots__ = (
        "_builder",
        "_journal",
        "_listeners",
        "_published",
        "has_queried_peers",
        "held_back",
        "hosts_json",
        "items",
        "known",
        "last_read_s",
    )

    def __init__(self, *, published: Published, journal: Journal) -> None:
        self._published = published
        self._journal = journal
        self._builder = CatalogueBuilder()
        self._listeners: list[ChangeListener] = []
        self.items = ConfigItems()
        self.held_back: tuple[HeldBack, ...] = ()
        self.hosts_json = b""
        self.has_queried_peers = False
        self.known = asyncio.Event()
        self.last_read_s: float | None = None

    def subscribe(self, listener: ChangeListener) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def set_peers_queried(self, has_queried_peers: bool) -> None:
        """Record whether peers have been queried for the highest revision.

        A process that starts, or resumes after a pause, while the service is stale
        would otherwise use a catalogue that the other processes have replaced.
        """
        self.has_queried_peers = has_queried_peers
        self._update_known()

    def _update_known(self) -> None:
        if self.has_queried_peers and self.items.revision > 0:
            self.known.set()
        else:
            self.known.clear()

    def record_read(self, age_s: float) -> None:
        """Record that some process read the service `age_s` seconds ago."""
        read_at_s = time.monotonic() - age_s
        if self.last_read_s is None or read_at_s > self.last_read_s:
            self.last_read_s = read_at_s

    def read_age_s(self) -> float | None:
        """Return the time since the last known read of the service, or None."""
        return None if self.last_read_s is None else time.monotonic() - self.last_read_s

    def apply(
        self, items: Iterable[PublishedItem], *, revision: int, source: str
    ) -> bool:
        """Apply `items`; return True if a version or the revision was new.

        Parameters
        ----------
        items : iterable of PublishedItem
            All changes up to `revision` that `source` knows.
        revision : int
            Revision of the source.
        source : str
            The peer that sent them, or ``"platform"``.
        """
        previous_revision = self.items.revision
        keys = self.items.merge(items, revision=revision)
        if not keys and self.items.revision == previous_revision:
            return False
        previous_held_back = self.held_back
        selection = self._builder.activate(self.items, keys)
        self.held_back = selection.held_back
        if self._published.set_catalogue(selection.catalogue):
            self._record_active(keys, source)
        self._record_held_back(previous_held_back, source)
        self._update_known()
        self._notify(frozenset(keys), previous_revision, source)
        return True

    def apply_hosts(self, data: bytes, *, source: str) -> bool:
        """Activate the host list `data`; return False if it is invalid or not newer."""
        if data == self.hosts_json:
            return False
        match read_hosts(data):
            case Err(problem):
                logging.warning("%s: %s", source, problem)
                return False
            case Ok(read):
                if not self._published.set_hosts(read.hosts):
                    return False
        self.hosts_json = data
        for problem in read.problems:
            logging.warning("%s: %s", source, problem)
        self._journal.record(
            Decision(
                event=Event.HOSTS_IN_FORCE,
                config_revision=self.items.revision,
                peer=source,
                figures=(
                    Figure(name="hosts_revision", value=read.hosts.revision),
                    Figure(name="n_hosts", value=len(read.hosts.hosts)),
                ),
            )
        )
        self._notify(frozenset(), self.items.revision, source)
        return True

    def _notify(self, keys: frozenset[str], base_revision: int, source: str) -> None:
        change = ConfigChange(keys=keys, base_revision=base_revision, source=source)
        for listener in self._listeners:
            listener(change)

    def _record_active(self, keys: set[str], source: str) -> None:
        self._journal.record(
            Decision(
                event=Event.CONFIG_IN_FORCE,
                config_revision=self.items.revision,
                peer=source,
                detail=_truncated(", ".join(sorted(keys))),
                figures=(
                    Figure(name="revision", value=self.items.revision),
                    Figure(name="n_changed", value=len(keys)),
                ),
            )
        )

    def _record_held_back(self, previous: tuple[HeldBack, ...], source: str) -> None:
        known = {(held.key, held.revision) for held in previous}
        for held in self.held_back:
            if (held.key, held.revision) in known:
                continue
            self._journal.record(
                Decision(
                    event=Event.CONFIG_REJECTED,
                    config_revision=held.revision,
                    entry=held.key.removeprefix("entry/"),
                    peer=source,
                    detail=_truncated(
                        "; ".join(str(problem) for problem in held.problems)
                    ),
                    figures=(
                        Figure(name="revision", value=held.revision),
                        Figure(name="stays_revision", value=held.stays),
                    ),
                )
            )


def _truncated(text: str) -> str:
    if len(text) <= MAX_DETAIL_CHARS:
        return text
    return text[: MAX_DETAIL_CHARS - 1] + "…"
