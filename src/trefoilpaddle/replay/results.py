"""What became of each request of a replay, and what targets ran for it."""

from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class Verdict(StrEnum):
    """What a caller got."""

    IN_TIME = "in_time"
    LATE = "late"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    TRUNCATED = "torn"
    """An answer that ended early, or is shorter than what the targets made."""
    WRONG = "wrong"
    """An answer that is not this request's, or holds parts of it twice."""
    NO_ANSWER = "no_answer"
    """The connection was refused or ended without any answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What came back for one request.

    Parameters
    ----------
    index : int
        The request's place in the trace.
    verdict : Verdict
        What it was.
    status : int
        HTTP status; 0 without one.
    request_id : str
        As the gateway named it; empty when none was heard.
    gateway : str
        Where the request was sent.
    reason : str
        Why it was refused or failed, in the words of the error body.
    stage : str
        Stage at which it was refused or failed.
    latency_s : float
        From sending to the last octet.
    first_token_s : float
        From sending to the first token; NaN where none came.
    gaps_s : tuple of float
        Times between tokens.
    retry_after_s : float
        When the caller was told to come back; 0 without.
    """

    index: int
    verdict: Verdict
    status: int = 0
    request_id: str = ""
    gateway: str = ""
    reason: str = ""
    stage: str = ""
    latency_s: float
    first_token_s: float = float("nan")
    gaps_s: tuple[float, ...] = ()
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRun:
    """One call that a target ran, from its own record.

    Parameters
    ----------
    service, target : str
        Who ran it.
    request_id, attempt_id : str
        For which request and attempt.
    path : str
        Path of the call.
    input_digest : str
        Digest of what it was given.
    outcome : str
        ``done``, ``failed``, ``cancelled`` or ``running``.
    cost_s : float
        Target-seconds used.
    """

    service: str
    target: str
    request_id: str
    attempt_id: str
    path: str
    input_digest: str = ""
    outcome: str
    cost_s: float


@dataclass(slots=True, kw_only=True)
class Replayed:
    """One play of a trace under one policy.

    Parameters
    ----------
    label : str
        ``"baseline"``, ``"product"`` and so on.
    answers : list of Answer
        One for each request that was sent.
    runs : list of TargetRun
        What the targets recorded; those of a killed target are lost with it.
    n_lost_records : int
        Targets whose record could not be read.
    late_starts_s : list of float
        How late the player itself sent each request, against the trace.
    """

    label: str
    answers: list[Answer] = field(default_factory=list)
    runs: list[TargetRun] = field(default_factory=list)
    n_lost_records: int = 0
    late_starts_s: list[float] = field(default_factory=list)
