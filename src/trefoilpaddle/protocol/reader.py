"""Splits a byte stream into frames, within bounds."""

from result import Err, Ok, Result

from .const import MAX_FRAME_BYTES
from .frames import KIND_AND_CALL_BYTES, LENGTH_BYTES, Frame, decode


class FrameReader:
    """Buffer that assembles received bytes into complete frames.

    A length out of bounds is an error before the bytes of the frame have arrived,
    so a peer cannot make the buffer grow beyond one frame and one read.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[list[Frame], str]:
        """Return the frames that `data` completes, or why the stream is invalid."""
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            n_bytes = int.from_bytes(self._buffer[start : start + LENGTH_BYTES])
            if not KIND_AND_CALL_BYTES <= n_bytes <= MAX_FRAME_BYTES:
                return Err(f"frame length {n_bytes} is out of bounds")
            end = start + LENGTH_BYTES + n_bytes
            if end > len(self._buffer):
                break
            match decode(bytes(self._buffer[start + LENGTH_BYTES : end])):
                case Ok(frame):
                    frames.append(frame)
                case Err(problem):
                    return Err(problem)
            start = end
        del self._buffer[:start]
        return Ok(frames)
