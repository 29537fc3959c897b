"""The sidecar as a process that is stopped, paused or replaced."""

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

TIMEOUT_S = 30.0
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
    """What a sidecar process needs: a platform, a target and a folder."""

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

    async def exit_status(self) -> int:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.process.wait()


@contextlib.asynccontextmanager
async def running_host(path: Path) -> AsyncIterator[Host]:
    async with FakePlatform().serving() as platform, FakeTarget().serving() as target:
        platform.publish("service/s1", {"kind": "plain", "n_slots": 4})
        yield Host(
            platform_url=platform.url, target=target, lock_port=free_port(), path=path
        )


@contextlib.asynccontextmanager
async def sidecar_process(host: Host) -> AsyncIterator[Running]:
    """Start a sidecar process on `host`; kill it on exit of the context."""
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
    """Connect to the sidecar and wait until its catalogue is active."""
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
    async def test_sigterm_lets_calls_finish_and_ends_the_process(
        self, tmp_path: Path
    ) -> None:
        """A sidecar gets SIGTERM while a call runs.

        The call is answered, and the process exits with status 0 and logs that it
        interrupted no call.
        """
        async with running_host(tmp_path) as host, sidecar_process(host) as sidecar:
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
                assert await sidecar.exit_status() == 0
            log = (tmp_path / f"{sidecar.address.port}.log").read_text()
            assert "process_stopped" in log
            assert "n_cut_off=0" in log


class TestPause:
    async def test_work_whose_deadline_passed_during_a_pause_is_not_run(
        self, tmp_path: Path
    ) -> None:
        """A sidecar is paused with a start message in its socket.

        The gateway abandons the attempt and runs the work at another target. When
        the sidecar resumes, it must find by its own clock that the start-by time
        has passed.
        """
        async with (
            running_host(tmp_path) as host,
            sidecar_process(host) as sidecar,
            ready_gateway(sidecar) as gateway,
        ):
            sidecar.process.send_signal(signal.SIGSTOP)
            attempt_id = gateway.start(idempotent=False, budget_ns=NS_PER_S // 10)
            await asyncio.sleep(0.3)  # The budget passes meanwhile.
            sidecar.process.send_signal(signal.SIGCONT)
            failure = await gateway.failure(attempt_id)
            assert failure.outcome == Outcome.NOT_RUN
            assert failure.reason == Reason.DEADLINE_PASSED
            assert host.target.runs == []


class TestSuccessor:
    async def test_successor_waits_for_a_paused_predecessor(
        self, tmp_path: Path
    ) -> None:
        """A sidecar hangs and is replaced, but may resume.

        Two sidecars would call the same target. The paused one holds the lock port
        until it exits, and its successor does not listen before that.
        """
        async with running_host(tmp_path) as host, sidecar_process(host) as first:
            await until(first.is_listening)
            first.process.send_signal(signal.SIGSTOP)
            async with sidecar_process(host) as second:
                log = tmp_path / f"{second.address.port}.log"
                await until(lambda: "waiting for lock port" in log.read_text())
                assert not second.is_listening()
                first.process.kill()
                await until(second.is_listening)
