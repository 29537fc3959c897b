"""Length-prefixed frames: a kind, a call number and one thrift struct.

A frame is ``length:u32 kind:u8 call:u32 body``, big-endian; the length counts
all bytes after itself. A message with call number 0 expects no reply.
"""

import struct
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from .const import MAX_FRAME_BYTES, MAX_ITEMS
from .gen.chain import ttypes as chain
from .gen.claims import ttypes as claims
from .gen.config import ttypes as config
from .gen.explain import ttypes as explain
from .gen.limits import ttypes as limits
from .gen.membership import ttypes as membership
from .gen.placement import ttypes as placement
from .gen.stage import ttypes as stage

HEADER: Final = struct.Struct(">IBI")
LENGTH_BYTES: Final = 4
KIND_AND_CALL_BYTES: Final = HEADER.size - LENGTH_BYTES

Message = Any
"""A generated thrift struct; the kind of the frame determines its type."""

KINDS: Final[Mapping[int, type]] = {
    1: stage.Hello,
    2: stage.Heartbeat,
    3: stage.Closing,
    10: stage.Start,
    11: stage.BodyChunk,
    12: stage.Queued,
    13: stage.Ready,
    14: stage.Go,
    15: stage.Started,
    16: stage.Chunk,
    17: stage.End,
    18: stage.Failure,
    19: stage.Ack,
    20: stage.Credit,
    21: stage.Fetch,
    22: stage.Cancel,
    23: stage.Bar,
    24: stage.BarAnswer,
    40: config.ConfigPull,
    41: config.ConfigDelta,
    50: membership.Gossip,
    51: membership.GossipAnswer,
    60: claims.Claim,
    61: claims.ClaimAnswer,
    62: claims.Settle,
    63: claims.SettleAnswer,
    64: claims.ClaimCopy,
    65: claims.CopyAnswer,
    66: claims.ClaimSync,
    67: claims.SyncAnswer,
    70: limits.LeaseAsk,
    71: limits.LeaseAnswer,
    75: placement.Holdings,
    80: explain.ExplainAsk,
    81: explain.ExplainAnswer,
    82: explain.StatusAsk,
    83: explain.StatusAnswer,
    90: chain.RunChain,
    91: chain.ChainAnswer,
    92: chain.FreeChain,
    93: chain.ResultsFreed,
    94: chain.StorePull,
    95: chain.StoreState,
    96: chain.StoreNews,
    97: chain.TakeCell,
    98: chain.CellTaken,
    99: chain.CrashNews,
    100: chain.LimitNews,
    101: chain.TablePull,
    102: chain.TablePart,
    103: chain.StreamsBegun,
    104: chain.FindOrigin,
    105: chain.OriginFound,
    106: chain.CatchUpPull,
    107: chain.CatchUpState,
    108: chain.SlotReport,
    109: chain.SlotGrant,
    110: chain.ServiceNews,
}
NEWEST_KIND: Final = max(KINDS)
"""Newest kind of frame that this build reads; hellos state it."""

NEWEST_UNSTATED_KIND: Final = 100
"""Newest kind that builds read whose hellos do not state theirs."""

KIND_OF: Final[Mapping[type, int]] = {cls: kind for kind, cls in KINDS.items()}

# Created once: creating a protocol takes as long as writing a small struct with it.
# The accelerated protocol keeps no state between two structs except its transport.
_WRITER: Final = TCompactProtocolAccelerated(TMemoryBuffer(), fallback=False)
_READER: Final = TCompactProtocolAccelerated(
    TMemoryBuffer(),
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_ITEMS,
    fallback=False,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Frame:
    """One message with its call number; 0 for a message that expects no reply."""

    call: int
    message: Message


def encode(message: Message, *, call: int = 0) -> bytes:
    """Return the frame of `message` as bytes.

    Raises
    ------
    ValueError
        If the frame would exceed ``MAX_FRAME_BYTES``; callers have to split bodies
        into chunks.
    """
    buffer = TMemoryBuffer()
    _WRITER.trans = buffer
    message.write(_WRITER)
    body: bytes = buffer.getvalue()
    n_bytes = KIND_AND_CALL_BYTES + len(body)
    if n_bytes + LENGTH_BYTES > MAX_FRAME_BYTES:
        raise ValueError(f"{type(message).__name__} of {n_bytes} bytes is too large")
    return HEADER.pack(n_bytes, KIND_OF[type(message)], call) + body


def is_read_by(peer: stage.Hello, message: Message) -> bool:
    """Return True if the build of a peer can read a message.

    It would close the connection on a kind of frame that it does not know.
    """
    newest = max(peer.newest_kind, NEWEST_UNSTATED_KIND)
    return KIND_OF[type(message)] <= newest


def decode(rest: bytes) -> Result[Frame, str]:
    """Return the frame whose bytes after the length are `rest`.

    Returns
    -------
    Result[Frame, str]
        The frame, or why the bytes are not a known message.
    """
    if len(rest) < KIND_AND_CALL_BYTES:
        return Err(f"frame of {len(rest)} bytes is shorter than its header")
    kind = rest[0]
    cls = KINDS.get(kind)
    if cls is None:
        return Err(f"frame kind {kind} is not known in this version")
    message = cls()
    _READER.trans = TMemoryBuffer(rest[KIND_AND_CALL_BYTES:])
    try:
        message.read(_READER)
    except Exception as error:  # the decoder raises many types on invalid bytes
        return Err(f"{cls.__name__} cannot be read: {error!r}")
    return Ok(Frame(call=int.from_bytes(rest[1:KIND_AND_CALL_BYTES]), message=message))
