"""Prompt prefixes that engines have read, as far as this gateway knows."""

import time
from collections.abc import Iterator
from typing import Final

from ..prefix_holders import PrefixHolders
from .requests import Prompt

MAX_PREFIXES: Final = 20_000
"""Remembered prefixes; about 4 MB, or an hour of new sessions at 5 per second."""

MAX_HOLDERS: Final = 1_000
"""Remembered engines per prefix; more than a fleet of 910 workers has in total."""

PREFIX_RETENTION_S: Final = 60.0
"""Age after which a prefix counts as evicted; engines evict sooner under load."""


class PromptRecord:
    """Prompts that were sent to engines.

    The record is a hint: an engine may have evicted a prefix since.
    """

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: PrefixHolders[str] = PrefixHolders(
            n_prefixes=MAX_PREFIXES, n_holders=MAX_HOLDERS, keep_s=PREFIX_RETENTION_S
        )

    def record(self, worker_id: str, prompt: Prompt) -> None:
        """Record that an engine has read a prompt."""
        prefixes = (prefix for prefix, _ in _prefixes(prompt))
        self._holders.record(prefixes, worker_id, time.monotonic())

    def forget(self, worker_id: str) -> None:
        """Forget an engine that has exited; its successor has read nothing."""
        self._holders.forget(worker_id)

    def held_tokens(self, worker_id: str, prompt: Prompt) -> int:
        """Return how many leading tokens of a prompt an engine need not read again."""
        now_s = time.monotonic()
        held = 0
        for prefix, n_tokens in _prefixes(prompt):
            if not self._holders.has(prefix, worker_id, now_s):
                break
            held = n_tokens
        return held


def _prefixes(prompt: Prompt) -> Iterator[tuple[str, int]]:
    """Yield name and number of tokens of each prefix that consists of shared parts."""
    name = ""
    n_tokens = 0
    for part in prompt.parts[:-1]:
        name = f"{name}/{part.part_id}"
        n_tokens += part.n_tokens
        yield name, n_tokens
