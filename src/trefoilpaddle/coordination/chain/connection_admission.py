"""Decides which new connections of callers are read while the process lags."""

import time
from typing import Final

from ...state.journal import Decision, Event, Figure, Journal
from ...transport.loop_lag import LoopLag

MAX_LAG_S: Final = 0.05
"""Lasting lag in seconds above which new connections are closed unread.

A request takes some ten turns of the event loop, so it takes ten times the lag longer.
"""

ADMIT_EVERY_S: Final = 0.25
"""Seconds after which one connection is admitted in any case.

A process that keeps closing all connections would look dead to callers.
"""

PACED_S: Final = 2.0
"""Seconds after the lag for which connections are admitted at a slower pace."""

MAX_PACED: Final = 4
"""Connections that are admitted between two samples of the lag meanwhile."""

LOG_EVERY_S: Final = 1.0
"""Least seconds between two log lines."""


class ConnectionAdmission:
    """Admits new connections as long as the event loop keeps up.

    A request that has been read must be answered, and one that waits for a process
    that lags is often answered too late. A connection that is closed before anything
    is read from it can be tried at another gateway at once.

    Parameters
    ----------
    process_id : str
        Id of this process, for the log.
    lag : LoopLag
        Lag of the event loop.
    journal : Journal
        Receives decisions.

    Attributes
    ----------
    n_closed : int
        Number of connections that were not admitted.
    """

    __slots__ = (
        "_admitted_s",
        "_journal",
        "_lag",
        "_logged_s",
        "_n_in_sample",
        "_n_unlogged",
        "_paced_until_s",
        "_process_id",
        "_sample",
        "n_closed",
    )

    def __init__(self, *, process_id: str, lag: LoopLag, journal: Journal) -> None:
        self._process_id = process_id
        self._lag = lag
        self._journal = journal
        self._admitted_s = 0.0
        self._logged_s = 0.0
        self._n_unlogged = 0
        self._paced_until_s = 0.0
        self._sample = 0
        self._n_in_sample = 0
        self.n_closed = 0

    def admits(self) -> bool:
        """Return False if a new connection should be closed unread."""
        now_s = time.monotonic()
        lag_s = self._lag.lasting_s
        if lag_s > MAX_LAG_S:
            self._paced_until_s = now_s + PACED_S
        elif now_s >= self._paced_until_s or self._is_in_pace():
            self._admitted_s = now_s
            return True
        if now_s - self._admitted_s >= ADMIT_EVERY_S:
            self._admitted_s = now_s
            return True
        self.n_closed += 1
        self._n_unlogged += 1
        if now_s - self._logged_s >= LOG_EVERY_S:
            self._logged_s = now_s
            self._record(lag_s)
        return False

    def _is_in_pace(self) -> bool:
        """Return True if few connections were admitted since the last sample."""
        if self._sample != self._lag.n_samples:
            self._sample = self._lag.n_samples
            self._n_in_sample = 0
        self._n_in_sample += 1
        return self._n_in_sample <= MAX_PACED

    def _record(self, lag_s: float) -> None:
        self._journal.record(
            Decision(
                event=Event.CONNECTIONS_CLOSED,
                peer=self._process_id,
                figures=(
                    Figure(name="n_closed", value=self._n_unlogged),
                    Figure(name="lag_s", value=lag_s),
                ),
            )
        )
        self._n_unlogged = 0
