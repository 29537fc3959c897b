class MemberState:
    LIVE: int
    SUSPECT: int
    LEAVING: int
    DEAD: int
    _VALUES_TO_NAMES: dict[int, str]
    _NAMES_TO_VALUES: dict[str, int]
class Member:
    process_id: str
    incarnation: int
    address: str
    role: str
    failure_domain: str
    service_name: str
    target: str
    state: int
    beat: int
    config_revision: int
    hosts_revision: int
    region: str
    millicores: int
    leaving_ms: int | None
    def __init__(self, *, process_id: str = ..., incarnation: int = ..., address: str = ..., role: str = ..., failure_domain: str = ..., service_name: str = ..., target: str = ..., state: int = ..., beat: int = ..., config_revision: int = ..., hosts_revision: int = ..., region: str = ..., millicores: int = ..., leaving_ms: int | None = ...) -> None: ...
class DomainDigest:
    failure_domain: str
    digest: int
    def __init__(self, *, failure_domain: str = ..., digest: int = ...) -> None: ...
class Gossip:
    sender: str
    members: list[Member]
    digest: int
    domains: list[DomainDigest]
    def __init__(self, *, sender: str = ..., members: list[Member] = ..., digest: int = ..., domains: list[DomainDigest] = ...) -> None: ...
class GossipAnswer:
    members: list[Member]
    digest: int
    domains: list[DomainDigest]
    def __init__(self, *, members: list[Member] = ..., digest: int = ..., domains: list[DomainDigest] = ...) -> None: ...
