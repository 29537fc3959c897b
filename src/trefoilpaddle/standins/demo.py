"""Demo: runs a deployment, sends samples, explains each request and drains."""

import asyncio
import os
import shlex
import signal
import time
from collections.abc import Iterator
from typing import Final

import aiohttp
from rich.console import Console
from rich.text import Text

from .description import (
    EXAMPLES,
    Description,
    Sample,
    load_catalogue,
    load_description,
)
from .launcher import deployment
from .running import DeploymentError, Running
from .sample_call import Reply, call_sample, headers_of

_EXPLAIN_TIMEOUT_S: Final = 5.0


async def demo(*, name: str, is_serving: bool) -> int:
    """Run the demo on the deployment `name` and return the exit code.

    Parameters
    ----------
    name : str
        Name of a folder under ``examples``.
    is_serving : bool
        True sends no samples and serves until SIGINT or SIGTERM.
    """
    console = Console(highlight=False)
    folder = EXAMPLES / name
    if not (folder / "deployment.toml").is_file():
        console.print(f"no deployment {name!r}; choose one of {', '.join(_names())}")
        return 2
    description = load_description(folder)
    _print_plan(console, description)
    begin_s = time.monotonic()
    try:
        async with deployment(description, load_catalogue(folder)) as running:
            took_s = time.monotonic() - begin_s
            console.print(f"{len(running.children)} processes ready in {took_s:.1f} s")
            if is_serving:
                await _serve(console, running)
                n_faulty = 0
            else:
                n_faulty = await _send_samples(console, running)
            return await _drain(console, running, n_faulty)
    except DeploymentError as error:
        console.print(Text(str(error), style="red"))
        return 1


def _names() -> list[str]:
    return sorted(path.parent.name for path in EXAMPLES.glob("*/deployment.toml"))


def _print_plan(console: Console, description: Description) -> None:
    services = ", ".join(
        f"{service.name} ({service.kind}) x {service.n_targets}"
        for service in description.services
    )
    console.print(
        f"[bold]{description.name}[/]: {description.n_gateways} gateways,"
        f" {len(description.failure_domains)} failure domains; targets {services}"
    )


async def _send_samples(console: Console, running: Running) -> int:
    """Send each sample in turn; return the number of faulty answers."""
    n_faulty = 0
    async with aiohttp.ClientSession() as session:
        for index, sample in enumerate(running.description.samples):
            gateway = running.gateways[index % len(running.gateways)]
            console.rule(Text(sample.title, style="bold"))
            reply = await _send(console, session, gateway, sample)
            n_faulty += bool(reply.fault)
            operators = running.layout.gateways[index % len(running.gateways)]
            url = running.operators_url(operators.process_id)
            await _print_explanation(console, session, url, reply)
    return n_faulty


async def _send(
    console: Console, session: aiohttp.ClientSession, gateway: str, sample: Sample
) -> Reply:
    console.print(f"POST {gateway}/v1/pipelines/{sample.pipeline}  {sample.input}")
    begin_s = time.monotonic()
    try:
        reply = await call_sample(
            session,
            gateway,
            sample,
            on_text=lambda text: console.print(Text(text), end="", soft_wrap=True),
        )
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        reply = Reply(status=0, fault=f"no answer: {error!r}")
    console.print()
    took_s = time.monotonic() - begin_s
    if reply.fault:
        console.print(Text(f"NOT WHOLE after {took_s:.2f} s: {reply.fault}", "red"))
    else:
        console.print(Text(f"whole after {took_s:.2f} s", "green"))
    return reply


async def _print_explanation(
    console: Console, session: aiohttp.ClientSession, operators_url: str, reply: Reply
) -> None:
    """Print the timeline of a request, or its answer headers if there is none."""
    url = f"{operators_url}/v1/explain/{reply.request_id}?format=text"
    timeout = aiohttp.ClientTimeout(total=_EXPLAIN_TIMEOUT_S)
    try:
        async with session.get(url, timeout=timeout) as answer:
            if answer.status == 200:
                console.print(Text((await answer.text()).rstrip(), style="dim"))
                return
    except (aiohttp.ClientError, OSError, TimeoutError):
        pass
    console.print(
        f"request {reply.request_id}: {reply.reason or reply.status}, governed by"
        f" entry {reply.entry or '?'} at revision {reply.revision or '?'}"
    )


async def _serve(console: Console, running: Running) -> None:
    """Print example calls, then wait for a signal."""
    console.print("Listening; try one of these, and end with Ctrl-C:")
    for index, sample in enumerate(running.description.samples):
        gateway = running.gateways[index % len(running.gateways)]
        console.print(f"\n# {sample.title}")
        for line in _curl_lines(gateway, sample):
            console.print(Text(line), soft_wrap=True)
    first = running.layout.gateways[0].process_id
    url = running.operators_url(first)
    console.print("\n# Explain a request, and show the status of the fleet")
    console.print(f"python -m trefoilpaddle explain REQUEST_ID --at={url}")
    console.print(f"python -m trefoilpaddle status --at={url}")
    console.print("\n# Publish a change, as the tool of the platform does")
    console.print(
        f"curl -X PUT {running.config_url}/admin/values/entry/NAME -d @FILE.json"
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()


def _curl_lines(gateway: str, sample: Sample) -> Iterator[str]:
    """Yield the shell commands that send `sample`."""
    path = os.path.relpath(EXAMPLES / "inputs" / sample.input)
    headers = [f"-H{name}: {value}" for name, value in headers_of(sample).items()]
    call = ["curl", "-si", *(["-N"] if sample.is_streamed else []), *headers]
    call += ["--data-binary", f"@{path}", f"{gateway}/v1/pipelines/{sample.pipeline}"]
    if not sample.has_minted_id:
        yield shlex.join(call)
        return
    get_id = shlex.join(["curl", "-s", "-XPOST", *headers, f"{gateway}/v1/requests"])
    yield f"ID=$({get_id} | cut -d'\"' -f4)"
    yield f'{shlex.join(call)} -H"X-Request-Id: $ID"  # repeat it: it runs once'


async def _drain(console: Console, running: Running, n_faulty: int) -> int:
    """Stop all processes while requests are answered; return the exit code."""
    console.rule("Planned stop of every process, while requests are being answered")
    streamed = [each for each in running.description.samples if each.is_streamed]
    async with aiohttp.ClientSession() as session:
        open_calls = [
            _OpenCall(session=session, gateway=gateway, sample=sample)
            for gateway in running.gateways
            for sample in streamed
        ]
        await asyncio.gather(*(each.has_begun.wait() for each in open_calls))
        n_cut_off = await running.drain()
        faults = [fault for each in open_calls if (fault := await each.fault())]
    n_processes = len(running.system_processes())
    n_complete = len(open_calls) - len(faults)
    console.print(
        f"{n_processes} processes stopped; cut off: {n_cut_off};"
        f" {n_complete} of {len(open_calls)} open answers came whole"
    )
    for fault in faults:
        console.print(Text(fault, "red"))
    if n_faulty:
        console.print(Text(f"{n_faulty} answers were not whole", "red"))
    return 1 if n_faulty or n_cut_off or faults else 0


class _OpenCall:
    """A streamed sample whose answer is being received.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the request.
    gateway : str
        Base URL of the gateway.
    sample : Sample
        Sample to send; its answer is streamed.
    """

    __slots__ = ("_task", "has_begun")

    def __init__(
        self, *, session: aiohttp.ClientSession, gateway: str, sample: Sample
    ) -> None:
        self.has_begun = asyncio.Event()
        call = call_sample(
            session, gateway, sample, on_text=lambda text: self.has_begun.set()
        )
        self._task = asyncio.create_task(call)
        self._task.add_done_callback(lambda task: self.has_begun.set())

    async def fault(self) -> str:
        """Wait for the answer and return its fault; empty if it is complete."""
        try:
            return (await self._task).fault
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return f"no answer: {error!r}"
