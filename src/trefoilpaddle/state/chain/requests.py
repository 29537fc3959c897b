"""A caller's request as a gateway holds it, and how it ends."""

from dataclasses import dataclass

from ...protocol.reasons import Reason

Header = tuple[bytes, bytes]
"""Name and value, as they came."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """What a model worker is to read and to generate.

    Parameters
    ----------
    parts : tuple of PromptPart
        In order; the last belongs to this request or its session alone.
    n_tokens : int
        Length of the prompt.
    n_output_tokens : int
        Most tokens that are generated.
    """

    parts: tuple[PromptPart, ...]
    n_tokens: int
    n_output_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One attempt of a caller, read whole.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt; no other attempt has it.
    method, target : str
        As they came; the target is path and query.
    host, path : str
        Choose the route.
    headers : tuple of Header
        What is passed on to the worker.
    body : bytes
        Whole.
    body_digest : bytes
        Hash of the body.
    received_s : float
        Monotonic time at which its first byte was read.
    deadline_s : float
        Monotonic time until which the caller waits.
    key : str
        The caller's credential; never passed on.
    prompt : Prompt or None
        Of a request for a model worker.
    n_pieces : tuple of int
        How many pieces each stage of the route has for it.
    piece_key : str
        What the pieces of stages without inputs are made from.
    after_event : int
        Number of the last event that the caller has already; None without any.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    body_digest: bytes
    received_s: float
    deadline_s: float
    key: str = ""
    prompt: Prompt | None = None
    n_pieces: tuple[int, ...] = ()
    piece_key: str = ""
    after_event: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The caller has a worker's whole answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request has not run and never will.

    Parameters
    ----------
    reason : Reason
        Why.
    retry_after_s : float
        When there will probably be room; 0 where coming back is no use.
    """

    reason: Reason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The request ends without an answer; it may have run.

    Parameters
    ----------
    reason : Reason
        Why.
    is_begun : bool
        A part of the answer is with the caller already.
    """

    reason: Reason
    is_begun: bool = False


Outcome = Answered | Refused | Failed
