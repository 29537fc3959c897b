"""Reads the published host list and skips invalid hosts."""

import dataclasses
from dataclasses import dataclass
from typing import Any, Final

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from .hosts import Host, HostList
from .problems import Problem, problems_of

HOST_FIELDS: Final = frozenset(field.name for field in dataclasses.fields(Host))
HOST_ADAPTER: Final = TypeAdapter(Host)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadHosts:
    """The hosts that could be read, and the problems of the others."""

    hosts: HostList
    problems: tuple[Problem, ...]


def read_hosts(data: bytes) -> Result[ReadHosts, Problem]:
    """Return the host list in `data`, JSON as published.

    Only the invalid hosts are left out, and fields that this release does not
    know are ignored. The platform writes the list, so no operator can correct
    it, and if the whole list were rejected, hosts that leave would stay in use.
    """
    try:
        table = orjson.loads(data)
        revision = int(table["revision"])
        listed = list(table["hosts"])
    except (ValueError, TypeError, KeyError) as error:
        return Err(
            Problem(
                source="host list",
                key="",
                value="",
                detail=f"cannot be read: {error!r}",
                accepted='{"revision": …, "hosts": […]}',
            )
        )
    hosts: list[Host] = []
    problems: list[Problem] = []
    for item in listed:
        match _read_host(item):
            case Ok(host):
                hosts.append(host)
            case Err(found):
                problems += found
    host_list = HostList(revision=revision, hosts=tuple(hosts))
    return Ok(ReadHosts(hosts=host_list, problems=tuple(problems)))


def _read_host(item: Any) -> Result[Host, list[Problem]]:
    known = item
    if isinstance(item, dict):
        known = {key: value for key, value in item.items() if key in HOST_FIELDS}
    try:
        return Ok(HOST_ADAPTER.validate_python(known))
    except ValidationError as error:
        return Err(list(problems_of(error, source="host list", cls=Host)))
