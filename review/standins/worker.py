"""Stand-in of a worker, one process: ``python3 -m review.standins.worker JSON``.

The fields of JSON: ``service``, ``store`` (its address), ``zone``, ``slots``,
``queue``, ``record`` (a file), and either ``events``, ``first_s`` and ``gap_s`` for
streams or ``work_s`` for whole answers. Prints its address and its id once it serves.
"""

import asyncio
import contextlib
import json
import os
import sys
import time
import uuid

from . import http11

ATTEMPT = "trefoilpaddle-attempt-id"
HEARTBEAT_S = 1.2


class Worker:
    """Runs requests in its slots, queues a few more and rejects the others."""

    def __init__(self, fields: dict) -> None:
        self.fields = fields
        self.worker_id = f"i-{uuid.uuid4().hex[:8]}"
        self.address = ""
        self.free = asyncio.Semaphore(fields["slots"])
        self.n_queued = 0
        self.sequence = 0

    def note(self, what: str, request_id: str) -> None:
        """Append a line to the record of what was run."""
        line = {"s": time.monotonic(), "worker": self.worker_id, "what": what}
        with open(self.fields["record"], "a") as record:
            record.write(json.dumps(line | {"id": request_id, "pid": os.getpid()}))
            record.write("\n")

    async def handle(
        self, request: http11.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, or reject it."""
        expected = request.headers.get("trefoilpaddle-expected-instance")
        if expected not in (None, self.worker_id):
            fields = {"Trefoilpaddle-Instance": self.worker_id}
            await http11.send(writer, 421, b"", fields)
            return
        is_health = request.path == "/health"
        request_id = request.headers.get(ATTEMPT, "")
        if not is_health:
            self.note("arrives", request_id)
        if self.free.locked() and self.n_queued >= self.fields["queue"]:
            fields = {"Trefoilpaddle-Not-Executed": "1"}
            await http11.send(writer, 503, b"", fields)
            return
        self.n_queued += 1
        try:
            await self.free.acquire()
        finally:
            self.n_queued -= 1
        try:
            if is_health:
                fields = {"Trefoilpaddle-Instance": self.worker_id}
                await http11.send(writer, 200, b"", fields)
                return
            self.note("begins", request_id)
            await self.run(request, request_id, writer)
            self.note("ends", request_id)
        finally:
            self.free.release()

    async def run(
        self, request: http11.Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request in its slot."""
        fields = {
            "Trefoilpaddle-Attempt-Id": request_id,
            "Trefoilpaddle-Server-Seal": f"{self.worker_id}.{request_id}",
        }
        if "events" not in self.fields:
            await asyncio.sleep(self.fields["work_s"])
            await http11.send(writer, 200, request_id.encode(), fields)
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.fields["first_s"])
        fields |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(http11.head(200, fields))
        for number in range(first, self.fields["events"] + 1):
            event = f"id: {number}\ndata: {request_id}\n\n"
            writer.write(http11.chunk(event.encode()))
            await writer.drain()
            await asyncio.sleep(self.fields["gap_s"])
        writer.write(http11.chunk(b""))
        await writer.drain()

    async def beat(self) -> None:
        """Write the entry of this worker until cancelled."""
        while True:
            self.sequence += 1
            entry = {
                "service": self.fields["service"],
                "address": self.address,
                "zone": self.fields["zone"],
                "version": "v1",
                "slots": self.fields["slots"],
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
            }
            target = f"/write?key=servers/{self.worker_id}"
            body = json.dumps(entry).encode()
            await http11.call(self.fields["store"], "PUT", target, body=body)
            await asyncio.sleep(HEARTBEAT_S)


async def main() -> None:
    """Serve until the process is ended."""
    worker = Worker(json.loads(sys.argv[1]))
    server = await http11.serve(worker.handle, "127.0.0.1", 0)
    worker.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    print(json.dumps({"address": worker.address, "id": worker.worker_id}), flush=True)
    with contextlib.suppress(asyncio.CancelledError):
        await worker.beat()


if __name__ == "__main__":
    asyncio.run(main())
