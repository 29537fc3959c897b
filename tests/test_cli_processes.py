"""Gateway and sidecar started as real processes, with signals."""

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
    async def test_sigterm_lets_the_open_request_finish(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Hosts are replaced while a price call runs.

        Both processes receive the stop signal while the target still processes the
        call. A stop without a drain would interrupt it, and the caller would get an
        error without knowing whether the call took effect.
        """
        monkeypatch.setitem(os.environ, "PYTHONPATH", str(SRC))
        async with process_pair(PROGRAM, tmp_path) as both:
            await both.until_serving()
            await self._stop_under_load(both)
            assert await both.gateway.ended() == 0
            assert await both.sidecar.ended() == 0
            for started in (both.gateway, both.sidecar):
                assert "n_cut_off=0" in started.log.read_text()

    async def test_a_hangup_lets_the_open_request_finish(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A price call runs when the terminal of both processes closes, or when a
        script sends SIGHUP to make them reload their settings, as other servers do.
        Both processes exited immediately and interrupted all open requests.
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
        pending_request = asyncio.create_task(both.price())
        await both.until_target_called()
        both.stop(order)
        await both.until_not_ready()
        assert both.gateway.n_children() == both.sidecar.n_children() == 0
        both.target.gate.set()
        assert await pending_request == 200


class TestExplainCommand:
    async def test_any_process_returns_the_timeline(
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
        printed = capsys.readouterr().out
        assert "governed by entry prices of owner teamwear" in printed
        assert "answered in full" in printed
        assert printed.index("sent stage price") < printed.index("started stage price")
