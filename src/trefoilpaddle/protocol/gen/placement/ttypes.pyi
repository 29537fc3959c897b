class ModelUse:
    name: str
    loaded: bool
    demand: float
    def __init__(self, *, name: str = ..., loaded: bool = ..., demand: float = ...) -> None: ...
class Holdings:
    process_id: str
    service_name: str
    models: list[ModelUse]
    def __init__(self, *, process_id: str = ..., service_name: str = ..., models: list[ModelUse] = ...) -> None: ...
