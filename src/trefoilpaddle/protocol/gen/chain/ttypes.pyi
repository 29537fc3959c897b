class ChainStage:
    service_name: str
    after: list[int]
    result_bytes: float
    n_pieces: int
    def __init__(self, *, service_name: str = ..., after: list[int] = ..., result_bytes: float = ..., n_pieces: int = ...) -> None: ...
class MadePiece:
    stage: int
    piece: int
    handle: str
    worker_id: str
    born_ms: int
    def __init__(self, *, stage: int = ..., piece: int = ..., handle: str = ..., worker_id: str = ..., born_ms: int = ...) -> None: ...
class RunChain:
    cell: str
    request_id: str
    route: str
    stages: list[ChainStage]
    piece_key: str
    due_in_ms: int
    deadline_in_ms: int
    must_be_on_time: bool
    priority: int
    failure_domains: list[str]
    near: str
    made: list[MadePiece]
    fingerprint: str
    account: int
    weight_milli: int
    goes_on: bool
    def __init__(self, *, cell: str = ..., request_id: str = ..., route: str = ..., stages: list[ChainStage] = ..., piece_key: str = ..., due_in_ms: int = ..., deadline_in_ms: int = ..., must_be_on_time: bool = ..., priority: int = ..., failure_domains: list[str] = ..., near: str = ..., made: list[MadePiece] = ..., fingerprint: str = ..., account: int = ..., weight_milli: int = ..., goes_on: bool = ...) -> None: ...
class ChainAnswer:
    is_made: bool
    handles: list[str]
    reason: int
    is_begun: bool
    finish_s: float
    retry_after_s: float
    failure_domain: str
    moved_to: str
    made: list[MadePiece]
    def __init__(self, *, is_made: bool = ..., handles: list[str] = ..., reason: int = ..., is_begun: bool = ..., finish_s: float = ..., retry_after_s: float = ..., failure_domain: str = ..., moved_to: str = ..., made: list[MadePiece] = ...) -> None: ...
class FreeChain:
    cell: str
    request_id: str
    def __init__(self, *, cell: str = ..., request_id: str = ...) -> None: ...
class HeldResult:
    handle: str
    n_bytes: float
    left_ms: int
    def __init__(self, *, handle: str = ..., n_bytes: float = ..., left_ms: int = ...) -> None: ...
class WorkerHandover:
    worker_id: str
    born_ms: int
    busy_ms: int
    ratio: float
    busy_per_s: float
    held: list[HeldResult]
    def __init__(self, *, worker_id: str = ..., born_ms: int = ..., busy_ms: int = ..., ratio: float = ..., busy_per_s: float = ..., held: list[HeldResult] = ...) -> None: ...
class TakeCell:
    cell: str
    failure_domains: list[str]
    workers: list[WorkerHandover]
    def __init__(self, *, cell: str = ..., failure_domains: list[str] = ..., workers: list[WorkerHandover] = ...) -> None: ...
class CellTaken:
    is_taken: bool
    def __init__(self, *, is_taken: bool = ...) -> None: ...
class ResultsFreed:
    cell: str
    worker_id: str
    born_ms: int
    handles: list[str]
    def __init__(self, *, cell: str = ..., worker_id: str = ..., born_ms: int = ..., handles: list[str] = ...) -> None: ...
class ListedWorker:
    worker_id: str
    service_name: str
    address: str
    failure_domain: str
    is_leaving: bool
    born_ms: int
    cold_ms: int
    software_version: str
    n_slots: int
    def __init__(self, *, worker_id: str = ..., service_name: str = ..., address: str = ..., failure_domain: str = ..., is_leaving: bool = ..., born_ms: int = ..., cold_ms: int = ..., software_version: str = ..., n_slots: int = ...) -> None: ...
class StorePull:
    revision: int
    version: int
    digest: int
    era: int
    domain_digest: int | None
    takes_parts: bool | None
    version_digest: int | None
    slot_digest: int | None
    def __init__(self, *, revision: int = ..., version: int = ..., digest: int = ..., era: int = ..., domain_digest: int | None = ..., takes_parts: bool | None = ..., version_digest: int | None = ..., slot_digest: int | None = ...) -> None: ...
class TablePull:
    version: int
    from_byte: int
    def __init__(self, *, version: int = ..., from_byte: int = ...) -> None: ...
class TablePart:
    version: int
    from_byte: int
    n_bytes: int
    checksum: int
    data: bytes
    def __init__(self, *, version: int = ..., from_byte: int = ..., n_bytes: int = ..., checksum: int = ..., data: bytes = ...) -> None: ...
class StoreState:
    revision: int
    version: int
    data: bytes
    workers: list[ListedWorker]
    is_away: bool
    lapsed: list[str]
    back_ms: int
    digest: int
    era: int
    doubted: list[ListedWorker]
    answered_ms: int
    domain_digest: int | None
    evacuated: list[str] | None
    version_digest: int | None
    view_age_ms: int | None
    table_revision: int | None
    slot_digest: int | None
    def __init__(self, *, revision: int = ..., version: int = ..., data: bytes = ..., workers: list[ListedWorker] = ..., is_away: bool = ..., lapsed: list[str] = ..., back_ms: int = ..., digest: int = ..., era: int = ..., doubted: list[ListedWorker] = ..., answered_ms: int = ..., domain_digest: int | None = ..., evacuated: list[str] | None = ..., version_digest: int | None = ..., view_age_ms: int | None = ..., table_revision: int | None = ..., slot_digest: int | None = ...) -> None: ...
class TablePiece:
    from_byte: int
    n_bytes: int
    added: bytes
    def __init__(self, *, from_byte: int = ..., n_bytes: int = ..., added: bytes = ...) -> None: ...
class TableChange:
    base_version: int
    checksum: int
    pieces: list[TablePiece]
    def __init__(self, *, base_version: int = ..., checksum: int = ..., pieces: list[TablePiece] = ...) -> None: ...
class EarlierList:
    era: int
    digest: int
    domain_digest: int | None
    version_digest: int | None
    slot_digest: int | None
    def __init__(self, *, era: int = ..., digest: int = ..., domain_digest: int | None = ..., version_digest: int | None = ..., slot_digest: int | None = ...) -> None: ...
class StoreNews:
    base_revision: int
    revision: int
    version: int
    workers: list[ListedWorker]
    removed: list[str]
    digest: int
    back_ms: int
    withdrawn: list[str] | None
    table: TableChange | None
    era: int
    base: EarlierList | None
    doubted: list[ListedWorker] | None
    domain_digest: int | None
    evacuated: list[str] | None
    version_digest: int | None
    reader_incarnation: int | None
    sent_ms: int | None
    view_age_ms: int | None
    table_revision: int | None
    slot_digest: int | None
    def __init__(self, *, base_revision: int = ..., revision: int = ..., version: int = ..., workers: list[ListedWorker] = ..., removed: list[str] = ..., digest: int = ..., back_ms: int = ..., withdrawn: list[str] | None = ..., table: TableChange | None = ..., era: int = ..., base: EarlierList | None = ..., doubted: list[ListedWorker] | None = ..., domain_digest: int | None = ..., evacuated: list[str] | None = ..., version_digest: int | None = ..., reader_incarnation: int | None = ..., sent_ms: int | None = ..., view_age_ms: int | None = ..., table_revision: int | None = ..., slot_digest: int | None = ...) -> None: ...
class WorkerCrash:
    worker_id: str
    born_ms: int
    ended_ms: int
    level: int
    def __init__(self, *, worker_id: str = ..., born_ms: int = ..., ended_ms: int = ..., level: int = ...) -> None: ...
class CrashedWorkers:
    fingerprint: str
    crashes: list[WorkerCrash]
    def __init__(self, *, fingerprint: str = ..., crashes: list[WorkerCrash] = ...) -> None: ...
class SuspectRun:
    fingerprint: str
    worker_id: str
    for_ms: int
    run_id: int
    def __init__(self, *, fingerprint: str = ..., worker_id: str = ..., for_ms: int = ..., run_id: int = ...) -> None: ...
class CrashNews:
    crashed: list[CrashedWorkers]
    cleared: list[str]
    runs: list[SuspectRun]
    def __init__(self, *, crashed: list[CrashedWorkers] = ..., cleared: list[str] = ..., runs: list[SuspectRun] = ...) -> None: ...
class ServedVersion:
    service_name: str
    software_version: str
    ended_ms: int
    def __init__(self, *, service_name: str = ..., software_version: str = ..., ended_ms: int = ...) -> None: ...
class VersionCount:
    software_version: str
    n_workers: int
    def __init__(self, *, software_version: str = ..., n_workers: int = ...) -> None: ...
class ServedSplit:
    service_name: str
    counts: list[VersionCount]
    ended_ms: int
    n_unknown: int
    def __init__(self, *, service_name: str = ..., counts: list[VersionCount] = ..., ended_ms: int = ..., n_unknown: int = ...) -> None: ...
class ServedNews:
    known_ms: int
    versions: list[ServedVersion]
    splits: list[ServedSplit]
    def __init__(self, *, known_ms: int = ..., versions: list[ServedVersion] = ..., splits: list[ServedSplit] = ...) -> None: ...
class CatchUpPull:
    def __init__(self, ) -> None: ...
class CatchUpState:
    is_complete: bool
    crashes: CrashNews | None
    served: ServedNews | None
    limits: LimitNews | None
    def __init__(self, *, is_complete: bool = ..., crashes: CrashNews | None = ..., served: ServedNews | None = ..., limits: LimitNews | None = ...) -> None: ...
class NamedLimit:
    worker_id: str
    born_ms: int
    rate_per_s: float
    heard_ms: int
    def __init__(self, *, worker_id: str = ..., born_ms: int = ..., rate_per_s: float = ..., heard_ms: int = ...) -> None: ...
class LimitNews:
    limits: list[NamedLimit]
    def __init__(self, *, limits: list[NamedLimit] = ...) -> None: ...
class StreamOrigin:
    key: bytes
    software_version: str
    life_ms: int
    def __init__(self, *, key: bytes = ..., software_version: str = ..., life_ms: int = ...) -> None: ...
class StreamsBegun:
    origins: list[StreamOrigin]
    def __init__(self, *, origins: list[StreamOrigin] = ...) -> None: ...
class FindOrigin:
    key: bytes
    service_name: str
    life_ms: int
    def __init__(self, *, key: bytes = ..., service_name: str = ..., life_ms: int = ...) -> None: ...
class OriginFound:
    is_known: bool
    software_version: str
    sole_version: str | None
    has_several: bool
    def __init__(self, *, is_known: bool = ..., software_version: str = ..., sole_version: str | None = ..., has_several: bool = ...) -> None: ...
class AccountDemand:
    account: int
    weight_milli: int
    offered_milli: int
    n_running: int
    n_waiting: int
    def __init__(self, *, account: int = ..., weight_milli: int = ..., offered_milli: int = ..., n_running: int = ..., n_waiting: int = ...) -> None: ...
class SlotReport:
    service_name: str
    accounts: list[AccountDemand]
    n_slots: int
    n_workers: int
    base_ms: int
    n_answered: int
    n_sheds: int
    may_grow: bool
    is_leaving: bool
    workers: list[WorkerUse]
    def __init__(self, *, service_name: str = ..., accounts: list[AccountDemand] = ..., n_slots: int = ..., n_workers: int = ..., base_ms: int = ..., n_answered: int = ..., n_sheds: int = ..., may_grow: bool = ..., is_leaving: bool = ..., workers: list[WorkerUse] = ...) -> None: ...
class WorkerUse:
    worker_id: str
    born_ms: int
    n_running: int
    def __init__(self, *, worker_id: str = ..., born_ms: int = ..., n_running: int = ...) -> None: ...
class AccountShare:
    account: int
    share_milli: int
    def __init__(self, *, account: int = ..., share_milli: int = ...) -> None: ...
class SlotGrant:
    service_name: str
    is_known: bool
    is_contended: bool
    total_milli: int
    level_milli: int
    n_gateways: int
    shares: list[AccountShare]
    workers: list[WorkerUse]
    def __init__(self, *, service_name: str = ..., is_known: bool = ..., is_contended: bool = ..., total_milli: int = ..., level_milli: int = ..., n_gateways: int = ..., shares: list[AccountShare] = ..., workers: list[WorkerUse] = ...) -> None: ...
class LeftOutWorker:
    worker_id: str
    born_ms: int
    for_ms: int
    def __init__(self, *, worker_id: str = ..., born_ms: int = ..., for_ms: int = ...) -> None: ...
class ServiceNews:
    contended: list[str]
    left_out: list[LeftOutWorker]
    def __init__(self, *, contended: list[str] = ..., left_out: list[LeftOutWorker] = ...) -> None: ...
