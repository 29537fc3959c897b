"""Work that waits for a free slot at the target, and what a queue must offer."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol


class Work:
    """One attempt as its queue sees it.

    Parameters
    ----------
    attempt_id : bytes
        The attempt.
    owner, entry : str
        Whose share it uses, and the governing entry.
    weight : float
        The owner's weight.
    floor_share : float
        Share of the target kept for the entry while it has work.
    brownout_order : int
        Lower goes first when work must be refused.
    predicted_s : float
        Predicted target-seconds.
    latest_start_ns : int
        Last moment, on this process's clock, at which a start can still be in
        time.
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
    """What would start before a piece of work.

    Parameters
    ----------
    n_ahead : int
        Pieces of waiting work that go first inside its share.
    work_s : float
        Target-seconds of all waiting work that goes first.
    """

    __slots__ = ("n_ahead", "work_s")

    def __init__(self, *, n_ahead: int, work_s: float) -> None:
        self.n_ahead = n_ahead
        self.work_s = work_s


class OwnerBacklog:
    """What one owner has waiting.

    Parameters
    ----------
    owner : str
        The owner.
    work_s : float
        Its predicted target-seconds.
    weight : float
        Its weight.
    """

    __slots__ = ("owner", "weight", "work_s")

    def __init__(self, *, owner: str, work_s: float, weight: float) -> None:
        self.owner = owner
        self.work_s = work_s
        self.weight = weight


class WorkQueue(Protocol):
    """Decides which waiting work starts next."""

    @property
    def work_s(self) -> float:
        """Predicted target-seconds that wait."""
        ...

    def __len__(self) -> int: ...

    def __iter__(self) -> Iterator[Work]: ...

    def push(self, work: Work) -> None:
        """Add `work`."""
        ...

    def pop(self, *, now_ns: int) -> Work | None:
        """Take out what starts next and charge it, or return None when empty."""
        ...

    def remove(self, work: Work) -> bool:
        """Take out `work`; return False if it does not wait."""
        ...

    def correct_charge(self, work: Work, *, used_s: float) -> None:
        """Replace what `work` was charged by what it has used."""
        ...

    def ahead(self, work: Work) -> WorkAhead:
        """Return what would start before `work`, which need not wait yet."""
        ...

    def by_owner(self) -> list[OwnerBacklog]:
        """Return what each owner has waiting, where owners get shares."""
        ...

    def displaceable(self, work: Work) -> list[Work]:
        """Return waiting work that may give way to `work`, the first to go first."""
        ...

    def preceding_lower_order(self, work: Work) -> list[Work]:
        """Return the owner's work before `work` of a lower brown-out order."""
        ...

    def longest_preceding(self, work: Work) -> Work | None:
        """Return the longest of the owner's work before `work`, if it is longer.

        Only work of the same or a lower brown-out order counts.
        """
        ...


class FifoQueue:
    """First come, first served: the baseline."""

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
        """Take out the oldest work, or return None when empty."""
        if not self._waiting:
            return None
        _, work = self._waiting.popitem(last=False)
        self._take_off(work)
        return work

    def remove(self, work: Work) -> bool:
        """Take out `work`; return False if it does not wait."""
        if self._waiting.pop(work.attempt_id, None) is None:
            return False
        self._take_off(work)
        return True

    def correct_charge(self, work: Work, *, used_s: float) -> None:
        """Charge nobody."""

    def ahead(self, work: Work) -> WorkAhead:
        """Return all that waits."""
        return WorkAhead(n_ahead=len(self._waiting), work_s=self.work_s)

    def by_owner(self) -> list[OwnerBacklog]:
        """Return nothing: owners get no shares here."""
        return []

    def displaceable(self, work: Work) -> list[Work]:
        """Return nothing: all waiting work came first."""
        return []

    def preceding_lower_order(self, work: Work) -> list[Work]:
        """Return nothing: all waiting work came first."""
        return []

    def longest_preceding(self, work: Work) -> Work | None:
        """Return nothing: all waiting work came first."""
        return None

    def _take_off(self, work: Work) -> None:
        self.work_s -= work.predicted_s
        if not self._waiting:
            self.work_s = 0.0
