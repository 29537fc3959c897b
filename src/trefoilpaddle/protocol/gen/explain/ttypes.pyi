class ExplainAsk:
    request_id: str
    def __init__(self, *, request_id: str = ...) -> None: ...
class ExplainAnswer:
    known: bool
    process_id: str
    records: bytes
    def __init__(self, *, known: bool = ..., process_id: str = ..., records: bytes = ...) -> None: ...
class StatusAsk:
    verbose: bool
    def __init__(self, *, verbose: bool = ...) -> None: ...
class StatusAnswer:
    process_id: str
    status: bytes
    def __init__(self, *, process_id: str = ..., status: bytes = ...) -> None: ...
