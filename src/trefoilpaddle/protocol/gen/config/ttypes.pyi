class Item:
    key: str
    revision: int
    value: bytes
    deleted: bool
    accepted: bool
    def __init__(self, *, key: str = ..., revision: int = ..., value: bytes = ..., deleted: bool = ..., accepted: bool = ...) -> None: ...
class ConfigPull:
    known_revision: int
    known_hosts_revision: int
    after_revision: int
    shard_digests: list[int]
    def __init__(self, *, known_revision: int = ..., known_hosts_revision: int = ..., after_revision: int = ..., shard_digests: list[int] = ...) -> None: ...
class ConfigDelta:
    revision: int
    base_revision: int
    full: bool
    items: list[Item]
    hosts_revision: int
    hosts: bytes
    digest: int
    more: bool
    read_age_ms: int
    def __init__(self, *, revision: int = ..., base_revision: int = ..., full: bool = ..., items: list[Item] = ..., hosts_revision: int = ..., hosts: bytes = ..., digest: int = ..., more: bool = ..., read_age_ms: int = ...) -> None: ...
