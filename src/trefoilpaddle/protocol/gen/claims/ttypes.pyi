class ClaimState:
    NEW: int
    IN_PROGRESS: int
    DONE: int
    NOT_MINE: int
    UNKNOWN: int
    MISMATCH: int
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
    def __init__(self, *, key: str = ..., request_id: str = ..., gateway: str = ..., gateway_incarnation: int = ..., hosts_revision: int = ..., home_incarnation: int = ..., fingerprint: int = ..., idempotent: bool = ...) -> None: ...
class ClaimAnswer:
    state: int
    request_id: str
    gateway: str
    hosts_revision: int
    result: bytes
    detail: str
    def __init__(self, *, state: int = ..., request_id: str = ..., gateway: str = ..., hosts_revision: int = ..., result: bytes = ..., detail: str = ...) -> None: ...
class Settle:
    key: str
    request_id: str
    run: bool
    result: bytes
    def __init__(self, *, key: str = ..., request_id: str = ..., run: bool = ..., result: bytes = ...) -> None: ...
class SettleAnswer:
    known: bool
    def __init__(self, *, known: bool = ...) -> None: ...
class ClaimMove:
    key: str
    hosts_revision: int
    def __init__(self, *, key: str = ..., hosts_revision: int = ...) -> None: ...
