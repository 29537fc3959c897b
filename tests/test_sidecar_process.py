"""The sidecar as a process: stopped, paused, replaced."""

import asyncio
import contextlib
import signal
import socket
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

from tests.fake_platform import FakePlatform
from tests.sidecar_harness import NS_PER_S, FakeTarget, GatewaySide, connected
from tests.waiting import until
from trefoilpaddle.protocol.gen.stage.ttypes import Ack, Heartbeat, Outcome
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.standins.ports import free_port
from trefoilpaddle.transport.connection import Address

CAP_S = 30.0
SETTINGS = """
[process]
host = "h1"
failure_domain = "fd1"
listen = "127.0.0.1:{port}"
operators_listen = "127.0.0.1:{operators_port}"
[platform]
config_url = "{platform_url}"
hosts_url = "{platform_url}"
[target]
name = "t1"
service = "s1"
kind = "plain"
url = "http://127.0.0.1:{target_port}"
lock_port = {lock_port}
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """What a sidecar's host offers it: a platform and a target."""

    platform_url: str
    target: FakeTarget
    lock_port: int
    path: Path


@dataclass(frozen=True, slots=True, kw_only=True)
class Running:
    """A sidecar process and where it listens."""

    process: asyncio.subprocess.Process
    address: Address

    def is_listening(self) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex((self.address.ip, self.address.port)) == 0

    async def ended(self) -> int:
        async with asyncio.timeout(CAP_S):
            return await self.process.wait()


@contextlib.asynccontextmanager
async def a_host(path: Path) -> AsyncIterator[Host]:
    async with FakePlatform().serving() as platform, FakeTarget().serving() as target:
        platform.publish("service/s1", {"kind": "plain", "n_slots": 4})
        yield Host(
            platform_url=platform.url, target=target, lock_port=free_port(), path=path
        )


@contextlib.asynccontextmanager
async def a_sidecar(host: Host) -> AsyncIterator[Running]:
    """Start a sidecar process on `host`; kill it in the end."""
    address = Address(ip="127.0.0.1", port=free_port())
    settings = host.path / f"{address.port}.toml"
    settings.write_text(
        SETTINGS.format(
            port=address.port,
            operators_port=free_port(),
            platform_url=host.platform_url,
            target_port=host.target.port,
            lock_port=host.lock_port,
        )
    )
    log = settings.with_suffix(".log").open("wb")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "trefoilpaddle",
        "sidecar",
        f"--settings={settings}",
        stdout=log,
        stderr=log,
    )
    log.close()
    try:
        yield Running(process=process, address=address)
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            await process.wait()


@contextlib.asynccontextmanager
async def ready_gateway(sidecar: Running) -> AsyncIterator[GatewaySide]:
    """Connect once the sidecar has its catalogue in force."""
    await until(sidecar.is_listening)
    async with connected(sidecar.address) as gateway:
        await until(
            lambda: any(
                message.load is not None and message.load.config_revision > 0
                for message in gateway.messages
                if isinstance(message, Heartbeat)
            )
        )
        yield gateway


class TestPlannedStop:
    async def test_a_told_process_finishes_and_ends(self, tmp_path: Path) -> None:
        """A host is to be replaced and its processes are sent SIGTERM.

        A call that runs is answered, and the process ends by itself with
        status 0 and says in its log that it cut off nothing.
        """
        async with a_host(tmp_path) as host, a_sidecar(host) as sidecar:
            async with ready_gateway(sidecar) as gateway:
                host.target.gate.clear()
                attempt_id = gateway.start(idempotent=False)
                await until(lambda: len(host.target.runs) == 1)
                sidecar.process.send_signal(signal.SIGTERM)
                refused: list[bytes] = []
                await until(
                    lambda: any(
                        message.load is not None and message.load.leaving
                        for message in gateway.messages
                        if isinstance(message, Heartbeat)
                    )
                )
                refused.append(gateway.start())
                failure = await gateway.failure(refused[0])
                assert failure.reason == Reason.LEAVING
                host.target.gate.set()
                assert await gateway.complete_answer(attempt_id) == host.target.answer
                gateway.connection.write(Ack(attempt_id=attempt_id))
                assert await sidecar.ended() == 0
            log = (tmp_path / f"{sidecar.address.port}.log").read_text()
            assert "process_stopped" in log
            assert "n_cut_off=0" in log


class TestPause:
    async def test_work_whose_time_passed_in_a_pause_is_not_run(
        self, tmp_path: Path
    ) -> None:
        """A sidecar is paused with a start message in its socket.

        The gateway gives up and books elsewhere. When the sidecar wakes up it
        must see, on its own clock, that the time to start is over.
        """
        async with (
            a_host(tmp_path) as host,
            a_sidecar(host) as sidecar,
            ready_gateway(sidecar) as gateway,
        ):
            sidecar.process.send_signal(signal.SIGSTOP)
            attempt_id = gateway.start(idempotent=False, budget_ns=NS_PER_S // 10)
            await asyncio.sleep(0.3)  # lets the budget pass, asserts nothing
            sidecar.process.send_signal(signal.SIGCONT)
            failure = await gateway.failure(attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.DEADLINE_PASSED
            assert host.target.runs == []


class TestSuccessor:
    async def test_it_waits_for_a_paused_predecessor(self, tmp_path: Path) -> None:
        """A sidecar hangs, is taken for dead and replaced, and wakes up again.

        Two would give work to one target. The lock is held by the paused one
        until it ends, so its successor opens nothing before.
        """
        async with a_host(tmp_path) as host, a_sidecar(host) as first:
            await until(first.is_listening)
            first.process.send_signal(signal.SIGSTOP)
            async with a_sidecar(host) as second:
                log = tmp_path / f"{second.address.port}.log"
                await until(lambda: "waiting for lock port" in log.read_text())
                assert not second.is_listening()
                first.process.kill()
                await until(second.is_listening)
