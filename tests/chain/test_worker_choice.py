"""Choice of workers: sessions go to engines that read them, others go by load."""

import random
from collections import Counter
from contextlib import ExitStack

from trefoilpaddle.coordination.chain.worker_choice import Need, WorkerChoice
from trefoilpaddle.state.chain.requests import Prompt, PromptPart
from trefoilpaddle.state.chain.routes import EngineService, PlainService
from trefoilpaddle.state.chain.worker_loads import LeftOut, WorkerLoads
from trefoilpaddle.state.chain.worker_statements import StatedLoad
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

from .fakes import worker

ENGINE = EngineService(name="engine", n_slots=64, cache_tokens=300_000)
PLAIN = PlainService(name="plain")
NONE_EXCLUDED: frozenset[str] = frozenset()


def prompt(session: str, *, shared: int = 6000, own: int = 2000) -> Prompt:
    parts = (
        PromptPart(part_id="common", n_tokens=100),
        PromptPart(part_id=session, n_tokens=shared - 100),
        PromptPart(part_id=f"{session}-own", n_tokens=own),
    )
    return Prompt(parts=parts, n_tokens=shared + own, n_output_tokens=50)


def choice(domain: str = "a", n_per_domain: int = 3) -> WorkerChoice:
    workers = WorkerTable()
    for domain_name in "abc":
        for number in range(n_per_domain):
            workers.put(worker(f"{domain_name}{number}", "engine", domain=domain_name))
        workers.put(worker(f"p{domain_name}", "plain", domain=domain_name))
    return WorkerChoice(failure_domain=domain, workers=workers)


def chosen(at: WorkerChoice, need: Need) -> Worker:
    got = at.choose(ENGINE, need, without=NONE_EXCLUDED)
    assert got is not None
    return got


class TestEngines:
    def test_gateways_agree_on_a_sessions_engine(self) -> None:
        # Six gateways serve one session in turn. If each used a different engine, each
        # engine would spend 0.15 s on reading the 6,000 shared tokens.
        need = Need(prompt=prompt("s1"))
        found = {
            chosen(choice(domain_name), need).worker_id for domain_name in "abcabc"
        }
        assert len(found) == 1

    def test_sessions_spread_over_the_engines(self) -> None:
        at = choice()
        needs = [Need(prompt=prompt(f"s{number}")) for number in range(300)]
        counts = Counter(chosen(at, need).worker_id for need in needs)
        assert len(counts) == 9
        assert max(counts.values()) < 3 * min(counts.values())

    def test_an_engine_that_has_read_the_prompt_is_kept(self) -> None:
        at = choice()
        need = Need(prompt=prompt("s1"))
        first = chosen(at, need)
        with at.open(first, need) as request:
            request.mark_read()
            assert chosen(at, need) == first

    def test_a_hot_session_overflows_to_others(self) -> None:
        # A large part of the traffic belongs to one session. Its engine must not queue
        # all of it while the others are idle.
        at = choice()
        need = Need(prompt=prompt("hot"))
        counts: Counter[str] = Counter()
        opened = []
        for _ in range(30):
            engine = chosen(at, need)
            counts[engine.worker_id] += 1
            context = at.open(engine, need)
            context.__enter__()
            opened.append(context)
        assert max(counts.values()) < 10
        for context in opened:
            context.__exit__(None, None, None)

    def test_large_inputs_outweigh_a_short_shared_prompt(self) -> None:
        need = Need(prompt=prompt("s1", shared=200), input_bytes=4e6, input_domain="b")
        assert chosen(choice("a"), need).failure_domain == "b"

    def test_the_prompts_of_a_removed_engine_are_forgotten(self) -> None:
        workers = WorkerTable()
        workers.put(worker("e1", "engine"))
        at = WorkerChoice(failure_domain="here", workers=workers)
        need = Need(prompt=prompt("s1"))
        with at.open(chosen(at, need), need) as request:
            request.mark_read()
        assert need.prompt is not None
        assert at.unread_tokens("e1", need.prompt) == 2000
        workers.remove("e1")
        assert at.unread_tokens("e1", need.prompt) == 8000


class TestPlain:
    def test_the_own_domain_is_preferred_until_it_has_more_open(self) -> None:
        at = choice("a")
        need = Need()
        first = at.choose(PLAIN, need, without=NONE_EXCLUDED)
        assert first is not None and first.worker_id == "pa"
        with at.open(first, need), at.open(first, need):
            second = at.choose(PLAIN, need, without=NONE_EXCLUDED)
            assert second is not None and second.worker_id != "pa"

    def test_an_excluded_worker_is_not_chosen(self) -> None:
        got = choice("a").choose(PLAIN, Need(), without=frozenset({"pa"}))
        assert got is not None and got.worker_id in {"pb", "pc"}


def by_loads(
    service: str = "plain", n_workers: int = 4, *, born_ms: int = 0
) -> tuple[WorkerChoice, WorkerTable]:
    workers = WorkerTable()
    for number in range(n_workers):
        workers.put(worker(f"w{number}", service, born_ms=born_ms))
    loads = WorkerLoads(rng=random.Random(1))
    return WorkerChoice(failure_domain="here", workers=workers, loads=loads), workers


class TestLoads:
    def test_idle_workers_are_drawn_at_random(self) -> None:
        # Guards against gateways that all send to the first of the list.
        at, _ = by_loads()
        counts: Counter[str] = Counter()
        for _ in range(400):
            got = at.choose(PLAIN, Need(), without=NONE_EXCLUDED)
            assert got is not None
            counts[got.worker_id] += 1
        assert max(counts.values()) < 0.35 * 400

    def test_requests_of_other_gateways_count(self) -> None:
        # Guards against a choice by the requests of one gateway of many.
        at, _ = by_loads(n_workers=2)
        at.learn_uses("plain", {("w0", 0): 5, ("w1", 0): 1})
        got = at.choose(PLAIN, Need(), without=NONE_EXCLUDED)
        assert got is not None and got.worker_id == "w1"

    def test_a_stated_load_counts(self) -> None:
        # Guards against a worker that is taken for idle though it states the contrary.
        at, workers = by_loads(n_workers=2)
        at.learn_load(workers.all()[0], StatedLoad(n_running=1, n_waiting=4))
        got = at.choose(PLAIN, Need(), without=NONE_EXCLUDED)
        assert got is not None and got.worker_id == "w1"

    def test_a_short_prompt_part_does_not_fill_one_engine(self) -> None:
        # All prompts share 90 tokens. Two of six engines had read them and got all
        # requests, while the others were idle.
        at, _ = by_loads("engine", 6)
        engine = EngineService(name="engine", n_slots=4, cache_tokens=100_000)
        parts = (
            PromptPart(part_id="a1", n_tokens=60),
            PromptPart(part_id="b2", n_tokens=30),
            PromptPart(part_id="own", n_tokens=10),
        )
        need = Need(prompt=Prompt(parts=parts, n_tokens=100, n_output_tokens=20))
        counts: Counter[str] = Counter()
        with ExitStack() as opened:
            for _ in range(24):
                got = at.choose(engine, need, without=NONE_EXCLUDED)
                assert got is not None
                counts[got.worker_id] += 1
                opened.enter_context(at.open(got, need)).mark_read()
        assert set(counts.values()) == {4}

    def test_a_long_prompt_stays_at_its_engine(self) -> None:
        # Guards against prompts that are read again where an engine has slots left.
        at, _ = by_loads("engine", 6)
        need = Need(prompt=prompt("s1"))
        first = chosen(at, need)
        with at.open(first, need) as one, at.open(first, need) as other:
            one.mark_read()
            other.mark_read()
            assert chosen(at, need) == first

    def test_a_suspect_goes_to_the_worker_with_the_fewest_requests(self) -> None:
        # Guards against a request that crashes its worker beside many others.
        at, workers = by_loads()
        idle = workers.all()[2]
        with ExitStack() as opened:
            for other in workers.all():
                if other != idle:
                    opened.enter_context(at.open(other, Need()))
            for service in (
                PLAIN,
                EngineService(name="plain", n_slots=9, cache_tokens=1),
            ):
                need = Need(is_suspect=True)
                assert at.choose(service, need, without=NONE_EXCLUDED) == idle

    def test_prompts_of_unknown_length_spread_over_engines(self) -> None:
        # Guards against an engine that gets all requests without a prompt.
        at, _ = by_loads("engine", 4)
        engine = EngineService(name="engine", n_slots=4, cache_tokens=100_000)
        with ExitStack() as opened:
            for _ in range(8):
                got = at.choose(engine, Need(), without=NONE_EXCLUDED)
                assert got is not None
                opened.enter_context(at.open(got, Need()))
            assert [at.n_open(f"w{n}") for n in range(4)] == [2] * 4

    def test_a_worker_that_sheds_is_left_out_and_told(self) -> None:
        # Guards against a worker that each gateway has to detect itself.
        at, workers = by_loads(n_workers=2)
        told: list[LeftOut] = []
        at.on_left_out = told.append
        at.record_shed(workers.all()[0])
        got = at.choose(PLAIN, Need(), without=NONE_EXCLUDED)
        assert got is not None and got.worker_id == "w1"
        assert [each.worker.worker_id for each in told] == ["w0"]

    def test_what_a_peer_leaves_out_must_be_listed(self) -> None:
        # Guards against a later start that gets nothing since an earlier one failed.
        at, _ = by_loads(born_ms=5)
        assert not at.hear_left_out("w0", 4, 1.0)
        assert not at.hear_left_out("other", 5, 1.0)
        assert at.hear_left_out("w0", 5, 1.0)
        assert at.n_left_out == 1

    def test_a_removed_worker_is_forgotten(self) -> None:
        # Guards against a later start that is judged by an earlier one.
        at, workers = by_loads(n_workers=2)
        at.record_shed(workers.all()[0])
        workers.remove("w0")
        workers.put(worker("w0", born_ms=1))
        assert at.n_left_out == 0

    def test_a_restarted_worker_is_forgotten(self) -> None:
        # Guards against answers of an earlier start that count for the later one.
        at, workers = by_loads(n_workers=2)
        former = workers.all()[0]
        workers.put(worker("w0", born_ms=1))
        at.record_shed(former)
        assert at.n_left_out == 0


class TestWithoutLoads:
    def test_the_first_of_the_list_is_taken_among_equal_ones(self) -> None:
        # Guards against a switch that does not restore the choice of before.
        workers = WorkerTable()
        for number in range(4):
            workers.put(worker(f"w{number}"))
        at = WorkerChoice(failure_domain="here", workers=workers)
        at.learn_uses("plain", {("w0", 0): 5})
        at.learn_load(workers.all()[0], StatedLoad(n_running=9, n_waiting=9))
        at.record_shed(workers.all()[0])
        for _ in range(20):
            got = at.choose(PLAIN, Need(), without=NONE_EXCLUDED)
            assert got is not None and got.worker_id == "w0"
