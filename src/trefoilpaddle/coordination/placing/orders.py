"""Orders to a target, which only its own sidecar sends, with a fencing number."""

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Final

import orjson
from aiohttp import ClientError, ClientPayloadError, ClientResponse
from result import Err, Ok, Result

from ...protocol.reasons import Reason
from ...state.journal import Decision, Event, Figure, Journal
from ...state.settings import Fencing
from ...transport.target_http import SendGuard, SendRefusedError, TargetHttp

PATH: Final = "/v1/orders"
ORDER_TIMEOUT_S: Final = 120.0
"""Longest time for one order, which may include loading a model."""

MAX_DECISION_AGE_S: Final = 2.0
"""An order is not sent if its decision is older than this."""

FENCE_STEP_BITS: Final = 32
"""Size in bits of the random step from the highest fencing number to the next."""

PROBE_MODEL: Final = "trefoilpaddle.none"
"""A model that is never loaded; an order to unload it reads the fencing number."""

HTTP_OK: Final = 200
HTTP_CONFLICT: Final = 409
BUSY_STATUSES: Final = (429, 503)


@unique
class OrderKind(StrEnum):
    """What an order requests from a target."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to a target.

    Parameters
    ----------
    kind : OrderKind
        What the target must do.
    name, version : str
        Name and version of the model or adapter, or the role.
    """

    kind: OrderKind
    name: str
    version: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """Nothing was sent: no lock, superseded, or the decision is too old."""

    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Superseded:
    """A newer sidecar has sent orders; this one must send no more."""

    highest: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Busy:
    """The target or the weight store is busy; the order may be retried later."""

    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderFailed:
    """The order failed or its outcome is unknown; it is safe to send it again."""

    detail: str


OrderError = NotSent | Superseded | Busy | OrderFailed


@dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    status: int
    highest: int
    retry_after_s: float


class TargetOrders:
    """Sends orders to one target, one at a time.

    Parameters
    ----------
    http : TargetHttp
        HTTP client of the target.
    target : str
        Name of the target.
    fencing : Fencing
        Whether the target refuses orders with an old fencing number.
    has_lock : callable
        Returns True while this process holds the target's port lock.
    journal : Journal
        Records each order that is sent or refused.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = (
        "_clock",
        "_fencing",
        "_has_lock",
        "_http",
        "_journal",
        "_send_lock",
        "_target",
        "fence",
        "is_superseded",
    )

    def __init__(
        self,
        *,
        http: TargetHttp,
        target: str,
        fencing: Fencing,
        has_lock: Callable[[], bool],
        journal: Journal,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._http = http
        self._target = target
        self._fencing = fencing
        self._has_lock = has_lock
        self._journal = journal
        self._clock = clock
        self._send_lock = asyncio.Lock()
        self.fence = 0
        self.is_superseded = False

    async def send(
        self, order: Order, *, decided_s: float | None = None
    ) -> Result[None, OrderError]:
        """Send `order` to the target and wait until it is carried out.

        Parameters
        ----------
        order : Order
            The order.
        decided_s : float, optional
            Time of the decision on `clock`; the current time if omitted.
        """
        begin_s = self._clock() if decided_s is None else decided_s
        async with self._send_lock:
            outcome = await self._send(order, begin_s)
        self._record(order, outcome)
        return outcome

    async def _send(self, order: Order, begin_s: float) -> Result[None, OrderError]:
        if self.fence == 0 and self._fencing is Fencing.CHECKED:
            match await self._take_fence(begin_s):
                case Err(error):
                    return Err(error)
        return await self._post_fenced(order, begin_s)

    async def _take_fence(self, begin_s: float) -> Result[None, OrderError]:
        """Take a fencing number above every earlier one and register it.

        The number must rise across restarts, but a sidecar stores nothing, so only
        the target keeps it. The refusal of a harmless order with number 0 contains
        the highest number. Another such order with the new number makes that the
        highest, so that the target rejects orders of an earlier sidecar that are
        still in transit. The step is random so that two sidecars that do this at
        the same time take different numbers.
        """
        probe = Order(kind=OrderKind.UNLOAD_MODEL, name=PROBE_MODEL)
        match await self._post(probe, fence=0, begin_s=begin_s):
            case Err(error):
                return Err(error)
            case Ok(reply):
                step = 1 + secrets.randbits(FENCE_STEP_BITS)
                self.fence = reply.highest + step
        taken = await self._post_fenced(probe, begin_s)
        if taken.is_err() and not self.is_superseded:
            self.fence = 0
        return taken

    async def _post_fenced(
        self, order: Order, begin_s: float
    ) -> Result[None, OrderError]:
        match await self._post(order, fence=self.fence, begin_s=begin_s):
            case Err(error):
                return Err(error)
            case Ok(_Reply(status=status) as reply):
                return self._outcome_of(status, reply)

    def _outcome_of(self, status: int, reply: _Reply) -> Result[None, OrderError]:
        if status == HTTP_OK:
            return Ok(None)
        if status == HTTP_CONFLICT:
            # Take no higher number: only a sidecar that started later can have
            # raised it, and a sidecar that resumes after a pause must yield to it.
            self.is_superseded = True
            return Err(Superseded(highest=reply.highest))
        if status in BUSY_STATUSES:
            return Err(Busy(retry_after_s=reply.retry_after_s))
        return Err(OrderFailed(detail=f"the target answered {status}"))

    async def _post(
        self, order: Order, *, fence: int, begin_s: float
    ) -> Result[_Reply, OrderError]:
        body = {
            "fence": fence,
            "order": order.kind.value,
            "name": order.name,
            "version": order.version,
        }
        guard = SendGuard(may_send=lambda: not self._refusal_reason(begin_s))
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_S),
                self._http.guarded_post(
                    PATH, body=orjson.dumps(body), headers={}, guard=guard
                ) as response,
            ):
                return Ok(await _reply_of(response))
        except SendRefusedError:
            return Err(NotSent(detail=self._refusal_reason(begin_s)))
        except (ClientError, OSError, TimeoutError) as error:
            if guard.is_refused:
                return Err(NotSent(detail=self._refusal_reason(begin_s)))
            return Err(OrderFailed(detail=repr(error)))

    def _refusal_reason(self, begin_s: float) -> str:
        """Return why no order may be sent now, or an empty text if one may.

        It is checked right before the bytes are sent, so that an outdated decision
        has no effect after a pause between decision and sending.
        """
        if not self._has_lock():
            return "this process does not hold the target's lock"
        if self.is_superseded:
            return "a newer sidecar gives this target its orders"
        if self._clock() - begin_s > MAX_DECISION_AGE_S:
            return "it was decided too long ago"
        return ""

    def _record(self, order: Order, outcome: Result[None, OrderError]) -> None:
        event, reason, detail = Event.ORDER_SENT, Reason.NONE, ""
        match outcome:
            case Err(error):
                event, reason = Event.ORDER_REFUSED, _reason_of(error)
                detail = f": {error}"
        self._journal.record(
            Decision(
                event=event,
                peer=self._target,
                reason=reason,
                detail=f"{order.kind.value} {order.name} {order.version}{detail}",
                figures=(Figure(name="fence", value=self.fence),),
            )
        )


async def _reply_of(response: ClientResponse) -> _Reply:
    """Return what a target answers.

    Raises
    ------
    aiohttp.ClientError, OSError
        If the answer is broken.
    """
    highest = 0
    if response.status == HTTP_CONFLICT:
        highest = _highest_in(await response.read())
    retry_after = response.headers.get("Retry-After", "1")
    return _Reply(
        status=response.status,
        highest=highest,
        retry_after_s=float(retry_after) if retry_after.isdigit() else 1.0,
    )


def _reason_of(error: OrderError) -> Reason:
    match error:
        case Superseded() | NotSent():
            return Reason.WRONG_INCARNATION
        case Busy():
            return Reason.QUEUE_FULL
        case OrderFailed():
            return Reason.TARGET_FAILED


def _highest_in(refusal: bytes) -> int:
    """Return the highest fencing number that a refusal contains.

    A body that ends with its connection may be cut short.
    """
    try:
        return int(orjson.loads(refusal).get("fence", 0))
    except (ValueError, TypeError, AttributeError) as error:
        raise ClientPayloadError(f"the refusal cannot be read: {error}") from error
