"""A caller's request as a gateway holds it, and its outcome."""

from dataclasses import dataclass, field

from ...protocol.reasons import Reason
from ..held_bytes import Holding, holding_alone

Header = tuple[bytes, bytes]
"""Name and value, as received."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt, which other requests may share."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """The prompt of a request to a model worker, and the limit of its output.

    Parameters
    ----------
    parts : tuple of PromptPart
        Parts in order; the last one is specific to this request or its session.
    n_tokens : int
        Length of the prompt in tokens.
    n_output_tokens : int
        Largest number of tokens to generate.
    """

    parts: tuple[PromptPart, ...]
    n_tokens: int
    n_output_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One attempt of a caller to make a request, read completely.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt; it differs from that of any other attempt.
    method, target : str
        HTTP method and request target, path and query, as received.
    host, path : str
        Host and path, by which the route is selected.
    headers : tuple of Header
        Headers that are forwarded to the worker.
    body : bytes or bytearray
        Complete body; not changed any more.
    body_digest : bytes
        Hash of the body.
    received_s : float
        Monotonic time at which the first byte was read.
    deadline_s : float
        Monotonic time until which the caller waits.
    key : str
        The caller's credential; never forwarded.
    prompt : Prompt or None
        Prompt of a request for a model worker.
    n_pieces : tuple of int
        Number of pieces of each stage of the route.
    piece_key : str
        Input of the stages that take no results of other stages.
    after_event : int or None
        Number of the last event that the caller has already; None if it has none.
    resumes : str
        Id of the attempt that brought the first event of the stream that the caller
        takes up; empty if it names none.
    body_holding, answer_holding : Holding
        Count the bytes of its body and of its answer as long as the request lives.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes | bytearray
    body_digest: bytes
    received_s: float
    deadline_s: float
    key: str = ""
    prompt: Prompt | None = None
    n_pieces: tuple[int, ...] = ()
    piece_key: str = ""
    after_event: int | None = None
    resumes: str = ""
    body_holding: Holding = field(default_factory=holding_alone, compare=False)
    answer_holding: Holding = field(default_factory=holding_alone, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The caller has received the complete answer of a worker.

    Parameters
    ----------
    worker_id : str
        The worker; empty if it is not known.
    status : int
        Status of its answer; 0 if it is not known.
    """

    worker_id: str = field(default="", compare=False)
    status: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request has not run and will not run.

    Parameters
    ----------
    reason : Reason
        Cause of the refusal.
    retry_after_s : float
        Seconds until there will probably be capacity; 0 if a retry is useless.
    detail : str
        What the refusal refers to, for the log.
    """

    reason: Reason
    retry_after_s: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The request ends without a complete answer; it may have run.

    Parameters
    ----------
    reason : Reason
        Cause of the failure.
    is_begun : bool
        True if a part of the answer was sent to the caller.
    detail : str
        What the failure refers to, for the log.
    """

    reason: Reason
    is_begun: bool = False
    detail: str = ""


Outcome = Answered | Refused | Failed
