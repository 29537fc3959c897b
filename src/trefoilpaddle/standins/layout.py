"""Hosts, failure domains and loopback addresses of a deployment's processes."""

import contextlib
import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from .description import Description, ServiceDescription

_MAX_TRIES: Final = 20
_DEFAULT_IP: Final = "127.0.0.1"


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLayout:
    """Addresses of a target's stand-in and of its sidecar.

    Parameters
    ----------
    name : str
        Name of the target and of its host.
    service : ServiceDescription
        Service of the target.
    failure_domain : str
        Failure domain of the host.
    address : str
        ``ip:port`` of the stand-in.
    peer_address, operators_address : str
        ``ip:port`` at which the sidecar listens.
    lock_port : int
        Port that the sidecar binds as a lock.
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
    """Addresses of a gateway.

    Parameters
    ----------
    host, failure_domain : str
        Entry host of the gateway and its failure domain.
    callers_address, peer_address, operators_address : str
        ``ip:port`` at which the gateway listens.
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
    """Addresses of all processes of a deployment.

    Parameters
    ----------
    config_address, hosts_address, weights_address : str
        ``ip:port`` of the platform's stand-ins.
    gateways : tuple of GatewayLayout
        One for each entry host.
    targets : tuple of TargetLayout
        One for each target host.
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
            If there is no such target.
        """
        for target in self.targets:
            if target.name == name:
                return target
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
        """Return the host list, in which the processes in `leaving` are leaving."""
        return [
            *(
                {
                    "name": gateway.host,
                    "failure_domain": gateway.failure_domain,
                    "region": region,
                    "role": "gateway",
                    "peer_address": gateway.peer_address,
                    "state": _state(gateway.process_id, leaving),
                }
                for gateway in self.gateways
            ),
            *(
                {
                    "name": target.name,
                    "failure_domain": target.failure_domain,
                    "region": region,
                    "role": "sidecar",
                    "peer_address": target.peer_address,
                    "service": target.service.name,
                    "target": target.name,
                    "state": _state(target.sidecar, leaving),
                }
                for target in self.targets
            ),
        ]


def _state(process_id: str, leaving: frozenset[str]) -> str:
    return "leaving" if process_id in leaving else "live"


class Ports:
    """Reserves free ports of a loopback address that other runs are unlikely to use.

    Parameters
    ----------
    ip : str
        Loopback address.
    """

    __slots__ = ("_bound", "ip")

    def __init__(self, *, ip: str) -> None:
        self.ip = ip
        self._bound: list[socket.socket] = []

    def take(self) -> int:
        """Return a free port, which stays bound until `release`."""
        bound = socket.socket()
        bound.bind((self.ip, 0))
        self._bound.append(bound)
        return int(bound.getsockname()[1])

    def address(self) -> str:
        """Return ``ip:port`` of a free port."""
        return f"{self.ip}:{self.take()}"

    def release(self) -> None:
        """Close the sockets, so that the processes can bind the ports."""
        for bound in self._bound:
            bound.close()


def _loopback_ip() -> str:
    """Return a loopback address for this run alone, if the system has them.

    Ports are chosen first and bound by the processes later. On a shared address,
    another process could bind a port in between, and the run would fail with
    "address already in use".
    """
    source = random.SystemRandom()
    for _ in range(_MAX_TRIES):
        ip = f"127.{source.randint(1, 254)}.{source.randint(1, 254)}.1"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ip, 0))
            return ip
    return _DEFAULT_IP


@contextlib.contextmanager
def _ports() -> Iterator[Ports]:
    ports = Ports(ip=_loopback_ip())
    try:
        yield ports
    finally:
        ports.release()


def make_layout(description: Description) -> Layout:
    """Return a layout of `description` with free ports."""
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
            targets=tuple(_target_layouts(description, ports)),
        )


def _target_layouts(description: Description, ports: Ports) -> Iterator[TargetLayout]:
    process_index = description.n_gateways
    for service in description.services:
        for name in service.targets():
            yield TargetLayout(
                name=name,
                service=service,
                failure_domain=description.domain(process_index),
                address=ports.address(),
                peer_address=ports.address(),
                operators_address=ports.address(),
                lock_port=ports.take(),
            )
            process_index += 1
