"""The promises that every soak must keep, from what callers and workers saw."""

from collections import Counter
from collections.abc import Iterator

from trefoilpaddle.standins.platform.site import ACCOUNT, N_EVENTS

from .soak_actions import (
    BreakAnswers,
    DisturbStore,
    DisturbWorker,
    ForgetHistory,
    KillGateway,
    PauseGateway,
    RefuseReads,
    ReplaceWorker,
    RestartWorker,
    ReturnStore,
    StopGateway,
)
from .soak_callers import PIECES, WHOLE, Callers, Seen, events_of, is_overdue
from .soak_record import GRACE_S, Mark, Record
from .soak_stop_checks import cut_at_stops

NOT_RUN = frozenset({408, 421, 429, 503})
OK = 200
UNAUTHORISED = 401
SLACK_S = 0.5
IN_FORCE_S = 2.0
"""Within this a published change must be in force."""

CALM_S = 3.0
"""Bounds in time hold where nothing was disturbed for so long."""

DRAIN_S = 2.0
STOP_MARGIN_S = 1.0
"""Before the kill, what a worker still works on is broken off."""

DISTURBS_ENGINES = (DisturbWorker, BreakAnswers, ReplaceWorker, RestartWorker)

SETTLED_S = 4.0
"""After the last fault all must be served again."""

LEAST_SERVED = 0.75

KEY_PREFIX = "key"
"""Of the one key of each version; its number follows."""

BLOCKED = 400
"""Answer to a request that is taken for one that crashes its workers."""


def broken(record: Record, callers: Callers) -> list[str]:
    """Return what was broken, one line each."""
    checks = (
        _runs,
        _answers,
        _refusals,
        _blocked,
        _ends,
        cut_at_stops,
        _keys,
        _leaving,
        _keys_for_good,
        _left_for_good,
        _recovery,
    )
    return record.problems + [
        line for check in checks for line in check(record, callers)
    ]


def _runs(record: Record, callers: Callers) -> Iterator[str]:
    """Workers run what callers sent, for the right account, and holds once."""
    kinds = {seen.request_id: seen.kind for seen in callers.seen}
    runs: Counter[str] = Counter()
    for worker in record.workers:
        runs.update(worker.ran)
        for request_id, sent in zip(worker.ran, worker.headers, strict=True):
            if request_id not in kinds:
                yield f"{request_id} ran, and no caller sent it"
            if sent.get("Trefoilpaddle-Tenant") != ACCOUNT:
                yield f"{request_id} ran for another account"
            if "Trefoilpaddle-Credential" in sent:
                yield f"{request_id} was passed on with its key"
        yield from _pieces(worker.pieces, kinds)
    for request_id, n_runs in runs.items():
        if kinds.get(request_id) == "hold" and n_runs > 1:
            yield f"{request_id} may run once and ran {n_runs} times"


def _pieces(
    pieces: list[tuple[str, int, int, tuple[str, ...]]], kinds: dict[str, str]
) -> Iterator[str]:
    for request_id, stage, piece, inputs in pieces:
        n_pieces = PIECES.get(kinds.get(request_id, ""))
        if n_pieces is None:
            yield f"piece {stage}.{piece} of {request_id}, which has none"
        elif len(set(inputs)) != {0: 0, 1: n_pieces[0]}.get(stage):
            yield f"piece {stage}.{piece} of {request_id} was given {inputs}"


def _answers(record: Record, callers: Callers) -> Iterator[str]:
    """Successes are a worker's whole answer to that request."""
    names = {worker.worker_id for worker in record.workers}
    for seen in callers.seen:
        if seen.status != OK or not seen.is_whole:
            continue
        worker_id, _, request_id = seen.seal.rpartition(".")
        if worker_id not in names or request_id != seen.request_id:
            yield f"{seen.request_id} was answered with the seal {seen.seal!r}"
        if seen.kind in WHOLE and seen.body != seen.request_id.encode():
            yield f"{seen.request_id} was answered with {seen.body!r}"
        if seen.kind in PIECES and not _is_own_stream(seen):
            yield f"{seen.request_id} got the stream {seen.body!r}"


def _is_own_stream(seen: Seen) -> bool:
    data = {line for line in seen.body.split(b"\n") if line.startswith(b"data:")}
    expected = list(range(1, N_EVENTS + 1))
    return events_of(seen) == expected and data == {
        b"data: " + seen.request_id.encode()
    }


def _refusals(record: Record, callers: Callers) -> Iterator[str]:
    """What is said not to have run has not."""
    ran = {request_id for worker in record.workers for request_id in worker.ran}
    for seen in callers.seen:
        if seen.status in NOT_RUN and seen.request_id in ran:
            yield f"{seen.request_id} ({seen.kind}) was answered {seen.status} and ran"


def _blocked(record: Record, callers: Callers) -> Iterator[str]:
    """Nobody is blamed: all send what harms nobody, and each kind one request."""
    for seen in callers.seen:
        if seen.status == BLOCKED:
            yield f"{seen.request_id} ({seen.kind}) was answered {seen.status}"


def _ends(record: Record, callers: Callers) -> Iterator[str]:
    """Everything that a gateway passed on is answered, in time."""
    passed_on = {r for worker in record.workers for r in worker.ran}
    for seen in callers.seen:
        if not seen.ended_s or seen.is_whole or _is_excused(record, seen):
            continue
        if events_of(seen) and _is_model_disturbed(record, seen):
            continue
        if seen.error == "TimeoutError":
            yield f"{seen.request_id} ({seen.kind}) had no answer in time"
        elif events_of(seen) and is_overdue(seen):
            # It began and could not end in the time that its caller gave it.
            continue
        elif seen.request_id in passed_on:
            yield f"{seen.request_id} ({seen.kind}) ended with {seen.error}"
    for seen in callers.seen:
        took_s = seen.ended_s - seen.sent_s
        if took_s > seen.deadline_s + SLACK_S and not _is_excused(record, seen):
            yield f"{seen.request_id} ({seen.kind}) was answered after {took_s:.2f} s"


def _is_model_disturbed(record: Record, seen: Seen) -> bool:
    """Return True if a stream may have had to end for want of an engine."""
    return any(
        _overlaps(mark, seen.sent_s, seen.ended_s)
        for mark in record.marks
        if isinstance(mark.action, DISTURBS_ENGINES) and mark.action.service == "model"
    )


def _is_excused(record: Record, seen: Seen) -> bool:
    """Return True if its gateway was killed, paused or at its end meanwhile."""
    for mark in record.marks:
        if mark.host != seen.gateway:
            continue
        match mark.action:
            case KillGateway() | PauseGateway():
                if _overlaps(mark, seen.sent_s, seen.ended_s):
                    return True
            case StopGateway():
                last_s = mark.began_s + GRACE_S - STOP_MARGIN_S
                if seen.sent_s <= mark.ended_s and seen.ended_s >= last_s:
                    return True
            case _:
                continue
    return False


def _keys(record: Record, callers: Callers) -> Iterator[str]:
    """A revoked key is refused everywhere within two seconds, a new one taken."""
    for seen in callers.seen:
        at_s = record.revoked_s.get(seen.key)
        is_old = at_s is not None and seen.sent_s > at_s + IN_FORCE_S
        is_taken = is_old and seen.status not in {UNAUTHORISED, 0, 503}
        if is_taken and _is_calm(record, seen.sent_s - CALM_S, seen.sent_s):
            yield f"{seen.request_id}: {seen.key} was taken after its end"
    began_s = {
        f"key{number + 2}": s for number, s in enumerate(record.revoked_s.values())
    }
    for seen in callers.seen:
        from_s = began_s.get(seen.key, 0.0) + IN_FORCE_S
        until_s = record.revoked_s.get(seen.key, seen.sent_s + 1)
        is_refused = seen.status == UNAUTHORISED and from_s < seen.sent_s < until_s
        if is_refused and _is_calm(record, seen.sent_s - CALM_S, seen.sent_s):
            yield f"{seen.request_id}: {seen.key} was refused though it is valid"


def _leaving(record: Record, callers: Callers) -> Iterator[str]:
    """A worker that is leaving gets nothing more two seconds later."""
    for worker in record.workers:
        left_s = record.left_s.get(worker.worker_id)
        if left_s is None:
            continue
        for request_id, at_s in zip(worker.ran, worker.ran_s, strict=True):
            is_late = at_s > left_s + DRAIN_S + SLACK_S
            if is_late and _is_calm(record, left_s - CALM_S, at_s):
                yield f"{request_id} reached {worker.worker_id} after it had left"


def _keys_for_good(record: Record, callers: Callers) -> Iterator[str]:
    """A gateway that has taken the key of a version takes none of an earlier one."""
    for gateway in {seen.gateway for seen in callers.seen}:
        newest = 0
        newest_s = 0.0
        taken = [
            seen
            for seen in callers.seen
            if seen.gateway == gateway
            and seen.ended_s
            and seen.status not in {0, UNAUTHORISED, 503}
        ]
        for seen in sorted(taken, key=lambda seen: seen.ended_s):
            version = int(seen.key.removeprefix(KEY_PREFIX))
            is_later = seen.sent_s > newest_s
            if version < newest and is_later:
                if not _was_ended(record, gateway, newest_s, seen.ended_s):
                    yield f"{seen.request_id}: {seen.key} was taken after key{newest}"
            elif version > newest:
                newest, newest_s = version, seen.ended_s


def _left_for_good(record: Record, callers: Callers) -> Iterator[str]:
    """A worker that left while all was calm gets nothing from who knew it then."""
    gateways = {seen.request_id: seen.gateway for seen in callers.seen}
    for worker in record.workers:
        left_s = record.left_s.get(worker.worker_id)
        if left_s is None:
            continue
        known_s = left_s + DRAIN_S + SLACK_S
        if not _is_calm(record, left_s - CALM_S, known_s):
            continue
        for request_id, at_s in zip(worker.ran, worker.ran_s, strict=True):
            gateway = gateways.get(request_id)
            if at_s <= known_s or gateway is None:
                continue
            if not _was_ended(record, gateway, left_s, at_s):
                yield f"{request_id} reached {worker.worker_id}, gone at {gateway}"


def _was_ended(record: Record, gateway: int, from_s: float, until_s: float) -> bool:
    """Return True if a gateway was killed or stopped then."""
    return any(
        isinstance(mark.action, KillGateway | StopGateway)
        and mark.host == gateway
        and _overlaps(mark, from_s, until_s)
        for mark in record.marks
    )


def _recovery(record: Record, callers: Callers) -> Iterator[str]:
    """Once nothing is disturbed any more, callers are served."""
    late = [
        seen
        for seen in callers.seen
        if seen.sent_s > record.healed_s + SETTLED_S
        and seen.ended_s
        and seen.key not in record.revoked_s
    ]
    n_served = sum(1 for seen in late if seen.status == OK and seen.is_whole)
    if n_served < LEAST_SERVED * len(late) or not late:
        yield f"after the faults {n_served} of {len(late)} requests were served"


def _is_calm(record: Record, from_s: float, until_s: float) -> bool:
    """Return True if neither store nor gateways were disturbed then."""
    disturbing = (
        DisturbStore,
        RefuseReads,
        ForgetHistory,
        ReturnStore,
        KillGateway,
        PauseGateway,
        StopGateway,
        DisturbWorker,
    )
    return not any(
        isinstance(mark.action, disturbing) and _overlaps(mark, from_s, until_s)
        for mark in record.marks
    )


def _overlaps(mark: Mark, from_s: float, until_s: float) -> bool:
    return mark.began_s <= until_s and mark.ended_s + SLACK_S >= from_s
