"""Record of what a stand-in ran, which tests and scripts can read."""

import time
from collections import Counter, deque
from dataclasses import asdict, dataclass
from enum import StrEnum, unique
from typing import Final

MAX_RUNS: Final = 200_000


@unique
class Outcome(StrEnum):
    """State or outcome of a run."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(slots=True, kw_only=True)
class Run:
    """One call that a stand-in started.

    Parameters
    ----------
    request_id, attempt_id : str
        Ids in the headers of the call.
    path : str
        Path of the call.
    input_digest : str
        Digest of the input.
    begin_s, end_s : float
        Times on the monotonic clock of the stand-in; `end_s` is 0 during the run.
    outcome : Outcome
        State or outcome of the run.
    cost_s : float
        Target-seconds used so far.
    """

    request_id: str
    attempt_id: str
    path: str
    input_digest: str
    begin_s: float
    end_s: float = 0.0
    outcome: Outcome = Outcome.RUNNING
    cost_s: float = 0.0

    def end(self, outcome: Outcome) -> None:
        """Record that the run ends now."""
        self.end_s = time.monotonic()
        self.outcome = outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRecord:
    """One order that an engine received."""

    fence: int
    order: str
    name: str
    version: str
    time_s: float
    is_accepted: bool


class Record:
    """Runs, effects and orders of one stand-in, oldest first."""

    __slots__ = ("effects", "orders", "runs")

    def __init__(self) -> None:
        self.runs: deque[Run] = deque(maxlen=MAX_RUNS)
        self.effects: Counter[tuple[str, str]] = Counter()
        self.orders: list[OrderRecord] = []

    def begin(
        self, *, request_id: str, attempt_id: str, path: str, input_digest: str
    ) -> Run:
        """Record that a call starts now."""
        run = Run(
            request_id=request_id,
            attempt_id=attempt_id,
            path=path,
            input_digest=input_digest,
            begin_s=time.monotonic(),
        )
        self.runs.append(run)
        return run

    def add_effect(self, *, request_id: str, path: str) -> None:
        """Count one effect that must happen at most once per request."""
        self.effects[request_id, path] += 1

    def clear(self) -> None:
        """Remove all entries."""
        self.runs.clear()
        self.effects.clear()
        self.orders.clear()

    def as_json(self) -> dict[str, object]:
        """Return the body of ``GET /record``."""
        effects = [
            {"request_id": request_id, "path": path, "n_effects": n}
            for (request_id, path), n in self.effects.items()
        ]
        return {
            "runs": [asdict(run) for run in self.runs],
            "effects": effects,
            "orders": [asdict(order) for order in self.orders],
        }
