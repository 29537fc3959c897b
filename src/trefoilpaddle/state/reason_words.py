"""Text of each reason, as a clause that follows "because"."""

from typing import Final

from ..protocol.reasons import Reason

REASON_CLAUSES: Final = {
    Reason.PREDICTED_LATE: "it could not have been done within its deadline",
    Reason.DEADLINE_PASSED: "its deadline had passed",
    Reason.LEAVING: "the target is leaving",
    Reason.QUEUE_FULL: "the target's queue is full",
    Reason.BARRED: "the gateway had given the attempt up before it started",
    Reason.TARGET_DOWN: "the target does not answer",
    Reason.TARGET_FAILED: "the target answered with an error",
    Reason.TARGET_TIMEOUT: "the target did not answer in time",
    Reason.CONNECTION_LOST: "the connection was lost",
    Reason.PEER_SILENT: "the sidecar was not heard from",
    Reason.LIMIT_RATE: "the entry's rate is used up",
    Reason.LIMIT_CONCURRENCY: "the entry has as many requests open as it may",
    Reason.LIMIT_TOKENS: "the entry's tokens are used up",
    Reason.NO_TARGET: "no target of the service takes work",
    Reason.NO_CONFIGURATION: "it is not sure yet what is in force",
    Reason.TOO_LARGE: "the body is too large",
    Reason.UNAUTHORISED: "the caller is not who it says",
    Reason.NO_ENTRY: "no entry governs it",
    Reason.CANCELLED: "it was cancelled",
    Reason.IN_PROGRESS: "an earlier try of it is still running",
    Reason.HOME_GONE: "the home of its key is gone or was restarted",
    Reason.RETRY_BUDGET: "the service's retries are used up",
    Reason.BAD_REQUEST: "the request is malformed",
    Reason.WRONG_INCARNATION: "the sidecar was restarted since",
    Reason.CORRUPT: "the bytes do not match their checksum",
    Reason.BROWNOUT: "work of this class goes first when there is too much",
    Reason.KEY_REUSED: "its key was used for another request",
    Reason.RESULT_GONE: "the held result is gone",
    Reason.SHARE_EXCEEDED: "the owner has used more than its share",
    Reason.STOPPING: "the process is stopping",
    Reason.UNKNOWN_PIPELINE: "there is no such pipeline",
    Reason.CRASHES_WORKERS: "each worker that ran it has crashed",
    Reason.RUNS_APART: "it may crash workers, and runs at one of them already",
    Reason.EVACUATED: "operators have evacuated all targets of the service",
    Reason.COLD_TARGETS: "the targets have just started and bear no more for now",
    Reason.LIMITED_TARGETS: "the targets take no more than they have had for now",
    Reason.RESTING_TARGETS: "the targets have turned requests away and rest for now",
    Reason.VERSION_GONE: "no target of the version that began the stream is left",
    Reason.ORIGIN_UNKNOWN: "no gateway knows which version began the stream",
    Reason.LIST_OUTDATED: "the gateway's list of targets may be out of date",
    Reason.MEMORY_FULL: "the process holds as many bytes of requests as it may",
    Reason.HEADERS_TOO_LARGE: "its headers are longer than allowed",
    Reason.INTERNAL: "of a fault in trefoilpaddle itself; see the log",
}

CLAUSES_BY_NAME: Final = {
    reason.name.lower(): words for reason, words in REASON_CLAUSES.items()
}


def reason_words(name: str) -> str:
    """Return the clause for the reason called `name`, or the name if it is unknown."""
    return CLAUSES_BY_NAME.get(name, name.replace("_", " "))
