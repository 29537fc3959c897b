"""Usage of one request over all its attempts."""

import asyncio

from ..requests.request import Refusal
from ..targets.stage_work import StageWork


class RequestUsage:
    """Attempts, tokens and cost of one request, updated while attempts run.

    An attempt counts as started as soon as it may have left this process, until
    a reply of the target or a failed send shows that it did not start.

    Attributes
    ----------
    early_refusal : asyncio.Future of Refusal
        Set when the caller gets its answer although the request still runs.
    """

    __slots__ = (
        "_has_run",
        "_has_run_once_only",
        "_n_once_only_unconfirmed",
        "_n_unconfirmed",
        "cost_s",
        "early_refusal",
        "n_attempts",
        "n_tokens",
    )

    def __init__(self) -> None:
        self._has_run = False
        self._has_run_once_only = False
        self._n_unconfirmed = 0
        self._n_once_only_unconfirmed = 0
        self.cost_s = 0.0
        loop = asyncio.get_running_loop()
        self.early_refusal: asyncio.Future[Refusal] = loop.create_future()
        self.n_attempts = 0
        self.n_tokens = 0

    @property
    def has_started(self) -> bool:
        """Return True if any stage may have started at a target."""
        return self._has_run or self._n_unconfirmed > 0

    @property
    def has_started_once_only(self) -> bool:
        """Return True if a stage that must run at most once may have started."""
        return self._has_run_once_only or self._n_once_only_unconfirmed > 0

    def answer_early(self, refusal: Refusal) -> None:
        """Answer the caller now; the request continues, for a later retry of it."""
        if not self.early_refusal.done():
            self.early_refusal.set_result(refusal)

    def begin(self, work: StageWork) -> None:
        """Count an attempt that is about to be sent."""
        self.n_attempts += 1
        self._n_unconfirmed += 1
        self._n_once_only_unconfirmed += not work.stage.idempotent

    def end(self, work: StageWork, *, has_started: bool, cost_s: float = 0.0) -> None:
        """Count the outcome of an attempt that was begun."""
        self._n_unconfirmed -= 1
        self._n_once_only_unconfirmed -= not work.stage.idempotent
        self._has_run |= has_started
        self._has_run_once_only |= has_started and not work.stage.idempotent
        self.cost_s += cost_s
