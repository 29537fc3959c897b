"""Builders of trace heads, requests, target runs and answers for replay tests."""

from trefoilpaddle.replay.results import Answer, TargetRun, Verdict
from trefoilpaddle.replay.trace import Head, InputKind, Request


def make_head(**changes: object) -> Head:
    fields: dict[str, object] = {
        "name": "tiny",
        "origin": "a test",
        "seed": 1,
        "deployment": "test",
        "time_scale": 1.0,
        "duration_s": 0.2,
        "offered_share": 0.5,
    }
    return Head(**{**fields, **changes})  # type: ignore[arg-type]


def make_request(**changes: object) -> Request:
    fields: dict[str, object] = {
        "at_s": 0.0,
        "account": "acme",
        "class_of_work": "draft",
        "pipeline": "draft",
        "deadline_s": 5.0,
        "kind": InputKind.SHORT_QUERY,
        "n_words": 3,
        "input_seed": 1,
    }
    return Request(**{**fields, **changes})  # type: ignore[arg-type]


def make_run(**changes: object) -> TargetRun:
    fields: dict[str, object] = {
        "service": "s",
        "target": "s-1",
        "request_id": "r0",
        "attempt_id": "a0",
        "path": "/p",
        "outcome": "done",
        "cost_s": 1.0,
    }
    return TargetRun(**{**fields, **changes})  # type: ignore[arg-type]


def make_answer(index: int, verdict: Verdict, request_id: str = "") -> Answer:
    return Answer(index=index, verdict=verdict, latency_s=0.1, request_id=request_id)
