"""The deployment that a trace is generated for and replayed on."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path

from ..standins.batching import BatchModel
from ..standins.calls import BYTES_PER_KB, CallModel
from ..standins.description import (
    Description,
    PublishedValues,
    ServiceDescription,
    load_catalogue,
    load_description,
)
from ..standins.outputs import N_BLOCK_WORDS
from ..state.catalogue import Catalogue, ServiceKind
from ..state.check_files import check_path
from .capacity import StageWork, TargetCapacity
from .expected import ExpectedCall, expected_calls
from .trace import Request


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The description of a deployment with its catalogue.

    Parameters
    ----------
    description : Description
        Its targets and the parameters of their stand-ins.
    values : dict of str to dict
        The published values of the catalogue.
    catalogue : Catalogue
        The catalogue that is built from the values.
    """

    description: Description
    values: PublishedValues
    catalogue: Catalogue

    @property
    def once_paths(self) -> frozenset[str]:
        """Paths of stages that must run at most once for a request."""
        return frozenset(
            stage.path
            for pipeline in self.catalogue.pipelines.values()
            for stage in pipeline.stages
            if not stage.idempotent
        )


def load_deployment(folder: Path) -> Deployment:
    """Return the deployment in `folder`.

    Raises
    ------
    ValueError
        If its catalogue is invalid; the message lists the problems.
    OSError, tomllib.TOMLDecodeError, pydantic.ValidationError
        If its description is missing or invalid.
    """
    checked = check_path(folder / "catalogue")
    if checked.catalogue is None or checked.problems:
        raise ValueError("; ".join(str(problem) for problem in checked.problems))
    return Deployment(
        description=load_description(folder),
        values=load_catalogue(folder),
        catalogue=checked.catalogue,
    )


def target_capacities(description: Description) -> Iterator[TargetCapacity]:
    """Yield each target with its speed.

    An engine completes one target-second a second, shared by its batch. A target
    of a pool or plain service completes as many as it has slots.
    """
    index = description.n_gateways
    for service in description.services:
        for name in service.targets():
            yield TargetCapacity(
                name=name,
                service=service.name,
                failure_domain=description.domain(index),
                speed=_speed(service),
            )
            index += 1


class WorkModel:
    """Target-seconds of a request's stages, from the parameters of the stand-ins.

    A step of an engine takes a base time and a time for each decoding prompt. At a
    full batch, where throughput is highest, a token takes the time of its prompt
    and its share of the base time. Prefill of the prompt tokens is added, except
    for tokens shared with other requests (the stage's prompt prefix and the
    request's prefix). These count as cached, so the result is the least possible
    work of a request.

    Parameters
    ----------
    deployment : Deployment
        The deployment whose stand-ins are modelled.
    time_scale : float
        Factor on all service times.
    """

    __slots__ = ("_catalogue", "_services", "_time_scale", "_work_of")

    def __init__(self, *, deployment: Deployment, time_scale: float) -> None:
        self._catalogue = deployment.catalogue
        services = deployment.description.services
        self._services = {service.name: service for service in services}
        self._time_scale = time_scale
        self._work_of = lru_cache(maxsize=None)(self._compute_work)

    def __call__(self, request: Request) -> list[StageWork]:
        """Return the work of each stage of `request`."""
        return self._work_of(request)

    def _compute_work(self, request: Request) -> list[StageWork]:
        calls = expected_calls(self._catalogue, request)
        return [self._work(call, request) for call in calls]

    def _work(self, call: ExpectedCall, request: Request) -> StageWork:
        service = self._services[call.stage.service]
        if service.kind is ServiceKind.ENGINE:
            n_shared = _n_shared_tokens(call, request)
            work_s, unloaded_s = _engine_times(_batch_model(service), call, n_shared)
        else:
            model = _call_model(service)
            work_s = model.base_s + model.s_per_kb * call.n_body_bytes / BYTES_PER_KB
            unloaded_s = work_s
        return StageWork(
            service=service.name,
            work_s=work_s * self._time_scale,
            unloaded_s=unloaded_s * self._time_scale,
        )


def _n_shared_tokens(call: ExpectedCall, request: Request) -> int:
    n_shared = len(call.stage.prompt_prefix.split()) + request.n_prefix_words
    return n_shared // N_BLOCK_WORDS * N_BLOCK_WORDS


def _engine_times(
    model: BatchModel, call: ExpectedCall, n_shared: int
) -> tuple[float, float]:
    n_prompt_tokens = len(call.prompt.split()) - n_shared
    prefill_s = model.prefill_per_token_s * n_prompt_tokens
    base_share_s = model.step_base_s / model.max_batch
    work_s = prefill_s + call.n_tokens * (base_share_s + model.step_per_prompt_s)
    n_steps = call.n_tokens + math.ceil(n_prompt_tokens / model.prefill_chunk)
    unloaded_s = prefill_s + n_steps * model.step_base_s
    return work_s, unloaded_s + call.n_tokens * model.step_per_prompt_s


def _batch_model(service: ServiceDescription) -> BatchModel:
    known = BatchModel.__slots__
    changes = {key: value for key, value in service.stand_in.items() if key in known}
    return BatchModel(**changes)  # type: ignore[arg-type]


def _call_model(service: ServiceDescription) -> CallModel:
    return CallModel(**service.stand_in)  # type: ignore[arg-type]


def _speed(service: ServiceDescription) -> float:
    if service.kind is ServiceKind.ENGINE:
        return 1.0
    return float(_call_model(service).n_slots)
