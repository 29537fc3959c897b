class Outcome:
    OK: int
    NOT_RUN: int
    FAILED: int
    UNKNOWN: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class BarState:
    BARRED: int
    RUNNING: int
    DONE: int
    FORGOTTEN: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class OwnerLoad:
    owner: str
    queued_work_s: float
    weight: float
    def __init__(self, *, owner: str = ..., queued_work_s: float = ..., weight: float = ...) -> None: ...
class Load:
    stamp_ns: int
    n_running: int
    n_queued: int
    n_slots: int
    queued_work_s: float
    running_work_s: float
    leaving: bool
    config_revision: int
    slowness: float
    target_up: bool
    reported_age_ms: int
    owners: list[OwnerLoad]
    def __init__(self, *, stamp_ns: int = ..., n_running: int = ..., n_queued: int = ..., n_slots: int = ..., queued_work_s: float = ..., running_work_s: float = ..., leaving: bool = ..., config_revision: int = ..., slowness: float = ..., target_up: bool = ..., reported_age_ms: int = ..., owners: list[OwnerLoad] = ...) -> None: ...
class Hello:
    version: int
    process_id: str
    incarnation: int
    role: str
    failure_domain: str
    service_name: str
    target: str
    config_revision: int
    stamp_ns: int
    newest_kind: int
    def __init__(self, *, version: int = ..., process_id: str = ..., incarnation: int = ..., role: str = ..., failure_domain: str = ..., service_name: str = ..., target: str = ..., config_revision: int = ..., stamp_ns: int = ..., newest_kind: int = ...) -> None: ...
class Heartbeat:
    load: Load | None
    def __init__(self, *, load: Load | None = ...) -> None: ...
class Closing:
    def __init__(self, ) -> None: ...
class Start:
    attempt_id: bytes
    request_id: str
    pipeline: str
    stage: str
    service_name: str
    entry: str
    owner: str
    class_of_work: str
    config_revision: int
    weight: float
    brownout_order: int
    stamp_ns: int
    elapsed_ns: int
    budget_ns: int
    stage_budget_ns: int
    idempotent: bool
    predicted_s: float
    max_tokens: int
    path: str
    streams: bool
    prefix_hashes: list[int]
    body_bytes: int
    body_checksum: int
    body: bytes
    credit_bytes: int
    reserve: bool
    incarnation: int
    model: str
    attainment_weight: float
    def __init__(self, *, attempt_id: bytes = ..., request_id: str = ..., pipeline: str = ..., stage: str = ..., service_name: str = ..., entry: str = ..., owner: str = ..., class_of_work: str = ..., config_revision: int = ..., weight: float = ..., brownout_order: int = ..., stamp_ns: int = ..., elapsed_ns: int = ..., budget_ns: int = ..., stage_budget_ns: int = ..., idempotent: bool = ..., predicted_s: float = ..., max_tokens: int = ..., path: str = ..., streams: bool = ..., prefix_hashes: list[int] = ..., body_bytes: int = ..., body_checksum: int = ..., body: bytes = ..., credit_bytes: int = ..., reserve: bool = ..., incarnation: int = ..., model: str = ..., attainment_weight: float = ...) -> None: ...
class BodyChunk:
    attempt_id: bytes
    seq: int
    data: bytes
    def __init__(self, *, attempt_id: bytes = ..., seq: int = ..., data: bytes = ...) -> None: ...
class Queued:
    attempt_id: bytes
    predicted_wait_s: float
    n_ahead: int
    def __init__(self, *, attempt_id: bytes = ..., predicted_wait_s: float = ..., n_ahead: int = ...) -> None: ...
class Ready:
    attempt_id: bytes
    def __init__(self, *, attempt_id: bytes = ...) -> None: ...
class Go:
    attempt_id: bytes
    stamp_ns: int
    elapsed_ns: int
    def __init__(self, *, attempt_id: bytes = ..., stamp_ns: int = ..., elapsed_ns: int = ...) -> None: ...
class Started:
    attempt_id: bytes
    queued_s: float
    def __init__(self, *, attempt_id: bytes = ..., queued_s: float = ...) -> None: ...
class Chunk:
    attempt_id: bytes
    seq: int
    data: bytes
    def __init__(self, *, attempt_id: bytes = ..., seq: int = ..., data: bytes = ...) -> None: ...
class End:
    attempt_id: bytes
    n_chunks: int
    n_bytes: int
    checksum: int
    queued_s: float
    service_s: float
    cost_s: float
    n_prompt_tokens: int
    n_tokens: int
    n_cached_tokens: int
    load: Load | None
    def __init__(self, *, attempt_id: bytes = ..., n_chunks: int = ..., n_bytes: int = ..., checksum: int = ..., queued_s: float = ..., service_s: float = ..., cost_s: float = ..., n_prompt_tokens: int = ..., n_tokens: int = ..., n_cached_tokens: int = ..., load: Load | None = ...) -> None: ...
class Failure:
    attempt_id: bytes
    outcome: int
    reason: int
    step: str
    peer: str
    detail: str
    retry_after_s: float
    cost_s: float
    load: Load | None
    def __init__(self, *, attempt_id: bytes = ..., outcome: int = ..., reason: int = ..., step: str = ..., peer: str = ..., detail: str = ..., retry_after_s: float = ..., cost_s: float = ..., load: Load | None = ...) -> None: ...
class Ack:
    attempt_id: bytes
    def __init__(self, *, attempt_id: bytes = ...) -> None: ...
class Credit:
    attempt_id: bytes
    n_bytes: int
    def __init__(self, *, attempt_id: bytes = ..., n_bytes: int = ...) -> None: ...
class Fetch:
    attempt_id: bytes
    from_seq: int
    credit_bytes: int
    incarnation: int
    def __init__(self, *, attempt_id: bytes = ..., from_seq: int = ..., credit_bytes: int = ..., incarnation: int = ...) -> None: ...
class Cancel:
    attempt_id: bytes
    def __init__(self, *, attempt_id: bytes = ...) -> None: ...
class Bar:
    attempt_id: bytes
    incarnation: int
    def __init__(self, *, attempt_id: bytes = ..., incarnation: int = ...) -> None: ...
class BarAnswer:
    attempt_id: bytes
    state: int
    def __init__(self, *, attempt_id: bytes = ..., state: int = ...) -> None: ...
