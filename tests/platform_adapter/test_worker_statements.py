"""What workers state about themselves in the heads of their answers."""

import asyncio
from pathlib import Path

import pytest
from adapter.worker_statements import (
    MAX_LIMIT_PER_S,
    MAX_LOAD,
    MAX_REST_S,
    MAX_SLOWNESS,
    MIN_LIMIT_PER_S,
    MIN_SLOWNESS,
    decode_statement,
)

from trefoilpaddle.state.chain.worker_statements import StatedLoad

from ..waiting import until
from .needs_harness import needs_harness


class TestLimit:
    # Guards against a limit that is not read, or that is bounded to no requests at all.
    @pytest.mark.parametrize(
        ("text", "limit_per_s"),
        [
            ("2", 2.0),
            ("0.5", 0.5),
            (" 1 ", 1.0),
            ("0", MIN_LIMIT_PER_S),
            ("1e3", 1e3),
            ("1e308", MAX_LIMIT_PER_S),
        ],
    )
    @pytest.mark.parametrize("name", ["Server-Limit", "Trefoilpaddle-Server-Limit"])
    def test_a_number_is_read(self, name: str, text: str, limit_per_s: float) -> None:
        statement = decode_statement(200, {name: text}, answers_request=False)
        assert statement.limit_per_s == limit_per_s

    # Guards against an error, or a worker lost for good, after another value.
    @pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "two", "1,5", "1 2"])
    def test_a_value_that_is_no_limit_is_ignored(self, text: str) -> None:
        statement = decode_statement(200, {"Server-Limit": text}, answers_request=True)
        assert statement.limit_per_s is None


class TestLeaving:
    # Guards against a worker that leaves unnoticed, or that another value excludes.
    @pytest.mark.parametrize(
        ("text", "is_leaving"), [("1", True), (" 1", True), ("0", False), ("", False)]
    )
    @pytest.mark.parametrize("name", ["Server-Leaving", "Trefoilpaddle-Server-Leaving"])
    @pytest.mark.parametrize("status", [200, 500, 503])
    def test_only_1_is_read(
        self, *, status: int, name: str, text: str, is_leaving: bool
    ) -> None:
        statement = decode_statement(status, {name: text}, answers_request=False)
        assert statement.is_leaving is is_leaving


class TestRest:
    # Guards against rest that is not granted, or that excludes a worker for good.
    @pytest.mark.parametrize(
        ("text", "rest_s"),
        [
            ("3", 3.0),
            ("0.25", 0.25),
            ("604800", MAX_REST_S),
            ("-1", 0.0),
            ("", 0.0),
            ("nan", 0.0),
            ("Thu, 03 Dec 2026 20:00:00 GMT", 0.0),
        ],
    )
    def test_seconds_are_read_and_bounded(self, text: str, rest_s: float) -> None:
        headers = {"Retry-After": text}
        statement = decode_statement(503, headers, answers_request=False)
        assert statement.rest_s == rest_s

    # Guards against an answer that is taken for a refusal.
    @pytest.mark.parametrize("status", [200, 429, 500])
    def test_only_a_503_asks_for_rest(self, status: int) -> None:
        headers = {"Retry-After": "3"}
        assert not decode_statement(status, headers, answers_request=False).rest_s


class TestLoad:
    # Guards against a load that is not read, or that an absent field hides.
    @pytest.mark.parametrize(
        ("text", "load"),
        [
            (
                "3,2,4,150",
                StatedLoad(n_running=3, n_waiting=2, n_slots=4, slowness=1.5),
            ),
            (" 3 , 2, 4 ", StatedLoad(n_running=3, n_waiting=2, n_slots=4)),
            ("3,2", StatedLoad(n_running=3, n_waiting=2)),
            ("3,2,x,50", StatedLoad(n_running=3, n_waiting=2, slowness=0.5)),
            ("3,2,4,-1", StatedLoad(n_running=3, n_waiting=2, n_slots=4)),
            ("3,2,4,100,7", StatedLoad(n_running=3, n_waiting=2, n_slots=4)),
        ],
    )
    @pytest.mark.parametrize("name", ["Server-Load", "Trefoilpaddle-Server-Load"])
    def test_it_is_read(self, name: str, text: str, load: StatedLoad) -> None:
        statement = decode_statement(200, {name: text}, answers_request=True)
        assert statement.load == load

    # Guards against a worker that excludes itself, or attracts all requests, for good.
    @pytest.mark.parametrize(
        ("text", "load"),
        [
            (
                "1e300,1e300,1e300,1e300",
                StatedLoad(
                    n_running=MAX_LOAD,
                    n_waiting=MAX_LOAD,
                    n_slots=MAX_LOAD,
                    slowness=MAX_SLOWNESS,
                ),
            ),
            ("0,0,0,1", StatedLoad(n_running=0, n_waiting=0, slowness=MIN_SLOWNESS)),
            ("0,0,0,0", StatedLoad(n_running=0, n_waiting=0)),
        ],
    )
    def test_figures_are_bounded(self, text: str, load: StatedLoad) -> None:
        headers = {"Trefoilpaddle-Server-Load": text}
        assert decode_statement(200, headers, answers_request=True).load == load

    # Guards against an error after another value.
    @pytest.mark.parametrize(
        "text", ["", "3", "x,2,4", "-3,2,4", "nan,2", "inf,2", "3;2;4", ",,,"]
    )
    def test_a_value_that_is_no_load_is_ignored(self, text: str) -> None:
        headers = {"Trefoilpaddle-Server-Load": text}
        assert decode_statement(200, headers, answers_request=True).load is None


class TestGateway:
    # Guards against a limit that operators cannot see.
    @pytest.mark.parametrize("route", ["price", "draft"])
    async def test_it_logs_a_limit_and_its_end(
        self, tmp_path: Path, route: str
    ) -> None:
        service = "stock" if route == "price" else "model"
        async with needs_harness(tmp_path, n_gateways=1, n_workers=1) as harness:
            [gateway] = harness.all_gateways
            [worker] = harness.workers(service)
            worker.stated = {"Server-Limit": "40"}
            assert (await harness.send(route)).status == 200
            worker.stated = {}
            assert (await harness.send(route)).status == 200
            await until(lambda: "not named any more" in gateway.log())
        lines = [one for one in gateway.log().splitlines() if "target_limit" in one]
        assert [worker.worker_id in line for line in lines] == [True, True]
        assert "rate_per_s=40" in lines[0]

    # Guards against a worker that gets no requests for a reason that nobody can see.
    @pytest.mark.parametrize(
        ("stated", "line"),
        [
            ({"Server-Leaving": "1"}, "target_leaves"),
            ({"Retry-After": "3"}, "target_rests"),
        ],
    )
    async def test_it_logs_leaving_and_rest_once(
        self, tmp_path: Path, stated: dict[str, str], line: str
    ) -> None:
        async with needs_harness(tmp_path, n_gateways=1, n_workers=1) as harness:
            [gateway] = harness.all_gateways
            [worker] = harness.workers("stock")
            worker.stated = stated
            worker.turns_away = "Retry-After" in stated
            for _ in range(3):
                await harness.send("price")
            await until(lambda: line in gateway.log())
        lines = [one for one in gateway.log().splitlines() if line in one]
        assert len(lines) == 1
        assert worker.worker_id in lines[0]

    # Guards against a refused request whose cause an operator cannot look up.
    async def test_operators_see_what_workers_have_stated(self, tmp_path: Path) -> None:
        async with needs_harness(tmp_path, n_gateways=1, n_workers=2) as harness:
            [gateway] = harness.all_gateways
            limited, leaving = harness.workers("stock")
            limited.stated = {"Server-Limit": "40"}
            leaving.stated = {"Server-Leaving": "1"}
            await asyncio.gather(*(harness.send("price") for _ in range(8)))
            seen = await harness.needs_at(gateway)
        assert set(seen) == {limited.worker_id, leaving.worker_id}
        assert seen[limited.worker_id]["limit_per_s"] == 40.0
        assert seen[leaving.worker_id]["is_leaving"]
