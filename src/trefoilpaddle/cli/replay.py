"""``trefoilpaddle replay``: plays a trace with the baseline and the product."""

import asyncio
import dataclasses
import sys
from pathlib import Path
from typing import Final

import orjson
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result
from rich.console import Console
from rich.progress import Progress

from ..replay.expected import TextJudge
from ..replay.generate import generate
from ..replay.launched import launch
from ..replay.make import site_of
from ..replay.outcomes import Round, outcome_results
from ..replay.plot import plot_round
from ..replay.report import print_round
from ..replay.rounds import RoundSetup, n_plays, play_round
from ..replay.seeds import print_seeds
from ..replay.site import load_deployment
from ..replay.summary import summary_of
from ..replay.trace import Trace, read_trace
from ..standins.description import EXAMPLES
from ..state.settings import PolicySettings

EXIT_OUTCOME: Final = 1
EXIT_INPUT: Final = 2

_POLICY: Final = TypeAdapter(PolicySettings)


def replay(trace: str, *, policy: str, as_json: bool, plot: str, n_seeds: int) -> int:
    """Replay the trace file at `trace`; return the exit code.

    Parameters
    ----------
    trace : str
        Path of the trace file.
    policy : str
        Changes of the product's policy, as for `read_policy`.
    as_json : bool
        True to print JSON.
    plot : str
        Path of a plot to write; empty for none.
    n_seeds : int
        Number of seeds to play the scenario with.
    """
    match read_trace(Path(trace)):
        case Err(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            return EXIT_INPUT
        case Ok(first):
            pass
    match read_policy(policy):
        case Err(fault):
            print(fault, file=sys.stderr)
            return EXIT_INPUT
        case Ok(product):
            pass
    console = Console(stderr=as_json)
    rounds = [_play(each, product, console) for each in _with_seeds(first, n_seeds)]
    if as_json:
        print(orjson.dumps([summary_of(each) for each in rounds]).decode())
    else:
        for each in rounds:
            print_round(each, console)
        if len(rounds) > 1:
            print_seeds(rounds, console)
    if plot:
        plot_round(rounds[0], Path(plot))
    return 0 if all(map(_holds, rounds)) else EXIT_OUTCOME


def read_policy(text: str) -> Result[PolicySettings, str]:
    """Return the product's policy with the changes in `text`.

    `text` is empty or ``KEY=VALUE,…``, with keys of the table ``[policy]`` of the
    settings.
    """
    changes = dict(
        part.strip().split("=", 1) for part in text.split(",") if "=" in part
    )
    if text and len(changes) != text.count(",") + 1:
        return Err(f"--policy {text}: give KEY=VALUE,… such as choice=late_binding")
    known = [field.name for field in dataclasses.fields(PolicySettings)]
    for key in changes:
        if key not in known:
            return Err(f"--policy: no key {key!r}; known: {', '.join(known)}")
    try:
        return Ok(_POLICY.validate_python(changes))
    except ValidationError as error:
        return Err(f"--policy {text}: {error}")


def _with_seeds(first: Trace, n_seeds: int) -> list[Trace]:
    """Return the trace and traces of the same scenario from the following seeds."""
    head = first.head
    if n_seeds <= 1:
        return [first]
    folder = EXAMPLES / head.deployment
    site = site_of(head.deployment, time_scale=head.time_scale, folder=folder)
    return [
        first,
        *(
            generate(site, scenario=head.name, seed=head.seed + offset)
            for offset in range(1, n_seeds)
        ),
    ]


def _play(trace: Trace, product: PolicySettings, console: Console) -> Round:
    head = trace.head
    folder = EXAMPLES / head.deployment
    site = site_of(head.deployment, time_scale=head.time_scale, folder=folder)
    described = load_deployment(folder)
    with Progress(console=console, transient=True) as progress:
        n_answers = len(trace.requests) * n_plays(trace)
        task = progress.add_task(f"{head.deployment} {head.name}", total=n_answers)
        setup = RoundSetup(
            site=site,
            open_system=launch(described, time_scale=head.time_scale),
            judge=TextJudge(catalogue=described.catalogue, trace=trace),
            once_paths=described.once_paths,
            on_answer=lambda _: progress.advance(task),
        )
        return asyncio.run(play_round(trace, product=product, setup=setup))


def _holds(round_: Round) -> bool:
    plays = [round_.baseline, round_.product]
    is_clean = not any(played.violations for played in plays)
    return is_clean and all(outcome.holds for outcome in outcome_results(round_))
