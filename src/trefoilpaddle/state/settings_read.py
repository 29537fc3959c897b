"""Reads settings from TOML and checks all of them before any port is opened."""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from .problems import Problem, problems_of
from .settings import GatewaySettings, SidecarSettings, TlsSettings

T = TypeVar("T", GatewaySettings, SidecarSettings)


def load_gateway(path: Path) -> Result[GatewaySettings, list[Problem]]:
    """Return the gateway settings in the file at `path`, or all problems."""
    match _read(path):
        case Err(problems):
            return Err(problems)
        case Ok(table):
            return _check(GatewaySettings, table, path)


def load_sidecar(path: Path) -> Result[SidecarSettings, list[Problem]]:
    """Return the sidecar settings in the file at `path`, or all problems."""
    match _read(path):
        case Err(problems):
            return Err(problems)
        case Ok(table):
            return _check(SidecarSettings, table, path)


def _read(path: Path) -> Result[object, list[Problem]]:
    try:
        return Ok(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = Problem(
            source=str(path),
            key="",
            value="",
            detail=str(error),
            accepted="a TOML file",
        )
        return Err([problem])


def _check(cls: type[T], table: object, path: Path) -> Result[T, list[Problem]]:
    try:
        settings = TypeAdapter(cls).validate_python(table)
    except ValidationError as error:
        return Err(list(problems_of(error, source=str(path), cls=cls)))
    problems = list(_joint_problems(settings, str(path)))
    return Err(problems) if problems else Ok(settings)


def _joint_problems(
    settings: GatewaySettings | SidecarSettings, source: str
) -> Iterator[Problem]:
    """Yield the problems of combinations of settings that are each valid alone."""
    yield from _same_addresses(settings, source)
    yield from _tls_problems(settings.tls, source)


def _same_addresses(
    settings: GatewaySettings | SidecarSettings, source: str
) -> Iterator[Problem]:
    addresses = {
        "process.listen": settings.process.listen,
        "process.operators_listen": settings.process.operators_listen,
    }
    match settings:
        case GatewaySettings():
            addresses["callers.listen"] = settings.callers.listen
        case SidecarSettings():
            ip = settings.process.listen.rpartition(":")[0]
            addresses["target.lock_port"] = f"{ip}:{settings.target.lock_port}"
    first: dict[str, str] = {}
    for key, address in addresses.items():
        if address in first and not address.endswith(":0"):
            yield Problem(
                source=source,
                key=key,
                value=address,
                detail=f"is the same as {first[address]}",
                accepted="a port of its own",
            )
        first.setdefault(address, key)


def _tls_problems(tls: TlsSettings, source: str) -> Iterator[Problem]:
    """Yield a problem for each path that is set, because TLS is not supported.

    If the paths were accepted, an operator would believe that peers are
    authenticated, while every connection is unencrypted.
    """
    paths = {
        "certificate_path": tls.certificate_path,
        "key_path": tls.key_path,
        "ca_path": tls.ca_path,
    }
    for name, text in paths.items():
        if text:
            yield Problem(
                source=source,
                key=f"tls.{name}",
                value=text,
                detail="is set, but this release does not speak TLS",
                accepted="no table [tls], and a closed network",
            )


def lines_of(problems: list[Problem]) -> Iterator[str]:
    """Yield one human-readable line for each problem."""
    for problem in problems:
        yield str(problem)
