"""The host list that the platform publishes: live and leaving hosts."""

from enum import StrEnum, unique
from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from .catalogue import STRICT, Name


@unique
class HostState(StrEnum):
    """State of a host as published by the platform, with a delay."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, config=STRICT)
class Host:
    """One process of the system on one host.

    Parameters
    ----------
    name : str
        Host name; unique together with the role.
    failure_domain : str
        Failure domain of the host.
    region : str
        Region of the failure domain.
    role : str
        ``"gateway"`` or ``"sidecar"``.
    peer_address : str
        ``ip:port`` on which the process listens for its peers.
    service, target : str
        For a sidecar: the service and the name of its target.
    state : HostState
        Whether the host is live or leaving.
    """

    name: Name
    failure_domain: Name
    region: Name = "r1"
    role: Literal["gateway", "sidecar"]
    peer_address: Annotated[str, Field(pattern=r"^[0-9a-f.:\[\]]+:\d+$")]
    service: str = ""
    target: str = ""
    state: HostState = HostState.LIVE

    @property
    def process_id(self) -> str:
        """Id of the process among its peers; stable across restarts."""
        return f"{self.name}-{self.role}"


@dataclass(slots=True, kw_only=True, config=STRICT)
class HostList:
    """The published host list at one revision."""

    revision: int = 0
    hosts: tuple[Host, ...] = ()

    def sidecars(self, service: str) -> list[Host]:
        """Return the sidecars of `service` that are listed as live."""
        return [
            host
            for host in self.hosts
            if host.role == "sidecar"
            and host.service == service
            and host.state is HostState.LIVE
        ]
