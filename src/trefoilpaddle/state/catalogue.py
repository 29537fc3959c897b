"""The catalogue that operators publish, as typed and frozen values.

A published key is ``entry/NAME``, ``pipeline/NAME``, ``service/NAME`` or
``account/NAME``; its value is the JSON of the data class of that kind.
"""

from enum import StrEnum, unique
from typing import Annotated, Final

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

STRICT: Final = ConfigDict(extra="forbid", frozen=True)

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
Count = Annotated[int, Field(ge=1)]


@unique
class ServiceKind(StrEnum):
    """How a service's targets are called."""

    ENGINE = "engine"
    POOL = "pool"
    PLAIN = "plain"


@unique
class Takes(StrEnum):
    """Input of a stage."""

    INPUT = "input"
    PREVIOUS = "previous"
    BOTH = "both"


@dataclass(slots=True, kw_only=True, config=STRICT)
class Limits:
    """Limits of an entry over all gateways together; None means no limit.

    Parameters
    ----------
    rate_per_s : float, optional
        Accepted requests per second.
    burst_s : float
        Seconds of the rate that may be used at once.
    n_concurrent : int, optional
        Requests that are accepted and not yet answered.
    tokens_per_s : float, optional
        Generated tokens per second.
    """

    rate_per_s: Positive | None = None
    burst_s: Positive = 1.0
    n_concurrent: Count | None = None
    tokens_per_s: Positive | None = None


@dataclass(slots=True, kw_only=True, config=STRICT)
class Entry:
    """A catalogue entry: an owner, a class of work and their limits.

    Parameters
    ----------
    owner : str
        Owner of the work, whose share of the targets is used.
    class_of_work : str
        Kind of work, as named by the owner.
    pipelines : tuple of str
        Pipelines that the entry allows; the first entry in order of name that
        matches client account, class of work and pipeline governs a request.
    accounts : tuple of str
        Client accounts that the entry serves.
    limits : Limits
        Limits of the entry.
    weight : float
        The owner's weight in the fair sharing of each target.
    floor_share : float
        Share of each target reserved for the entry while it has work, 0 to 1.
    deadline_s : float
        Default deadline of a request, and the longest that a caller may give.
    brownout_order : int
        Work with a lower value is refused first under overload.
    attainment_weight : float
        Weight of attainment against cost by stage: with 1 only attainment
        counts, with 0 only cost.
    """

    owner: Name
    class_of_work: Name
    pipelines: tuple[Name, ...]
    accounts: tuple[Name, ...]
    limits: Limits = Limits()
    weight: Positive = 1.0
    floor_share: Share = 0.0
    deadline_s: Positive = 10.0
    brownout_order: int = 0
    attainment_weight: Share = 0.5


@dataclass(slots=True, kw_only=True, config=STRICT)
class Stage:
    """One stage of a pipeline.

    Parameters
    ----------
    name : str
        Name of the stage, unique in the pipeline.
    service : str
        The service whose targets run the stage.
    path : str
        Path of the call at the target.
    idempotent : bool
        False if the stage must run at most once per request.
    takes : Takes
        Input of the stage: the request's input, the previous stage's result, or
        both.
    streams : bool
        True if its answer is streamed; only the last stage's reaches a caller.
    max_tokens : int
        Largest number of tokens to generate; engines only.
    prompt_prefix : str
        Text in front of the input; engines only. Prompts with the same prefix
        can share cached work.
    model : str
        Model to request from the engine; engines only.
    """

    name: Name
    service: Name
    path: Annotated[str, Field(pattern=r"^/[\w./-]*$")]
    idempotent: bool = True
    takes: Takes = Takes.BOTH
    streams: bool = False
    max_tokens: Annotated[int, Field(ge=0, le=100_000)] = 0
    prompt_prefix: str = ""
    model: str = ""


@dataclass(slots=True, kw_only=True, config=STRICT)
class Pipeline:
    """Stages that run one after the other under one deadline.

    Parameters
    ----------
    stages : tuple of Stage
        The stages in the order in which they run.
    """

    stages: Annotated[tuple[Stage, ...], Field(min_length=1, max_length=16)]


@dataclass(slots=True, kw_only=True, config=STRICT)
class Service:
    """Interchangeable targets of one kind.

    Parameters
    ----------
    kind : ServiceKind
        How the targets are called.
    n_slots : int
        Initial number of calls that one target runs at once.
    max_queue_s : float
        Largest sum of predicted target-seconds in the queue of one target.
    retry_share : float
        Allowed retries and hedges, as a share of the service's calls.
    reports_load : bool
        True if the targets answer ``GET /load``.
    models : tuple of str
        Models to keep loaded; engines only.
    """

    kind: ServiceKind
    n_slots: Count = 4
    max_queue_s: Positive = 30.0
    retry_share: Share = 0.1
    reports_load: bool = False
    models: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, config=STRICT)
class Account:
    """A client account, which identifies a caller.

    Parameters
    ----------
    token_sha256 : str
        SHA-256 of the caller's bearer token, hexadecimal; the token itself is
        never published.
    """

    token_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


CatalogueValue = Entry | Pipeline | Service | Account

KINDS: Final[dict[str, type[CatalogueValue]]] = {
    "entry": Entry,
    "pipeline": Pipeline,
    "service": Service,
    "account": Account,
}


@dataclass(slots=True, kw_only=True, config=STRICT)
class Catalogue:
    """All active catalogue values at one revision.

    Parameters
    ----------
    revision : int
        Highest revision of the configuration service that it includes; 0 if empty.
    entries, pipelines, services, accounts : dict of str to value
        The values by name.
    entry_revisions : dict of str to int
        Revision at which each entry was last changed.
    """

    revision: int = 0
    entries: dict[str, Entry] = Field(default_factory=dict)
    pipelines: dict[str, Pipeline] = Field(default_factory=dict)
    services: dict[str, Service] = Field(default_factory=dict)
    accounts: dict[str, Account] = Field(default_factory=dict)
    entry_revisions: dict[str, int] = Field(default_factory=dict)

    def governing(
        self, *, account: str, pipeline: str, class_of_work: str | None
    ) -> tuple[str, Entry] | None:
        """Return name and value of the entry that governs a request, if any.

        Of the matching entries the first by name governs, so that every process
        chooses the same one.
        """
        for name in sorted(self.entries):
            entry = self.entries[name]
            if account not in entry.accounts or pipeline not in entry.pipelines:
                continue
            if class_of_work is None or class_of_work == entry.class_of_work:
                return name, entry
        return None
