"""The gateway: its components, and its run until a stop is requested."""

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Final

from absl import logging

from ..coordination.claims.claim_registry import ClaimRegistry
from ..coordination.claims.claim_setup import connected_incarnations
from ..coordination.claims.claims import Claimer
from ..coordination.claims.generated_ids import GeneratedIdClaims
from ..coordination.claims.key_claims import KeyClaims
from ..coordination.configuration.config_feed import config_feed
from ..coordination.limits import limits
from ..coordination.members.directory import Directory, PublishedDirectory
from ..coordination.requests.ejection import Ejector
from ..coordination.requests.open_attempts import OpenAttempts
from ..coordination.requests.pipeline_run import PipelineRunner
from ..coordination.requests.prediction import Predictor
from ..coordination.requests.request import Refusal
from ..coordination.requests.request_guards import (
    KeyGuard,
    Limiter,
    UnguardedKeys,
    UnlimitedLimiter,
)
from ..coordination.requests.retries import StageRunner
from ..coordination.requests.routing import Router
from ..coordination.requests.target_view import TargetViews
from ..coordination.targets.lifecycle import RequestLifecycle
from ..protocol.errors import NotRun
from ..protocol.ids import RequestId
from ..protocol.reasons import Reason
from ..state.budget import RetryBudgets
from ..state.claim_table import ClaimTable
from ..state.estimate import Estimates
from ..state.governing import GoverningIndex
from ..state.journal import Decision, Event, Figure, Journal
from ..state.prefix import PrefixRecord
from ..state.requests import Requests
from ..state.settings import GatewaySettings
from ..transport.connection import Address
from .caller_input import CallerInput
from .caller_server import CallerServer
from .callers import Callers
from .error_body import error_bytes
from .operators import operators
from .process import Process, identity_of

TICK_S: Final = 0.25
CLOSED_RETRY_AFTER_S: Final = 1.0
"""Seconds after which callers may retry at a gateway that refuses requests."""
SEED_BITS: Final = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class Keys:
    """Handling of request keys in a gateway.

    Parameters
    ----------
    guard : KeyGuard
        Claims keys before requests run.
    generate_id : callable
        Returns a new request id; this gateway decides about its claims.
    """

    guard: KeyGuard
    generate_id: Callable[[], str]


class Gateway:
    """One gateway and its components.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    directory, limiter, keys : optional
        The usable sidecars, the limits, and the request keys. By default, all
        published sidecars are usable, and neither limits nor keys apply.
    is_known : callable, optional
        Returns True while the published state is current enough to accept
        requests. By default, once a catalogue is active.
    """

    __slots__ = (
        "_directory",
        "_is_known",
        "_is_settling",
        "_keys",
        "_router",
        "_settings",
        "_views",
        "attempts",
        "callers",
        "process",
        "server",
    )

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        process: Process,
        directory: Directory | None = None,
        limiter: Limiter | None = None,
        keys: Keys | None = None,
        is_known: Callable[[], bool] | None = None,
    ) -> None:
        self._settings = settings
        self._is_settling = False
        self.process = process
        self._directory = directory or PublishedDirectory(published=process.published)
        self._views = TargetViews(peers=process.peers)
        self.attempts = OpenAttempts(views=self._views, journal=process.journal)
        process.link_listeners.append(self.attempts.on_message)
        process.change_listeners.append(self.attempts.on_change)
        process.published.subscribe(self._open_links)
        self._keys = keys or Keys(guard=UnguardedKeys(), generate_id=self._generate_id)
        self._is_known = is_known or self._has_catalogue
        self.callers = self._build_callers(limiter or UnlimitedLimiter())
        self.server = CallerServer(
            settings=settings.callers,
            application=self.callers.application(),
            refusal=error_bytes(Refusal(error=_stop_refusal(), stage="")),
        )

    def _build_callers(self, limiter: Limiter) -> Callers:
        process, policy = self.process, self._settings.policy
        retention = self._settings.retention
        self._router = Router(
            directory=self._directory,
            views=self._views,
            policy=policy,
            prefixes=PrefixRecord(),
            ejector=Ejector(journal=process.journal, is_on=policy.eject_slow),
            seed=secrets.randbits(SEED_BITS),
        )
        runner = StageRunner(
            router=self._router,
            attempts=self.attempts,
            budgets=RetryBudgets(is_limited=policy.retry_budget),
            policy=policy,
            journal=process.journal,
        )
        predictor = Predictor(estimates=Estimates(), router=self._router, policy=policy)
        pipeline_runner = PipelineRunner(
            published=process.published,
            runner=runner,
            predictor=predictor,
            policy=policy,
            journal=process.journal,
        )
        requests = Requests(
            n_records=retention.explain_records, keep_s=retention.explain_s
        )
        lifecycle = RequestLifecycle(
            predictor=predictor,
            pipeline_runner=pipeline_runner,
            limiter=limiter,
            keys=self._keys.guard,
            requests=requests,
            journal=process.journal,
        )
        caller_input = CallerInput(
            settings=self._settings.callers,
            published=process.published,
            index=GoverningIndex(published=process.published),
            generate_id=self._generate_id,
        )
        return Callers(
            settings=self._settings.callers,
            caller_input=caller_input,
            runner=lifecycle,
            requests=requests,
            journal=process.journal,
            generate_id=self._keys.generate_id,
            is_ready=self.is_ready,
            intake_refusal=self.intake_refusal,
            is_stopping=process.stopping.is_set,
        )

    def is_ready(self) -> bool:
        """Return True while the load balancer should send new requests here."""
        return self._has_current_catalogue() and not self.process.stopping.is_set()

    def intake_refusal(self) -> NotRun | None:
        """Return why new requests are refused now, or None if they are accepted.

        A stopping gateway accepts requests for a short time after it has become
        unready: the load balancer notices this only at its next check, and requests
        that it sends until then are served. A gateway that resumes after a pause
        first queries its peers for the published state.
        """
        if self.process.stopping.is_set() and not self._is_settling:
            return _stop_refusal()
        if not self._has_current_catalogue():
            return _refusal(
                Reason.NO_CONFIGURATION,
                "This gateway has no catalogue yet, or woke from a pause and asks its "
                "peers what is in force; another one takes work.",
            )
        return None

    def _has_current_catalogue(self) -> bool:
        """Return True while a catalogue is active and known to be current.

        Guards against a first publication that was rejected entirely: it has been
        read, so the published state is known, but no catalogue is active, and every
        request would be refused because no entry governs it.
        """
        return self._is_known() and self._has_catalogue()

    def _has_catalogue(self) -> bool:
        return self.process.published.catalogue.revision > 0

    def _generate_id(self) -> str:
        identity = self.process.identity
        request_id = RequestId.generate(
            process_id=identity.process_id, incarnation=identity.incarnation
        )
        return str(request_id)

    def _open_links(self) -> None:
        """Open links in advance, so that they are responsive at the first request."""
        wanted = set()
        for service in self.process.published.catalogue.services:
            for host in self._directory.sidecars(service):
                wanted.add(host.process_id)
                self._views.of(host)
        self._views.retain(wanted)

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["Gateway"]:
        """Serve callers while the context is open; drain on exit."""
        ticks = asyncio.create_task(self._tick())
        try:
            async with self.server.listening():
                yield self
                await self.drain()
        finally:
            ticks.cancel()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._open_links()
            self.attempts.notify_unresponsive()
            self.attempts.recall_queued(self._router.n_free_slots)
            for call in self.attempts.newly_slow():
                self._router.learn(call.work, call.view, measured_s=call.age_s)

    async def drain(self) -> None:
        """Wait for the load balancer, finish open requests, count interrupted ones."""
        stop = self._settings.stop
        self.process.stopping.set()
        self._is_settling = True
        self._record(Event.PROCESS_STOPPING, n_held=len(self.callers.running))
        await asyncio.sleep(stop.settle_s)
        self._is_settling = False
        n_interrupted = await self.callers.finish(timeout_s=stop.drain_s)
        await self._keys.guard.flush()
        self.process.n_interrupted = n_interrupted
        if n_interrupted:
            logging.error("%d requests were interrupted by the stop", n_interrupted)

    def _record(self, event: Event, **figures: float) -> None:
        self.process.journal.record(
            Decision(
                event=event,
                peer=self.process.identity.process_id,
                figures=tuple(
                    Figure(name=name, value=value) for name, value in figures.items()
                ),
            )
        )


def _stop_refusal() -> NotRun:
    return _refusal(Reason.STOPPING, "This gateway stops; another takes work.")


def _refusal(reason: Reason, detail: str) -> NotRun:
    return NotRun(
        reason=reason,
        step="admit",
        peer="",
        detail=detail,
        retry_after_s=CLOSED_RETRY_AFTER_S,
    )


def new_process(settings: GatewaySettings) -> Process:
    """Return the process components of a gateway with these settings.

    Raises
    ------
    ValueError
        If the address to listen on is invalid; the validation of the settings
        prevents this.
    """
    identity = identity_of(process=settings.process, role="gateway")
    journal = Journal(
        process_id=identity.process_id,
        n_records=settings.retention.explain_records,
        format=settings.log.format,
        keep_s=settings.retention.explain_s,
    )
    listen = Address.parse(settings.process.listen).unwrap_or_raise(ValueError)
    return Process(identity=identity, listen=listen, journal=journal)


def claimed_keys(
    *, settings: GatewaySettings, process: Process, directory: Directory
) -> Keys:
    """Return handling of request keys with claims at their replicas."""
    identity = process.identity
    registry = ClaimRegistry(
        process_id=identity.process_id,
        published=process.published,
        table=ClaimTable(window_s=settings.retention.retry_window_s),
        incarnation_of=connected_incarnations(process.server),
    )
    generated_ids = GeneratedIdClaims(
        registry=registry,
        process_id=identity.process_id,
        incarnation=identity.incarnation,
    )
    generated_ids.mount(process.server)
    claimer = Claimer(
        hello=process.hello,
        published=process.published,
        directory=directory,
        asker=process.peers,
        generated_ids=generated_ids,
    )
    return Keys(
        guard=KeyClaims(claimer=claimer),
        generate_id=lambda: str(generated_ids.generate()),
    )


async def run(settings: GatewaySettings) -> int:
    """Run a gateway until a stop is requested; return its exit code."""
    process = new_process(settings)
    async with (
        process.running(),
        config_feed(
            process=process, platform=settings.platform, peers=settings.peers
        ) as feed,
    ):
        limiter = limits.Limiter(
            gateway=process.identity.process_id,
            incarnation=process.identity.incarnation,
            published=process.published,
            asker=process.peers,
            journal=process.journal,
        )
        gateway = Gateway(
            settings=settings,
            process=process,
            directory=feed.directory,
            limiter=limiter,
            keys=claimed_keys(
                settings=settings, process=process, directory=feed.directory
            ),
            is_known=feed.is_ready,
        )
        async with (
            operators(
                process=process,
                listen=settings.process.operators_listen,
                is_ready=gateway.is_ready,
                held_back=lambda: feed.state.held_back,
            ),
            limiter.running(),
            gateway.serving(),
        ):
            await process.stopping.wait()
        await limiter.leave()
    return 0
