"""Print how a part of a prompt that crashes workers affects other requests.

``python -m tests.platform_adapter.play_parts --for-s 16`` runs each case once;
``--n-gateways 8 --n-workers 14 --restart-delay-s 3`` plays a larger site.
"""

import asyncio
import logging
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

import fire

from trefoilpaddle.standins.platform.crashing import RESTART_DELAY_S

from .parts_harness import BAD_PARTS, N_WORKERS, SOUND_S, parts_harness

CASES: Final[Mapping[str, Mapping[str, Any]]] = {
    "answer, middle": {"name": "answer"},
    "answer, first": {"name": "answer", "is_first": True},
    "once, middle": {"name": "once"},
    "stream, first": {"name": "draft", "is_first": True},
    "two parts": {"name": "draft", "is_first": True, "bad_parts": BAD_PARTS},
    "thin": {"name": "answer", "sound_per_s": 2.0, "bad_gap_s": 1.0},
    "one gateway": {"name": "answer", "has_bad_gateway": True},
    "overlapping": {"name": "draft", "crash_delay_s": 1.5},
    "long streams": {"name": "draft", "sound_s": 4.0, "sound_per_s": 20.0},
    "long answers": {"name": "answer", "sound_s": 2.0},
}
"""The runs by name."""


SITE_FIELDS: Final = ("crash_delay_s", "sound_s")
"""Fields of a case that describe the workers, not what is sent."""


async def _play(case: Mapping[str, Any], for_s: float, site: Mapping[str, Any]) -> str:
    fields = dict(case)
    has_bad_gateway = fields.pop("has_bad_gateway", False)
    of_case = {name: fields.pop(name) for name in SITE_FIELDS if name in fields}
    with tempfile.TemporaryDirectory() as folder:
        async with parts_harness(Path(folder), **(dict(site) | of_case)) as harness:
            if has_bad_gateway:
                fields["bad_gateway"] = harness.all_gateways[0]
            observed = await harness.run(for_s=for_s, **fields)
    return observed.summary()


def play(
    for_s: float = 16.0,
    n_gateways: int = 4,
    n_workers: int = N_WORKERS,
    restart_delay_s: float = RESTART_DELAY_S,
    sound_s: float = SOUND_S,
    cases: Sequence[str] = (),
) -> None:
    """Run each case once.

    Parameters
    ----------
    for_s : float
        Length of each run in seconds.
    n_gateways, n_workers : int
        Number of gateways, and of workers of each service.
    restart_delay_s : float
        Seconds from the crash of a worker to its restart.
    sound_s : float
        Seconds that a sound request takes, but where a case has its own.
    cases : sequence of str
        Names of the cases; empty for all.
    """
    logging.disable(logging.CRITICAL)
    site = {
        "n_gateways": n_gateways,
        "n_workers": n_workers,
        "restart_delay_s": restart_delay_s,
        "sound_s": sound_s,
    }
    for name in cases or CASES:
        summary = asyncio.run(_play(CASES[name], for_s, site))
        print(f"{name:15} {summary}", flush=True)


if __name__ == "__main__":
    fire.Fire(play)
