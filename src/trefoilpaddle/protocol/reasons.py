"""Reasons for which a request is delayed, refused or failed, as a closed list."""

from enum import IntEnum, unique


@unique
class Reason(IntEnum):
    """Reason of a decision; its number is part of the protocol and never changes."""

    NONE = 0
    PREDICTED_LATE = 1
    DEADLINE_PASSED = 2
    LEAVING = 3
    QUEUE_FULL = 4
    BARRED = 5
    TARGET_DOWN = 6
    TARGET_FAILED = 7
    TARGET_TIMEOUT = 8
    CONNECTION_LOST = 9
    PEER_SILENT = 10
    LIMIT_RATE = 11
    LIMIT_CONCURRENCY = 12
    LIMIT_TOKENS = 13
    NO_TARGET = 14
    NO_CONFIGURATION = 15
    TOO_LARGE = 16
    UNAUTHORISED = 17
    NO_ENTRY = 18
    CANCELLED = 19
    IN_PROGRESS = 20
    HOME_GONE = 21
    RETRY_BUDGET = 22
    BAD_REQUEST = 23
    WRONG_INCARNATION = 24
    CORRUPT = 25
    BROWNOUT = 26
    KEY_REUSED = 27
    RESULT_GONE = 28
    SHARE_EXCEEDED = 29
    STOPPING = 30
    UNKNOWN_PIPELINE = 31
    INTERNAL = 32
    CRASHES_WORKERS = 33
    RUNS_APART = 34
    EVACUATED = 35
    COLD_TARGETS = 36
    LIMITED_TARGETS = 37
    RESTING_TARGETS = 38
    VERSION_GONE = 39
    ORIGIN_UNKNOWN = 40
    LIST_OUTDATED = 41
    MEMORY_FULL = 42
    HEADERS_TOO_LARGE = 43


def reason_from_wire(number: int) -> Reason:
    """Return the reason that a peer sent.

    A peer of a newer release may send a reason that this release does not know. The
    request has ended in any case, so the reason is read as ``INTERNAL``.
    """
    try:
        return Reason(number)
    except ValueError:
        return Reason.INTERNAL
