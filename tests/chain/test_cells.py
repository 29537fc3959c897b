"""Which stage workers one scheduler looks after, and where stages are made."""

import asyncio
from dataclasses import replace

from trefoilpaddle.coordination.chain.cell_schedulers import CellSchedulers
from trefoilpaddle.state.chain.cells import (
    MAX_WORKERS_PER_CELL,
    Cell,
    cells_of,
    worker_capacity,
)
from trefoilpaddle.state.chain.chain_work import ChainCompleted
from trefoilpaddle.state.chain.workers import Worker, WorkerTable

from .fakes import (
    FakeCalls,
    crash_guard,
    journal,
    piece_service,
    process,
    scheduler,
    table,
    worker,
)
from .test_chain_scheduler import DIAMOND, work

REGIONS = {"a": "north", "b": "north", "c": "south"}
SIX = dict.fromkeys("abcdef", "north")


class TestCells:
    def test_a_region_with_few_workers_is_one_cell(self) -> None:
        # One of three workers of a stage is lost for good. In cells of one
        # failure domain each, the other stages of its domain stand idle, while
        # the two other domains are full.
        listed = [worker(f"{d}{n}", "s", domain=d) for d in "abc" for n in range(3)]
        cells = cells_of(listed, REGIONS)
        assert [(cell.name, sorted(cell.failure_domains)) for cell in cells] == [
            ("north", ["a", "b"]),
            ("south", ["c"]),
        ]

    def test_a_region_with_many_is_cut_into_whole_domains(self) -> None:
        cells = cells_of(listed_in("ab", n_each=MAX_WORKERS_PER_CELL), REGIONS)
        assert [(cell.name, sorted(cell.failure_domains)) for cell in cells] == [
            ("north", ["a"]),
            ("north/1", ["b"]),
        ]

    # Gateways have an eighth of a core each. One of them scheduled all 18 stage workers
    # and fell behind in every burst: a third of what came was refused, urgent requests
    # among it, while 17 gateways and a fifth of the stage workers idled.
    def test_weak_hosts_share_a_region(self) -> None:
        listed = listed_in("abcdef", n_each=3)
        cells = cells_of(listed, SIX, lambda _: worker_capacity(120))
        assert [sorted(cell.failure_domains) for cell in cells] == [
            ["a", "d"],
            ["b", "e"],
            ["c", "f"],
        ]

    def test_strong_hosts_share_none(self) -> None:
        listed = listed_in("abcdef", n_each=9)
        assert len(cells_of(listed, SIX, lambda _: worker_capacity(2150))) == 1

    def test_hosts_that_tell_nothing_count_as_usual_ones(self) -> None:
        assert worker_capacity(0) == MAX_WORKERS_PER_CELL

    # A quarter more workers are added within two seconds. A region that was cut anew
    # by each of them gave its chains from scheduler to scheduler all the while.
    def test_some_workers_more_or_less_change_nothing(self) -> None:
        listed = listed_in("abcdef", n_each=9)
        names = [f"x{number}" for number in range(14)]
        added = [worker(name, "s", domain="a") for name in names]
        few = [len(cells_of(listed + added[:n], SIX)) for n in range(len(added))]
        assert few == [1] * len(added)

    # Only some failure domains have a worker of one stage. Chains pass one cell, so in
    # a cell without that stage all other workers would idle.
    def test_every_cell_has_all_services(self) -> None:
        listed = listed_in("abcdef", n_each=3)
        listed += [worker(f"{d}t", "t", domain=d) for d in "ab"]
        cells = cells_of(listed, SIX, lambda _: 6)
        assert [sorted(cell.failure_domains) for cell in cells] == [
            ["a", "c", "e"],
            ["b", "d", "f"],
        ]

    def test_a_first_cell_keeps_its_name_when_it_is_cut(self) -> None:
        # Its scheduler goes on with the domains that it keeps.
        listed = listed_in("abcdef", n_each=3)
        whole, cut = cells_of(listed, SIX), cells_of(listed, SIX, lambda _: 6)
        assert whole[0].name == cut[0].name
        assert cut[0].failure_domains < whole[0].failure_domains


def listed_in(domains: str, *, n_each: int) -> list[Worker]:
    return [worker(f"{d}{n}", "s", domain=d) for d in domains for n in range(n_each)]


class TestTakenAgain:
    def test_a_cell_that_comes_back_leaves_nothing_behind(self) -> None:
        # Machines are replaced all day, and cells go from gateway to gateway.
        workers = WorkerTable()
        routes = table(services=[piece_service("s")])
        guard = crash_guard(FakeCalls(), workers)
        n_leave, n_end = len(workers.leave_listeners), len(workers.restart_listeners)
        schedulers = CellSchedulers(
            process=process("a"),
            make=lambda _: scheduler(FakeCalls(), workers, routes, journal(), guard),
        )
        cell = Cell(name="north", failure_domains=frozenset({"a"}))
        for _ in range(5):
            schedulers._begin(cell, "again")
        assert len(workers.leave_listeners) == n_leave + 1
        assert len(workers.restart_listeners) == n_end + 1


class TestWhereStagesAreMade:
    async def test_a_stage_is_made_where_its_inputs_lie(self) -> None:
        # Each piece of a stage reads all inputs. Made in another domain, three
        # pieces let three times the results of the stage before cross, 4.5 MB here.
        calls = FakeCalls()
        workers = WorkerTable()
        for domain in ("here", "there"):
            for service in ("s", "t"):
                workers.put(worker(f"{service}-{domain}", service, domain=domain))
        services = [piece_service(name, memory_bytes=5e7) for name in "st"]
        at = scheduler(calls, workers, table(services=services), journal())
        at.dispatch.failure_domains = frozenset({"here", "there"})
        ends = await asyncio.gather(
            *(
                at.run(replace(work(name, near=near), stages=LARGE))
                for name, near in zip("ab", NEAR, strict=True)
            )
        )
        assert [
            end.failure_domain for end in ends if isinstance(end, ChainCompleted)
        ] == [*NEAR]


NEAR = ("there", "here")
LARGE = tuple(replace(stage, result_bytes=1.5e6) for stage in DIAMOND)
