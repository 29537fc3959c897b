"""Parts of a fleet of the harness, and the answers that its callers receive."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Any, Final

from tests.harness_relay import Relay
from tests.harness_target import Target
from trefoilpaddle.roles.gateway import Gateway
from trefoilpaddle.roles.process import Process
from trefoilpaddle.roles.sidecar import Sidecar

NOT_CONNECTED: Final = "nobody there"
"""Body of an answer without a connection: no process listened at the address."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """Answer that a caller received; status 0 if it received none."""

    text: str
    status: int
    body: Any
    request_id: str

    @property
    def is_lost(self) -> bool:
        """True if the connection was lost before an answer."""
        return self.status == 0

    @property
    def is_unsent(self) -> bool:
        """True if no connection was made."""
        return self.is_lost and self.body == NOT_CONNECTED

    @property
    def is_answered(self) -> bool:
        return self.status == 200

    @property
    def echo(self) -> str:
        return str(self.body["echo"])

    @property
    def outcome(self) -> str:
        return str(self.body["error"]["outcome"])

    @property
    def reason(self) -> str:
        return str(self.body["error"]["reason"])


@dataclass(slots=True, kw_only=True)
class SidecarSlot:
    """One target with its current sidecar, if there is one."""

    name: str
    service: str
    target: Target
    stack: contextlib.AsyncExitStack = field(default_factory=contextlib.AsyncExitStack)
    sidecar: Sidecar | None = None
    process: Process | None = None
    n_starts: int = 0

    @property
    def owner(self) -> str:
        return f"{self.name}#{self.n_starts}"


@dataclass(slots=True, kw_only=True)
class GatewaySlot:
    """One gateway, with its relays to the sidecars by name and its open requests."""

    name: str
    relays: dict[str, Relay]
    stack: contextlib.AsyncExitStack = field(default_factory=contextlib.AsyncExitStack)
    gateway: Gateway | None = None
    open_requests: set[asyncio.Task[CallerAnswer]] = field(default_factory=set)

    @property
    def url(self) -> str:
        assert self.gateway is not None
        return f"http://{self.gateway.server.address}"
