"""Harness of processes without a role that have operators' ports and are peers."""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import orjson

from trefoilpaddle.protocol.ids import RequestId, new_incarnation
from trefoilpaddle.roles.operators import OperatorsView, operators
from trefoilpaddle.roles.process import Identity, Process
from trefoilpaddle.standins.ports import free_port
from trefoilpaddle.state.catalogue import Catalogue
from trefoilpaddle.state.hosts import Host, HostList
from trefoilpaddle.state.journal import Journal
from trefoilpaddle.transport.connection import Address

IP = "127.0.0.1"


@dataclass
class Running:
    """A running process and the URL of its operators' port."""

    process: Process
    view: OperatorsView
    url: str

    def generate_id(self) -> str:
        identity = self.process.identity
        return str(
            RequestId.generate(
                process_id=identity.process_id, incarnation=identity.incarnation
            )
        )

    async def get(self, path: str) -> tuple[int, bytes]:
        async with (
            aiohttp.ClientSession() as session,
            session.get(self.url + path) as response,
        ):
            return response.status, await response.read()

    async def get_json(self, path: str) -> dict[str, object]:
        _, body = await self.get(path)
        read: dict[str, object] = orjson.loads(body)
        return read


def host_of(name: str, *, role: str, target: str = "") -> Host:
    address = f"{IP}:{free_port()}"
    if role == "gateway":
        return Host(name=name, failure_domain="a", role="gateway", peer_address=address)
    return Host(
        name=name,
        failure_domain="a",
        role="sidecar",
        peer_address=address,
        service="drafting",
        target=target,
    )


@contextlib.asynccontextmanager
async def running(
    host: Host, hosts: HostList, catalogue: Catalogue, *, n_records: int = 100
) -> AsyncIterator[Running]:
    """Run a process on `host` with the published `hosts` and `catalogue`."""
    identity = Identity(
        process_id=host.process_id,
        incarnation=new_incarnation(),
        role=host.role,
        failure_domain=host.failure_domain,
        region=host.region,
        service=host.service,
        target=host.target,
    )
    process = Process(
        identity=identity,
        listen=Address.parse(host.peer_address).unwrap(),
        journal=Journal(process_id=host.process_id, n_records=n_records),
    )
    process.published.set_catalogue(catalogue)
    process.published.set_hosts(hosts)
    listen = f"{IP}:{free_port()}"
    async with (
        operators(
            process=process,
            listen=listen,
            is_ready=lambda: process.published.catalogue.revision > 0,
        ) as view,
        process.running(),
    ):
        yield Running(process=process, view=view, url=f"http://{listen}")
