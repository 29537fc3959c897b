"""Faults that a test or a script sets over HTTP."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass as checked_dataclass


@unique
class FaultKind(StrEnum):
    """What goes wrong."""

    SLOW = "slow"
    PAUSE = "pause"
    FAIL = "fail"
    CUT = "cut"
    STALE = "stale"
    DOWN = "down"
    HEAL = "heal"


@checked_dataclass(slots=True, kw_only=True, config=ConfigDict(extra="forbid"))
class Fault:
    """Body of ``POST /fault``.

    Parameters
    ----------
    kind : FaultKind
        What goes wrong; ``heal`` ends all faults.
    factor : float
        Of ``slow``: multiplies service times.
    duration_s : float
        How long it lasts; 0 until healed.
    share : float
        Of ``fail`` and ``cut``: share of calls that it hits.
    lag_s : float
        Of ``stale``: how late publishing and reports are; 0 freezes them.
    """

    kind: FaultKind
    factor: float = 5.0
    duration_s: float = 0.0
    share: float = 1.0
    lag_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Active:
    fault: Fault
    begin_s: float
    end_s: float


class Faults:
    """Faults in force at one stand-in.

    Parameters
    ----------
    seed : int
        Of the draws that `share` asks for.
    """

    __slots__ = ("_active", "_listeners", "_random", "_unpaused")

    def __init__(self, *, seed: int = 0) -> None:
        self._active: dict[FaultKind, _Active] = {}
        self._random = random.Random(seed)
        self._listeners: list[Callable[[], None]] = []
        self._unpaused = asyncio.Event()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each fault that is set or healed."""
        self._listeners.append(listener)

    def set(self, fault: Fault) -> None:
        """Put `fault` in force now, or end all of them."""
        if fault.kind is FaultKind.HEAL:
            self._active.clear()
        else:
            begin_s = time.monotonic()
            end_s = begin_s + fault.duration_s if fault.duration_s else float("inf")
            active = _Active(fault=fault, begin_s=begin_s, end_s=end_s)
            self._active[fault.kind] = active
        self._unpaused.set()
        self._unpaused = asyncio.Event()
        for listener in self._listeners:
            listener()

    @property
    def slow_factor(self) -> float:
        """Return what multiplies service times now."""
        active = self._get(FaultKind.SLOW)
        return active.fault.factor if active else 1.0

    @property
    def is_down(self) -> bool:
        """Return True while every call is refused."""
        return self._get(FaultKind.DOWN) is not None

    def has_failure(self) -> bool:
        """Return True if the call that asks is to fail."""
        return self._has_drawn(FaultKind.FAIL)

    def has_cut(self) -> bool:
        """Return True if the answer to the call that asks is to be cut off."""
        return self._has_drawn(FaultKind.CUT)

    def visible_s(self, lag_s: float) -> float:
        """Return the moment whose state is published or reported now.

        Parameters
        ----------
        lag_s : float
            Lag without a fault.
        """
        active = self._get(FaultKind.STALE)
        now = time.monotonic()
        if active is None:
            return now - lag_s
        if active.fault.lag_s > 0.0:
            return now - max(lag_s, active.fault.lag_s)
        return active.begin_s - lag_s

    async def wait_unpaused(self) -> None:
        """Return when no pause is in force; at once without one."""
        while active := self._get(FaultKind.PAUSE):
            left_s = active.end_s - time.monotonic()
            timeout_s = None if left_s == float("inf") else max(0.0, left_s)
            try:
                await asyncio.wait_for(self._unpaused.wait(), timeout_s)
            except TimeoutError:
                continue

    def _has_drawn(self, kind: FaultKind) -> bool:
        active = self._get(kind)
        return active is not None and self._random.random() < active.fault.share

    def _get(self, kind: FaultKind) -> _Active | None:
        if not self._active:
            return None
        active = self._active.get(kind)
        if active is None or active.end_s > time.monotonic():
            return active
        del self._active[kind]
        return None
