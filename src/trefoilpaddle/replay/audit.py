"""Checks the invariants of a replay: callers' answers against targets' records."""

from collections import Counter, defaultdict
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from .results import Replayed, TargetRun, Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """One violation of an invariant.

    Parameters
    ----------
    rule : str
        The invariant.
    request_id : str
        The request; empty if the violation concerns no single request.
    detail : str
        What was observed.
    """

    rule: str
    request_id: str
    detail: str


def find_violations(
    replayed: Replayed, *, n_requests: int, once_paths: Collection[str]
) -> list[Violation]:
    """Return every violation of the invariants in one replay of a trace.

    Parameters
    ----------
    replayed : Replayed
        The answers that callers received and the calls that targets ran.
    n_requests : int
        Requests in the trace.
    once_paths : collection of str
        Paths of stages that must run at most once for a request.
    """
    by_request: dict[str, list[TargetRun]] = defaultdict(list)
    for run in replayed.runs:
        by_request[run.request_id].append(run)
    return [
        *_requests_without_outcome(replayed, n_requests),
        *_wrong_answers(replayed),
        *_not_run_but_ran(replayed, by_request),
        *_repeated_stages(by_request, once_paths),
        *_repeated_attempts(replayed),
    ]


def _requests_without_outcome(
    replayed: Replayed, n_requests: int
) -> Iterator[Violation]:
    n_missing = n_requests - len(replayed.answers)
    if n_missing:
        yield Violation(
            rule="each request ends for its caller",
            request_id="",
            detail=f"{n_missing} requests have no end",
        )


def _wrong_answers(replayed: Replayed) -> Iterator[Violation]:
    for answer in replayed.answers:
        if answer.verdict is Verdict.WRONG:
            yield Violation(
                rule="an answer is the request's own, and whole",
                request_id=answer.request_id,
                detail=f"request {answer.index} got another text",
            )


def _not_run_but_ran(
    replayed: Replayed, by_request: dict[str, list[TargetRun]]
) -> Iterator[Violation]:
    for answer in replayed.answers:
        runs = by_request.get(answer.request_id, [])
        if answer.verdict is Verdict.NOT_RUN and answer.request_id and runs:
            yield Violation(
                rule="what is called not run did not run",
                request_id=answer.request_id,
                detail=f"ran {len(runs)} calls, the first at {runs[0].target}",
            )


def _repeated_stages(
    by_request: dict[str, list[TargetRun]], once_paths: Collection[str]
) -> Iterator[Violation]:
    for request_id, runs in by_request.items():
        counts = Counter(run.path for run in runs if run.path in once_paths)
        for path, count in counts.items():
            if count > 1:
                yield Violation(
                    rule="a stage that is not idempotent runs at most once",
                    request_id=request_id,
                    detail=f"{path} ran {count} times",
                )


def _repeated_attempts(replayed: Replayed) -> Iterator[Violation]:
    counts = Counter(run.attempt_id for run in replayed.runs)
    for attempt_id, count in counts.items():
        if attempt_id and count > 1:
            yield Violation(
                rule="an attempt starts once",
                request_id="",
                detail=f"attempt {attempt_id} ran {count} times",
            )
