"""Decisions of one process: one numbered log line and one bounded record each."""

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
"""Longest time until new decisions are worked off."""

MAX_UNFLUSHED: Final = 64
"""New decisions after which they are worked off at once."""

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
    """One number on which a decision was made; the name carries its unit."""

    name: str
    value: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One decision, with what governed it.

    Parameters
    ----------
    event : Event
        What was decided.
    request_id : str
        Request concerned; empty for decisions about no request.
    attempt_id : str
        Attempt concerned, hexadecimal; empty without one.
    entry : str
        Governing catalogue entry.
    owner : str
        The entry's owner.
    config_revision : int
        Revision in force.
    stage : str
        Stage concerned.
    peer : str
        Process or target chosen, asked or found at fault.
    reason : Reason
        Why.
    detail : str
        One sentence for a person; never a secret or any part of a body.
    figures : tuple of Figure
        Numbers that the decision was made on.
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
        """Return what is set, as values that JSON can hold."""
        fields: dict[str, Any] = {
            "event": int(self.event),
            "name": self.event.name.lower(),
        }
        for field in TEXT_FIELDS:
            value = getattr(self, field)
            if value:
                fields[field] = value
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
    """A decision and when it was made.

    Parameters
    ----------
    decision : Decision
        What was decided.
    monotonic_s : float
        This process's monotonic clock.
    wall_s : float
        Wall clock, for a person to read; nothing is decided by it.
    """

    decision: Decision
    monotonic_s: float
    wall_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """Records whose lines are written together, one line each."""

    records: tuple[Record, ...]


class Journal:
    """Writes each decision to the log and keeps the last ones in memory.

    A decision is put aside at once and worked off with others a moment later:
    found by request, counted, written to the log. Doing that at
    each decision cost the path several times as much. Readers see all that was
    decided; a killed process loses the last moment's lines.

    A record is forgotten when it is older than `keep_s` or when `n_records`
    newer ones are kept.

    Parameters
    ----------
    process_id : str
        Whose decisions these are.
    n_records : int
        How many records are kept.
    format : LogFormat
        How lines are written; the log's formatter does it.
    keep_s : float
        How long a record is kept.
    """

    __slots__ = (
        "_by_request",
        "_keep_s",
        "_later_listeners",
        "_listeners",
        "_n_records",
        "_new",
        "_records",
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
        self._new: list[Record] = []
        self._listeners: list[Callable[[Decision], None]] = []
        self._later_listeners: list[Callable[[Decision], None]] = []

    def record(self, decision: Decision) -> None:
        """Tell the listeners of `decision`; keep and log it within a moment."""
        new = self._new
        new.append(
            Record(decision=decision, monotonic_s=time.monotonic(), wall_s=time.time())
        )
        for listener in self._listeners:
            listener(decision)
        if len(new) == 1:
            self._flush_later()
        elif len(new) >= MAX_UNFLUSHED:
            self.flush()

    def subscribe(self, listener: Callable[[Decision], None]) -> None:
        """Call `listener` with each decision from now on, at once."""
        self._listeners.append(listener)

    def subscribe_on_flush(self, listener: Callable[[Decision], None]) -> None:
        """Call `listener` with each decision when it is worked off; counters do."""
        self._later_listeners.append(listener)

    def timeline(self, request_id: str) -> Iterator[Record]:
        """Yield what is still kept about one request, oldest first."""
        self.flush()
        self._forget_old(time.monotonic())
        yield from self._by_request.get(request_id, ())

    def recent(self) -> Iterator[Record]:
        """Yield all that is kept, oldest first."""
        self.flush()
        yield from self._records

    def flush(self) -> None:
        """Work off what was decided since the last time."""
        if not self._new:
            return
        batch = Batch(records=tuple(self._new))
        self._new.clear()
        self._forget_old(batch.records[-1].monotonic_s)
        for record in batch.records:
            self._keep(record)
        for listener in self._later_listeners:
            for record in batch.records:
                listener(record.decision)
        _write(batch)

    def _flush_later(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # no loop: a tool or a test
            self.flush()
        else:
            loop.call_later(FLUSH_DELAY_S, self.flush)

    def _keep(self, record: Record) -> None:
        if len(self._records) >= self._n_records:
            self._forget_first()
        self._records.append(record)
        request_id = record.decision.request_id
        if request_id:
            self._by_request.setdefault(request_id, []).append(record)

    def _forget_old(self, now_s: float) -> None:
        records = self._records
        while records and now_s - records[0].monotonic_s > self._keep_s:
            self._forget_first()

    def _forget_first(self) -> None:
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
    # The log record is made by hand: looking for the calling line, which no
    # line of the log shows, would take longer than the rest.
    logger.handle(
        python_logging.LogRecord(
            logger.name, python_logging.INFO, "", 0, batch, None, None
        )
    )


def _word(text: str) -> str:
    """Return `text` as one word of a line; quoted where it is not plain."""
    return text if PLAIN.fullmatch(text) else orjson.dumps(text).decode()
