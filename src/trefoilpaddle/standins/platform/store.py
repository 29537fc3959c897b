"""Stand-in for the platform's store: items with revisions, ranges and watches."""

import base64
import time
from dataclasses import dataclass
from typing import Any, Final

import orjson
from aiohttp import web

from ..faults import Faults
from ..record import Record
from ..web import faulty_application, json_answer

TABLE_KEY: Final = "op/config"
ERA_HEADER: Final = "Store-Era"
HISTORY_S: Final = 20.0
"""Time for which events are kept for watches that lag behind."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreBackup:
    """Backup of the content of the store.

    Parameters
    ----------
    revision : int
        Revision at the time of the backup.
    items : dict
        Items by key.
    events : list
        Events in the history, oldest first.
    """

    revision: int
    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]


class PlatformStore:
    """Holds the items of operators and workers; tests write them directly.

    Attributes
    ----------
    era : int
        Counter that rises each time the store is restored from a backup; 0 is not
        reported.
    faults : Faults
        Faults, set over HTTP or by the test.
    is_refusing : bool
        True refuses all readers.
    n_reads : int
        Number of reads and watches, including refused ones.
    """

    __slots__ = (
        "_discarded_revision",
        "_events",
        "_items",
        "_recorded_s",
        "era",
        "faults",
        "is_refusing",
        "n_reads",
        "record",
        "revision",
    )

    def __init__(self) -> None:
        self.faults = Faults()
        self.record = Record()
        self.revision = 0
        self.era = 0
        self.n_reads = 0
        self.is_refusing = False
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._recorded_s: dict[int, float] = {}
        self._discarded_revision = 0

    def put(self, key: str, value: object) -> int:
        """Write an item and return its revision."""
        return self.put_bytes(key, orjson.dumps(value))

    def put_bytes(self, key: str, data: bytes) -> int:
        """Write an item with any content and return its revision."""
        self.revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": self.revision if known is None else known["created"],
            "lease": 0,
        }
        self._items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def _record(self, event: dict[str, Any]) -> None:
        """Keep an event for watches, and discard those that are too old."""
        self._events.append(event)
        self._recorded_s[self.revision] = time.monotonic()
        self._discard_old()

    def _discard_old(self) -> None:
        oldest_s = time.monotonic() - HISTORY_S
        while self._events:
            revision = self._events[0]["revision"]
            if self._recorded_s.get(revision, 0.0) >= oldest_s:
                break
            self._recorded_s.pop(revision, None)
            del self._events[0]
            self._discarded_revision = revision

    def written_keys(self) -> list[str]:
        """Return the keys of all items."""
        return list(self._items)

    def discard_history(self) -> None:
        """Discard the history, so that watches of earlier revisions fail."""
        self._discarded_revision = self.revision
        self._events.clear()

    def take_backup(self) -> StoreBackup:
        """Return a backup of the current content."""
        return StoreBackup(
            revision=self.revision, items=dict(self._items), events=list(self._events)
        )

    def restore_from(self, backup: StoreBackup) -> None:
        """Restore the content of a backup; all later writes are lost."""
        self.era += 1
        self.revision = backup.revision
        self._items = dict(backup.items)
        self._events = list(backup.events)
        self._discarded_revision = min(self._discarded_revision, backup.revision)

    def application(self) -> web.Application:
        """Return the HTTP application of the store."""
        app = faulty_application(faults=self.faults, record=self.record)
        app.router.add_get("/trefoilpaddle/kv-range", self._range)
        app.router.add_get("/trefoilpaddle/kv-watch", self._watch)
        return app

    async def _range(self, request: web.Request) -> web.Response:
        self.n_reads += 1
        if self.is_refusing:
            return self._answer({}, status=503)
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return self._answer(
            {
                "items": [self._items[key] for key in keys],
                "has_more": False,
                "store_revision": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        self.n_reads += 1
        if self.is_refusing:
            return self._answer({}, status=503)
        after = int(request.query["after"])
        self._discard_old()
        if not self._discarded_revision <= after <= self.revision:
            return self._answer({}, status=410)
        prefix = request.query["prefix"]
        events = [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        return self._answer({"events": events, "store_revision": self.revision})

    def _answer(self, value: object, *, status: int = 200) -> web.Response:
        headers = {ERA_HEADER: str(self.era)} if self.era else None
        return json_answer(value, status=status, headers=headers)
