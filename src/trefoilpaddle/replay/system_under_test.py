"""What a replay needs of the processes that it plays against."""

from typing import Protocol

from .results import TargetRun


class SystemUnderTest(Protocol):
    """Running gateways, sidecars and targets; faults are done to them.

    Targets are named as in the deployment, processes of the system by their
    process id.
    """

    @property
    def gateways(self) -> tuple[str, ...]:
        """Base URLs of the callers' ports."""
        ...

    def targets_of(self, service: str) -> list[str]:
        """Return the names of a service's targets; all targets without a name."""
        ...

    def processes_in(self, failure_domain: str) -> list[str]:
        """Return the process ids of the system's processes in a domain."""
        ...

    def sidecar_of(self, target: str) -> str:
        """Return the process id of the sidecar beside `target`."""
        ...

    async def set_fault(self, target: str, fault: dict[str, object]) -> None:
        """Post `fault` to a target."""
        ...

    async def kill(self, name: str) -> None:
        """Kill a target or a process at once."""
        ...

    def freeze(self, name: str) -> None:
        """Stop a target or a process from running, with nothing told to it."""
        ...

    def thaw(self, name: str) -> None:
        """Let what was frozen go on."""
        ...

    async def clear_records(self) -> None:
        """Clear what the targets recorded so far."""
        ...

    async def records(self) -> tuple[list[TargetRun], int]:
        """Return what all targets ran, and how many could not be read.

        Waits a bounded time for targets that still run something.
        """
        ...
