"""What this gateway knows of the requests of the last minutes."""

import time
from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum, unique

from ..protocol.reasons import Reason


@unique
class RequestState(StrEnum):
    """How far a request is, in the words of the callers' interface."""

    IN_PROGRESS = "in progress"
    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRecord:
    """One request as told to its caller.

    Parameters
    ----------
    request_id, account, pipeline : str
        Which request, whose, of which pipeline.
    state : RequestState
        How far it is.
    reason : Reason
        Why it ended so.
    changed_s : float
        This process's monotonic clock at the last change.
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
        How many are kept.
    keep_s : float
        For how long after the last change.
    """

    __slots__ = ("_keep_s", "_n_records", "_records")

    def __init__(self, *, n_records: int, keep_s: float) -> None:
        self._n_records = n_records
        self._keep_s = keep_s
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()

    def begin(self, *, request_id: str, account: str, pipeline: str) -> None:
        """Remember a request that is in progress from now on."""
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
        """Remember how a request ended; one already forgotten stays so."""
        record = self._records.get(request_id)
        if record is None:
            return
        now_s = time.monotonic()
        self._put(replace(record, state=state, reason=reason, changed_s=now_s))

    def get(self, request_id: str) -> RequestRecord | None:
        """Return what is known of a request, or None when forgotten."""
        record = self._records.get(request_id)
        if record is None or time.monotonic() - record.changed_s > self._keep_s:
            return None
        return record

    def _put(self, record: RequestRecord) -> None:
        self._records[record.request_id] = record
        self._records.move_to_end(record.request_id)
        if len(self._records) > self._n_records:
            self._records.popitem(last=False)
