"""The modules that a gateway loads at its start."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
LOAD = "import sys; from adapter.gateway import Gateway; print(*sys.modules)"


class TestLoaded:
    def test_unused_modules_are_not_loaded(self) -> None:
        # All hosts lose power and restart together. On a host with a third of a core,
        # each tenth of a second of processor time at the start is a third of a second
        # without answers. The models of the product's own catalogue took a third of
        # the start.
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT / "platform")])
        run = subprocess.run(
            [sys.executable, "-c", LOAD],
            env=os.environ | {"PYTHONPATH": path},
            capture_output=True,
            text=True,
            check=True,
        )
        loaded = set(run.stdout.split())
        assert "adapter.gateway" in loaded
        assert not loaded & {"pydantic", "trefoilpaddle.state.catalogue", "fire"}
