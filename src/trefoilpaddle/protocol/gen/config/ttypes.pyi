class Item:
    key: str
    revision: int
    value: bytes
    deleted: bool
    def __init__(self, *, key: str = ..., revision: int = ..., value: bytes = ..., deleted: bool = ...) -> None: ...
class ConfigPull:
    known_revision: int
    known_hosts_revision: int
    def __init__(self, *, known_revision: int = ..., known_hosts_revision: int = ...) -> None: ...
class ConfigDelta:
    revision: int
    base_revision: int
    full: bool
    items: list[Item]
    hosts_revision: int
    hosts: bytes
    digest: int
    def __init__(self, *, revision: int = ..., base_revision: int = ..., full: bool = ..., items: list[Item] = ..., hosts_revision: int = ..., hosts: bytes = ..., digest: int = ...) -> None: ...
