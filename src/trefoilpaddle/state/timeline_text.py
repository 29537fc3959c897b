"""Human-readable text of a request's timeline."""

from collections.abc import Iterator
from typing import Final

from .events import Event
from .reason_words import reason_words
from .timeline import Step, Timeline

SENTENCES: Final = {
    Event.REQUEST_ACCEPTED: "accepted the request",
    Event.REQUEST_REFUSED: "refused the request; it was not run",
    Event.REQUEST_ANSWERED: "answered the request in full",
    Event.REQUEST_FAILED: "ended the request without an answer",
    Event.CALLER_LEFT: "saw the caller leave",
    Event.REQUEST_JOINED: "joined a retry to the try that was running already",
    Event.REQUEST_CUT: "went before the request was answered",
    Event.ROUTED: "sent stage {stage} to {peer}",
    Event.RETRIED: "tries stage {stage} again after {peer}",
    Event.HEDGED: "sent stage {stage} to {peer} as well",
    Event.STAGE_DONE: "has the whole result of stage {stage} from {peer}",
    Event.STAGE_FAILED: "got no result of stage {stage} from {peer}",
    Event.RESULT_FETCHED: "fetched the result of stage {stage} again from {peer}",
    Event.ATTEMPT_BARRED: "had {peer} promise never to start the attempt",
    Event.FRAME_DROPPED: "dropped an answer that belongs to no open attempt",
    Event.STREAM_RESUMED: "goes on with the stream at {peer}",
    Event.STREAM_MOVED: "goes on with the run from its copy at {peer}",
    Event.QUEUED: "queued stage {stage} for target {peer}",
    Event.STARTED: "started stage {stage} at target {peer}",
    Event.FINISHED: "finished stage {stage} at target {peer}",
    Event.REFUSED: "refused stage {stage}; it was not run",
    Event.DROPPED: "dropped stage {stage} before it started",
    Event.CANCELLED: "cancelled stage {stage}",
    Event.RESULT_RELEASED: "released the held result of stage {stage}",
    Event.RESULT_EXPIRED: "dropped the held result of stage {stage}",
    Event.REQUEST_SUSPECTED: "lets the request run once at a time, apart from others",
    Event.REQUEST_BLOCKED: "sends the request to no target any more",
    Event.REQUEST_CLEARED: "lets the request run like any other again",
    Event.PART_BLOCKED: "sends no requests with that part of a prompt any more",
    Event.PART_CLEARED: "lets requests with that part of a prompt run again",
    Event.CLAIM_GRANTED: "was given the request's key by its home {peer}",
    Event.CLAIM_ANSWERED: "was told by the home {peer} what is known of the key",
    Event.LIMIT_REFUSED: "refused the request by a limit of the entry",
}
"""What the process did; an event without a sentence is shown by its name."""

FIGURE_WORDS: Final = {
    "predicted_s": "predicted {:.3f} s",
    "predicted_wait_s": "predicted wait {:.3f} s",
    "queued_s": "waited {:.3f} s",
    "service_s": "took {:.3f} s",
    "cost_s": "cost {:.3f} target-seconds",
    "retry_after_s": "come back after {:.1f} s",
    "deadline_s": "deadline {:.3f} s",
    "budget_s": "{:.3f} s left",
    "slack_s": "slack {:.3f} s",
    "wait_s": "expected wait {:.3f} s",
    "took_s": "took {:.3f} s",
    "second_s": "second choice predicted {:.3f} s",
    "prefix_share": "{:.0%} of the prompt likely cached",
    "n_tried": "{:.0f} tried before",
    "n_candidates": "{:.0f} to choose from",
    "n_tokens": "{:.0f} tokens",
    "n_cached_tokens": "{:.0f} tokens cached",
    "n_ahead": "{:.0f} ahead",
    "n_running": "{:.0f} running",
    "n_bytes": "{:.0f} bytes",
    "n_events": "{:.0f} events passed on",
}
HIDDEN_AT_0: Final = frozenset(
    {
        "n_cached_tokens",
        "n_tokens",
        "n_tried",
        "prefix_share",
        "retry_after_s",
        "second_s",
    }
)


def lines(timeline: Timeline) -> Iterator[str]:
    """Yield the lines of a timeline: summary, steps, and processes without response."""
    yield f"Request {timeline.request_id}"
    yield from _head(timeline)
    if not timeline.steps:
        yield "  Nothing is known of it: it is forgotten, or never was here."
    began_s = timeline.steps[0].age_s if timeline.steps else 0.0
    for step in timeline.steps:
        yield _step_line(step, began_s)
    for absence in timeline.absences:
        yield f"  ! {absence.process_id}: {absence.detail}"


def _head(timeline: Timeline) -> Iterator[str]:
    governed = [step for step in timeline.steps if step.entry]
    if governed:
        first = governed[0]
        yield (
            f"  governed by entry {first.entry} of owner {first.owner or '?'}"
            f" at revision {first.config_revision}"
        )
    outcome = _outcome(timeline)
    if outcome:
        yield f"  {outcome}"
    n_attempts = len({step.attempt_id for step in timeline.steps if step.attempt_id})
    if n_attempts:
        queued_s = _sum(timeline, Event.STARTED, "queued_s")
        cost_s = _sum(timeline, Event.FINISHED, "cost_s")
        yield (
            f"  {_counted(n_attempts, 'attempt')}, waited {queued_s:.3f} s,"
            f" cost {cost_s:.3f} target-seconds"
        )


OUTCOMES: Final = {
    Event.REQUEST_ANSWERED: "answered in full",
    Event.REQUEST_REFUSED: "refused, not run",
    Event.REQUEST_FAILED: "ended without an answer",
    Event.CALLER_LEFT: "the caller left before the end",
    Event.REQUEST_CUT: "cut off by the end of its process",
}


def _outcome(timeline: Timeline) -> str:
    for step in reversed(timeline.steps):
        for event, words in OUTCOMES.items():
            if step.event == event:
                reason = f", because {reason_words(step.reason)}" if step.reason else ""
                return f"{words}{reason}"
    return ""


def _step_line(step: Step, began_s: float) -> str:
    words = [f"  {began_s - step.age_s:+8.3f} s  {step.process_id} {_sentence(step)}"]
    if step.reason:
        words.append(f"because {reason_words(step.reason)}")
    if step.detail:
        words.append(step.detail)
    figures = ", ".join(_figures(step))
    if figures:
        words.append(f"({figures})")
    return " - ".join(words[:-1]) + f" {words[-1]}" if figures else " - ".join(words)


def _sentence(step: Step) -> str:
    for event, sentence in SENTENCES.items():
        if event == step.event:
            return sentence.format(stage=step.stage or "?", peer=step.peer or "?")
    return f"noted {_plain(step.name)} (event {step.event})"


def _figures(step: Step) -> Iterator[str]:
    for figure in step.figures:
        if figure.name in HIDDEN_AT_0 and figure.value == 0:
            continue
        words = FIGURE_WORDS.get(figure.name, f"{figure.name} {{:g}}")
        yield words.format(figure.value)


def _sum(timeline: Timeline, event: Event, name: str) -> float:
    values = (step.figure(name) for step in timeline.steps if step.event == event)
    return sum(value for value in values if value is not None)


def _plain(name: str) -> str:
    return name.replace("_", " ")


def _counted(number: int, noun: str) -> str:
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"
