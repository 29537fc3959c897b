"""Gateway and sidecar as operators start them: real processes and signals."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from tests.process_harness import ProcessPair, process_pair
from trefoilpaddle.cli import explain

PROGRAM = [sys.executable, "-m", "trefoilpaddle"]
SRC = Path(__file__).resolve().parent.parent / "src"


class TestPlannedStop:
    async def test_sigterm_lets_the_open_request_end(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Hosts are replaced while a price call runs.

        Both processes are told to stop while the target still works on it. A
        stop that did not drain would cut the call off: the secretary would see
        an error, and not know whether the stock was held.
        """
        monkeypatch.setitem(os.environ, "PYTHONPATH", str(SRC))
        async with process_pair(PROGRAM, tmp_path) as both:
            await both.until_serving()
            await self._stop_under_load(both)
            assert await both.gateway.ended() == 0
            assert await both.sidecar.ended() == 0
            for started in (both.gateway, both.sidecar):
                assert "n_cut_off=0" in started.log.read_text()

    async def test_nor_does_a_hangup_cut_it_off(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The terminal in which both were started closes, or a script that knows
        other servers asks them to read their settings again, while a price call
        runs. Both processes ended at that moment, with all that they held.
        """
        monkeypatch.setitem(os.environ, "PYTHONPATH", str(SRC))
        async with process_pair(PROGRAM, tmp_path) as both:
            await both.until_serving()
            await self._stop_under_load(both, signal.SIGHUP)
            assert await both.gateway.ended() == 0
            assert await both.sidecar.ended() == 0

    async def _stop_under_load(
        self, both: ProcessPair, order: signal.Signals = signal.SIGTERM
    ) -> None:
        both.target.gate.clear()
        asked = asyncio.create_task(both.price())
        await both.until_target_called()
        both.stop(order)
        await both.until_not_ready()
        assert both.gateway.n_children() == both.sidecar.n_children() == 0
        both.target.gate.set()
        assert await asked == 200


class TestExplainCommand:
    async def test_any_process_tells_the_timeline(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        monkeypatch.setitem(os.environ, "PYTHONPATH", str(SRC))
        async with process_pair(PROGRAM, tmp_path) as both:
            await both.until_serving()
            async with both.client.post(
                f"http://{both.callers}/v1/pipelines/price",
                json={},
                headers={"X-Client-Account": "club"},
            ) as response:
                assert response.status == 200
                request_id = response.headers["X-Request-Id"]
            code = await asyncio.to_thread(
                explain.explain,
                request_id,
                at=f"http://{both.sidecar.operators}",
                as_json=False,
            )
        assert code == 0
        told = capsys.readouterr().out
        assert "governed by entry prices of owner teamwear" in told
        assert "answered in full" in told
        assert told.index("sent stage price") < told.index("started stage price")
