"""Recorded traces: a head and one line for each request, as JSON lines."""

from collections.abc import Iterator
from enum import StrEnum, unique
from pathlib import Path
from typing import Annotated, Final, Literal, TypeVar

import orjson
from pydantic import Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from ..state.catalogue import STRICT, Count, Name, Positive
from ..state.problems import Problem, problems_of

FORMAT_VERSION: Final = 1

T = TypeVar("T")

Seconds = Annotated[float, Field(ge=0.0)]


@unique
class InputKind(StrEnum):
    """Kind of a request's input, from which its text is generated."""

    TENDER_FILE = "tender_file"
    CLAUSE_PAIR = "clause_pair"
    BENEFICIARY_QUERY = "beneficiary_query"
    SQUAD_SHEET = "squad_sheet"
    BADGE_NOTE = "badge_note"
    SHORT_QUERY = "short_query"
    STOCK_HOLD = "stock_hold"


@unique
class Measure(StrEnum):
    """A figure of a round for which a trace can state an outcome."""

    ATTAINMENT_RATIO = "attainment_ratio"
    """Attainment of the product over that of the baseline."""
    ATTAINMENT_OF_BOUND = "attainment_of_bound"
    """Requests that the product answered in time over those that capacity allows."""
    WASTED_SHARE = "wasted_share"
    """Cost of late, cancelled, repeated and failed work over the total cost."""
    WITHIN_SHARE_OF_CALM = "within_share_of_calm"
    """Attainment of accounts within their share, during over before the burst."""
    REPAIRED_OF_CALM = "repaired_of_calm"
    """Attainment from three seconds after the repair over that before the fault."""
    OF_FRESH = "of_fresh"
    """Attainment over that of the same trace replayed without its faults."""
    COST_RATIO = "cost_ratio"
    """Cost for each request answered in time, product over baseline."""
    EXTRA_CALLS_SHARE = "extra_calls_share"
    """Repeated runs of a stage of a request over first runs."""


@dataclass(slots=True, kw_only=True, config=STRICT)
class StatedOutcome:
    """A stated outcome: a lower or an upper bound of a measure, or both."""

    measure: Measure
    at_least: float | None = None
    at_most: float | None = None

    def holds(self, value: float) -> bool:
        """Return True if `value` is within the bounds; NaN never is."""
        if value != value:
            return False
        if self.at_least is not None and value < self.at_least:
            return False
        return self.at_most is None or value <= self.at_most


@dataclass(slots=True, kw_only=True, config=STRICT)
class SlowService:
    """Service times of all targets of a service are multiplied by `factor`."""

    kind: Literal["slow_service"] = "slow_service"
    at_s: Seconds
    duration_s: Positive
    service: Name
    factor: Positive


@dataclass(slots=True, kw_only=True, config=STRICT)
class KillTarget:
    """A target is killed and not restarted; its sidecar keeps running."""

    kind: Literal["kill_target"] = "kill_target"
    at_s: Seconds
    target: Name


@dataclass(slots=True, kw_only=True, config=STRICT)
class FreezeTarget:
    """A target's host (target and sidecar) is suspended, then resumed."""

    kind: Literal["freeze_target"] = "freeze_target"
    at_s: Seconds
    duration_s: Positive
    target: Name


@dataclass(slots=True, kw_only=True, config=STRICT)
class CutDomain:
    """The gateways and sidecars of a failure domain are partitioned from the others.

    Their targets continue the calls that they have received, and late answers
    arrive after the partition heals.
    """

    kind: Literal["cut_domain"] = "cut_domain"
    at_s: Seconds
    duration_s: Positive
    failure_domain: Name


@dataclass(slots=True, kw_only=True, config=STRICT)
class StaleLoad:
    """Targets report their load with a delay of `lag_s`."""

    kind: Literal["stale_load"] = "stale_load"
    at_s: Seconds
    duration_s: Positive
    lag_s: Positive


Fault = Annotated[
    SlowService | KillTarget | FreezeTarget | CutDomain | StaleLoad,
    Field(discriminator="kind"),
]


@dataclass(slots=True, kw_only=True, config=STRICT)
class Window:
    """A time interval in seconds from the start of a trace."""

    begin_s: Seconds
    end_s: Seconds

    def has(self, at_s: float) -> bool:
        """Return True if `at_s` is in the interval; its end is excluded."""
        return self.begin_s <= at_s < self.end_s


@dataclass(slots=True, kw_only=True, config=STRICT)
class Head:
    """First line of a trace.

    Parameters
    ----------
    format_version : int
        Version of this format.
    name : str
        Name of the trace.
    origin : str
        Source of the requests, and the basis of their rate.
    seed : int
        Seed of the generator.
    deployment : str
        Deployment that the trace is replayed on.
    time_scale : float
        Factor on the real service times, deadlines and faults.
    duration_s : float
        Time in which requests arrive.
    offered_share : float
        Offered work over capacity at the bottleneck service.
    faults : tuple of Fault
        Faults, with their times from the start of the trace.
    disturbed : Window, optional
        Interval from the start of the first fault or burst to its end.
    bursting_account : str
        Client account that exceeds its share; empty without one.
    stated : tuple of StatedOutcome
        Outcomes that the product must reach.
    """

    format_version: Literal[1] = FORMAT_VERSION
    name: Name
    origin: str
    seed: int
    deployment: Name
    time_scale: Positive
    duration_s: Positive
    offered_share: Positive
    faults: tuple[Fault, ...] = ()
    disturbed: Window | None = None
    bursting_account: str = ""
    stated: tuple[StatedOutcome, ...] = ()


@dataclass(slots=True, kw_only=True, config=STRICT)
class Request:
    """One request of a trace.

    Parameters
    ----------
    at_s : float
        Time at which it is sent, from the start of the trace.
    account, class_of_work, pipeline : str
        Client account, class of work and pipeline.
    deadline_s : float
        Seconds within which the caller needs the complete answer.
    priority : int
        Priority from 0 to 9.
    kind : InputKind
        Kind of the input.
    n_words : int
        Words of the input without the shared prefix.
    prefix : str
        Name of the text that this request shares with others; empty without one.
    n_prefix_words : int
        Words of the shared prefix.
    is_streamed : bool
        True if the caller requests the answer as a stream.
    is_keyed : bool
        True if the caller sends an idempotency key.
    input_seed : int
        Seed of the input's text; unique in a trace.
    """

    at_s: Seconds
    account: Name
    class_of_work: Name
    pipeline: Name
    deadline_s: Positive
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    kind: InputKind
    n_words: Count
    prefix: str = ""
    n_prefix_words: Annotated[int, Field(ge=0)] = 0
    is_streamed: bool = False
    is_keyed: bool = False
    input_seed: Annotated[int, Field(ge=0)]


@dataclass(slots=True, kw_only=True, config=STRICT)
class Trace:
    """A head and its requests, ordered by time."""

    head: Head
    requests: tuple[Request, ...]

    def without_faults(self) -> "Trace":
        """Return the trace with the same requests and without faults."""
        fields = {name: getattr(self.head, name) for name in Head.__slots__}
        calm = Head(**{**fields, "faults": ()})
        return Trace(head=calm, requests=self.requests)


_HEAD: Final = TypeAdapter(Head)
_REQUEST: Final = TypeAdapter(Request)


def read_trace(path: Path) -> Result[Trace, list[Problem]]:
    """Return the trace in the file at `path`, or all its problems."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        return Err([_problem(path, "", str(error))])
    if not lines:
        return Err([_problem(path, "", "the file is empty")])
    problems: list[Problem] = []
    head = _parse(_HEAD, Head, lines[0], f"{path}:1", problems)
    requests = [
        _parse(_REQUEST, Request, line, f"{path}:{number}", problems)
        for number, line in enumerate(lines[1:], start=2)
    ]
    if problems or head is None:
        return Err(problems)
    return Ok(Trace(head=head, requests=tuple(filter(None, requests))))


def write_trace(trace: Trace, path: Path) -> None:
    """Write `trace` to the file at `path`; fields with default values are omitted."""
    path.write_bytes(b"".join(line + b"\n" for line in _lines(trace)))


def _lines(trace: Trace) -> Iterator[bytes]:
    yield orjson.dumps(_HEAD.dump_python(trace.head, mode="json"))
    for request in trace.requests:
        yield orjson.dumps(
            _REQUEST.dump_python(request, mode="json", exclude_defaults=True)
        )


def _parse(
    adapter: TypeAdapter[T],
    cls: type[T],
    line: bytes,
    source: str,
    problems: list[Problem],
) -> T | None:
    try:
        return adapter.validate_json(line)
    except ValidationError as error:
        problems += problems_of(error, source=source, cls=cls)
        return None


def _problem(path: Path, value: str, detail: str) -> Problem:
    return Problem(
        source=str(path),
        key="",
        value=value,
        detail=detail,
        accepted="a trace: a head, then one line for each request, as JSON",
    )
