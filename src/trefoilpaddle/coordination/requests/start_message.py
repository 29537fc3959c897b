"""The messages that send one stage call to a sidecar."""

import time
from collections.abc import Iterator

from ...protocol.const import CHUNK_BYTES, INLINE_BODY_BYTES, NS_PER_S
from ...protocol.frames import Message
from ...protocol.gen.stage.ttypes import BodyChunk, Start
from ..targets.stage_work import StageWork
from .open_attempts import OpenAttempt


def start_messages(
    work: StageWork, attempt: OpenAttempt, *, credit_bytes: int, is_reserved: bool
) -> Iterator[Message]:
    """Yield the start message, then the body if it does not fit into that message."""
    is_inline = len(work.body) <= INLINE_BODY_BYTES
    yield _start(
        work,
        attempt,
        body=work.body if is_inline else b"",
        credit_bytes=credit_bytes,
        is_reserved=is_reserved,
    )
    if is_inline:
        return
    for seq, start in enumerate(range(0, len(work.body), CHUNK_BYTES)):
        data = work.body[start : start + CHUNK_BYTES]
        yield BodyChunk(attempt_id=attempt.attempt_id, seq=seq, data=data)


def _start(
    work: StageWork,
    attempt: OpenAttempt,
    *,
    body: bytes,
    credit_bytes: int,
    is_reserved: bool,
) -> Start:
    """Return the start message.

    It carries the latest time stamp of the sidecar's clock and the time elapsed since
    it arrived, so that the sidecar computes its start-by time from its own clock
    alone.
    """
    stage, entry, view = work.stage, work.governing.entry, attempt.view
    now_s = time.monotonic()
    return Start(
        attempt_id=attempt.attempt_id,
        request_id=work.request_id,
        pipeline=work.pipeline,
        stage=stage.name,
        service_name=stage.service,
        entry=work.governing.name,
        owner=entry.owner,
        class_of_work=entry.class_of_work,
        config_revision=work.governing.config_revision,
        weight=entry.weight,
        brownout_order=entry.brownout_order,
        stamp_ns=view.stamp_ns,
        elapsed_ns=time.monotonic_ns() - view.stamp_at_ns,
        budget_ns=max(0, int((work.deadline_s - now_s) * NS_PER_S)),
        # On a retry the stage's share may be used up before the whole deadline is.
        stage_budget_ns=max(0, int((work.stage_deadline_s - now_s) * NS_PER_S)),
        idempotent=stage.idempotent,
        predicted_s=work.expected_s,
        max_tokens=stage.max_tokens,
        path=stage.path,
        streams=stage.streams,
        prefix_hashes=list(work.prefix_hashes),
        body_bytes=len(work.body),
        body_checksum=work.body_checksum,
        body=body,
        credit_bytes=credit_bytes,
        reserve=is_reserved,
        incarnation=attempt.incarnation,
        model=stage.model,
        attainment_weight=entry.attainment_weight,
    )
