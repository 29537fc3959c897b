"""The gateway: built from its parts, run until it is told to stop."""

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
from ..coordination.requests.request_guards import (
    KeyGuard,
    Limiter,
    UnguardedKeys,
    UnlimitedLimiter,
)
from ..coordination.requests.retries import StageRunner
from ..coordination.requests.routing import Router
from ..coordination.requests.target_view import TargetViews
from ..coordination.targets.lifecycle import Lifecycle
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
from .operators import operators
from .process import Process, identity_of

TICK_S: Final = 0.25
CLOSED_RETRY_AFTER_S: Final = 1.0
"""When to come back to a gateway that takes no new work."""
SEED_BITS: Final = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class Keys:
    """Request keys as a gateway serves them.

    Parameters
    ----------
    guard : KeyGuard
        Claims keys before requests run.
    generate_id : callable
        Returns a fresh id that this gateway decides about.
    """

    guard: KeyGuard
    generate_id: Callable[[], str]


class Gateway:
    """One gateway and its parts.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    directory, limiter, keys : optional
        Who can be given work, the limits, and the request keys; without them
        the published list alone is asked and nothing is bound.
    is_known : callable, optional
        Returns True while what is published is known well enough to take work.
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
            settings=settings.callers, application=self.callers.application()
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
        walker = PipelineRunner(
            published=process.published,
            runner=runner,
            predictor=predictor,
            policy=policy,
            journal=process.journal,
        )
        requests = Requests(
            n_records=retention.explain_records, keep_s=retention.explain_s
        )
        lifecycle = Lifecycle(
            predictor=predictor,
            walker=walker,
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
        )

    def is_ready(self) -> bool:
        """Return True while the balancer should send new work here."""
        return self._knows() and not self.process.stopping.is_set()

    def intake_refusal(self) -> NotRun | None:
        """Return why no new work is taken now, or None while it is.

        A stopping gateway takes work a little longer than it is ready: the
        balancer notices only at its next look, and what it sends until then is
        served, not refused. One that woke from a pause asks its peers first.
        """
        if self.process.stopping.is_set() and not self._is_settling:
            return _closed(Reason.STOPPING, "This gateway stops; another takes work.")
        if not self._knows():
            return _closed(
                Reason.NO_CONFIGURATION,
                "This gateway has no catalogue yet, or woke from a pause and asks its "
                "peers what is in force; another one takes work.",
            )
        return None

    def _knows(self) -> bool:
        """Return True while a catalogue is in force and surely the present one.

        Guards against a first publication that was rejected as a whole: it has
        been read, so it is known, but nothing is in force, and every caller
        would be told that no entry governs it.
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
        """Open links early, so that the first request finds them heard."""
        wanted = set()
        for service in self.process.published.catalogue.services:
            for host in self._directory.sidecars(service):
                wanted.add(host.process_id)
                self._views.of(host)
        self._views.retain(wanted)

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator["Gateway"]:
        """Serve callers while the context is open; its end drains first."""
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
        """Settle, finish what is held, and report how many were cut off."""
        stop = self._settings.stop
        self.process.stopping.set()
        self._is_settling = True
        self._record(Event.PROCESS_STOPPING, n_held=len(self.callers.running))
        await asyncio.sleep(stop.settle_s)
        self._is_settling = False
        n_cut_off = await self.callers.finish(timeout_s=stop.drain_s)
        await self._keys.guard.flush()
        self.process.n_interrupted = n_cut_off
        if n_cut_off:
            logging.error("%d requests were cut off by the stop", n_cut_off)

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


def _closed(reason: Reason, detail: str) -> NotRun:
    return NotRun(
        reason=reason,
        step="admit",
        peer="",
        detail=detail,
        retry_after_s=CLOSED_RETRY_AFTER_S,
    )


def new_process(settings: GatewaySettings) -> Process:
    """Return the common parts of a gateway with these settings.

    Raises
    ------
    ValueError
        If the address to listen on cannot be read; the settings' check
        prevents it.
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
    """Return request keys that are claimed at their places among the peers."""
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
    """Run a gateway until it is told to stop; return its exit code."""
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
