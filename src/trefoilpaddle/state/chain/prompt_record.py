"""Which engine has read which parts of prompts, as far as this gateway knows."""

import time
from collections.abc import Iterator
from typing import Final

from ..prefix_holders import PrefixHolders
from .requests import Prompt

MAX_PREFIXES: Final = 20_000
"""Prefixes remembered; about 4 MB, and an hour of distinct sessions at 5 a second."""

MAX_HOLDERS: Final = 1_000
"""Engines remembered for each prefix; more than a fleet of 910 workers has at all."""

PREFIX_RETENTION_S: Final = 60.0
"""Age after which a prefix is taken as evicted; engines turn over faster under load."""


class PromptRecord:
    """What was sent where. A hint: an engine may have let it go since."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: PrefixHolders[str] = PrefixHolders(
            n_prefixes=MAX_PREFIXES, n_holders=MAX_HOLDERS, keep_s=PREFIX_RETENTION_S
        )

    def record(self, worker_id: str, prompt: Prompt) -> None:
        """Remember that an engine has read a prompt."""
        prefixes = (prefix for prefix, _ in _prefixes(prompt))
        self._holders.note(prefixes, worker_id, time.monotonic())

    def forget(self, worker_id: str) -> None:
        """Forget an engine that has ended; its successor has read nothing."""
        self._holders.forget(worker_id)

    def held_tokens(self, worker_id: str, prompt: Prompt) -> int:
        """Return how many leading tokens an engine need not read again."""
        now_s = time.monotonic()
        held = 0
        for prefix, n_tokens in _prefixes(prompt):
            if not self._holders.has(prefix, worker_id, now_s):
                break
            held = n_tokens
        return held


def _prefixes(prompt: Prompt) -> Iterator[tuple[str, int]]:
    """Yield each leading run of shared parts as a name and its tokens."""
    name = ""
    n_tokens = 0
    for part in prompt.parts[:-1]:
        name = f"{name}/{part.part_id}"
        n_tokens += part.n_tokens
        yield name, n_tokens
