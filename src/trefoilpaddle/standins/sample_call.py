"""Sends a sample to a gateway as a caller does and checks the answer."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import aiohttp
import orjson

from .description import EXAMPLES, Sample
from .outputs import digest

OnText = Callable[[str], None]
TIMEOUT_S: Final = 60.0


@dataclass(slots=True, kw_only=True)
class Reply:
    """Answer to a sample.

    Parameters
    ----------
    status : int
        HTTP status.
    request_id, entry, revision, reason : str
        Values of the answer's headers.
    text : str
        Text of the answer.
    fault : str
        Why the answer is faulty; empty if it is complete.
    """

    status: int
    request_id: str = ""
    entry: str = ""
    revision: str = ""
    reason: str = ""
    text: str = ""
    fault: str = ""


def body_of(sample: Sample) -> bytes:
    """Return the bytes of a sample's input."""
    return (EXAMPLES / "inputs" / sample.input).read_bytes()


def headers_of(sample: Sample) -> dict[str, str]:
    """Return the headers that a caller sends with `sample`."""
    is_json = sample.input.endswith(".json")
    headers = {
        "Content-Type": "application/json" if is_json else "text/plain",
        "X-Client-Account": sample.account,
        "X-Class-Of-Work": sample.class_of_work,
    }
    if sample.is_streamed:
        headers["Accept"] = "text/event-stream"
    return headers


async def call_sample(
    session: aiohttp.ClientSession, gateway: str, sample: Sample, *, on_text: OnText
) -> Reply:
    """Send `sample`, pass on the text of the answer as it arrives, and check it.

    Raises
    ------
    aiohttp.ClientError, TimeoutError
        If the gateway does not answer.
    """
    url = f"{gateway}/v1/pipelines/{sample.pipeline}"
    headers = headers_of(sample)
    if sample.has_minted_id:
        headers["X-Request-Id"] = await _generate_request_id(session, gateway, headers)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with session.post(
        url, data=body_of(sample), headers=headers, timeout=timeout
    ) as answer:
        reply = Reply(
            status=answer.status,
            request_id=answer.headers.get("X-Request-Id", ""),
            entry=answer.headers.get("X-Entry", ""),
            revision=answer.headers.get("X-Config-Revision", ""),
            reason=answer.headers.get("X-Reason", ""),
        )
        if answer.content_type == "text/event-stream":
            reply.fault = await _read_stream(answer, reply, on_text)
        else:
            reply.text = (await answer.read()).decode()
            reply.fault = _fault_of_answer(reply)
            on_text(reply.text)
    return reply


async def _generate_request_id(
    session: aiohttp.ClientSession, gateway: str, headers: dict[str, str]
) -> str:
    """Request an id with which a request runs at most once."""
    async with session.post(f"{gateway}/v1/requests", headers=headers) as answer:
        answer.raise_for_status()
        return str((await answer.json())["request_id"])


async def _read_stream(
    answer: aiohttp.ClientResponse, reply: Reply, on_text: OnText
) -> str:
    """Read events into `reply` and return their fault, or an empty string."""
    event = ""
    async for line in answer.content:
        name, _, value = line.decode().rstrip("\r\n").partition(": ")
        if name == "event":
            event = value
        if name != "data":
            continue
        data = orjson.loads(value)
        match event:
            case "token":
                reply.text += str(data["text"])
                on_text(str(data["text"]))
            case "end":
                return _fault_of_text(reply.text, data)
            case "error":
                return f"error: {value}"
    return "the stream ended without its end event"


def _fault_of_answer(reply: Reply) -> str:
    if reply.status != 200:
        return f"status {reply.status}: {reply.text}"
    output = orjson.loads(reply.text)
    if "text_checksum" in output:
        return _fault_of_text(str(output["text"]), output)
    return "" if "digest" in output else "the answer does not come from a target"


def _fault_of_text(text: str, end: dict[str, Any]) -> str:
    if len(text.split()) != end["n_tokens"]:
        return f"{len(text.split())} tokens received of {end['n_tokens']}"
    if digest(text.encode()) != end["text_checksum"]:
        return "the text does not match its checksum"
    return ""
