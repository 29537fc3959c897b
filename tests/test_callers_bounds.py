"""Bounds on callers' requests: oversized and malformed input is refused."""

import asyncio
from collections.abc import AsyncIterator

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.fake_sidecar import Call, FakeSidecar
from tests.gateway_harness import catalogue, engine_stage, gateway_harness, plain_stage
from tests.waiting import until
from trefoilpaddle.protocol.const import CHUNK_BYTES
from trefoilpaddle.roles.caller_input import depth_exceeds

SMALL: dict[str, object] = {
    "max_body_bytes": 2000,
    "max_headers": 12,
    "max_header_bytes": 1500,
    "max_json_depth": 4,
}


class TestRefusedInputs:
    @pytest.mark.parametrize(
        ("status", "headers", "body"),
        [
            (413, {}, b'"' + b"x" * 3000 + b'"'),
            (400, {}, b'{"a": [[[[[]]]]]}'),
            (400, {}, b'{"a": 1'),
            (400, {}, b"[1]"),
            (400, {"Content-Type": "text/plain"}, b"\xff\xfe"),
            (400, {"Content-Encoding": "deflate"}, b"{}"),
            (400, {"X-Deadline-S": "soon"}, b"{}"),
            (400, {"X-Deadline-S": "-1"}, b"{}"),
            (400, {"X-Deadline-S": "nan"}, b"{}"),
            (400, {"X-Priority": "10"}, b"{}"),
            (400, {"X-Priority": "high"}, b"{}"),
            (400, {"Idempotency-Key": "k" * 129}, b"{}"),
            (400, {"X-Request-Id": "mine"}, b"{}"),
            (431, {f"X-{n}": "1" for n in range(12)}, b"{}"),
            (431, {"X-Long": "y" * 1400}, b"{}"),
        ],
    )
    async def test_it_is_refused_before_anything_runs(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        sidecar = FakeSidecar(service="s", name="t1")
        sent = {
            "X-Client-Account": "club",
            "Content-Type": "application/json",
            **headers,
        }
        async with gateway_harness(
            sidecar, published=catalogue(plain_stage()), callers=SMALL
        ) as b:
            url = f"{b.url}/v1/pipelines/p"
            async with b.client.post(url, data=body, headers=sent) as answer:
                assert answer.status == status
                error = orjson.loads(await answer.read())["error"]
                assert error["outcome"] == "not run"
                assert len(error["detail"]) > 10
            async with b.post(json={}) as next_answer:
                assert next_answer.status == 200
            assert len(sidecar.calls) == 1

    async def test_a_chunked_body_is_bounded_while_it_is_received(self) -> None:
        async def endless() -> AsyncIterator[bytes]:
            for _ in range(1000):
                yield b"x" * 1000

        async with (
            gateway_harness(published=catalogue(plain_stage()), callers=SMALL) as b,
            b.post(data=endless()) as answer,
        ):
            assert answer.status == 413

    async def test_a_request_line_out_of_bounds_is_refused(self) -> None:
        async with gateway_harness(
            published=catalogue(plain_stage()), callers=SMALL
        ) as b:
            url = f"{b.url}/v1/requests/{'r' * 5000}"
            async with b.client.get(url) as answer:
                assert answer.status == 400

    async def test_connections_over_the_bound_are_answered_with_503(self) -> None:
        bound: dict[str, object] = {"max_connections": 2}
        async with gateway_harness(
            published=catalogue(plain_stage()), callers=bound
        ) as b:
            address = b.gateway.server.address
            held = [await asyncio.open_connection(address.ip, address.port)]
            held.append(await asyncio.open_connection(address.ip, address.port))
            for _, writer in held:
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n")
            for reader, _ in held:
                assert b"200" in await reader.readline()
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            assert b"503" in await reader.read(100)
            for _, held_writer in held:
                held_writer.close()
            writer.close()

    @given(body=st.binary(max_size=60), kind=st.sampled_from(["json", "text"]))
    def test_random_bodies_never_break_the_reader(self, body: bytes, kind: str) -> None:
        try:
            value = orjson.loads(body) if kind == "json" else body.decode()
        except ValueError:
            return
        assert depth_exceeds(value, 3) in (True, False)

    @given(depth=st.integers(min_value=0, max_value=12), most=st.integers(1, 12))
    def test_depth_is_counted_in_containers(self, depth: int, most: int) -> None:
        value: object = 1
        for level in range(depth):
            value = [value, 2] if level % 2 else {"k": value}
        assert depth_exceeds(value, most) == (depth > most)


class TestSlowCaller:
    async def test_it_delays_only_its_own_answer(self) -> None:
        """A caller requests a stream and stops reading. The target sends far more than
        any buffer should hold: the sidecar's credit must be used up, while another
        caller of the same target gets its complete answer.
        """
        piece = b"word " * 2000
        sent: dict[bytes, int] = {}

        async def script(call: Call) -> None:
            call.started()
            n_pieces = 3000 if b"long" in call.body else 1
            for seq in range(n_pieces):
                await until(lambda: call.credit_bytes > 0)
                call.chunk(seq, piece)
                call.credit_bytes -= len(piece)
                sent[call.start.attempt_id] = (seq + 1) * len(piece)
            call.end(*[piece] * n_pieces)

        sidecar = FakeSidecar(service="gen", name="t1", script=script)
        published = catalogue(engine_stage(), deadline_s=60.0)
        async with gateway_harness(sidecar, published=published) as b:
            address = b.gateway.server.address
            _, writer = await asyncio.open_connection(
                address.ip, address.port, limit=1024
            )
            writer.write(
                b"POST /v1/pipelines/p HTTP/1.1\r\nHost: g\r\n"
                b"X-Client-Account: club\r\nAccept: text/event-stream\r\n"
                b"Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nlong"
            )
            await until(lambda: bool(sidecar.calls))
            slow = sidecar.calls[0]
            # Credit is returned as long as buffers on the path have space.
            n_checks_without_credit = 0
            async with asyncio.timeout(20):
                while n_checks_without_credit < 50:
                    n_checks_without_credit = (
                        n_checks_without_credit + 1 if slow.credit_bytes <= 0 else 0
                    )
                    await asyncio.sleep(0.005)
            async with b.post(data="x", Accept="text/event-stream") as quick:
                assert "event: end" in await quick.text()
            # Socket buffers of both sides, plus credit and one high-water mark.
            max_held_bytes = 12 * 1024 * 1024 + 4 * CHUNK_BYTES
            assert sent[slow.start.attempt_id] < max_held_bytes
            assert not slow.is_acked.is_set()
            writer.close()
            await until(slow.is_cancelled.is_set)
