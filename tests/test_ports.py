"""Ports that tests give to the processes that they start."""

import contextlib
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from trefoilpaddle.standins import ports
from trefoilpaddle.standins.ports import IP, free_port

N_DRAWN = 30
DRAW = (
    "import sys; from trefoilpaddle.standins import ports;"
    "ports.PORTS = range(20_000, 20_800);"
    f"print(*[ports.free_port() for _ in range({N_DRAWN})], flush=True);"
    "sys.stdin.read()"
)


@contextlib.contextmanager
def drawing() -> Iterator[set[int]]:
    """Yield the ports that a process of its own has drawn, while it lives."""
    command = [sys.executable, "-c", DRAW]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout is not None
        drawn = {int(port) for port in process.stdout.readline().split()}
        assert len(drawn) == N_DRAWN
        yield drawn


class TestFreePort:
    def test_no_outgoing_connection_can_take_it(self) -> None:
        # A gateway of a soak ended at its start, its address in use: between the
        # probe and the start another process had opened a connection from it.
        limits = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        assert all(free_port() < int(limits[0]) for _ in range(20))

    def test_none_is_given_twice(self, monkeypatch: pytest.MonkeyPatch) -> None:
        # A test drew the ports of six listeners before any of them was bound. One
        # run of the whole suite in some ten drew one twice, and the second listener
        # found its address in use.
        monkeypatch.setattr(ports, "PORTS", range(32_000, 32_400))
        monkeypatch.setattr(ports, "BLOCK", 8)
        monkeypatch.setattr(ports, "_LEFT", [])
        drawn = [free_port() for _ in range(20)]
        assert len(set(drawn)) == 20

    def test_none_is_given_by_two_processes(self) -> None:
        # Three soaks began side by side. One of them did not start: another had
        # drawn the same port before either had bound it. A gateway that is stopped
        # and started again leaves its ports free meanwhile, with the same end.
        with drawing() as one, drawing() as other, drawing() as third:
            assert len(one | other | third) == 3 * N_DRAWN

    def test_it_can_be_bound(self) -> None:
        with socket.socket() as listener:
            listener.bind((IP, free_port()))
