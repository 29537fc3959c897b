"""Guarantees that each soak test checks, from the records of callers and workers."""

from collections import Counter
from collections.abc import Iterator

from trefoilpaddle.standins.platform.site import ACCOUNT, N_EVENTS

from .soak_actions import (
    DisturbStore,
    DisturbWorker,
    ForgetHistory,
    InterruptAnswers,
    KillGateway,
    LeaveByWord,
    PauseGateway,
    RefuseReads,
    ReplaceWorker,
    RestartWorker,
    RestoreStore,
    StopGateway,
)
from .soak_callers import (
    HARMFUL,
    PLAIN_KINDS,
    STAGE_PIECES,
    Callers,
    ObservedRequest,
    events_of,
    is_overdue,
    versions_of,
)
from .soak_needs import broken_needs
from .soak_parts import late_bad
from .soak_record import GRACE_S, VERSIONS, ActionInterval, Record
from .soak_resume_checks import resumed_streams
from .soak_stop_checks import interrupted_at_stops

NOT_RUN = frozenset({408, 421, 429, 503})
OK = 200
UNAUTHORISED = 401
SLACK_S = 0.5
ACTIVATION_S = 2.0
"""A published change must be active within this time."""

CALM_S = 3.0
"""Time bounds are checked only if nothing was disturbed for this long before."""

DRAIN_S = 2.0
STOP_MARGIN_S = 1.0
"""In this period before the kill, requests that still run are interrupted."""

DISTURBS_ENGINES = (
    DisturbWorker,
    InterruptAnswers,
    LeaveByWord,
    ReplaceWorker,
    RestartWorker,
)

RECOVERY_S = 4.0
"""Requests must be served again this long after the last fault."""

MIN_SERVED_SHARE = 0.75

KEY_PREFIX = "key"
"""Each table version has one valid key: this prefix and the version number."""

BLOCKED = 400
"""HTTP status for a request that is blocked because it seems to crash workers."""


def violations(record: Record, callers: Callers) -> list[str]:
    """Return the violated guarantees, one line for each violation."""
    checks = (
        _runs,
        _answers,
        _versions,
        _refusals,
        _blocked,
        _outcomes,
        interrupted_at_stops,
        resumed_streams,
        _key_validity,
        _leaving,
        _key_regressions,
        _removed_workers,
        _recovery,
        broken_needs,
        late_bad,
    )
    return record.problems + [
        line for check in checks for line in check(record, callers)
    ]


def _runs(record: Record, callers: Callers) -> Iterator[str]:
    """Check that workers run only sent requests, for their account, and holds once."""
    kinds = {request.request_id: request.kind for request in callers.requests}
    runs: Counter[str] = Counter()
    for worker in record.workers:
        runs.update(worker.ran)
        for request_id, sent in zip(worker.ran, worker.headers, strict=True):
            if request_id not in kinds:
                yield f"{request_id} ran, but no caller sent it"
            if sent.get("Trefoilpaddle-Tenant") != ACCOUNT:
                yield f"{request_id} ran for another account"
            if "Trefoilpaddle-Credential" in sent:
                yield f"{request_id} was forwarded with its credential"
        yield from _pieces(worker.pieces, kinds)
    for request_id, n_runs in runs.items():
        if kinds.get(request_id) == "hold" and n_runs > 1:
            yield f"{request_id} may run only once but ran {n_runs} times"


def _pieces(
    pieces: list[tuple[str, int, int, tuple[str, ...]]], kinds: dict[str, str]
) -> Iterator[str]:
    for request_id, stage, piece, inputs in pieces:
        n_pieces = STAGE_PIECES.get(kinds.get(request_id, ""))
        if n_pieces is None:
            yield f"piece {stage}.{piece} of {request_id}, a request without pieces"
        elif len(set(inputs)) != {0: 0, 1: n_pieces[0]}.get(stage):
            yield f"piece {stage}.{piece} of {request_id} was given {inputs}"


def _answers(record: Record, callers: Callers) -> Iterator[str]:
    """Check that each success is the complete answer of a worker to that request."""
    names = {worker.worker_id for worker in record.workers}
    for request in callers.requests:
        if request.status != OK or not request.is_complete:
            continue
        worker_id, _, request_id = request.seal.rpartition(".")
        if worker_id not in names or request_id != request.request_id:
            yield f"{request.request_id} was answered with the seal {request.seal!r}"
        if request.kind in PLAIN_KINDS and request.body != request.request_id.encode():
            yield f"{request.request_id} was answered with {request.body!r}"
        if request.kind in STAGE_PIECES and not _is_own_stream(request):
            yield f"{request.request_id} got the stream {request.body!r}"


def _is_own_stream(request: ObservedRequest) -> bool:
    data = {line for line in request.body.split(b"\n") if line.startswith(b"data:")}
    of_versions = [
        {f"data: {request.request_id} {version}".encode()} for version in VERSIONS
    ]
    expected = list(range(request.after_event + 1, N_EVENTS + 1))
    return events_of(request) == expected and data in of_versions


def _versions(record: Record, callers: Callers) -> Iterator[str]:
    """Check that no stream holds events of two versions, over all of its tries."""
    sent = {request.request_id: request for request in callers.requests}
    for request in callers.requests:
        versions = versions_of(request)
        if request.resumes:
            versions |= versions_of(sent[request.resumes])
        if len(versions) > 1:
            yield f"{request.request_id} holds events of {sorted(versions)}"


def _refusals(record: Record, callers: Callers) -> Iterator[str]:
    """Check that requests that were reported as not run did not run."""
    ran = {request_id for worker in record.workers for request_id in worker.ran}
    for request in callers.requests:
        if request.status in NOT_RUN and request.request_id in ran:
            yield (
                f"{request.request_id} ({request.kind}) was answered"
                f" {request.status} and ran"
            )


def _blocked(record: Record, callers: Callers) -> Iterator[str]:
    """Check that no request is blocked but for those that crash workers."""
    for request in callers.requests:
        if request.status == BLOCKED and request.kind != HARMFUL:
            yield (
                f"{request.request_id} ({request.kind}) was answered {request.status}"
            )


def _outcomes(record: Record, callers: Callers) -> Iterator[str]:
    """Check that each request that reached a worker is answered in time."""
    passed_on = {r for worker in record.workers for r in worker.ran}
    for request in callers.requests:
        is_ended = request.is_complete or request.is_left
        if not request.ended_s or is_ended or _is_excused(record, request):
            continue
        if events_of(request) and _is_model_disturbed(record, request):
            continue
        if request.error == "TimeoutError":
            yield f"{request.request_id} ({request.kind}) had no answer in time"
        elif events_of(request) and is_overdue(request):
            # The stream started and could not finish before the deadline of its caller.
            continue
        elif request.request_id in passed_on:
            yield (f"{request.request_id} ({request.kind}) ended with {request.error}")
    for request in callers.requests:
        took_s = request.ended_s - request.sent_s
        if took_s > request.deadline_s + SLACK_S and not _is_excused(record, request):
            yield (
                f"{request.request_id} ({request.kind}) was answered"
                f" after {took_s:.2f} s"
            )


def _is_model_disturbed(record: Record, request: ObservedRequest) -> bool:
    """Return True if a stream may have ended because no engine was available."""
    return any(
        _overlaps(interval, request.sent_s, request.ended_s)
        for interval in record.intervals
        if isinstance(interval.action, DISTURBS_ENGINES)
        and interval.action.service == "model"
    )


def _is_excused(record: Record, request: ObservedRequest) -> bool:
    """Return True if its gateway was killed, paused or about to be killed meanwhile."""
    for interval in record.intervals:
        if interval.host != request.gateway:
            continue
        match interval.action:
            case KillGateway() | PauseGateway():
                if _overlaps(interval, request.sent_s, request.ended_s):
                    return True
            case StopGateway():
                last_s = interval.began_s + GRACE_S - STOP_MARGIN_S
                if request.sent_s <= interval.ended_s and request.ended_s >= last_s:
                    return True
            case _:
                continue
    return False


def _key_validity(record: Record, callers: Callers) -> Iterator[str]:
    """Check that gateways refuse revoked keys and accept new ones after two seconds."""
    for request in callers.requests:
        at_s = record.revoked_s.get(request.key)
        is_old = at_s is not None and request.sent_s > at_s + ACTIVATION_S
        is_taken = is_old and request.status not in {UNAUTHORISED, 0, 503}
        if is_taken and _is_calm(record, request.sent_s - CALM_S, request.sent_s):
            yield (
                f"{request.request_id}: {request.key} was accepted after its revocation"
            )
    began_s = {
        f"key{index + 2}": s for index, s in enumerate(record.revoked_s.values())
    }
    for request in callers.requests:
        from_s = began_s.get(request.key, 0.0) + ACTIVATION_S
        until_s = record.revoked_s.get(request.key, request.sent_s + 1)
        is_refused = (
            request.status == UNAUTHORISED and from_s < request.sent_s < until_s
        )
        if is_refused and _is_calm(record, request.sent_s - CALM_S, request.sent_s):
            yield (
                f"{request.request_id}: {request.key} was refused although it is valid"
            )


def _leaving(record: Record, callers: Callers) -> Iterator[str]:
    """Check that a leaving worker gets no requests after two seconds."""
    for worker in record.workers:
        left_s = record.left_s.get(worker.worker_id)
        if left_s is None:
            continue
        for request_id, at_s in zip(worker.ran, worker.ran_s, strict=True):
            is_late = at_s > left_s + DRAIN_S + SLACK_S
            if is_late and _is_calm(record, left_s - CALM_S, at_s):
                yield f"{request_id} reached {worker.worker_id} after its drain period"


def _key_regressions(record: Record, callers: Callers) -> Iterator[str]:
    """Check that a gateway that accepted the key of a version accepts no older one."""
    for gateway in {request.gateway for request in callers.requests}:
        newest = 0
        newest_s = 0.0
        taken = [
            request
            for request in callers.requests
            if request.gateway == gateway
            and request.ended_s
            and request.status not in {0, UNAUTHORISED, 503}
        ]
        for request in sorted(taken, key=lambda request: request.ended_s):
            version = int(request.key.removeprefix(KEY_PREFIX))
            is_later = request.sent_s > newest_s
            if version < newest and is_later:
                if not _was_restarted(record, gateway, newest_s, request.ended_s):
                    yield (
                        f"{request.request_id}: {request.key} was accepted"
                        f" after key{newest}"
                    )
            elif version > newest:
                newest, newest_s = version, request.ended_s


def _removed_workers(record: Record, callers: Callers) -> Iterator[str]:
    """Check that gateways do not forget that a worker left while nothing was disturbed.

    A gateway that was killed or stopped since then is not checked.
    """
    gateways = {request.request_id: request.gateway for request in callers.requests}
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
            if not _was_restarted(record, gateway, left_s, at_s):
                yield (
                    f"{request_id} reached {worker.worker_id}, which left,"
                    f" from g{gateway}"
                )


def _was_restarted(record: Record, gateway: int, from_s: float, until_s: float) -> bool:
    """Return True if a gateway was killed or stopped in a period."""
    return any(
        isinstance(interval.action, KillGateway | StopGateway)
        and interval.host == gateway
        and _overlaps(interval, from_s, until_s)
        for interval in record.intervals
    )


def _recovery(record: Record, callers: Callers) -> Iterator[str]:
    """Check that callers are served once the faults are over."""
    after_faults = [
        request
        for request in callers.requests
        if request.sent_s > record.healed_s + RECOVERY_S
        and request.ended_s
        and request.key not in record.revoked_s
        and request.kind != HARMFUL
    ]
    n_served = sum(
        1 for request in after_faults if request.status == OK and request.is_complete
    )
    if n_served < MIN_SERVED_SHARE * len(after_faults) or not after_faults:
        yield f"after the faults {n_served} of {len(after_faults)} requests were served"


def _is_calm(record: Record, from_s: float, until_s: float) -> bool:
    """Return True if store, gateways and worker connections were not disturbed."""
    disturbing = (
        DisturbStore,
        RefuseReads,
        ForgetHistory,
        RestoreStore,
        KillGateway,
        PauseGateway,
        StopGateway,
        DisturbWorker,
    )
    return not any(
        isinstance(interval.action, disturbing) and _overlaps(interval, from_s, until_s)
        for interval in record.intervals
    )


def _overlaps(interval: ActionInterval, from_s: float, until_s: float) -> bool:
    return interval.began_s <= until_s and interval.ended_s + SLACK_S >= from_s
