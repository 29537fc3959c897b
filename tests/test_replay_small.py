"""A tiny trace through real processes; what must always hold, never times."""

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


def tiny_trace(*faults: Fault) -> Trace:
    site = site_of(DEPLOYMENT, time_scale=TIME_SCALE, folder=FOLDER)
    whole = generate(site, scenario="calm", seed=1)
    squeeze = DURATION_S / whole.requests[N_REQUESTS - 1].at_s
    requests = tuple(
        replace(request, at_s=request.at_s * squeeze)
        for request in whole.requests[:N_REQUESTS]
    )
    head = replace(whole.head, duration_s=DURATION_S, faults=faults)
    return Trace(head=head, requests=requests)


async def played(trace: Trace) -> AuditedReplay:
    described = load_deployment(FOLDER)
    setup = RoundSetup(
        site=site_of(DEPLOYMENT, time_scale=TIME_SCALE, folder=FOLDER),
        open_system=launch(described, time_scale=TIME_SCALE),
        judge=TextJudge(catalogue=described.catalogue, trace=trace),
        once_paths=described.once_paths,
        on_answer=lambda _: None,
    )
    return await play_under(trace, "product", PolicySettings(), setup)


class TestTinyTrace:
    async def test_nothing_is_lost_doubled_or_crossed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """One of two engines dies and the other stands still for a moment, with
        its sidecar. Callers see late, failed and refused answers; none is another
        request's, none is called not run that ran, nothing runs twice that must
        run once.
        """
        monkeypatch.setattr(player, "PRELUDE_S", 0.1)
        trace = tiny_trace(
            FreezeTarget(at_s=0.5, duration_s=0.4, target="draft-2"),
            KillTarget(at_s=1.2, target="draft-1"),
        )
        result = await played(trace)
        assert result.violations == ()
        assert len(result.replayed.answers) == N_REQUESTS
        assert result.replayed.runs
