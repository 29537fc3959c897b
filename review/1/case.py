"""Planned stops, and requests about things that were in flight at a crash."""

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import time
from collections import Counter
from pathlib import Path

from review.standins import http11
from review.standins.deployment import (
    CannotRunError,
    Deployment,
    Gateway,
    WorkerProcess,
    request_headers,
)

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

GRACE_S = 8.0
N_GATEWAYS = 4
N_WORKERS = 4
N_AT_ONCE = 24
"""Requests that are sent at once before each crash, each about another thing."""
CRASH_AFTER_S = 0.09
DOWN_S = 3.0
SECOND_CRASH_S = 2.5
"""Seconds after the order to stop; the first worker is about to be back."""
LAST_SENT_S = 6.0
"""Seconds after its order to stop until which a gateway sends requests to workers."""
SPREAD_S = 0.02
DEADLINE_MS = 1500

ROUTES = [
    {
        "name": "r-limita",
        "host": "api.example",
        "prefix": "/limita/",
        "kind": "non_idempotent",
        "timeout_ms": 800,
        "target_latency_ms": 150,
        "priority": 2,
        "service": "issuance",
        "max_attempts": 1,
        "public": False,
    },
    {
        "name": "r-chat",
        "host": "api.example",
        "prefix": "/chat/",
        "kind": "streaming",
        "timeout_ms": 20000,
        "target_latency_ms": 1800,
        "priority": 2,
        "service": "model",
        "max_attempts": 2,
        "public": False,
        "session_affinity": True,
        "stream_resumption": True,
        "gap_target_ms": 300,
    },
]
SERVICES = [
    {"name": "issuance", "health_check_path": "/health", "connection_limit": 100},
    {
        "name": "model",
        "health_check_path": "/health",
        "connection_limit": 490,
        "engine": {"slots": 96, "cache_tokens": 444000, "models": [{"name": "m"}]},
    },
]
ISSUANCE = {"slots": 6, "queue": 24, "work_s": 0.15}
MODEL = {"slots": 96, "events": 70, "first_s": 0.3, "gap_s": 0.2}


def name_of(body: bytes) -> str:
    """Return what a request is about."""
    return body[: len(body) // 20].decode()


class Connection:
    """A connection that a client keeps open to one gateway."""

    def __init__(self, gateway: Gateway) -> None:
        ip, _, port = gateway.callers.rpartition(":")
        self.socket = socket.create_connection((ip, int(port)))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, request_id: str, body: bytes) -> None:
        """Send a request, without waiting for its answer."""
        fields = {"Host": "api.example"} | request_headers(request_id, DEADLINE_MS)
        fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.socket.sendall(f"POST /limita/2f HTTP/1.1\r\n{lines}\r\n".encode() + body)

    def status(self) -> int:
        """Return the status of the answer; 0 if there is none."""
        self.socket.settimeout(DEADLINE_MS / 1000)
        try:
            while b"\r\n\r\n" not in self.buffer:
                data = self.socket.recv(65536)
                if not data:
                    return 0
                self.buffer += data
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").lower().split("\r\n")
            lengths = [
                int(line.partition(":")[2])
                for line in lines
                if line.startswith("content-length:")
            ]
            while len(rest) < sum(lengths):
                data = self.socket.recv(65536)
                if not data:
                    return 0
                rest += data
            self.buffer = rest[sum(lengths) :]
            return int(lines[0].split(" ")[1])
        except OSError:
            return 0


class Play:
    """Stops gateways in turn."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.began_s = time.monotonic()
        self.lines: list[str] = []
        self.again: dict[str, int] = {}
        self.tasks: list[asyncio.Task] = []
        self.n_crashes = 0
        self._numbers = itertools.count(1)

    def note(self, text: str) -> None:
        """Write down what happens now."""
        self.lines.append(f"{time.monotonic() - self.began_s:7.3f} s  {text}")

    def new_id(self) -> str:
        """Return the id of a new client attempt."""
        return f"{next(self._numbers):016x}"

    async def stream(self, gateway: Gateway) -> None:
        """Keep a chat open, which lasts longer than the stop."""
        request_id = self.new_id()
        headers = request_headers(
            request_id,
            20000,
            Model="m",
            Token_Counts="715,280",
            Prompt_Prefix="0000000a:103,0000000b:69,0000000c:543",
        )
        answer = await http11.call(
            gateway.callers, "POST", "/chat/2f", headers, b"hello", timeout_s=20.0
        )
        self.note(f"chat {request_id} at {gateway.name}: {answer.status}")

    async def crash(self, gateway: Gateway) -> list[bytes]:
        """Send requests, crash a worker; return the bodies that it took along."""
        self.n_crashes += 1
        connections = [Connection(gateway) for _ in range(N_AT_ONCE)]
        worker = self.deployment.workers[self.n_crashes % N_WORKERS]
        bodies = [
            f"reserve {self.n_crashes}.{n}".encode() * 20 for n in range(N_AT_ONCE)
        ]
        ids = [self.new_id() for _ in bodies]
        for connection, request_id, body in zip(connections, ids, bodies, strict=True):
            connection.send(request_id, body)
        await asyncio.sleep(CRASH_AFTER_S)
        if HAS_TROUBLE:
            worker.kill()
            self.note(f"worker {worker.worker_id} is killed")
            self.tasks.append(asyncio.create_task(self.replace(worker)))
        statuses = await asyncio.to_thread(lambda: [c.status() for c in connections])
        self.note(f"{N_AT_ONCE} requests at {gateway.name}: {Counter(statuses)}")
        for request_id, body, status in zip(ids, bodies, statuses, strict=True):
            self.note(f"request {request_id} ({name_of(body)}): {status}")
        for connection in connections:
            connection.socket.close()
        return [
            body
            for status, body in zip(statuses, bodies, strict=True)
            if status == 502 or not HAS_TROUBLE
        ]

    async def replace(self, worker: WorkerProcess) -> None:
        """Start another worker in the place of one that has crashed."""
        await asyncio.sleep(DOWN_S)
        another = await self.deployment.start_worker("issuance", **ISSUANCE)
        self.deployment.workers.remove(another)
        index = self.deployment.workers.index(worker)
        self.deployment.workers[index] = another

    async def stop(self, gateway: Gateway, other: Gateway) -> None:
        """Stop a gateway; ask for the things again whose requests two crashes ended."""
        kept = [Connection(gateway) for _ in range(2 * N_AT_ONCE)]
        self.tasks.append(asyncio.create_task(self.stream(gateway)))
        await asyncio.sleep(1.0)
        failed = await self.crash(gateway)
        await asyncio.sleep(0.5)
        gateway.process.send_signal(signal.SIGTERM)
        ordered_s = time.monotonic()
        self.note(f"{gateway.name} gets SIGTERM")
        await asyncio.sleep(SECOND_CRASH_S)
        failed += await self.crash(other)
        self.note(f"{len(failed)} other clients ask for the same things")
        left_s = ordered_s + LAST_SENT_S - 0.1 - time.monotonic()
        await asyncio.sleep(left_s)
        ids = await asyncio.to_thread(self.send_again, kept, failed, ordered_s)
        again = await asyncio.to_thread(lambda: [c.status() for c in kept[: len(ids)]])
        for request_id, body, status in zip(ids, failed, again, strict=True):
            self.again[request_id] = status
            self.note(
                f"request {request_id} ({name_of(body)}, another client): {status}"
            )
        self.note(f"those of the others at {gateway.name}: {Counter(again)}")
        await asyncio.to_thread(gateway.process.wait)
        self.note(f"{gateway.name} has ended with {gateway.process.returncode}")
        gateway.start(is_first=False)
        await gateway.wait_ready()
        for connection in kept:
            connection.socket.close()

    def send_again(
        self, connections: list[Connection], bodies: list[bytes], ordered_s: float
    ) -> list[str]:
        """Send the requests of other clients over a short time; return their ids."""
        ids = []
        begin_s = ordered_s + LAST_SENT_S - SPREAD_S
        step_s = SPREAD_S / max(1, len(bodies))
        for number, body in enumerate(bodies):
            due_s = begin_s + number * step_s
            while time.monotonic() < due_s:
                pass
            ids.append(self.new_id())
            connections[number].send(ids[-1], body)
        return ids


async def main() -> int:
    """Play the case; return the exit code."""
    async with Deployment() as deployment:
        deployment.configure(3, ROUTES, SERVICES)
        for _ in range(N_WORKERS):
            await deployment.start_worker("issuance", **ISSUANCE)
        for _ in range(3):
            await deployment.start_worker("model", **MODEL)
        await deployment.start_gateways(N_GATEWAYS)
        await asyncio.sleep(3.0)
        play = Play(deployment)
        gateways = deployment.gateways
        for number, gateway in enumerate(gateways):
            await play.stop(gateway, gateways[(number + 1) % N_GATEWAYS])
        await asyncio.sleep(1.0)
        for task in play.tasks:
            task.cancel()
        runs = deployment.record()
    begun = Counter(line["id"] for line in runs if line["what"] == "begins")
    untrue = [i for i, status in play.again.items() if status == 503 and begun[i]]
    summary = [
        f"REFUSED: {len(untrue)} requests that are not idempotent were answered 503 and"
        f" ran; allowed is none: {' '.join(untrue)}",
        f"requests of other clients, by status: {dict(Counter(play.again.values()))}",
        "broken" if untrue else "held",
    ]
    lines = [*play.lines, "", "what workers ran:", *map(json.dumps, runs), ""]
    (HERE / "record.txt").write_text("\n".join([*lines, *summary]) + "\n")
    print("\n".join(summary))
    return 1 if untrue else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except (CannotRunError, OSError) as error:
        (HERE / "record.txt").write_text(f"could not run: {error}\n")
        print(f"could not run: {error}")
        code = 2
    sys.exit(code)
