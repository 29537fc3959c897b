"""Work that waits for a free slot at a target, and the interface of its queue."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol


class Work:
    """One queued attempt.

    Parameters
    ----------
    attempt_id : bytes
        The attempt.
    owner, entry : str
        The owner whose share it uses, and the governing entry.
    weight : float
        The owner's weight.
    floor_share : float
        Share of the target reserved for the entry while it has work, 0 to 1.
    brownout_order : int
        Work with a lower value is refused first under overload.
    predicted_s : float
        Predicted target-seconds.
    latest_start_ns : int
        Latest start on this process's monotonic clock that can still be in time.
    """

    __slots__ = (
        "attempt_id",
        "brownout_order",
        "charged_s",
        "charged_share",
        "entry",
        "floor_share",
        "latest_start_ns",
        "owner",
        "predicted_s",
        "weight",
    )

    def __init__(
        self,
        *,
        attempt_id: bytes,
        owner: str,
        entry: str,
        weight: float,
        floor_share: float,
        brownout_order: int,
        predicted_s: float,
        latest_start_ns: int,
    ) -> None:
        self.attempt_id = attempt_id
        self.owner = owner
        self.entry = entry
        self.weight = weight
        self.floor_share = floor_share
        self.brownout_order = brownout_order
        self.predicted_s = predicted_s
        self.latest_start_ns = latest_start_ns
        self.charged_s = 0.0
        self.charged_share = 1.0


class WorkAhead:
    """Amount of queued work that would start before an attempt.

    Parameters
    ----------
    n_ahead : int
        Number of attempts of the same owner that start first.
    work_s : float
        Target-seconds of all queued work that starts first.
    """

    __slots__ = ("n_ahead", "work_s")

    def __init__(self, *, n_ahead: int, work_s: float) -> None:
        self.n_ahead = n_ahead
        self.work_s = work_s


class OwnerBacklog:
    """Queued work of one owner.

    Parameters
    ----------
    owner : str
        The owner.
    work_s : float
        Predicted target-seconds of its queued work.
    weight : float
        The owner's weight.
    """

    __slots__ = ("owner", "weight", "work_s")

    def __init__(self, *, owner: str, work_s: float, weight: float) -> None:
        self.owner = owner
        self.work_s = work_s
        self.weight = weight


class WorkQueue(Protocol):
    """Decides which queued work starts next."""

    @property
    def work_s(self) -> float:
        """Predicted target-seconds of all queued work."""
        ...

    def __len__(self) -> int: ...

    def __iter__(self) -> Iterator[Work]: ...

    def push(self, work: Work) -> None:
        """Add `work`."""
        ...

    def pop(self, *, now_ns: int) -> Work | None:
        """Remove the work that starts next and charge it; None when empty."""
        ...

    def remove(self, work: Work) -> bool:
        """Remove `work`; return False if it is not queued."""
        ...

    def correct_charge(self, work: Work, *, used_s: float) -> None:
        """Replace the predicted charge for `work` by the time that it used."""
        ...

    def ahead(self, work: Work) -> WorkAhead:
        """Return the work that would start before `work`, queued or not."""
        ...

    def by_owner(self) -> list[OwnerBacklog]:
        """Return the queued work of each owner; empty if owners have no shares."""
        ...

    def displaceable(self, work: Work) -> list[Work]:
        """Return queued work that may be dropped for `work`, first to drop first."""
        ...

    def preceding_lower_order(self, work: Work) -> list[Work]:
        """Return the owner's work ahead of `work` that has a lower brown-out order."""
        ...

    def longest_preceding(self, work: Work) -> Work | None:
        """Return the owner's longest work ahead of `work` if longer than `work`.

        Only work of the same or a lower brown-out order is considered.
        """
        ...


class FifoQueue:
    """First come, first served: the baseline policy."""

    __slots__ = ("_waiting", "work_s")

    def __init__(self) -> None:
        self._waiting: OrderedDict[bytes, Work] = OrderedDict()
        self.work_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Work]:
        return iter(self._waiting.values())

    def push(self, work: Work) -> None:
        """Add `work` at the end."""
        self._waiting[work.attempt_id] = work
        self.work_s += work.predicted_s

    def pop(self, *, now_ns: int) -> Work | None:
        """Remove the oldest work and return it; None when empty."""
        if not self._waiting:
            return None
        _, work = self._waiting.popitem(last=False)
        self._subtract(work)
        return work

    def remove(self, work: Work) -> bool:
        """Remove `work`; return False if it is not queued."""
        if self._waiting.pop(work.attempt_id, None) is None:
            return False
        self._subtract(work)
        return True

    def correct_charge(self, work: Work, *, used_s: float) -> None:
        """Do nothing: owners are not charged."""

    def ahead(self, work: Work) -> WorkAhead:
        """Return the whole queue."""
        return WorkAhead(n_ahead=len(self._waiting), work_s=self.work_s)

    def by_owner(self) -> list[OwnerBacklog]:
        """Return an empty list: owners have no shares here."""
        return []

    def displaceable(self, work: Work) -> list[Work]:
        """Return an empty list: all queued work came before `work`."""
        return []

    def preceding_lower_order(self, work: Work) -> list[Work]:
        """Return an empty list: no work is dropped for later work."""
        return []

    def longest_preceding(self, work: Work) -> Work | None:
        """Return None: no work is dropped for later work."""
        return None

    def _subtract(self, work: Work) -> None:
        self.work_s -= work.predicted_s
        if not self._waiting:
            self.work_s = 0.0
