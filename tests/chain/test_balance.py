"""Balance of plain workers: light load, uneven speeds, one that sheds or fails.

The load: six workers of 40 ms, and up to 20 gateways that choose among them.
"""

from dataclasses import replace

import pytest

from .balance_model import LOADS, Load, Play

MAX_BUSIEST = 0.22
MIN_SERVED = 0.97
"""Aims of the operators: no worker gets most of a light load, nor a bad one more."""


class TestLightLoad:
    @pytest.mark.parametrize("n_gateways", [2, 6, 12, 20])
    def test_no_worker_gets_most(self, n_gateways: int) -> None:
        # Guards against gateways that all send to the first or the least learnt time.
        load = Load(n_gateways=n_gateways, length_s=100.0)
        assert Play(load, is_shared=True).run().busiest() <= MAX_BUSIEST


class TestBadWorker:
    @pytest.mark.parametrize("n_gateways", [2, 6, 20])
    @pytest.mark.parametrize("name", ["one sheds", "one fails"])
    def test_it_attracts_no_requests(self, name: str, n_gateways: int) -> None:
        # Guards against a worker that answers at once and therefore is always idle.
        load = replace(LOADS[name], n_gateways=n_gateways)
        assert Play(load, is_shared=True).run().served() >= MIN_SERVED


class TestUnevenSpeeds:
    @pytest.mark.parametrize(
        "name", ["uneven speeds", "uneven speeds, 20 gateways", "one ten times slower"]
    )
    def test_it_is_faster_than_two_drawn_at_random(self, name: str) -> None:
        # Guards against queues at slow workers while fast ones are idle.
        by_end = Play(LOADS[name], is_shared=True).run()
        by_draw = Play(LOADS[name], is_shared=False).run()
        assert by_end.quantile_s(0.99) < 0.7 * by_draw.quantile_s(0.99)

    def test_changing_speeds_are_no_worse(self) -> None:
        # Guards against learnt times that send requests where machines were fast.
        load = LOADS["speeds change"]
        by_end = Play(load, is_shared=True).run()
        by_draw = Play(load, is_shared=False).run()
        assert by_end.quantile_s(0.99) < by_draw.quantile_s(0.99)
