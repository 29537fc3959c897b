"""Settings of one process, read from TOML and checked whole."""

import tomllib
from collections.abc import Iterator
from enum import StrEnum, unique
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from pydantic import Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from .catalogue import STRICT, Count, Name, Positive, ServiceKind
from .problems import Problem, problems_of
from .setting_types import AddressText, OptionalUrl, Url


@unique
class Choice(StrEnum):
    """How a gateway chooses a target."""

    ROUND_ROBIN = "round_robin"
    TWO_CHOICES = "two_choices"
    LATE_BINDING = "late_binding"


@unique
class Order(StrEnum):
    """In which order a sidecar starts waiting work."""

    FIFO = "fifo"
    FAIR = "fair"


@unique
class Fencing(StrEnum):
    """Whether the target refuses orders that carry an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@unique
class LogFormat(StrEnum):
    """How an event is written to the log."""

    KEY_VALUE = "key_value"
    JSON = "json"


@dataclass(slots=True, kw_only=True, config=STRICT)
class ProcessSettings:
    """Who this process is.

    Parameters
    ----------
    host, failure_domain, region : str
        Where it stands, in the words of the published host list.
    listen : str
        ``ip:port`` for peers.
    operators_listen : str
        ``ip:port`` for operators' HTTP.
    """

    host: Name
    failure_domain: Name
    region: Name = "r1"
    listen: AddressText
    operators_listen: AddressText


@dataclass(slots=True, kw_only=True, config=STRICT)
class PlatformSettings:
    """Where the platform publishes.

    Parameters
    ----------
    config_url, hosts_url : str
        The configuration service and the host list.
    weight_store_url : str
        The weight store; empty without one.
    poll_s : float
        Longest wait of one watch, and the time between reads of the host list.
    n_readers : int
        Processes per failure domain that read the configuration service.
    """

    config_url: Url
    hosts_url: Url
    weight_store_url: OptionalUrl = ""
    poll_s: Positive = 1.0
    n_readers: Count = 2


@dataclass(slots=True, kw_only=True, config=STRICT)
class PeerSettings:
    """Peers to ask before the host list is known."""

    seeds: tuple[AddressText, ...] = ()


@dataclass(slots=True, kw_only=True, config=STRICT)
class CallerSettings:
    """Callers' HTTP and its bounds."""

    listen: AddressText
    max_body_bytes: Count = 4 * 1024 * 1024
    max_headers: Count = 64
    max_header_bytes: Count = 16 * 1024
    max_connections: Count = 2000
    max_json_depth: Count = 32
    max_deadline_s: Positive = 60.0
    require_tokens: bool = False
    """False trusts the ``X-Client-Account`` header; only for closed networks."""


@dataclass(slots=True, kw_only=True, config=STRICT)
class TargetSettings:
    """The one target that a sidecar stands beside."""

    name: Name
    service: Name
    kind: ServiceKind
    url: Url
    fencing: Fencing = Fencing.IGNORED
    lock_port: Annotated[int, Field(ge=1, le=65535)]
    """Port held while the sidecar lives, so that no second one can act."""
    load_period_s: Positive = 0.5


@dataclass(slots=True, kw_only=True, config=STRICT)
class PolicySettings:
    """The policies; the defaults are the product, the rest baselines."""

    choice: Choice = Choice.TWO_CHOICES
    order: Order = Order.FAIR
    refuse_early: bool = True
    split_deadline: bool = True
    retry_budget: bool = True
    hedge: bool = True
    eject_slow: bool = True
    prefix_affinity: bool = True
    adapt_concurrency: bool = True
    drop_expired: bool = True


@dataclass(slots=True, kw_only=True, config=STRICT)
class RetentionSettings:
    """How much is kept in memory and for how long."""

    held_results_bytes: Count = 64 * 1024 * 1024
    held_results_s: Positive = 15.0
    retry_window_s: Positive = 30.0
    explain_records: Count = 20_000
    explain_s: Positive = 300.0


@dataclass(slots=True, kw_only=True, config=STRICT)
class TlsSettings:
    """Paths of keys and certificates; empty speaks plain TCP."""

    certificate_path: str = ""
    key_path: str = ""
    ca_path: str = ""


@dataclass(slots=True, kw_only=True, config=STRICT)
class LogSettings:
    """What is logged and how."""

    format: LogFormat = LogFormat.KEY_VALUE
    verbosity: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(slots=True, kw_only=True, config=STRICT)
class StopSettings:
    """How a planned stop goes."""

    drain_s: Positive = 30.0
    """Longest wait for held work; what is still open then is counted."""
    settle_s: Positive = 0.5
    """Time between saying not ready and refusing new work."""


@dataclass(slots=True, kw_only=True, config=STRICT)
class GatewaySettings:
    """Settings of ``trefoilpaddle gateway``."""

    process: ProcessSettings
    platform: PlatformSettings
    callers: CallerSettings
    peers: PeerSettings = PeerSettings()
    policy: PolicySettings = PolicySettings()
    retention: RetentionSettings = RetentionSettings()
    tls: TlsSettings = TlsSettings()
    log: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()


@dataclass(slots=True, kw_only=True, config=STRICT)
class SidecarSettings:
    """Settings of ``trefoilpaddle sidecar``."""

    process: ProcessSettings
    platform: PlatformSettings
    target: TargetSettings
    peers: PeerSettings = PeerSettings()
    policy: PolicySettings = PolicySettings()
    retention: RetentionSettings = RetentionSettings()
    tls: TlsSettings = TlsSettings()
    log: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()


T = TypeVar("T", GatewaySettings, SidecarSettings)


def load_gateway(path: Path) -> Result[GatewaySettings, list[Problem]]:
    """Return the gateway settings in the file at `path`, or all its faults."""
    match _read(path):
        case Err(problems):
            return Err(problems)
        case Ok(table):
            return _check(GatewaySettings, table, path)


def load_sidecar(path: Path) -> Result[SidecarSettings, list[Problem]]:
    """Return the sidecar settings in the file at `path`, or all its faults."""
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
    """Yield what is wrong with settings that are each right alone."""
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
    paths = {
        "certificate_path": tls.certificate_path,
        "key_path": tls.key_path,
        "ca_path": tls.ca_path,
    }
    if not any(paths.values()):
        return
    for name, text in paths.items():
        if not text or not Path(text).is_file():
            yield Problem(
                source=source,
                key=f"tls.{name}",
                value=text,
                detail="is no file" if text else "is empty while others are set",
                accepted="the path of a PEM file; all three empty speak plain TCP",
            )


def lines_of(problems: list[Problem]) -> Iterator[str]:
    """Yield one line for a person for each problem."""
    for problem in problems:
        yield str(problem)
