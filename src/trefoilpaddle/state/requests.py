"""States of the recent requests of this gateway."""

import time
from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum, unique

from ..protocol.reasons import Reason


@unique
class RequestState(StrEnum):
    """State of a request; the values are those of the interface for callers."""

    IN_PROGRESS = "in progress"
    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRecord:
    """State of one request as reported to its caller.

    Parameters
    ----------
    request_id, account, pipeline : str
        Id of the request, its client account and its pipeline.
    state : RequestState
        The current state.
    reason : Reason
        Reason of the outcome.
    changed_s : float
        Time of the last change on this process's monotonic clock, in seconds.
    """

    request_id: str
    account: str
    pipeline: str
    state: RequestState
    reason: Reason
    changed_s: float


class Requests:
    """Records of requests, bounded in number and age.

    Parameters
    ----------
    n_records : int
        Largest number of records.
    keep_s : float
        How long a record is kept after its last change.
    """

    __slots__ = ("_keep_s", "_n_records", "_records")

    def __init__(self, *, n_records: int, keep_s: float) -> None:
        self._n_records = n_records
        self._keep_s = keep_s
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def begin(self, *, request_id: str, account: str, pipeline: str) -> None:
        """Record a request as in progress."""
        self._put(
            RequestRecord(
                request_id=request_id,
                account=account,
                pipeline=pipeline,
                state=RequestState.IN_PROGRESS,
                reason=Reason.NONE,
                changed_s=time.monotonic(),
            )
        )

    def end(self, request_id: str, *, state: RequestState, reason: Reason) -> None:
        """Record the outcome of a request, unless its record was evicted."""
        record = self._records.get(request_id)
        if record is None:
            return
        now_s = time.monotonic()
        self._put(replace(record, state=state, reason=reason, changed_s=now_s))

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if unknown or expired."""
        record = self._records.get(request_id)
        if record is None or time.monotonic() - record.changed_s > self._keep_s:
            return None
        return record

    def _put(self, record: RequestRecord) -> None:
        self._records[record.request_id] = record
        self._records.move_to_end(record.request_id)
        if len(self._records) > self._n_records:
            self._records.popitem(last=False)
