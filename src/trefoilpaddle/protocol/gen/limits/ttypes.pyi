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
    def __init__(self, *, entry: str = ..., kind: int = ..., want: float = ..., used: float = ...) -> None: ...
class LeaseAsk:
    gateway: str
    incarnation: int
    config_revision: int
    hosts_revision: int
    wants: list[LeaseWant]
    def __init__(self, *, gateway: str = ..., incarnation: int = ..., config_revision: int = ..., hosts_revision: int = ..., wants: list[LeaseWant] = ...) -> None: ...
class LeaseGrant:
    entry: str
    kind: int
    granted: float
    period_ms: int
    def __init__(self, *, entry: str = ..., kind: int = ..., granted: float = ..., period_ms: int = ...) -> None: ...
class LeaseAnswer:
    mine: bool
    grants: list[LeaseGrant]
    config_revision: int
    def __init__(self, *, mine: bool = ..., grants: list[LeaseGrant] = ..., config_revision: int = ...) -> None: ...
