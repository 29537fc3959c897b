"""The platform's list of live and leaving hosts, as published."""

from enum import StrEnum, unique
from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from .catalogue import STRICT, Name


@unique
class HostState(StrEnum):
    """What the platform says of a host; it lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, kw_only=True, config=STRICT)
class Host:
    """One process of the system on one host.

    Parameters
    ----------
    name : str
        Host name, unique with the role.
    failure_domain : str
        Where the host stands.
    region : str
        Region of the failure domain.
    role : str
        ``"gateway"`` or ``"sidecar"``.
    peer_address : str
        ``ip:port`` on which the process listens for its peers.
    service, target : str
        Of a sidecar: the service and the name of its target.
    state : HostState
        Live, or leaving.
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
        """The id by which peers know the process; stable over restarts."""
        return f"{self.name}-{self.role}"


@dataclass(slots=True, kw_only=True, config=STRICT)
class HostList:
    """The published list at one revision."""

    revision: int = 0
    hosts: tuple[Host, ...] = ()

    def sidecars(self, service: str) -> list[Host]:
        """Return the sidecars of `service` that the list calls live."""
        return [
            host
            for host in self.hosts
            if host.role == "sidecar"
            and host.service == service
            and host.state is HostState.LIVE
        ]
