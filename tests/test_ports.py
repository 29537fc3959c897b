"""Allocation of ports for the processes that tests start."""

import contextlib
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from trefoilpaddle.standins import ports
from trefoilpaddle.standins.ports import IP, free_port

N_ALLOCATED = 30
ALLOCATE = (
    "import sys; from trefoilpaddle.standins import ports;"
    "ports.PORTS = range(20_000, 20_800);"
    f"print(*[ports.free_port() for _ in range({N_ALLOCATED})], flush=True);"
    "sys.stdin.read()"
)


@contextlib.contextmanager
def allocating_process() -> Iterator[set[int]]:
    """Yield the ports allocated by a separate process that runs in the context."""
    command = [sys.executable, "-c", ALLOCATE]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout is not None
        allocated = {int(port) for port in process.stdout.readline().split()}
        assert len(allocated) == N_ALLOCATED
        yield allocated


class TestFreePort:
    def test_no_outgoing_connection_can_take_it(self) -> None:
        # A gateway of a soak test failed to start because its address was in use:
        # after the port was probed, another process had opened a connection from it.
        limits = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        assert all(free_port() < int(limits[0]) for _ in range(20))

    def test_a_process_never_allocates_a_port_twice(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # A test allocated the ports of six listeners before binding any of them. In
        # about one of ten runs of the suite a port was allocated twice, and the second
        # listener found its address in use.
        monkeypatch.setattr(ports, "PORTS", range(32_000, 32_400))
        monkeypatch.setattr(ports, "BLOCK", 8)
        monkeypatch.setattr(ports, "_UNUSED", [])
        allocated = [free_port() for _ in range(20)]
        assert len(set(allocated)) == 20

    def test_two_processes_never_allocate_the_same_port(self) -> None:
        # Three soak tests started at the same time. One of them failed: another had
        # allocated the same port before either had bound it. The same can happen
        # while a gateway restarts, as its ports are unbound in between.
        with (
            allocating_process() as one,
            allocating_process() as other,
            allocating_process() as third,
        ):
            assert len(one | other | third) == 3 * N_ALLOCATED

    def test_it_can_be_bound(self) -> None:
        with socket.socket() as listener:
            listener.bind((IP, free_port()))
