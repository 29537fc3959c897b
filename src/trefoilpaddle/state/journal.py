"""Decisions of one process: one numbered log line and one bounded record each."""

import asyncio
import logging as python_logging
import re
import time
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import orjson
from absl import logging

from ..protocol.reasons import Reason
from .events import Event as Event
from .settings import LogFormat

WRITE_AFTER_S: Final = 0.05
MAX_UNWRITTEN: Final = 64
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
        words = [f"event={int(self.event)} name={self.event.name.lower()}"]
        for field in TEXT_FIELDS:
            value = getattr(self, field)
            if value:
                words.append(f"{field}={_word(value)}")
        if self.reason:
            words.append(f"reason={self.reason.name.lower()}")
        words += [f"{figure.name}={figure.value:g}" for figure in self.figures]
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

    Records are kept by request, so a request's story is found at once among
    tens of thousands. A record is forgotten when it is older than `keep_s` or
    when `n_records` newer ones are kept.

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
        "_listeners",
        "_n_records",
        "_records",
        "_unwritten",
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
        self._by_request: defaultdict[str, deque[Record]] = defaultdict(deque)
        self._unwritten: list[Record] = []
        self._listeners: list[Callable[[Decision], None]] = []

    def record(self, decision: Decision) -> None:
        """Log `decision`, keep it and tell the listeners."""
        now_s = time.monotonic()
        self._forget_old(now_s)
        if len(self._records) >= self._n_records:
            self._forget_first()
        record = Record(decision=decision, monotonic_s=now_s, wall_s=time.time())
        self._records.append(record)
        if decision.request_id:
            self._by_request[decision.request_id].append(record)
        self._unwritten.append(record)
        self._write_soon()
        for listener in self._listeners:
            listener(decision)

    def subscribe(self, listener: Callable[[Decision], None]) -> None:
        """Call `listener` with each decision from now on; metrics do."""
        self._listeners.append(listener)

    def story(self, request_id: str) -> Iterator[Record]:
        """Yield what is still kept about one request, oldest first."""
        self._forget_old(time.monotonic())
        yield from self._by_request.get(request_id, ())

    def recent(self) -> Iterator[Record]:
        """Yield all that is kept, oldest first."""
        yield from self._records

    def flush(self) -> None:
        """Write the lines of all decisions that are not written yet."""
        batch = Batch(records=tuple(self._unwritten))
        self._unwritten.clear()
        logger = logging.get_absl_logger()
        if not batch.records or not logger.isEnabledFor(python_logging.INFO):
            return
        # The log record is made by hand: looking for the calling line, which
        # no line of the log shows, would take longer than the rest.
        logger.handle(
            python_logging.LogRecord(
                logger.name, python_logging.INFO, "", 0, batch, None, None
            )
        )

    def _write_soon(self) -> None:
        """Write what is waiting: at once when it is much, else within a moment.

        One call of the log for each decision cost more than all else a
        decision takes. A killed process loses the last moment's lines.
        """
        if len(self._unwritten) >= MAX_UNWRITTEN:
            self.flush()
            return
        if len(self._unwritten) > 1:
            return
        try:
            asyncio.get_running_loop().call_later(WRITE_AFTER_S, self.flush)
        except RuntimeError:  # no loop: a tool or a test
            self.flush()

    def _forget_old(self, now_s: float) -> None:
        records = self._records
        while records and now_s - records[0].monotonic_s > self._keep_s:
            self._forget_first()

    def _forget_first(self) -> None:
        request_id = self._records.popleft().decision.request_id
        if not request_id:
            return
        of_request = self._by_request[request_id]
        of_request.popleft()
        if not of_request:
            del self._by_request[request_id]


def _word(value: str | int) -> str:
    """Return `value` as one word of a line; quoted where it is not plain."""
    text = str(value)
    return text if PLAIN.fullmatch(text) else orjson.dumps(text).decode()
