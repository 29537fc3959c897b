"""A generation: a prompt that an engine answers, and the readers of its tokens."""

import asyncio
import time

from .outputs import engine_output, prefix_hashes
from .record import Outcome, Run


class Generation:
    """Progress of one prompt through prefill and decoding.

    Parameters
    ----------
    attempt_id : str
        Id by which the generation is resumed or cancelled.
    prompt : str
        Text of the prompt.
    max_tokens : int
        Largest number of tokens to decode.
    priority : int
        Prompts with a lower value start first.
    run : Run
        Entry of the generation in the record.
    """

    __slots__ = (
        "_waiters",
        "attempt_id",
        "hashes",
        "n_cached_tokens",
        "n_decoded",
        "n_prefill_left",
        "n_prompt_tokens",
        "n_readers",
        "priority",
        "run",
        "tokens",
        "unread_since_s",
    )

    def __init__(
        self, *, attempt_id: str, prompt: str, max_tokens: int, priority: int, run: Run
    ) -> None:
        self.attempt_id = attempt_id
        self.priority = priority
        self.run = run
        self.tokens = engine_output(prompt, max_tokens)
        self.hashes = prefix_hashes(prompt)
        self.n_prompt_tokens = len(prompt.split())
        self.n_cached_tokens = 0
        self.n_prefill_left = self.n_prompt_tokens
        self.n_decoded = 0
        self.n_readers = 0
        self.unread_since_s = time.monotonic()
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def has_ended(self) -> bool:
        """Return True if no further token will be decoded."""
        return self.run.outcome is not Outcome.RUNNING

    @property
    def is_decoding(self) -> bool:
        """Return True if the prompt is prefilled and tokens are being decoded."""
        return self.n_prefill_left == 0 and not self.has_ended

    def end(self, outcome: Outcome) -> None:
        """Record the outcome and notify the readers; later calls have no effect."""
        if self.has_ended:
            return
        self.run.end(outcome)
        self.notify_readers()

    def decode(self) -> None:
        """Decode one token; the last one ends the generation."""
        self.n_decoded += 1
        if self.n_decoded >= len(self.tokens):
            self.end(Outcome.DONE)
        else:
            self.notify_readers()

    def notify_readers(self) -> None:
        """Resume the readers that wait for further tokens."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_beyond(self, n_tokens: int) -> None:
        """Wait until more than `n_tokens` are decoded or the generation has ended."""
        while self.n_decoded <= n_tokens and not self.has_ended:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
