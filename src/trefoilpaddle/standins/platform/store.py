"""Stand-in for the platform's store: items with revisions, ranges and watches."""

import base64
from dataclasses import dataclass
from typing import Any, Final

import orjson
from aiohttp import web

from ..faults import Faults
from ..record import Record
from ..web import faulty_application, json_answer

TABLE_KEY: Final = "op/config"
ERA_HEADER: Final = "Store-Era"
MAX_EVENTS: Final = 1000
"""Number of recent events that are kept for watches that lag behind."""


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
        self._discarded_revision = 0

    def put(self, key: str, value: object) -> int:
        """Write an item and return its revision."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(orjson.dumps(value)).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._events.append(item)
        del self._events[:-MAX_EVENTS]
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._events.append(event)

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
