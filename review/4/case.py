"""Workers spoil the status of some answers; clients get bytes that are no answer.

A worker that hands out wrong bytes writes 000 where its status belongs. The gateway
passes the answer on with the status line "HTTP/1.1 0 ", which no client can read.
"""

import asyncio
import re
import sys
import time
from pathlib import Path
from typing import Any, Final

from standins2.deployment import (
    ATTEMPT,
    HOST,
    IP,
    KEY,
    SEAL,
    Deployment,
    Record,
    deployment,
    has_trouble,
    run_case,
)

from trefoilpaddle.standins.ports import free_port

BOUNDS: Final[dict[str, Any]] = {
    "grace_s": 8,
    "drain_ms": 2000,
    "stability_window_ms": 3000,
    "configuration_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
}
N_WORKERS: Final = 6
N_SPOILING: Final = 3
"""A share of 0.5."""

SPOILS_EACH: Final = 50
"""It spoils one answer of fifty, 0.02."""

GARBLE_S: Final = 6.0
WORK_S: Final = 0.02
PER_S: Final = 120.0
STATUS_LINE: Final = re.compile(rb"HTTP/1\.1 [1-9][0-9][0-9] ")

ROUTE: Final = {
    "name": "r-reserve",
    "host": HOST,
    "prefix": "/reserve/",
    "kind": "non_idempotent",
    "timeout_ms": 1500,
    "target_latency_ms": 200,
    "priority": 2,
    "service": "core",
    "max_attempts": 1,
    "public": False,
}


class SpoilingWorker:
    """A worker that writes its answers itself, so that it can spoil them.

    Attributes
    ----------
    is_spoiling : bool
        True spoils the status of one answer of `SPOILS_EACH`.
    spoiled : set of str
        Ids of the requests whose answers were spoiled.
    """

    def __init__(self, *, worker_id: str, record: Record) -> None:
        self.worker_id = worker_id
        self.port = free_port()
        self.is_spoiling = False
        self.spoiled: set[str] = set()
        self._n_runs = 0
        self._record = record

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": "core",
            "address": f"{IP}:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the one request of a connection."""
        try:
            writer.write(await self._answer(reader))
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader) -> bytes:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = _fields(head)
        await reader.readexactly(int(fields.get("content-length", "0")))
        request_id = fields.get(ATTEMPT.lower(), "")
        if not request_id:
            return _raw("200 OK", {"Trefoilpaddle-Instance": self.worker_id}, b"")
        expected = fields.get("trefoilpaddle-expected-instance", self.worker_id)
        if expected != self.worker_id:
            return _raw("421 Misdirected Request", {}, b"")
        await asyncio.sleep(WORK_S)
        self._n_runs += 1
        status = "200 OK"
        if self.is_spoiling and self._n_runs % SPOILS_EACH == 0:
            self.spoiled.add(request_id)
            status = "000 OK"
        self._record.add(f"{self.worker_id} runs {request_id}, answers {status}")
        headers = {ATTEMPT: request_id, SEAL: f"{self.worker_id}.{request_id}"}
        return _raw(status, headers, request_id.encode())


def _raw(status: str, headers: dict[str, str], body: bytes) -> bytes:
    fields = headers | {"Content-Length": str(len(body)), "Connection": "close"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + body


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    named = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in named}


async def play(record: Record) -> str:
    """Play the case; return how the rule was broken."""
    async with deployment(record, BOUNDS) as made:
        made.configure(1, [ROUTE])
        workers = [
            SpoilingWorker(worker_id=f"i-{n}", record=record) for n in range(N_WORKERS)
        ]
        servers = [
            await asyncio.start_server(worker.serve, IP, worker.port)
            for worker in workers
        ]
        for worker in workers:
            made.store.put(f"servers/{worker.worker_id}", worker.entry())
        made.add_gateway("a")
        made.add_gateway("b")
        await made.start_gateways()
        received: dict[str, bytes] = {}
        load = asyncio.create_task(
            made.load(PER_S, lambda n: _request(made, received, n))
        )
        await asyncio.sleep(4.0)
        for worker in workers[:N_SPOILING]:
            worker.is_spoiling = has_trouble()
        await asyncio.sleep(GARBLE_S)
        for worker in workers:
            worker.is_spoiling = False
        await asyncio.sleep(3.0)
        load.cancel()
        await asyncio.wait({load})
        for server in servers:
            server.close()
        return _judge(record, workers, received)


async def _request(made: Deployment, received: dict[str, bytes], n: int) -> None:
    """Send one attempt on a connection of its own; keep all bytes that come."""
    gateway = made.gateways[n % 2]
    request_id = f"{n:016x}"
    made.record.add(f"{request_id} sent to {gateway.name} at {time.monotonic():.3f}")
    head = (
        f"POST /reserve/1 HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {request_id}\r\n"
        "Trefoilpaddle-Deadline-Milliseconds: 1500\r\n"
        f"Trefoilpaddle-Credential: {KEY}\r\nConnection: close\r\n"
        "Content-Length: 3\r\n\r\none"
    )
    data = b""
    try:
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(IP, gateway.ports[0])
            try:
                writer.write(head.encode())
                data = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        made.record.add(f"{request_id} {type(error).__name__}")
    received[request_id] = data
    first = data.partition(b"\r\n")[0].decode("latin-1")
    made.record.add(f"{request_id} answered {first!r}")


def _judge(
    record: Record, workers: list[SpoilingWorker], received: dict[str, bytes]
) -> str:
    n_good = sum(data.startswith(b"HTTP/1.1 200 ") for data in received.values())
    spoiled = {each for worker in workers for each in worker.spoiled}
    wrong = [
        request_id
        for request_id, data in received.items()
        if data and not STATUS_LINE.match(data)
    ]
    record.add(
        f"{len(received)} requests, {n_good} with 200, {len(spoiled)} answers spoiled,"
        f" {len(wrong)} of which clients got"
    )
    if n_good < len(received) / 2:
        raise RuntimeError("hardly any request was served")
    if not wrong:
        return ""
    line = received[wrong[0]].partition(b"\r\n")[0]
    return (
        f"MIXED: {len(wrong)} clients got bytes that are no answer in the protocol, the"
        f" first one for {wrong[0]}: {line!r}"
    )


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
