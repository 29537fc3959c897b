"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    410: "Gone",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass
class Request:
    """One request as a server has read it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query, the first value of each."""
        parsed = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[0] for name, values in parsed.items()}


@dataclass
class Answer:
    """One answer as a client has read it; status 0 if there was none."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    reason = REASONS.get(status, "Unknown")
    return f"HTTP/1.1 {status} {reason}\r\n{lines}\r\n".encode("latin-1")


async def send(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Write a whole answer with a length."""
    fields = {"Content-Length": str(len(body))} | (headers or {})
    writer.write(head(status, fields) + body)
    await writer.drain()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body; an empty one ends it."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raise EOFError at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise EOFError from error
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks; raise EOFError if it is cut."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    return body
                body += part[:-2]
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise EOFError from error


async def serve(handler: Handler, ip: str, port: int) -> asyncio.Server:
    """Serve requests one after another on each connection."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                await handler(Request(method, target, headers, body), writer)
                if headers.get("connection", "").lower() == "close":
                    return
        except (
            asyncio.CancelledError,
            asyncio.LimitOverrunError,
            EOFError,
            OSError,
            ValueError,
        ):
            return
        finally:
            writer.close()

    return await asyncio.start_server(connected, ip, port)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    ip, _, port = address.rpartition(":")
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                await exchange(reader, writer, answer, method, target, headers, body)
            finally:
                writer.close()
    except (OSError, EOFError, ValueError):
        pass
    return answer


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Answer,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> None:
    """Send one request on an open connection and fill in its answer."""
    fields = {"Host": "api.example"} | (headers or {})
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
    await writer.drain()
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    answer.body = await read_body(reader, answer.headers)
    answer.is_complete = True
