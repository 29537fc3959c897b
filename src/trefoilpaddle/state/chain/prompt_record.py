"""Which engine has read which parts of prompts, as far as this gateway knows."""

import time
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

from .requests import Prompt

MAX_PREFIXES: Final = 20_000
"""Prefixes remembered; about 4 MB, and an hour of distinct sessions at 5 a second."""

PREFIX_KEEP_S: Final = 60.0
"""Age after which a prefix is taken as evicted; engines turn over faster under load."""


class PromptRecord:
    """What was sent where. A hint: an engine may have let it go since."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note(self, worker_id: str, prompt: Prompt) -> None:
        """Remember that an engine has read a prompt."""
        now_s = time.monotonic()
        for prefix, _ in _prefixes(prompt):
            self._holders.setdefault(prefix, {})[worker_id] = now_s
            self._holders.move_to_end(prefix)
        while len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def forget(self, worker_id: str) -> None:
        """Forget an engine that has ended; its successor has read nothing."""
        for holders in self._holders.values():
            holders.pop(worker_id, None)

    def held_tokens(self, worker_id: str, prompt: Prompt) -> int:
        """Return how many leading tokens an engine need not read again."""
        oldest_s = time.monotonic() - PREFIX_KEEP_S
        held = 0
        for prefix, n_tokens in _prefixes(prompt):
            at_s = self._holders.get(prefix, {}).get(worker_id)
            if at_s is None or at_s < oldest_s:
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
