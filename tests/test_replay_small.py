"""A short trace through real processes; checks invariants, never durations."""

from dataclasses import replace

import pytest

from trefoilpaddle.replay import player
from trefoilpaddle.replay.expected import TextJudge
from trefoilpaddle.replay.generate import generate
from trefoilpaddle.replay.launched import launch
from trefoilpaddle.replay.make import site_of
from trefoilpaddle.replay.outcomes import AuditedReplay
from trefoilpaddle.replay.rounds import RoundSetup, play_under
from trefoilpaddle.replay.site import load_deployment
from trefoilpaddle.replay.trace import Fault, FreezeTarget, KillTarget, Trace
from trefoilpaddle.standins.description import EXAMPLES
from trefoilpaddle.state.settings import PolicySettings

DEPLOYMENT = "small"
TIME_SCALE = 0.2
DURATION_S = 2.0
N_REQUESTS = 60
FOLDER = EXAMPLES / DEPLOYMENT


def short_trace(*faults: Fault) -> Trace:
    site = site_of(DEPLOYMENT, time_scale=TIME_SCALE, folder=FOLDER)
    trace = generate(site, scenario="calm", seed=1)
    time_factor = DURATION_S / trace.requests[N_REQUESTS - 1].at_s
    requests = tuple(
        replace(request, at_s=request.at_s * time_factor)
        for request in trace.requests[:N_REQUESTS]
    )
    head = replace(trace.head, duration_s=DURATION_S, faults=faults)
    return Trace(head=head, requests=requests)


async def replay_audited(trace: Trace) -> AuditedReplay:
    described = load_deployment(FOLDER)
    setup = RoundSetup(
        site=site_of(DEPLOYMENT, time_scale=TIME_SCALE, folder=FOLDER),
        open_system=launch(described, time_scale=TIME_SCALE),
        judge=TextJudge(catalogue=described.catalogue, trace=trace),
        once_paths=described.once_paths,
        on_answer=lambda _: None,
    )
    return await play_under(trace, "product", PolicySettings(), setup)


class TestShortTrace:
    async def test_faults_cause_no_invariant_violations(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """One of two engines is killed and the other is suspended for 0.4 s together
        with its sidecar. Callers receive late, failed and refused answers. No answer
        may belong to another request, no request that ran may be reported as not
        run, and no stage that must run once may run twice.
        """
        monkeypatch.setattr(player, "PRELUDE_S", 0.1)
        trace = short_trace(
            FreezeTarget(at_s=0.5, duration_s=0.4, target="draft-2"),
            KillTarget(at_s=1.2, target="draft-1"),
        )
        result = await replay_audited(trace)
        assert result.violations == ()
        assert len(result.replayed.answers) == N_REQUESTS
        assert result.replayed.runs
