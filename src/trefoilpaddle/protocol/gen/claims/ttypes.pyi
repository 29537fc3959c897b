class ClaimState:
    NEW: int
    IN_PROGRESS: int
    DONE: int
    NOT_MINE: int
    UNKNOWN: int
    MISMATCH: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class CopyKind:
    COPY: int
    MOVE: int
    PEEK: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class Claim:
    key: str
    request_id: str
    gateway: str
    gateway_incarnation: int
    hosts_revision: int
    home_incarnation: int
    fingerprint: int
    idempotent: bool
    budget_ms: int
    grant: int
    def __init__(self, *, key: str = ..., request_id: str = ..., gateway: str = ..., gateway_incarnation: int = ..., hosts_revision: int = ..., home_incarnation: int = ..., fingerprint: int = ..., idempotent: bool = ..., budget_ms: int = ..., grant: int = ...) -> None: ...
class ClaimAnswer:
    state: int
    request_id: str
    gateway: str
    hosts_revision: int
    result: bytes
    detail: str
    has_result: bool
    retry_after_ms: int
    def __init__(self, *, state: int = ..., request_id: str = ..., gateway: str = ..., hosts_revision: int = ..., result: bytes = ..., detail: str = ..., has_result: bool = ..., retry_after_ms: int = ...) -> None: ...
class Settle:
    key: str
    request_id: str
    run: bool
    result: bytes
    has_result: bool
    grant: int
    def __init__(self, *, key: str = ..., request_id: str = ..., run: bool = ..., result: bytes = ..., has_result: bool = ..., grant: int = ...) -> None: ...
class SettleAnswer:
    known: bool
    def __init__(self, *, known: bool = ...) -> None: ...
class ClaimCopy:
    kind: int
    claim: Claim | None
    def __init__(self, *, kind: int = ..., claim: Claim | None = ...) -> None: ...
class Places:
    hosts_revision: int
    process_ids: list[str]
    addresses: list[str]
    def __init__(self, *, hosts_revision: int = ..., process_ids: list[str] = ..., addresses: list[str] = ...) -> None: ...
class CopyAnswer:
    answer: ClaimAnswer | None
    complete: bool
    former: list[Places]
    learned_from: list[str]
    def __init__(self, *, answer: ClaimAnswer | None = ..., complete: bool = ..., former: list[Places] = ..., learned_from: list[str] = ...) -> None: ...
class ClaimSync:
    after_key: str
    def __init__(self, *, after_key: str = ...) -> None: ...
class KnownClaim:
    claim: Claim | None
    done: bool
    result: bytes
    has_result: bool
    overdue_in_ms: int
    expires_in_ms: int
    moved: bool
    def __init__(self, *, claim: Claim | None = ..., done: bool = ..., result: bytes = ..., has_result: bool = ..., overdue_in_ms: int = ..., expires_in_ms: int = ..., moved: bool = ...) -> None: ...
class KnownList:
    hosts_revision: int
    process_ids: list[str]
    addresses: list[str]
    failure_domains: list[str]
    replaced_ago_ms: int
    def __init__(self, *, hosts_revision: int = ..., process_ids: list[str] = ..., addresses: list[str] = ..., failure_domains: list[str] = ..., replaced_ago_ms: int = ...) -> None: ...
class SyncAnswer:
    claims: list[KnownClaim]
    more: bool
    complete: bool
    lists: list[KnownList]
    def __init__(self, *, claims: list[KnownClaim] = ..., more: bool = ..., complete: bool = ..., lists: list[KnownList] = ...) -> None: ...
