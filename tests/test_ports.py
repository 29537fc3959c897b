"""Ports that tests give to the processes that they start."""

import socket
from pathlib import Path

from trefoilpaddle.standins.ports import IP, free_port


class TestFreePort:
    def test_no_outgoing_connection_can_take_it(self) -> None:
        # A gateway of a soak ended at its start, its address in use: between the
        # probe and the start another process had opened a connection from it.
        limits = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        assert all(free_port() < int(limits[0]) for _ in range(20))

    def test_it_can_be_bound(self) -> None:
        with socket.socket() as listener:
            listener.bind((IP, free_port()))
