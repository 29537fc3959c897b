"""Decisions of one process, kept as records and written as log lines."""

import asyncio
import logging as python_logging
import re
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import orjson
from absl import logging

from ..protocol.reasons import Reason
from .events import Event as Event
from .log_format import LogFormat

FLUSH_DELAY_S: Final = 0.05
"""Longest time until new decisions are flushed."""

MAX_UNFLUSHED: Final = 64
"""Number of new decisions at which they are flushed at once."""

EVENT_WORDS: Final = {
    int(event): f"event={int(event)} name={event.name.lower()}" for event in Event
}
PLAIN: Final = re.compile(r"[\w.:/+-]+")
TEXT_FIELDS: Final = (
    "request_id",
    "attempt_id",
    "entry",
    "owner",
    "config_revision",
    "stage",
    "peer",
    "detail",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One number on which a decision was based; its name includes the unit."""

    name: str
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One decision, with its context.

    Parameters
    ----------
    event : Event
        Kind of the decision.
    request_id : str
        Id of the request; empty if the decision concerns no request.
    attempt_id : str
        Hexadecimal id of the attempt; empty without one.
    entry : str
        Governing catalogue entry.
    owner : str
        The entry's owner.
    config_revision : int
        Revision of the active catalogue.
    stage : str
        Name of the stage.
    peer : str
        Process or target that was chosen, queried or found to have failed.
    reason : Reason
        Reason of the decision.
    detail : str
        One sentence for a person; never a secret or any part of a body.
    figures : tuple of Figure
        Numbers on which the decision was based.
    """

    event: Event
    request_id: str = ""
    attempt_id: str = ""
    entry: str = ""
    owner: str = ""
    config_revision: int = 0
    stage: str = ""
    peer: str = ""
    reason: Reason = Reason.NONE
    detail: str = ""
    figures: tuple[Figure, ...] = ()

    def as_dict(self) -> dict[str, Any]:
        """Return the fields that are set, as values that JSON can represent."""
        fields: dict[str, Any] = {
            "event": int(self.event),
            "name": self.event.name.lower(),
        }
        for field in TEXT_FIELDS:
            value = getattr(self, field)
            if value:
                is_text = isinstance(value, str)
                fields[field] = valid_text(value) if is_text else value
        if self.reason:
            fields["reason"] = self.reason.name.lower()
        fields.update((figure.name, figure.value) for figure in self.figures)
        return fields

    def __str__(self) -> str:
        words = [EVENT_WORDS[int(self.event)]]
        if self.request_id:
            words.append(f"request_id={_word(self.request_id)}")
        if self.attempt_id:
            words.append(f"attempt_id={self.attempt_id}")
        if self.entry:
            words.append(f"entry={_word(self.entry)}")
        if self.owner:
            words.append(f"owner={_word(self.owner)}")
        if self.config_revision:
            words.append(f"config_revision={self.config_revision}")
        if self.stage:
            words.append(f"stage={_word(self.stage)}")
        if self.peer:
            words.append(f"peer={_word(self.peer)}")
        if self.detail:
            words.append(f"detail={_word(self.detail)}")
        if self.reason:
            words.append(f"reason={self.reason.name.lower()}")
        for figure in self.figures:
            words.append(f"{figure.name}={figure.value:g}")
        return " ".join(words)


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """A decision and its time.

    Parameters
    ----------
    decision : Decision
        The decision.
    monotonic_s : float
        Time on this process's monotonic clock, in seconds.
    wall_s : float
        Time on the wall clock, in seconds; only for display.
    """

    decision: Decision
    monotonic_s: float
    wall_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """Records whose log lines are written together, one line each."""

    records: tuple[Record, ...]


class Journal:
    """Writes each decision to the log and keeps the last ones in memory.

    A decision is buffered, and indexed, counted and written to the log together
    with others at the next flush. Doing that for each decision took several times
    as long on the request path. Reads flush first, so they see all decisions; a
    killed process loses the lines since its last flush.

    A record is evicted when it is older than `keep_s` or when `n_records` newer
    ones are kept.

    Parameters
    ----------
    process_id : str
        Id of this process.
    n_records : int
        Largest number of records.
    format : LogFormat
        Format of log lines, which the log's formatter applies.
    keep_s : float
        How long a record is kept.
    """

    __slots__ = (
        "_by_request",
        "_flush_listeners",
        "_keep_s",
        "_listeners",
        "_n_records",
        "_records",
        "_unflushed",
        "process_id",
    )

    def __init__(
        self,
        *,
        process_id: str,
        n_records: int,
        format: LogFormat = LogFormat.KEY_VALUE,
        keep_s: float = 300.0,
    ) -> None:
        self.process_id = process_id
        self._keep_s = keep_s
        self._n_records = n_records
        self._records: deque[Record] = deque()
        self._by_request: dict[str, list[Record]] = {}
        self._unflushed: list[Record] = []
        self._listeners: list[Callable[[Decision], None]] = []
        self._flush_listeners: list[Callable[[Decision], None]] = []

    def record(self, decision: Decision) -> None:
        """Notify the listeners of `decision`; keep and log it at the next flush."""
        unflushed = self._unflushed
        unflushed.append(
            Record(decision=decision, monotonic_s=time.monotonic(), wall_s=time.time())
        )
        for listener in self._listeners:
            listener(decision)
        if len(unflushed) == 1:
            self._flush_later()
        elif len(unflushed) >= MAX_UNFLUSHED:
            self.flush()

    def subscribe(self, listener: Callable[[Decision], None]) -> None:
        """Call `listener` with each further decision, immediately."""
        self._listeners.append(listener)

    def subscribe_on_flush(self, listener: Callable[[Decision], None]) -> None:
        """Call `listener` with each further decision at its flush; used by counters."""
        self._flush_listeners.append(listener)

    def timeline(self, request_id: str) -> Iterator[Record]:
        """Yield the records of one request, oldest first."""
        self.flush()
        self._evict_expired(time.monotonic())
        yield from self._by_request.get(request_id, ())

    def recent(self) -> Iterator[Record]:
        """Yield all records, oldest first."""
        self.flush()
        yield from self._records

    def flush(self) -> None:
        """Index, count and log the decisions since the last flush."""
        if not self._unflushed:
            return
        batch = Batch(records=tuple(self._unflushed))
        self._unflushed.clear()
        self._evict_expired(batch.records[-1].monotonic_s)
        for record in batch.records:
            self._store(record)
        for listener in self._flush_listeners:
            for record in batch.records:
                listener(record.decision)
        _write(batch)

    def _flush_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # no event loop, in a tool or a test
            self.flush()
        else:
            loop.call_later(FLUSH_DELAY_S, self.flush)

    def _store(self, record: Record) -> None:
        if len(self._records) >= self._n_records:
            self._evict_oldest()
        self._records.append(record)
        request_id = record.decision.request_id
        if request_id:
            self._by_request.setdefault(request_id, []).append(record)

    def _evict_expired(self, now_s: float) -> None:
        records = self._records
        while records and now_s - records[0].monotonic_s > self._keep_s:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        request_id = self._records.popleft().decision.request_id
        if not request_id:
            return
        of_request = self._by_request[request_id]
        del of_request[0]
        if not of_request:
            del self._by_request[request_id]


def _write(batch: Batch) -> None:
    logger = logging.get_absl_logger()
    if not logger.isEnabledFor(python_logging.INFO):
        return
    # The log record is built here: the logger would look up the calling line,
    # which takes longer than all the rest and appears in no log line.
    logger.handle(
        python_logging.LogRecord(
            logger.name, python_logging.INFO, "", 0, batch, None, None
        )
    )


def _word(text: str) -> str:
    """Return `text` as one word of a log line, quoted unless it is plain."""
    if PLAIN.fullmatch(text):
        return text
    return orjson.dumps(valid_text(text)).decode()


def valid_text(text: str) -> str:
    """Return `text` as it can be written; headers may hold bytes that are no text."""
    return text.encode(errors="replace").decode()
