"""A worker that starts again under its id holds and knows nothing of before."""

import asyncio
from dataclasses import replace

from trefoilpaddle.coordination.chain.worker_choice import Need, WorkerChoice
from trefoilpaddle.state.chain.requests import Prompt, PromptPart
from trefoilpaddle.state.chain.routes import EngineService
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

from .fakes import worker

FIRST = replace(worker("w", "model"), born_ms=100)
LATER = replace(FIRST, born_ms=200)
PROMPT = Prompt(
    parts=(
        PromptPart(part_id="shared", n_tokens=5000),
        PromptPart(part_id="own", n_tokens=10),
    ),
    n_tokens=5010,
    n_output_tokens=20,
)
ENGINE = EngineService(name="model", n_slots=8, cache_tokens=10_000)


def table(*workers: Worker) -> WorkerTable:
    made = WorkerTable()
    for each in workers:
        made.put(each)
    return made


class TestTable:
    def test_a_later_start_replaces_an_earlier(self) -> None:
        workers = table(FIRST)
        left: list[Worker] = []
        ended: list[Worker] = []
        workers.leave_listeners.append(left.append)
        workers.restart_listeners.append(ended.append)
        assert workers.put(LATER)
        assert workers.get("w") == LATER
        assert workers.usable("model") == [LATER]
        assert left == ended == [FIRST]

    def test_an_earlier_start_that_arrives_late_changes_nothing(self) -> None:
        # A peer that lags tells of the process that is gone; taken at its word,
        # requests go to an address where nobody listens.
        workers = table(LATER)
        digest = workers.digest
        assert not workers.put(replace(FIRST, address="10.0.0.9:1"))
        assert workers.get("w") == LATER
        assert workers.digest == digest

    def test_nor_once_the_later_one_is_gone(self) -> None:
        workers = table(LATER)
        workers.remove("w")
        assert not workers.put(FIRST)
        assert workers.put(LATER)

    def test_the_digest_tells_starts_apart(self) -> None:
        assert table(FIRST).digest != table(LATER).digest

    def test_a_call_to_the_earlier_start_says_nothing_of_the_later(self) -> None:
        # The worker crashes under a call and is back before the call is given
        # up. Passed over for that, a healthy worker stands idle.
        workers = table(FIRST, LATER)
        workers.mark_suspect(FIRST)
        assert not workers.is_suspect("w")
        workers.mark_suspect(LATER)
        workers.clear_suspicion(FIRST)
        assert workers.is_suspect("w")

    def test_suspicion_ends_with_the_start_that_it_was_of(self) -> None:
        workers = table(FIRST)
        workers.mark_suspect(FIRST)
        workers.put(LATER)
        assert not workers.is_suspect("w")

    def test_one_that_changes_its_service_leaves_the_old(self) -> None:
        workers = table(FIRST)
        workers.put(replace(FIRST, service="other"))
        assert workers.listed("model") == []
        workers.remove("w")
        assert workers.listed("other") == []


class TestEngines:
    def test_what_the_earlier_start_has_read_is_forgotten(self) -> None:
        workers = table(FIRST)
        choice = WorkerChoice(failure_domain="here", workers=workers)
        need = Need(prompt=PROMPT)
        with choice.open(FIRST, need) as request:
            request.mark_read()
        assert choice.unread_tokens("w", PROMPT) == 10
        workers.put(LATER)
        assert choice.unread_tokens("w", PROMPT) == PROMPT.n_tokens

    def test_a_late_event_of_the_earlier_start_is_not_the_laters(self) -> None:
        # The first event was on its way when the engine crashed. Its successor
        # has not read the prompt; sessions would go on being sent there for it.
        workers = table(FIRST)
        choice = WorkerChoice(failure_domain="here", workers=workers)
        with choice.open(FIRST, Need(prompt=PROMPT)) as request:
            workers.put(LATER)
            request.mark_read()
        assert choice.unread_tokens("w", PROMPT) == PROMPT.n_tokens

    async def test_what_is_open_at_the_earlier_start_counts_no_more(self) -> None:
        workers = table(FIRST)
        choice = WorkerChoice(failure_domain="here", workers=workers)
        with choice.open(FIRST, Need(prompt=PROMPT)):
            assert choice.n_open("w") == 1
            workers.put(LATER)
            assert choice.n_open("w") == 0
            with choice.open(LATER, Need()):
                assert choice.n_open("w") == 1
        assert choice.n_open("w") == 0
        await asyncio.sleep(0)
        assert choice.choose(ENGINE, Need(prompt=PROMPT), without=frozenset()) == LATER
