"""Settings of one process; `settings_read` reads and checks them."""

from enum import StrEnum, unique
from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from .catalogue import STRICT, Count, Name, Positive, ServiceKind
from .log_format import LogFormat as LogFormat
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


@dataclass(slots=True, kw_only=True, config=STRICT)
class ProcessSettings:
    """Who this process is.

    Parameters
    ----------
    host : str
        Name of its host on the published host list.
    failure_domain : str
        Where the host stands.
    region : str
        Region of the failure domain.
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
    config_url : str
        The configuration service.
    hosts_url : str
        The host list.
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
    """Peers to ask before the host list is known.

    Parameters
    ----------
    seeds : tuple of str
        ``ip:port`` of a few processes, best in several failure domains; asked
        for the catalogue when the configuration service cannot be reached.
    """

    seeds: tuple[AddressText, ...] = ()


@dataclass(slots=True, kw_only=True, config=STRICT)
class CallerSettings:
    """Callers' HTTP and its bounds.

    Parameters
    ----------
    listen : str
        ``ip:port`` for callers, behind the platform's balancer.
    max_body_bytes : int
        Longest body of a request.
    max_headers : int
        Most headers of a request.
    max_header_bytes : int
        Longest header, and longest first line.
    max_connections : int
        Most callers connected at once; a further one is told to come back.
    max_json_depth : int
        Deepest nesting of a JSON body.
    max_deadline_s : float
        Longest deadline that any entry can give here.
    require_tokens : bool
        True asks each caller for its account's bearer token; false trusts the
        ``X-Client-Account`` header and is only for closed networks.
    """

    listen: AddressText
    max_body_bytes: Count = 4 * 1024 * 1024
    max_headers: Count = 64
    max_header_bytes: Count = 16 * 1024
    max_connections: Count = 2000
    max_json_depth: Count = 32
    max_deadline_s: Positive = 60.0
    require_tokens: bool = False


@dataclass(slots=True, kw_only=True, config=STRICT)
class TargetSettings:
    """The one target that a sidecar stands beside.

    Parameters
    ----------
    name : str
        The target's name, as on the host list.
    service : str
        The catalogue's service that it belongs to.
    kind : ServiceKind
        How it is called: ``engine``, ``pool`` or ``plain``.
    url : str
        Where it listens.
    fencing : Fencing
        Whether it refuses orders that carry an old fencing number: ``checked``
        or ``ignored``.
    lock_port : int
        Port held while the sidecar lives, so that no second one can act on the
        target; the same for every sidecar of this target, on the target's host.
    load_period_s : float
        Time between reads of the target's own load report.
    """

    name: Name
    service: Name
    kind: ServiceKind
    url: Url
    fencing: Fencing = Fencing.IGNORED
    lock_port: Annotated[int, Field(ge=1, le=65535)]
    load_period_s: Positive = 0.5


@dataclass(slots=True, kw_only=True, config=STRICT)
class PolicySettings:
    """The policies; the defaults are the product, the rest baselines.

    Parameters
    ----------
    choice : Choice
        How a gateway chooses a target: ``two_choices``, ``late_binding`` or
        ``round_robin``.
    order : Order
        In which order a sidecar starts waiting work: ``fair`` or ``fifo``.
    refuse_early : bool
        Refuse what cannot make its deadline before it costs anything.
    split_deadline : bool
        Give each stage its part of the deadline, by what is predicted.
    retry_budget : bool
        Bound retries and hedges to a share of a service's calls.
    hedge : bool
        Send slow idempotent stages to a second target.
    eject_slow : bool
        Leave out targets that are much slower than their peers.
    prefix_affinity : bool
        Prefer targets that likely hold the prompt's prefix.
    adapt_concurrency : bool
        Learn how many calls at once a target bears.
    drop_expired : bool
        Drop waiting work whose deadline has passed.
    """

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
    """How much is kept in memory and for how long.

    Parameters
    ----------
    held_results_bytes : int
        Results held for gateways that have not acknowledged them.
    held_results_s : float
        How long a result is held.
    retry_window_s : float
        How long a caller's retry of a request is recognised.
    explain_records : int
        Decisions kept for ``explain``; about 1 KB each.
    explain_s : float
        How long a decision is kept.
    """

    held_results_bytes: Count = 64 * 1024 * 1024
    held_results_s: Positive = 15.0
    retry_window_s: Positive = 30.0
    explain_records: Count = 20_000
    explain_s: Positive = 300.0


@dataclass(slots=True, kw_only=True, config=STRICT)
class TlsSettings:
    """Paths of PEM files; this release refuses any, since it speaks plain TCP.

    Parameters
    ----------
    certificate_path : str
        This process's certificate and those between it and the authority.
    key_path : str
        Its private key.
    ca_path : str
        Certificates of the authorities whose peers are let in.
    """

    certificate_path: str = ""
    key_path: str = ""
    ca_path: str = ""


@dataclass(slots=True, kw_only=True, config=STRICT)
class LogSettings:
    """What is logged and how.

    Parameters
    ----------
    format : LogFormat
        ``key_value`` or ``json``.
    verbosity : str
        Least level that is logged: ``debug``, ``info``, ``warning`` or
        ``error``; decisions are of level info.
    """

    format: LogFormat = LogFormat.KEY_VALUE
    verbosity: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(slots=True, kw_only=True, config=STRICT)
class StopSettings:
    """How a planned stop goes.

    Parameters
    ----------
    drain_s : float
        Longest wait for held work; what is still open then is told so, as not
        run where that is certain, and counted as cut off.
    settle_s : float
        Time between saying not ready and refusing new work; longer than the
        balancer takes to notice.
    """

    drain_s: Positive = 30.0
    settle_s: Positive = 0.5


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
