"""Choice of workers: sessions go to engines that read them, others go by load."""

from collections import Counter

from trefoilpaddle.coordination.chain.worker_choice import Need, WorkerChoice
from trefoilpaddle.state.chain.requests import Prompt, PromptPart
from trefoilpaddle.state.chain.routes import EngineService, PlainService
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
