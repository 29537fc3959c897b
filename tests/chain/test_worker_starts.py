"""A worker that restarts under its id has no state of the former start."""

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
    workers_table = WorkerTable()
    for each in workers:
        workers_table.put(each)
    return workers_table


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

    # Guards against a start that is dropped as the clock of its host was set back.
    def test_a_start_with_an_earlier_time_replaces_a_later(self) -> None:
        workers = table(LATER)
        ended: list[Worker] = []
        workers.restart_listeners.append(ended.append)
        digest = table(FIRST).digest
        assert workers.put(FIRST)
        assert workers.usable("model") == [FIRST]
        assert ended == [LATER]
        assert workers.digest == digest

    # Guards against entries of an earlier build, which state no time.
    def test_an_entry_without_a_time_replaces_no_start(self) -> None:
        workers = table(LATER)
        digest = workers.digest
        assert not workers.put(replace(FIRST, born_ms=0))
        assert workers.get("w") == LATER
        assert workers.digest == digest

    def test_the_digest_differs_between_starts(self) -> None:
        assert table(FIRST).digest != table(LATER).digest

    def test_the_digest_differs_between_failure_domains(self) -> None:
        # Guards against a lost change that no comparison of tables shows.
        moved = replace(FIRST, failure_domain="there")
        assert table(FIRST).digest != table(moved).digest

    def test_a_call_to_the_earlier_start_does_not_affect_the_later(self) -> None:
        # The worker crashes during a call and is back before the call is abandoned. If
        # the new start counted as suspect, a healthy worker would be idle.
        workers = table(FIRST, LATER)
        workers.mark_suspect(FIRST)
        assert not workers.is_suspect("w")
        workers.mark_suspect(LATER)
        workers.clear_suspicion(FIRST)
        assert workers.is_suspect("w")

    def test_suspicion_ends_with_its_start(self) -> None:
        workers = table(FIRST)
        workers.mark_suspect(FIRST)
        workers.put(LATER)
        assert not workers.is_suspect("w")

    def test_a_worker_that_changes_its_service_leaves_the_old_one(self) -> None:
        workers = table(FIRST)
        workers.put(replace(FIRST, service="other"))
        assert workers.listed("model") == []
        workers.remove("w")
        assert workers.listed("other") == []


class TestSoftwareVersions:
    def test_an_entry_passed_on_without_its_version_keeps_the_known_one(self) -> None:
        # A reader of an earlier build passes entries on without versions.
        known = replace(FIRST, software_version="v2")
        workers = table(known)
        workers.put(replace(FIRST, is_leaving=True))
        assert workers.get("w") == replace(known, is_leaving=True)

    def test_a_later_start_may_have_another_version(self) -> None:
        workers = table(replace(FIRST, software_version="v2"))
        workers.put(replace(LATER, software_version="v3"))
        assert workers.listed("model") == [replace(LATER, software_version="v3")]

    def test_lists_that_differ_in_a_version_have_different_digests(self) -> None:
        one = table(replace(FIRST, software_version="v1")).digest
        other = table(replace(FIRST, software_version="v2")).digest
        assert not one.matches(other)
        assert one.matches(replace(other, versions=None))


class TestEngines:
    def test_prompts_read_by_the_earlier_start_are_forgotten(self) -> None:
        workers = table(FIRST)
        choice = WorkerChoice(failure_domain="here", workers=workers)
        need = Need(prompt=PROMPT)
        with choice.open(FIRST, need) as request:
            request.mark_read()
        assert choice.unread_tokens("w", PROMPT) == 10
        workers.put(LATER)
        assert choice.unread_tokens("w", PROMPT) == PROMPT.n_tokens

    def test_a_late_event_of_the_earlier_start_does_not_count(self) -> None:
        # The first event was in transit when the engine crashed. The new start has not
        # read the prompt; otherwise its session would still be sent there.
        workers = table(FIRST)
        choice = WorkerChoice(failure_domain="here", workers=workers)
        with choice.open(FIRST, Need(prompt=PROMPT)) as request:
            workers.put(LATER)
            request.mark_read()
        assert choice.unread_tokens("w", PROMPT) == PROMPT.n_tokens

    async def test_requests_open_at_the_earlier_start_do_not_count(self) -> None:
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
