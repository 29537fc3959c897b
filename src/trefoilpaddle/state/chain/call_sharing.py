"""Which pieces may share a call when some requests may crash its worker."""

from collections.abc import Callable
from typing import Final

from .crash_registry import CrashStatus
from .piece_work import PieceWork

MAX_WATCHED: Final = 8
"""Maximum number of requests with one known crash that may share a call.

A call that crashes its worker makes up to this many requests suspect, and suspects
run alone: three crashes identify one request among sixty-four.
"""


class CallSharing:
    """Selects the pieces of one call; they are offered most urgent first.

    Parameters
    ----------
    status : callable
        Returns the crash status of a request, given its fingerprint.
    is_running : callable
        Returns True while any worker runs a request. A request that has crashed a
        worker runs at one worker at a time, as its pieces might crash every worker
        that they reach.
    """

    __slots__ = ("_is_running", "_n_accepted", "_sole_request", "_status", "_watched")

    def __init__(
        self,
        *,
        status: Callable[[str], CrashStatus],
        is_running: Callable[[str], bool],
    ) -> None:
        self._status = status
        self._is_running = is_running
        self._sole_request = ""
        self._n_accepted = 0
        self._watched: set[str] = set()

    def may_share(self, work: PieceWork) -> bool:
        """Return True if a piece may join those that were accepted before it."""
        fingerprint = work.fingerprint
        if self._sole_request:
            return fingerprint == self._sole_request
        match self._status(fingerprint):
            case CrashStatus.SUSPECT:
                if self._n_accepted or self._is_running(fingerprint):
                    return False
                self._sole_request = fingerprint
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
        self._n_accepted += 1
        return True
