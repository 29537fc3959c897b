"""Attempts in flight at this gateway, and the frames that belong to each."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import Final

from ...protocol.const import CHUNK_BYTES
from ...protocol.frames import Message
from ...protocol.gen.stage.ttypes import (
    Chunk,
    End,
    Failure,
    Heartbeat,
    Queued,
    Ready,
    Started,
)
from ...protocol.ids import new_attempt_id
from ...state.journal import Decision, Event, Figure, Journal
from ...transport.link import Link
from ..targets.stage_work import StageWork
from .target_view import TargetView, TargetViews

MAX_UNREAD_MESSAGES: Final = 4096
"""Maximum unread frames of one attempt; credit bounds only their bytes."""

SLOW_CALL_RATIO: Final = 3.0
"""Ratio to the predicted service time from which on a running call is slow."""


@unique
class Notice(Enum):
    """Updates of an attempt that are not frames of its sidecar."""

    LINK_LOST = auto()
    LINK_OPEN = auto()
    LINK_UNRESPONSIVE = auto()
    OVERRUN = auto()
    SUPERSEDED = auto()
    RECALLED = auto()


AttemptUpdate = Queued | Ready | Started | Chunk | End | Failure | Notice


class OpenAttempt:
    """One attempt: its id, its target and its unread updates.

    Parameters
    ----------
    attempt_id : bytes
        Random; never reused.
    work : StageWork
        The work to run.
    view : TargetView
        The target that it was sent to.

    Attributes
    ----------
    is_started : bool
        True once the target is known to have started the attempt.
    """

    __slots__ = (
        "_updates",
        "attempt_id",
        "incarnation",
        "is_recalled",
        "is_slow",
        "is_started",
        "n_granted_bytes",
        "started_s",
        "view",
        "work",
    )

    def __init__(self, *, attempt_id: bytes, work: StageWork, view: TargetView) -> None:
        self.attempt_id = attempt_id
        self.work = work
        self.view = view
        self.started_s = 0.0
        self.is_slow = False
        self.is_recalled = False
        self.is_started = False
        self.incarnation = view.incarnation
        self.n_granted_bytes = 0
        self._updates: asyncio.Queue[AttemptUpdate] = asyncio.Queue()

    def post(self, update: AttemptUpdate) -> None:
        """Queue `update` without blocking.

        A sidecar that sends more than it was granted would fill this process's
        memory. Frames that exceed the grant by more than one chunk are not kept.
        """
        if isinstance(update, Started):
            self.started_s = time.monotonic()
        elif isinstance(update, Chunk):
            self.n_granted_bytes -= len(update.data)
            if self.n_granted_bytes < -CHUNK_BYTES:
                update = Notice.OVERRUN
        if self._updates.qsize() < MAX_UNREAD_MESSAGES:
            self._updates.put_nowait(update)
        elif self._updates.qsize() == MAX_UNREAD_MESSAGES:
            self._updates.put_nowait(Notice.OVERRUN)

    def is_recallable(self) -> bool:
        """Return True if it is not known to have started and its sidecar is leaving."""
        load = self.view.load
        is_leaving = load is not None and load.leaving
        return is_leaving and not self.started_s and not self.is_recalled

    @property
    def has_unread(self) -> bool:
        """True if updates were posted that have not been read."""
        return not self._updates.empty()

    async def next_update(self) -> AttemptUpdate:
        """Return the next update; wait for it if there is none."""
        return await self._updates.get()


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowCall:
    """A running call that takes much longer than predicted, and its age."""

    work: StageWork
    view: TargetView
    age_s: float


class OpenAttempts:
    """Delivers each frame to the attempt whose id it carries, and to no other.

    Parameters
    ----------
    views : TargetViews
        Receives the load reports.
    journal : Journal
        Records dropped frames.
    """

    __slots__ = ("_by_id", "_journal", "_views", "n_dropped")

    def __init__(self, *, views: TargetViews, journal: Journal) -> None:
        self._views = views
        self._journal = journal
        self._by_id: dict[bytes, OpenAttempt] = {}
        self.n_dropped = 0

    def __len__(self) -> int:
        return len(self._by_id)

    @contextlib.contextmanager
    def open(self, work: StageWork, view: TargetView) -> Iterator[OpenAttempt]:
        """Yield a new attempt at `view`; its frames are dropped after the block."""
        attempt = OpenAttempt(attempt_id=new_attempt_id(), work=work, view=view)
        self._by_id[attempt.attempt_id] = attempt
        try:
            yield attempt
        finally:
            del self._by_id[attempt.attempt_id]

    def on_message(self, link: Link, message: Message) -> None:
        """Handle a message of a sidecar that is no reply to a query."""
        match message:
            case Queued() | Ready() | Started() | Chunk():
                self._deliver(link, message)
            case End() | Failure():
                view = self._views.by_link(link)
                if view is not None and message.load is not None:
                    view.apply_load(message.load)
                self._deliver(link, message)
            case Heartbeat():
                view = self._views.by_link(link)
                if view is not None and message.load is not None:
                    view.apply_load(message.load)

    def on_change(self, link: Link) -> None:
        """Notify the attempts of `link` that it was opened or lost."""
        view = self._views.by_link(link)
        if view is None:
            return
        notice = Notice.LINK_LOST
        if link.peer is not None:
            notice = Notice.LINK_OPEN
            view.load = None
            view.record_stamp(link.peer.stamp_ns)
        self._notify(view, notice)

    def newly_slow(self) -> Iterator[SlowCall]:
        """Yield each attempt that has just become much slower than predicted.

        If only completed calls were measured, a target that has slowed down or
        stopped would be noticed too late for the calls sent to it meanwhile.
        """
        now_s = time.monotonic()
        for attempt in self._by_id.values():
            if attempt.is_slow or not attempt.started_s or not attempt.work.is_warm:
                continue
            age_s = now_s - attempt.started_s
            if age_s > SLOW_CALL_RATIO * attempt.work.expected_s:
                attempt.is_slow = True
                yield SlowCall(work=attempt.work, view=attempt.view, age_s=age_s)

    def recall_queued(self, n_free_slots: Callable[[str], int]) -> None:
        """Recall work queued at leaving sidecars while others have free slots.

        Without this, callers would wait until the end of a sidecar's stop or their
        own deadline although another target is idle. The sidecar knows of no other
        target and may be the only one, so it keeps queued work; what it starts before
        the recall arrives runs there. No more is recalled at a time than there are
        free slots, the most urgent work first.

        Parameters
        ----------
        n_free_slots : callable
            Returns how many calls of a service would start immediately elsewhere.
        """
        waiting = [a for a in self._by_id.values() if a.is_recallable()]
        waiting.sort(key=lambda attempt: attempt.work.stage_deadline_s)
        left = {s: n_free_slots(s) for s in {a.work.stage.service for a in waiting}}
        for attempt in waiting:
            if left[attempt.work.stage.service] > 0:
                left[attempt.work.stage.service] -= 1
                attempt.is_recalled = True
                attempt.post(Notice.RECALLED)

    def notify_unresponsive(self) -> None:
        """Notify the attempts of each target that is unresponsive.

        Each is notified once it has read all earlier updates, and again at later calls,
        as one that cannot go on elsewhere now may be able to later.
        """
        for view in self._views:
            view.was_responsive = view.link.is_responsive()
        for attempt in self._by_id.values():
            if not (attempt.view.was_responsive or attempt.has_unread):
                attempt.post(Notice.LINK_UNRESPONSIVE)

    def _notify(self, view: TargetView, notice: Notice) -> None:
        for attempt in self._by_id.values():
            if attempt.view is view:
                attempt.post(notice)

    def _deliver(
        self, link: Link, message: Queued | Ready | Started | Chunk | End | Failure
    ) -> None:
        """Post a frame to its attempt; drop it if there is no such attempt.

        Late and misdirected answers arrive here: the end frame of an abandoned
        attempt, or a frame from a sidecar that the attempt was not sent to. If
        frames were matched by anything but the id and the link, they could reach
        another request.
        """
        attempt = self._by_id.get(message.attempt_id)
        if attempt is not None and attempt.view.link is link:
            attempt.post(message)
            return
        self.n_dropped += 1
        if isinstance(message, End | Failure):
            self._journal.record(
                Decision(
                    event=Event.FRAME_DROPPED,
                    attempt_id=message.attempt_id.hex(),
                    peer=str(link.address),
                    detail=f"{type(message).__name__} of an attempt not in flight",
                    figures=(Figure(name="n_dropped", value=self.n_dropped),),
                )
            )
