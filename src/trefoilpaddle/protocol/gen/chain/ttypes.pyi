class Piece:
    request_id: str
    route: str
    stage: int
    piece: int
    key: str
    inputs: list[str]
    has_inputs: bool
    result_bytes: float
    due_in_ms: int
    deadline_in_ms: int
    def __init__(self, *, request_id: str = ..., route: str = ..., stage: int = ..., piece: int = ..., key: str = ..., inputs: list[str] = ..., has_inputs: bool = ..., result_bytes: float = ..., due_in_ms: int = ..., deadline_in_ms: int = ...) -> None: ...
class MakePieces:
    worker_id: str
    pieces: list[Piece]
    def __init__(self, *, worker_id: str = ..., pieces: list[Piece] = ...) -> None: ...
class PieceEnd:
    handle: str
    fault: str
    def __init__(self, *, handle: str = ..., fault: str = ...) -> None: ...
class PiecesMade:
    ends: list[PieceEnd]
    wait_s: float
    def __init__(self, *, ends: list[PieceEnd] = ..., wait_s: float = ...) -> None: ...
class DropPieces:
    request_id: str
    worker_id: str
    def __init__(self, *, request_id: str = ..., worker_id: str = ...) -> None: ...
class FreeResults:
    worker_id: str
    handles: list[str]
    def __init__(self, *, worker_id: str = ..., handles: list[str] = ...) -> None: ...
class ListedWorker:
    worker_id: str
    service_name: str
    address: str
    failure_domain: str
    is_leaving: bool
    def __init__(self, *, worker_id: str = ..., service_name: str = ..., address: str = ..., failure_domain: str = ..., is_leaving: bool = ...) -> None: ...
class StorePull:
    revision: int
    version: int
    def __init__(self, *, revision: int = ..., version: int = ...) -> None: ...
class StoreState:
    revision: int
    version: int
    data: bytes
    workers: list[ListedWorker]
    is_away: bool
    def __init__(self, *, revision: int = ..., version: int = ..., data: bytes = ..., workers: list[ListedWorker] = ..., is_away: bool = ...) -> None: ...
