"""Print how a part of a prompt that crashes workers affects other requests.

``python -m tests.platform_adapter.play_parts --for-s 16`` runs each case once.
"""

import asyncio
import logging
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import fire

from .parts_harness import BAD_PARTS, parts_harness

CASES: Final[Mapping[str, Mapping[str, Any]]] = {
    "answer, middle": {"name": "answer"},
    "answer, first": {"name": "answer", "is_first": True},
    "once, middle": {"name": "once"},
    "stream, first": {"name": "draft", "is_first": True},
    "two parts": {"name": "draft", "is_first": True, "bad_parts": BAD_PARTS},
    "thin": {"name": "answer", "sound_per_s": 2.0, "bad_gap_s": 1.0},
    "one gateway": {"name": "answer", "has_bad_gateway": True},
    "overlapping": {"name": "draft", "crash_delay_s": 1.5},
}
"""The runs by name."""


async def _play(case: Mapping[str, Any], for_s: float) -> str:
    fields = dict(case)
    crash_delay_s = fields.pop("crash_delay_s", 0.05)
    has_bad_gateway = fields.pop("has_bad_gateway", False)
    with tempfile.TemporaryDirectory() as folder:
        async with parts_harness(Path(folder), crash_delay_s=crash_delay_s) as harness:
            if has_bad_gateway:
                fields["bad_gateway"] = harness.all_gateways[0]
            observed = await harness.run(for_s=for_s, **fields)
    return observed.summary()


def play(for_s: float = 16.0) -> None:
    """Run each case once.

    Parameters
    ----------
    for_s : float
        Length of each run in seconds.
    """
    logging.disable(logging.CRITICAL)
    for name, case in CASES.items():
        print(f"{name:15} {asyncio.run(_play(case, for_s))}", flush=True)


if __name__ == "__main__":
    fire.Fire(play)
