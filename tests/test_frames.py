"""Frames: encoded frames are decoded again, and invalid bytes are refused."""

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from trefoilpaddle.protocol.frames import encode
from trefoilpaddle.protocol.gen.stage.ttypes import Chunk, Start
from trefoilpaddle.protocol.reader import FrameReader


class TestFrameReader:
    @given(
        pieces=st.lists(st.binary(max_size=300), min_size=1, max_size=8),
        cut=st.integers(min_value=1, max_value=50),
    )
    def test_frames_survive_any_cutting_of_the_stream(
        self, pieces: list[bytes], cut: int
    ) -> None:
        sent = [
            Chunk(attempt_id=b"a" * 16, seq=i, data=d) for i, d in enumerate(pieces)
        ]
        stream = b"".join(encode(message, call=3) for message in sent)
        reader = FrameReader()
        got = []
        for start in range(0, len(stream), cut):
            match reader.feed(stream[start : start + cut]):
                case Ok(frames):
                    got += frames
                case Err(problem):
                    raise AssertionError(problem)
        assert [frame.message for frame in got] == sent
        assert {frame.call for frame in got} == {3}

    @given(data=st.binary(max_size=400))
    def test_random_bytes_never_raise(self, data: bytes) -> None:
        FrameReader().feed(data)

    @given(data=st.binary(max_size=200), at=st.integers(min_value=0, max_value=60))
    def test_damaged_frames_never_raise(self, data: bytes, at: int) -> None:
        frame = bytearray(encode(Start(attempt_id=b"a" * 16, body=data)))
        at = min(at, len(frame) - 1)
        frame[at] ^= 0xFF
        FrameReader().feed(bytes(frame))

    def test_a_length_out_of_bounds_is_refused_before_its_bytes_arrive(self) -> None:
        assert FrameReader().feed(b"\xff\xff\xff\xff").is_err()
