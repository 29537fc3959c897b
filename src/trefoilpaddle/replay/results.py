"""The answers to the requests of a replay, and the calls that targets ran."""

from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class Verdict(StrEnum):
    """Classification of the answer that a caller received."""

    IN_TIME = "in_time"
    LATE = "late"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    TRUNCATED = "torn"
    """An answer that ended early, or is shorter than the output of the targets."""
    WRONG = "wrong"
    """An answer of another request, or one with duplicated parts."""
    NO_ANSWER = "no_answer"
    """The connection was refused or ended without any answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The answer to one request.

    Parameters
    ----------
    index : int
        Index of the request in the trace.
    verdict : Verdict
        Classification of the answer.
    status : int
        HTTP status; 0 without an answer.
    request_id : str
        Id that the gateway assigned; empty if none was received.
    gateway : str
        Where the request was sent.
    reason : str
        Reason of a refusal or failure, from the error body.
    stage : str
        Stage at which it was refused or failed.
    latency_s : float
        Time from sending the request to the last byte.
    first_token_s : float
        Time from sending the request to the first token; NaN without tokens.
    gaps_s : tuple of float
        Times between tokens.
    retry_after_s : float
        Time after which the caller may retry, by the error body; 0 without one.
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
    """One call that a target ran, from the records of the target.

    Parameters
    ----------
    service, target : str
        The target that ran the call, and its service.
    request_id, attempt_id : str
        The request and the attempt that the call belongs to.
    path : str
        Path of the call.
    input_digest : str
        Digest of the input of the call.
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
    """Answers and target records of one replay of a trace under one policy.

    Parameters
    ----------
    label : str
        ``"baseline"``, ``"product"`` and so on.
    answers : list of Answer
        One for each request that was sent.
    runs : list of TargetRun
        Calls that the targets recorded. Calls that a killed target ran after its
        records were last read are lost.
    n_lost_records : int
        Targets whose records could not be read.
    late_starts_s : list of float
        Delay of each request that the player caused, against the trace.
    """

    label: str
    answers: list[Answer] = field(default_factory=list)
    runs: list[TargetRun] = field(default_factory=list)
    n_lost_records: int = 0
    late_starts_s: list[float] = field(default_factory=list)
