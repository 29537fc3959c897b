"""The walk of one request through its pipeline's stages under one deadline."""

import time
from dataclasses import replace

from result import Err, Ok, Result

from ..protocol.checksum import checksum
from ..protocol.errors import Failed, NotRun, StageError
from ..protocol.reasons import Reason
from ..state.catalogue import Pipeline, Service, Stage
from ..state.deadline_split import stage_budget_s
from ..state.estimate import Estimates, WorkSize
from ..state.journal import Decision, Event, Figure, Journal
from ..state.published import Published
from ..state.settings import PolicySettings
from .request import Answer, Refusal, Request, whole_request_error
from .retries import Spent, StageRunner
from .routing import Router
from .stage_body import Json, Material, body_of, output_of
from .stage_work import Sink, StageAnswer, StageWork


class Walker:
    """Walks requests through their stages.

    Parameters
    ----------
    published : Published
        Holds the services in force.
    runner : StageRunner
        Runs one stage.
    router : Router
        Predicts waits, for early refusal.
    estimates : Estimates
        Predict service times and learn from each answer.
    policy : PolicySettings
        Which policies are on.
    journal : Journal
        Takes the decisions.
    """

    __slots__ = (
        "_estimates",
        "_journal",
        "_policy",
        "_published",
        "_router",
        "_runner",
    )

    def __init__(
        self,
        *,
        published: Published,
        runner: StageRunner,
        router: Router,
        estimates: Estimates,
        policy: PolicySettings,
        journal: Journal,
    ) -> None:
        self._published = published
        self._runner = runner
        self._router = router
        self._estimates = estimates
        self._policy = policy
        self._journal = journal

    def refusal(self, request: Request) -> NotRun | None:
        """Return why `request` should be refused before any cost, or None.

        Only a prediction from enough samples refuses; the caller is told when
        the queue is predicted to have drained far enough.
        """
        if not self._policy.refuse_early:
            return None
        left_s = request.deadline_s - time.monotonic()
        needed_s = wait_s = 0.0
        slowest = ""
        for stage in request.pipeline.stages:
            service = self._published.catalogue.services.get(stage.service)
            if service is None:
                return self._no_service(stage)
            stage_wait_s = self._router.least_wait_s(stage.service)
            needed_s += stage_wait_s + self._predicted_s(stage, request)
            if stage_wait_s > wait_s or not slowest:
                wait_s, slowest = stage_wait_s, stage.service
        if needed_s <= left_s:
            return None
        return NotRun(
            reason=Reason.PREDICTED_LATE,
            step="admit",
            peer=slowest,
            detail=f"Predicted to take {needed_s:.3g} s with {left_s:.3g} s left.",
            retry_after_s=max(needed_s - left_s, wait_s / 2),
        )

    async def run(
        self, request: Request, *, spent: Spent, sink: Sink | None
    ) -> Result[Answer, Refusal]:
        """Run all stages and return the last one's output, or how it ended.

        Parameters
        ----------
        request : Request
            What to run.
        spent : Spent
            Kept up to date while it runs, also when it is cancelled.
        sink : Sink, optional
            Takes the last stage's answer as it comes, if that stage streams.
        """
        material = Material(input=request.input)
        stages = request.pipeline.stages
        output: Json = None
        for index, stage in enumerate(stages):
            is_last = index == len(stages) - 1
            stage_sink = sink if is_last and stage.streams else None
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
        material: Material,
        spent: Spent,
        sink: Sink | None,
    ) -> Result[Json, StageError]:
        stage = request.pipeline.stages[index]
        service = self._published.catalogue.services.get(stage.service)
        if service is None:
            return Err(self._no_service(stage))
        work = self._work(request, index, service, material, is_streamed=bool(sink))
        match await self._runner.run(work, spent=spent, sink=sink):
            case Err(error):
                self._record_failure(work, error)
                return Err(error)
            case Ok(answer):
                self._learn(work, answer)
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
        material: Material,
        *,
        is_streamed: bool,
    ) -> StageWork:
        stage = request.pipeline.stages[index]
        body = body_of(
            stage=stage,
            kind=service.kind,
            material=material,
            priority=request.priority,
        )
        size = WorkSize(n_bytes=len(body), n_tokens=stage.max_tokens)
        estimate = self._estimates.of(
            service=stage.service, path=stage.path, model=stage.model
        )
        now_s = time.monotonic()
        later = self._later_s(request.pipeline, index, len(body))
        budget_s = stage_budget_s(
            left_s=request.deadline_s - now_s,
            predicted_s=[estimate.high_s(size), *later],
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
            high_s=estimate.high_s(size),
            deadline_s=request.deadline_s,
            stage_deadline_s=now_s + budget_s,
            is_streamed=is_streamed,
        )

    def _later_s(self, pipeline: Pipeline, index: int, n_bytes: int) -> list[float]:
        return [
            self._estimates.of(
                service=stage.service, path=stage.path, model=stage.model
            ).expected_s(WorkSize(n_bytes=n_bytes, n_tokens=stage.max_tokens))
            for stage in pipeline.stages[index + 1 :]
        ]

    def _predicted_s(self, stage: Stage, request: Request) -> float:
        estimate = self._estimates.of(
            service=stage.service, path=stage.path, model=stage.model
        )
        if not estimate.is_warm:
            return 0.0
        size = WorkSize(n_bytes=request.n_input_bytes, n_tokens=stage.max_tokens)
        return estimate.expected_s(size)

    def _learn(self, work: StageWork, answer: StageAnswer) -> None:
        estimate = self._estimates.of(
            service=work.stage.service, path=work.stage.path, model=work.stage.model
        )
        estimate.learn(work.size, answer.service_s)
        self._journal.record(
            Decision(
                event=Event.STAGE_DONE,
                request_id=work.request_id,
                entry=work.governing.name,
                owner=work.governing.entry.owner,
                config_revision=work.governing.config_revision,
                stage=work.stage.name,
                peer=answer.peer,
                figures=(
                    Figure(name="queued_s", value=answer.queued_s),
                    Figure(name="service_s", value=answer.service_s),
                    Figure(name="predicted_s", value=work.expected_s),
                    Figure(name="cost_s", value=answer.cost_s),
                    Figure(name="n_tokens", value=answer.n_tokens),
                    Figure(name="n_cached_tokens", value=answer.n_cached_tokens),
                    Figure(name="slack_s", value=work.deadline_s - time.monotonic()),
                ),
            )
        )

    def _record_failure(self, work: StageWork, error: StageError) -> None:
        self._journal.record(
            Decision(
                event=Event.STAGE_FAILED,
                request_id=work.request_id,
                entry=work.governing.name,
                owner=work.governing.entry.owner,
                config_revision=work.governing.config_revision,
                stage=work.stage.name,
                peer=error.peer,
                reason=error.reason,
                detail=error.detail,
                figures=(
                    Figure(name="predicted_s", value=work.expected_s),
                    Figure(name="slack_s", value=work.deadline_s - time.monotonic()),
                ),
            )
        )

    def _refusal(self, error: StageError, stage: Stage, spent: Spent) -> Refusal:
        return Refusal(
            error=whole_request_error(error, has_started=spent.has_started),
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
