"""Settings of a process; `settings_read` reads and checks them."""

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
    """Order in which a sidecar starts queued work."""

    FIFO = "fifo"
    FAIR = "fair"


@unique
class Fencing(StrEnum):
    """Whether the target refuses orders with an outdated fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(slots=True, kw_only=True, config=STRICT)
class ProcessSettings:
    """Identity and addresses of this process.

    Parameters
    ----------
    host : str
        Name of its host on the published host list.
    failure_domain : str
        Failure domain of the host.
    region : str
        Region of the failure domain.
    listen : str
        ``ip:port`` on which it listens for peers.
    operators_listen : str
        ``ip:port`` on which it serves HTTP for operators.
    """

    host: Name
    failure_domain: Name
    region: Name = "r1"
    listen: AddressText
    operators_listen: AddressText


@dataclass(slots=True, kw_only=True, config=STRICT)
class PlatformSettings:
    """Addresses of the platform's services.

    Parameters
    ----------
    config_url : str
        URL of the configuration service.
    hosts_url : str
        URL of the host list.
    weight_store_url : str
        URL of the weight store; empty without one.
    poll_s : float
        Longest wait of one watch request, and the time between reads of the host
        list.
    n_readers : int
        Number of processes per failure domain that read the configuration service.
    """

    config_url: Url
    hosts_url: Url
    weight_store_url: OptionalUrl = ""
    poll_s: Positive = 1.0
    n_readers: Count = 2


@dataclass(slots=True, kw_only=True, config=STRICT)
class PeerSettings:
    """Peers to contact before the host list is known.

    Parameters
    ----------
    seeds : tuple of str
        ``ip:port`` of a few processes, preferably in several failure domains.
        They are asked for the catalogue while the configuration service cannot
        be reached.
    """

    seeds: tuple[AddressText, ...] = ()


@dataclass(slots=True, kw_only=True, config=STRICT)
class CallerSettings:
    """HTTP interface for callers, and its limits.

    Parameters
    ----------
    listen : str
        ``ip:port`` for callers, behind the platform's load balancer.
    max_body_bytes : int
        Largest body of a request.
    max_headers : int
        Largest number of headers of a request.
    max_header_bytes : int
        Longest header, and longest request line.
    max_connections : int
        Largest number of connected callers; for a further one, idle ones are closed.
    max_json_depth : int
        Deepest nesting of a JSON body.
    max_deadline_s : float
        Longest deadline that any entry can give at this gateway.
    require_tokens : bool
        If true, each caller must send its account's bearer token. If false, the
        ``X-Client-Account`` header is trusted; only for closed networks.
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
    """The target that a sidecar serves.

    Parameters
    ----------
    name : str
        Name of the target, as on the host list.
    service : str
        Name of its service in the catalogue.
    kind : ServiceKind
        How it is called: ``engine``, ``pool`` or ``plain``.
    url : str
        URL of the target.
    fencing : Fencing
        Whether it refuses orders with an outdated fencing number: ``checked`` or
        ``ignored``.
    lock_port : int
        Port that the sidecar holds while it runs, so that no second sidecar can
        act on the target. The same for every sidecar of this target, on the
        target's host.
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
    """Scheduling policies; other values than the defaults are baselines.

    Parameters
    ----------
    choice : Choice
        How a gateway chooses a target: ``two_choices``, ``late_binding`` or
        ``round_robin``.
    order : Order
        Order in which a sidecar starts queued work: ``fair`` or ``fifo``.
    refuse_early : bool
        Refuse work that cannot meet its deadline before it uses any target time.
    split_deadline : bool
        Give each stage a part of the deadline, by the predicted times.
    retry_budget : bool
        Limit retries and hedges to a share of a service's calls.
    hedge : bool
        Send slow idempotent stages to a second target.
    eject_slow : bool
        Exclude targets that are much slower than their peers.
    prefix_affinity : bool
        Prefer targets that probably hold the prompt's prefix in their cache.
    adapt_concurrency : bool
        Adapt the number of concurrent calls at a target by measurement.
    drop_expired : bool
        Drop queued work whose deadline has passed.
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
    """How much state is kept in memory, and for how long.

    Parameters
    ----------
    held_results_bytes : int
        Largest size of all results that gateways have not acknowledged yet.
    held_results_s : float
        How long a result is held.
    retry_window_s : float
        How long a caller's retry of a request is recognised.
    explain_records : int
        Number of decisions kept for ``explain``; about 1 KB each.
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
    """Paths of PEM files; this release uses plain TCP and rejects any path.

    Parameters
    ----------
    certificate_path : str
        Certificate of this process, with the intermediate certificates.
    key_path : str
        Private key of this process.
    ca_path : str
        Certificates of the authorities whose peers are accepted.
    """

    certificate_path: str = ""
    key_path: str = ""
    ca_path: str = ""


@dataclass(slots=True, kw_only=True, config=STRICT)
class LogSettings:
    """Format and level of the log.

    Parameters
    ----------
    format : LogFormat
        ``key_value`` or ``json``.
    verbosity : str
        Lowest level that is logged: ``debug``, ``info``, ``warning`` or
        ``error``; decisions have level info.
    """

    format: LogFormat = LogFormat.KEY_VALUE
    verbosity: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(slots=True, kw_only=True, config=STRICT)
class StopSettings:
    """Times of a planned stop.

    Parameters
    ----------
    drain_s : float
        Longest wait for open work. Requests that are still open then are answered
        as interrupted, or as not run if that is certain, and counted as
        interrupted.
    settle_s : float
        Time between reporting not ready and refusing new work; must be longer
        than the load balancer takes to notice.
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
