"""The demo runs completely on the smallest deployment, as for a new user."""

import os
import re
import subprocess
import sys
from pathlib import Path

SOURCES = Path(__file__).resolve().parents[1] / "src"


class TestDemo:
    def test_every_answer_is_complete_and_none_is_interrupted(self) -> None:
        done = subprocess.run(
            [
                *(sys.executable, "-m", "trefoilpaddle.standins", "demo"),
                "--deployment=small",
            ],
            env=os.environ | {"PYTHONPATH": str(SOURCES), "COLUMNS": "120"},
            capture_output=True,
            text=True,
            timeout=180,
            check=False,
        )
        assert done.returncode == 0, done.stdout + done.stderr
        assert len(re.findall(r"^whole after", done.stdout, re.MULTILINE)) == 4
        assert "NOT WHOLE" not in done.stdout
        stopped = "processes stopped; cut off: 0; 2 of 2 open answers came whole"
        assert stopped in " ".join(done.stdout.split())
        assert done.stdout.count("governed by entry") == 4
