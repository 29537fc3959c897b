"""Which pieces may share a call when some requests may crash its worker."""

from collections.abc import Callable
from typing import Final

from .crash_registry import CrashStatus
from .piece_work import PieceWork

MAX_WATCHED: Final = 8
"""Requests with one crash that share a call.

A call that crashes its worker leaves so many suspects, which then go alone: three
crashes tell one of sixty-four.
"""


class CallSharing:
    """Chooses the pieces of one call, which come most urgent first.

    Parameters
    ----------
    status : callable
        Returns what may be done with a request.
    is_running : callable
        Returns True while a request runs at some worker. One that has crashed a
        worker waits until then: its pieces would crash as many as they reach.
    """

    __slots__ = ("_alone", "_is_running", "_n_taken", "_status", "_watched")

    def __init__(
        self,
        *,
        status: Callable[[str], CrashStatus],
        is_running: Callable[[str], bool],
    ) -> None:
        self._status = status
        self._is_running = is_running
        self._alone = ""
        self._n_taken = 0
        self._watched: set[str] = set()

    def may_share(self, work: PieceWork) -> bool:
        """Return True if a piece may join those that were taken before it."""
        fingerprint = work.fingerprint
        if self._alone:
            return fingerprint == self._alone
        match self._status(fingerprint):
            case CrashStatus.SUSPECT:
                if self._n_taken or self._is_running(fingerprint):
                    return False
                self._alone = fingerprint
            case CrashStatus.WATCHED:
                if self._is_running(fingerprint):
                    return False
                self._watched.add(fingerprint)
                if len(self._watched) > MAX_WATCHED:
                    self._watched.remove(fingerprint)
                    return False
            case CrashStatus.BLOCKED:
                return False
            case CrashStatus.CLEAR:
                pass
        self._n_taken += 1
        return True
