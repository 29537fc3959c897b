"""Runs one request through the stages of its pipeline under one deadline."""

import time
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from ...protocol.checksum import checksum
from ...protocol.errors import Failed, NotRun, StageError
from ...protocol.reasons import Reason
from ...state.catalogue import Service, ServiceKind, Stage
from ...state.deadline_split import stage_budget_s
from ...state.estimate import WorkSize
from ...state.journal import Event, Figure, Journal
from ...state.prefix import prefix_hashes
from ...state.published import Published
from ...state.settings import PolicySettings
from ..claims.request_usage import RequestUsage
from ..targets.stage_body import (
    Json,
    StageInputs,
    engine_body,
    output_of,
    plain_body,
    prompt_of,
)
from ..targets.stage_work import Sink, StageAnswer, StageWork
from .prediction import Predictor
from .request import Answer, Refusal, Request, to_request_error
from .request_decisions import stage_decision
from .retries import StageRunner


class PipelineRunner:
    """Runs requests through the stages of their pipelines.

    Parameters
    ----------
    published : Published
        Holds the active services.
    runner : StageRunner
        Runs one stage.
    predictor : Predictor
        Predicts the duration of stages and learns from each answer.
    policy : PolicySettings
        States which policies are enabled.
    journal : Journal
        Records the decisions.
    """

    __slots__ = ("_journal", "_policy", "_predictor", "_published", "_runner")

    def __init__(
        self,
        *,
        published: Published,
        runner: StageRunner,
        predictor: Predictor,
        policy: PolicySettings,
        journal: Journal,
    ) -> None:
        self._published = published
        self._runner = runner
        self._predictor = predictor
        self._policy = policy
        self._journal = journal

    async def run(
        self, request: Request, *, spent: RequestUsage, sink: Sink | None
    ) -> Result[Answer, Refusal]:
        """Run all stages; return the output of the last one, or a refusal.

        Parameters
        ----------
        request : Request
            The request to run.
        spent : RequestUsage
            Account of what the request uses; kept up to date while it runs, also
            when it is cancelled.
        sink : Sink, optional
            Takes the last stage's answer as it arrives, if that stage streams.
        """
        material = StageInputs(input=request.input)
        stages = request.pipeline.stages
        output: Json = None
        with self._predictor.track_upcoming(request) as arrivals:
            for index, stage in enumerate(stages):
                is_last = index == len(stages) - 1
                stage_sink = sink if is_last and stage.streams else None
                arrivals.mark_arrived()
                match await self._stage(request, index, material, spent, stage_sink):
                    case Err(error):
                        return Err(self._refusal(error, stage, spent))
                    case Ok(output):
                        material = replace(material, previous=output)
        return Ok(Answer(output=output, cost_s=spent.cost_s))

    async def _stage(
        self,
        request: Request,
        index: int,
        material: StageInputs,
        spent: RequestUsage,
        sink: Sink | None,
    ) -> Result[Json, StageError]:
        stage = request.pipeline.stages[index]
        service = self._published.catalogue.services.get(stage.service)
        if service is None:
            return Err(self._no_service(stage))
        if index > 0:
            late = _past_deadline(request) or self._predictor.refusal(
                request, index=index
            )
            if late is not None:
                return Err(late)
        work = self._work(request, index, service, material, is_streamed=bool(sink))
        if request.key and not stage.idempotent:
            work = replace(work, on_unknown_outcome=self._late_callback(stage, spent))
        match await self._runner.run(work, spent=spent, sink=sink):
            case Err(error):
                self._record_failure(work, error)
                return Err(error)
            case Ok(answer):
                self._predictor.learn(request, work, answer)
                self._record_done(work, answer)
        match output_of(service.kind, answer):
            case Ok(output):
                return Ok(output)
            case Err(problem):
                error = Failed(
                    reason=Reason.TARGET_FAILED,
                    step="decode",
                    peer=answer.peer,
                    detail=problem,
                )
                self._record_failure(work, error)
                return Err(error)

    def _work(
        self,
        request: Request,
        index: int,
        service: Service,
        material: StageInputs,
        *,
        is_streamed: bool,
    ) -> StageWork:
        stage = request.pipeline.stages[index]
        body, prefixes = self._body(request, stage, service, material)
        size = WorkSize(n_bytes=len(body), n_tokens=stage.max_tokens)
        estimate = self._predictor.body_estimate(stage)
        high_s = estimate.high_s(size)
        now_s = time.monotonic()
        budget_s = stage_budget_s(
            left_s=request.deadline_s - now_s,
            predicted_s=[high_s, *self._predictor.later_stages_s(request, index)],
            is_split=self._policy.split_deadline,
        )
        return StageWork(
            request_id=request.request_id,
            pipeline=request.pipeline_name,
            stage=stage,
            service=service,
            governing=request.governing,
            body=body,
            body_checksum=checksum(body),
            size=size,
            expected_s=estimate.expected_s(size),
            high_s=high_s,
            size_s=estimate.input_size_s(size),
            is_warm=estimate.is_warm,
            deadline_s=request.deadline_s,
            stage_deadline_s=now_s + budget_s,
            prefix_hashes=prefixes,
            is_streamed=is_streamed,
        )

    def _body(
        self, request: Request, stage: Stage, service: Service, material: StageInputs
    ) -> tuple[bytes, tuple[int, ...]]:
        """Return the body of a stage call and the hashes of its prompt's prefixes."""
        if service.kind is not ServiceKind.ENGINE:
            return plain_body(stage, material), ()
        prompt = prompt_of(stage, material)
        body = engine_body(stage, prompt, priority=request.priority)
        is_hashed = self._policy.prefix_affinity
        return body, prefix_hashes(prompt) if is_hashed else ()

    def _record_done(self, work: StageWork, answer: StageAnswer) -> None:
        figures = (
            Figure(name="queued_s", value=answer.queued_s),
            Figure(name="service_s", value=answer.service_s),
            Figure(name="predicted_s", value=work.expected_s),
            Figure(name="cost_s", value=answer.cost_s),
            Figure(name="n_tokens", value=answer.n_tokens),
            Figure(name="n_cached_tokens", value=answer.n_cached_tokens),
            Figure(name="slack_s", value=work.deadline_s - time.monotonic()),
        )
        self._journal.record(
            stage_decision(Event.STAGE_DONE, work, peer=answer.peer, figures=figures)
        )

    def _record_failure(self, work: StageWork, error: StageError) -> None:
        figures = (
            Figure(name="predicted_s", value=work.expected_s),
            Figure(name="slack_s", value=work.deadline_s - time.monotonic()),
        )
        self._journal.record(
            stage_decision(Event.STAGE_FAILED, work, error=error, figures=figures)
        )

    def _late_callback(
        self, stage: Stage, spent: RequestUsage
    ) -> Callable[[StageError], None]:
        def on_unknown_outcome(error: StageError) -> None:
            spent.answer_early(self._refusal(error, stage, spent))

        return on_unknown_outcome

    def _refusal(self, error: StageError, stage: Stage, spent: RequestUsage) -> Refusal:
        return Refusal(
            error=to_request_error(error, has_started=spent.has_started),
            stage=stage.name,
            cost_s=spent.cost_s,
            is_retry_safe=not spent.has_started_once_only,
        )

    def _no_service(self, stage: Stage) -> NotRun:
        return NotRun(
            reason=Reason.NO_CONFIGURATION,
            step="route",
            peer=stage.service,
            detail=f"No service {stage.service} is published; publish it first.",
        )


def _past_deadline(request: Request) -> NotRun | None:
    """Return why no further stage is started if the deadline has passed."""
    if time.monotonic() < request.deadline_s:
        return None
    return NotRun(
        reason=Reason.DEADLINE_PASSED,
        step="route",
        peer="",
        detail="The deadline passed before this stage.",
    )
