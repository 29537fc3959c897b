"""Decisions of one process: one numbered log line and one bounded record each."""

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum, unique

from absl import logging

from ..protocol.reasons import Reason
from .settings import LogFormat


@unique
class Event(IntEnum):
    """Number of each event; docs/EVENTS.md is the catalogue."""

    # Requests at a gateway
    REQUEST_ACCEPTED = 100
    REQUEST_REFUSED = 101
    REQUEST_ANSWERED = 102
    REQUEST_FAILED = 103
    CALLER_LEFT = 104
    REQUEST_JOINED = 105
    # Stage calls at a gateway
    ROUTED = 120
    RETRIED = 121
    HEDGED = 122
    STAGE_DONE = 123
    STAGE_FAILED = 124
    RESULT_FETCHED = 125
    ATTEMPT_BARRED = 126
    FRAME_DROPPED = 127
    # Attempts at a sidecar
    QUEUED = 140
    STARTED = 141
    FINISHED = 142
    REFUSED = 143
    DROPPED = 144
    CANCELLED = 145
    RESULT_RELEASED = 146
    RESULT_EXPIRED = 147
    # Targets
    TARGET_EJECTED = 160
    TARGET_READMITTED = 161
    TARGET_UP = 162
    TARGET_DOWN = 163
    CONCURRENCY_CHANGED = 164
    # Configuration
    CONFIG_IN_FORCE = 200
    CONFIG_REJECTED = 201
    CONFIG_SOURCE_LOST = 202
    CONFIG_SOURCE_BACK = 203
    READER_CHANGED = 204
    HOSTS_IN_FORCE = 205
    # Membership
    MEMBER_JOINED = 220
    MEMBER_SUSPECTED = 221
    MEMBER_LEAVING = 222
    MEMBER_DEAD = 223
    WOKE_LATE = 224
    # Claims and limits
    CLAIM_GRANTED = 240
    CLAIM_ANSWERED = 241
    LEASE_GRANTED = 260
    LEASE_LOST = 261
    LIMIT_REFUSED = 262
    # Orders and placement
    ORDER_SENT = 280
    ORDER_REFUSED = 281
    PLACED = 282
    # Process
    PROCESS_STARTED = 300
    PROCESS_STOPPING = 301
    PROCESS_STOPPED = 302
    PEER_REFUSED = 303
    KEYS_RELOADED = 304


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


class Journal:
    """Writes each decision to the log and keeps the last ones in memory.

    Parameters
    ----------
    process_id : str
        Written with each line.
    n_records : int
        How many records are kept.
    format : LogFormat
        How lines are written.
    """

    __slots__ = ("_format", "_listeners", "_records", "process_id")

    def __init__(self, *, process_id: str, n_records: int, format: LogFormat) -> None:
        self.process_id = process_id
        self._records: deque[Record] = deque(maxlen=n_records)
        self._format = format
        self._listeners: list[Callable[[Decision], None]] = []

    def record(self, decision: Decision) -> None:
        """Log `decision`, keep it and tell the listeners."""
        now = Record(
            decision=decision, monotonic_s=time.monotonic(), wall_s=time.time()
        )
        self._records.append(now)
        logging.info("%s", self._line(decision))
        for listener in self._listeners:
            listener(decision)

    def subscribe(self, listener: Callable[[Decision], None]) -> None:
        """Call `listener` with each decision from now on; metrics do."""
        self._listeners.append(listener)

    def story(self, request_id: str) -> Iterator[Record]:
        """Yield what is still kept about one request, oldest first."""
        for record in self._records:
            if record.decision.request_id == request_id:
                yield record

    def _line(self, decision: Decision) -> str:
        parts = [f"event={int(decision.event)} {decision.event.name.lower()}"]
        for name in ("request_id", "attempt_id", "entry", "stage", "peer", "detail"):
            value = getattr(decision, name)
            if value:
                parts.append(f"{name}={value!r}")
        if decision.reason:
            parts.append(f"reason={decision.reason.name.lower()}")
        parts += [f"{figure.name}={figure.value:g}" for figure in decision.figures]
        return " ".join(parts)
