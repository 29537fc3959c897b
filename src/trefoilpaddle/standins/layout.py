"""Which process of a deployment stands where, on free loopback ports."""

import contextlib
import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from .description import Description, ServiceDescription

_N_TRIES: Final = 20
_COMMON_IP: Final = "127.0.0.1"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLayout:
    """A target, its stand-in and the sidecar beside it.

    Parameters
    ----------
    name : str
        Name of the target and of its host.
    service : ServiceDescription
        What it belongs to.
    failure_domain : str
        Where its host stands.
    address : str
        ``ip:port`` of the stand-in.
    peer_address, operators_address : str
        ``ip:port`` of the sidecar's ports.
    lock_port : int
        Port that the sidecar holds.
    """

    name: str
    service: ServiceDescription
    failure_domain: str
    address: str
    peer_address: str
    operators_address: str
    lock_port: int

    @property
    def sidecar(self) -> str:
        """Return the sidecar's process id."""
        return f"{self.name}-sidecar"


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayLayout:
    """A gateway on its entry host.

    Parameters
    ----------
    host, failure_domain : str
        Where it stands.
    callers_address, peer_address, operators_address : str
        ``ip:port`` of its ports.
    """

    host: str
    failure_domain: str
    callers_address: str
    peer_address: str
    operators_address: str

    @property
    def process_id(self) -> str:
        """Return the gateway's process id."""
        return f"{self.host}-gateway"


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """Every process of a deployment and its addresses.

    Parameters
    ----------
    config_address, hosts_address, weights_address : str
        ``ip:port`` of the platform's stand-ins.
    gateways : tuple of GatewayLayout
        Entry hosts.
    targets : tuple of TargetLayout
        Target hosts.
    """

    config_address: str
    hosts_address: str
    weights_address: str
    gateways: tuple[GatewayLayout, ...]
    targets: tuple[TargetLayout, ...]

    def target(self, name: str) -> TargetLayout:
        """Return the target called `name`.

        Raises
        ------
        KeyError
            If there is none.
        """
        for place in self.targets:
            if place.name == name:
                return place
        raise KeyError(name)

    def seeds(self) -> list[str]:
        """Return the peer address of one process in each failure domain."""
        seen: dict[str, str] = {}
        for gateway in self.gateways:
            seen.setdefault(gateway.failure_domain, gateway.peer_address)
        for target in self.targets:
            seen.setdefault(target.failure_domain, target.peer_address)
        return list(seen.values())

    def published_hosts(self, *, leaving: frozenset[str], region: str) -> list[object]:
        """Return the host list, with the named processes as leaving."""
        return [
            *(
                {
                    "name": place.host,
                    "failure_domain": place.failure_domain,
                    "region": region,
                    "role": "gateway",
                    "peer_address": place.peer_address,
                    "state": _state(place.process_id, leaving),
                }
                for place in self.gateways
            ),
            *(
                {
                    "name": place.name,
                    "failure_domain": place.failure_domain,
                    "region": region,
                    "role": "sidecar",
                    "peer_address": place.peer_address,
                    "service": place.service.name,
                    "target": place.name,
                    "state": _state(place.sidecar, leaving),
                }
                for place in self.targets
            ),
        ]


def _state(process_id: str, leaving: frozenset[str]) -> str:
    return "leaving" if process_id in leaving else "live"


class Ports:
    """Free ports of one loopback address that no other run is likely to use.

    Parameters
    ----------
    ip : str
        The address.
    """

    __slots__ = ("_held", "ip")

    def __init__(self, *, ip: str) -> None:
        self.ip = ip
        self._held: list[socket.socket] = []

    def take(self) -> int:
        """Return a port that is free until the context closes."""
        held = socket.socket()
        held.bind((self.ip, 0))
        self._held.append(held)
        return int(held.getsockname()[1])

    def address(self) -> str:
        """Return ``ip:port`` of a free port."""
        return f"{self.ip}:{self.take()}"

    def release(self) -> None:
        """Let the processes bind what was taken."""
        for held in self._held:
            held.close()


def _loopback_ip() -> str:
    """Return a loopback address of this run's own where the system has them.

    Ports are taken first and bound by the processes later. On an address that
    others use too, one could take a port in between; the run would then fail
    with the address in use.
    """
    source = random.SystemRandom()
    for _ in range(_N_TRIES):
        ip = f"127.{source.randint(1, 254)}.{source.randint(1, 254)}.1"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ip, 0))
            return ip
    return _COMMON_IP


@contextlib.contextmanager
def _ports() -> Iterator[Ports]:
    ports = Ports(ip=_loopback_ip())
    try:
        yield ports
    finally:
        ports.release()


def make_layout(description: Description) -> Layout:
    """Return where every process of `description` stands."""
    with _ports() as ports:
        return Layout(
            config_address=ports.address(),
            hosts_address=ports.address(),
            weights_address=ports.address(),
            gateways=tuple(
                GatewayLayout(
                    host=f"entry-{i + 1}",
                    failure_domain=description.domain(i),
                    callers_address=ports.address(),
                    peer_address=ports.address(),
                    operators_address=ports.address(),
                )
                for i in range(description.n_gateways)
            ),
            targets=tuple(_target_places(description, ports)),
        )


def _target_places(description: Description, ports: Ports) -> Iterator[TargetLayout]:
    place = description.n_gateways
    for service in description.services:
        for name in service.targets():
            yield TargetLayout(
                name=name,
                service=service,
                failure_domain=description.domain(place),
                address=ports.address(),
                peer_address=ports.address(),
                operators_address=ports.address(),
                lock_port=ports.take(),
            )
            place += 1
