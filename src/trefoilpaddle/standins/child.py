"""A child process that a run starts, stops, kills and suspends."""

import asyncio
import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

_POLL_S: Final = 0.02
_PR_SET_PDEATHSIG: Final = 1
_SOURCES: Final = Path(__file__).resolve().parents[2]


def _die_with_parent() -> None:
    """Have the kernel kill this process when its parent dies.

    Without this, a test that is killed leaves all processes of its deployment
    running.
    """
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """A process that can be started again after it has exited.

    Parameters
    ----------
    name : str
        Name of the process in the run.
    arguments : sequence of str
        Arguments of the Python interpreter.
    log : Path
        File that receives its output.
    """

    __slots__ = ("_arguments", "_process", "log", "name")

    def __init__(self, *, name: str, arguments: Sequence[str], log: Path) -> None:
        self.name = name
        self.log = log
        self._arguments = tuple(arguments)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process; 0 if it was never started."""
        return self._process.pid if self._process else 0

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal; None while it runs."""
        return self._process.poll() if self._process else None

    @property
    def is_running(self) -> bool:
        """Return True while the process exists, suspended or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process.

        Raises
        ------
        RuntimeError
            If it is already running.
        """
        if self.is_running:
            raise RuntimeError(f"{self.name} is already running as process {self.pid}")
        paths = [str(_SOURCES), os.environ.get("PYTHONPATH", "")]
        environment = os.environ | {
            "PYTHONPATH": os.pathsep.join(path for path in paths if path),
            "PYTHONUNBUFFERED": "1",
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal_number)

    async def wait(self, *, timeout_s: float) -> int:
        """Return the exit code once the process has exited.

        Raises
        ------
        TimeoutError
            If it is still running after `timeout_s`.
        """
        end_s = time.monotonic() + timeout_s
        while (code := self.exit_code) is None:
            if time.monotonic() > end_s:
                raise TimeoutError(f"{self.name} is still running after {timeout_s} s")
            await asyncio.sleep(_POLL_S)
        return code

    def tail(self, n_lines: int = 20) -> str:
        """Return the last lines of its output."""
        if not self.log.exists():
            return ""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-n_lines:])
