"""Metrics of one process, counted from its decisions."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from ..protocol.reasons import Reason
from .journal import Decision, Event

MAX_LABEL_VALUES: Final = 200
"""Largest number of values of one label; further values count as ``other``."""
OTHER: Final = "other"

SECONDS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)

OUTCOMES: Final = {
    int(Event.REQUEST_ANSWERED): "answered",
    int(Event.REQUEST_REFUSED): "refused",
    int(Event.REQUEST_FAILED): "failed",
    int(Event.CALLER_LEFT): "caller_left",
    int(Event.REQUEST_CUT): "cut",
}
STARTED: Final = int(Event.STARTED)
FINISHED: Final = int(Event.FINISHED)


class BoundedNames:
    """Passes the first ``MAX_LABEL_VALUES`` names and replaces all others by one.

    A metric uses memory for each value of a label as long as the process lives,
    and the names come from a catalogue that changes all the time.
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: set[str] = set()

    def bound(self, name: str) -> str:
        """Return `name`, or ``other`` if there are too many names."""
        if name in self._known:
            return name
        if len(self._known) >= MAX_LABEL_VALUES:
            return OTHER
        self._known.add(name)
        return name


class Metrics:
    """Metrics counted from decisions; the process's role adds and sets the gauges.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry of this process's metrics only.
    """

    __slots__ = (
        "_cost",
        "_decision_children",
        "_decisions",
        "_entries",
        "_latency",
        "_owners",
        "_queue",
        "_requests",
        "_service",
        "_stages",
        "registry",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._entries = BoundedNames()
        self._owners = BoundedNames()
        self._stages = BoundedNames()
        self._decision_children: dict[tuple[int, int], Counter] = {}
        self._decisions = Counter(
            "trefoilpaddle_decisions",
            "Decisions by event and reason.",
            ["event", "reason"],
            registry=self.registry,
        )
        self._requests = Counter(
            "trefoilpaddle_requests",
            "Requests that ended at this gateway.",
            ["entry", "outcome"],
            registry=self.registry,
        )
        self._cost = Counter(
            "trefoilpaddle_target_cost_seconds",
            "Target-seconds used at this sidecar's target.",
            ["stage", "owner"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "trefoilpaddle_request_seconds",
            "Time from a request's first byte to the end of its answer.",
            ["entry", "outcome"],
            buckets=SECONDS,
            registry=self.registry,
        )
        self._queue = Histogram(
            "trefoilpaddle_queue_seconds",
            "Time that a stage call waited before it started.",
            ["stage"],
            buckets=SECONDS,
            registry=self.registry,
        )
        self._service = Histogram(
            "trefoilpaddle_service_seconds",
            "Time from the start of a stage call to its end at the target.",
            ["stage"],
            buckets=SECONDS,
            registry=self.registry,
        )

    def gauge(self, name: str, help_text: str) -> Gauge:
        """Return a new gauge ``trefoilpaddle_NAME`` of this process."""
        return Gauge(f"trefoilpaddle_{name}", help_text, registry=self.registry)

    def count(self, decision: Decision) -> None:
        """Count one decision; to be subscribed to a journal."""
        event = int(decision.event)
        self._decision_child(event, int(decision.reason)).inc()
        outcome = OUTCOMES.get(event)
        if outcome is not None:
            entry = self._entries.bound(decision.entry)
            self._requests.labels(entry, outcome).inc()
            for figure in decision.figures:
                if figure.name == "took_s":
                    self._latency.labels(entry, outcome).observe(figure.value)
        elif event == STARTED:
            self._observe(self._queue, decision, "queued_s")
        elif event == FINISHED:
            self._observe(self._service, decision, "service_s")
            self._add_cost(decision)

    def _decision_child(self, event: int, reason: int) -> Counter:
        """Return the cached counter of one event and reason."""
        child = self._decision_children.get((event, reason))
        if child is None:
            name = "" if reason == Reason.NONE else Reason(reason).name.lower()
            child = self._decisions.labels(Event(event).name.lower(), name)
            self._decision_children[event, reason] = child
        return child

    def _observe(self, histogram: Histogram, decision: Decision, name: str) -> None:
        stage = self._stages.bound(decision.stage)
        for figure in decision.figures:
            if figure.name == name:
                histogram.labels(stage).observe(figure.value)

    def _add_cost(self, decision: Decision) -> None:
        stage = self._stages.bound(decision.stage)
        owner = self._owners.bound(decision.owner)
        for figure in decision.figures:
            if figure.name == "cost_s":
                self._cost.labels(stage, owner).inc(figure.value)
