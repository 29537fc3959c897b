"""Faults that a test or a script injects over HTTP."""

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
    """Kinds of injected faults."""

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
        Kind of the fault; ``heal`` ends all faults.
    factor : float
        Multiplies service times; for ``slow``.
    duration_s : float
        Duration of the fault; 0 lasts until it is healed.
    share : float
        Share of the calls that are affected; for ``fail`` and ``cut``.
    lag_s : float
        Delay of published values and reports; 0 freezes them. For ``stale``.
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
    """Active faults of one stand-in.

    Parameters
    ----------
    seed : int
        Seed of the random draws for `share`.
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
        """Activate `fault`, or end all faults if it is ``heal``."""
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
        """Return the factor that multiplies service times now."""
        active = self._get(FaultKind.SLOW)
        return active.fault.factor if active else 1.0

    @property
    def is_down(self) -> bool:
        """Return True while every call is refused."""
        return self._get(FaultKind.DOWN) is not None

    def draw_failure(self) -> bool:
        """Return True if the current call fails, drawn by `share`."""
        return self._draw(FaultKind.FAIL)

    def draw_cut(self) -> bool:
        """Return True if the current answer is interrupted, drawn by `share`."""
        return self._draw(FaultKind.CUT)

    def visible_s(self, lag_s: float) -> float:
        """Return the monotonic time of the state that is published or reported now.

        Parameters
        ----------
        lag_s : float
            Delay without a fault.
        """
        active = self._get(FaultKind.STALE)
        now = time.monotonic()
        if active is None:
            return now - lag_s
        if active.fault.lag_s > 0.0:
            return now - max(lag_s, active.fault.lag_s)
        return active.begin_s - lag_s

    async def wait_unpaused(self) -> None:
        """Wait until no pause is active."""
        while active := self._get(FaultKind.PAUSE):
            left_s = active.end_s - time.monotonic()
            timeout_s = None if left_s == float("inf") else max(0.0, left_s)
            try:
                await asyncio.wait_for(self._unpaused.wait(), timeout_s)
            except TimeoutError:
                continue

    def _draw(self, kind: FaultKind) -> bool:
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
