"""What a gateway loads as it starts."""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
LOAD = "import sys; from adapter.gateway import Gateway; print(*sys.modules)"


class TestLoaded:
    def test_nothing_that_the_platform_has_no_use_for(self) -> None:
        # All hosts lose power and are back together. On a host with a third of a core
        # each tenth of a second that a start takes there is a third of one without
        # answers, and the models of the product's own catalogue were a third of it.
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
