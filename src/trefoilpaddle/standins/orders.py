"""Orders to an engine to load or unload models and adapters or to change its role."""

import asyncio
from enum import StrEnum, unique
from typing import Final

import aiohttp
from aiohttp import web
from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from .pace import Pace
from .record import OrderRecord, Record
from .web import json_answer

_HTTP_TOO_MANY: Final = 429


@unique
class OrderKind(StrEnum):
    """Kinds of orders."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@dataclass(slots=True, kw_only=True, config=ConfigDict(extra="forbid"))
class Order:
    """Body of ``POST /v1/orders``."""

    fence: int
    order: OrderKind
    name: str
    version: str = ""


_ORDER: Final = TypeAdapter(Order)


class Orders:
    """Loaded models and adapters, role and highest fencing number of an engine.

    Parameters
    ----------
    models : tuple of str
        Models that are loaded at the start.
    is_fenced : bool
        Whether an order with an older fencing number is refused.
    load_s : float
        Nominal time to load a model.
    weights_url : str
        Base URL of the weight store; empty loads models without one.
    pace : Pace
        Scales `load_s`.
    record : Record
        Receives each order.
    """

    __slots__ = (
        "_is_fenced",
        "_load_s",
        "_pace",
        "_record",
        "_weights_url",
        "adapters",
        "highest_fence",
        "models",
        "role",
    )

    def __init__(
        self,
        *,
        models: tuple[str, ...],
        is_fenced: bool,
        load_s: float,
        weights_url: str,
        pace: Pace,
        record: Record,
    ) -> None:
        self.models = dict.fromkeys(models, "")
        self.adapters: dict[str, str] = {}
        self.role = "both"
        self.highest_fence = 0
        self._is_fenced = is_fenced
        self._load_s = load_s
        self._weights_url = weights_url
        self._pace = pace
        self._record = record

    async def post_order(self, request: web.Request) -> web.Response:
        """Answer ``POST /v1/orders``."""
        try:
            order = _ORDER.validate_json(await request.read())
        except ValidationError as error:
            return json_answer({"detail": str(error)}, status=400)
        is_accepted = not self._is_fenced or order.fence >= self.highest_fence
        self._record_order(order, is_accepted=is_accepted)
        if not is_accepted:
            return json_answer({"fence": self.highest_fence}, status=409)
        self.highest_fence = max(self.highest_fence, order.fence)
        return await self._execute(order)

    async def get_loaded(self, _: web.Request) -> web.Response:
        """Answer ``GET /v1/models``."""
        return json_answer(
            {"models": self.models, "adapters": self.adapters, "role": self.role}
        )

    async def _execute(self, order: Order) -> web.Response:
        match order.order:
            case OrderKind.LOAD_MODEL:
                return await self._load(order, self.models)
            case OrderKind.LOAD_ADAPTER:
                return await self._load(order, self.adapters)
            case OrderKind.UNLOAD_MODEL:
                self.models.pop(order.name, None)
            case OrderKind.SET_ROLE:
                self.role = order.name
        return json_answer({})

    async def _load(self, order: Order, loaded: dict[str, str]) -> web.Response:
        if self._weights_url:
            refusal = await self._fetch(order.name)
            if refusal is not None:
                return refusal
        await asyncio.sleep(self._pace.seconds(self._load_s))
        # A newer order may have arrived during the load. A fenced engine must not
        # let the older one take effect after it.
        if self._is_fenced and order.fence < self.highest_fence:
            return json_answer({"fence": self.highest_fence}, status=409)
        loaded[order.name] = order.version
        return json_answer({})

    async def _fetch(self, name: str) -> web.Response | None:
        """Read the weights; return a refusal if the store does not send them."""
        url = f"{self._weights_url}/v1/weights/{name}"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            if answer.ok:
                async for _ in answer.content.iter_chunked(1 << 20):
                    pass
                return None
            headers = {"Retry-After": answer.headers.get("Retry-After", "1")}
            detail = f"weight store answered {answer.status}"
            status = 503 if answer.status == _HTTP_TOO_MANY else 502
            return json_answer({"detail": detail}, status=status, headers=headers)

    def _record_order(self, order: Order, *, is_accepted: bool) -> None:
        self._record.orders.append(
            OrderRecord(
                fence=order.fence,
                order=order.order,
                name=order.name,
                version=order.version,
                time_s=asyncio.get_running_loop().time(),
                is_accepted=is_accepted,
            )
        )
