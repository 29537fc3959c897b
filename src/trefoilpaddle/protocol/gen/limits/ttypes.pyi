class LimitKind:
    REQUEST_RATE: int
    CONCURRENCY: int
    TOKEN_RATE: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class LeaseWant:
    entry: str
    kind: int
    want: float
    used: float
    returned: float
    keep: float
    need: float
    def __init__(self, *, entry: str = ..., kind: int = ..., want: float = ..., used: float = ..., returned: float = ..., keep: float = ..., need: float = ...) -> None: ...
class LeaseAsk:
    gateway: str
    incarnation: int
    config_revision: int
    hosts_revision: int
    wants: list[LeaseWant]
    home_incarnation: int
    stamp_ns: int
    elapsed_ns: int
    buckets: list[int]
    releases: list[int]
    leaving: bool
    def __init__(self, *, gateway: str = ..., incarnation: int = ..., config_revision: int = ..., hosts_revision: int = ..., wants: list[LeaseWant] = ..., home_incarnation: int = ..., stamp_ns: int = ..., elapsed_ns: int = ..., buckets: list[int] = ..., releases: list[int] = ..., leaving: bool = ...) -> None: ...
class LeaseGrant:
    entry: str
    kind: int
    granted: float
    period_ms: int
    retry_after_ms: int
    contended: bool
    def __init__(self, *, entry: str = ..., kind: int = ..., granted: float = ..., period_ms: int = ..., retry_after_ms: int = ..., contended: bool = ...) -> None: ...
class LeaseAnswer:
    mine: bool
    grants: list[LeaseGrant]
    config_revision: int
    stamp_ns: int
    incarnation: int
    buckets: list[int]
    released: list[int]
    def __init__(self, *, mine: bool = ..., grants: list[LeaseGrant] = ..., config_revision: int = ..., stamp_ns: int = ..., incarnation: int = ..., buckets: list[int] = ..., released: list[int] = ...) -> None: ...
