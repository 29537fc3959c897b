"""The interface of the processes that a replay sends requests to."""

from typing import Protocol

from .results import TargetRun


class SystemUnderTest(Protocol):
    """Running gateways, sidecars and targets, with methods to inject faults.

    Targets have their names in the deployment; gateways and sidecars are named by
    their process ids.
    """

    @property
    def gateways(self) -> tuple[str, ...]:
        """Base URLs of the ports on which the gateways serve callers."""
        ...

    def targets_of(self, service: str) -> list[str]:
        """Return the names of a service's targets; of all targets if it is empty."""
        ...

    def processes_in(self, failure_domain: str) -> list[str]:
        """Return the process ids of the gateways and sidecars in a failure domain."""
        ...

    def sidecar_of(self, target: str) -> str:
        """Return the process id of the sidecar of `target`."""
        ...

    async def set_fault(self, target: str, fault: dict[str, object]) -> None:
        """Post `fault` to a target."""
        ...

    async def kill(self, name: str) -> None:
        """Kill a target or a process at once."""
        ...

    def freeze(self, name: str) -> None:
        """Suspend a target or a process without notifying it."""
        ...

    def thaw(self, name: str) -> None:
        """Resume a frozen target or process."""
        ...

    async def clear_records(self) -> None:
        """Delete the records of all targets."""
        ...

    async def records(self) -> tuple[list[TargetRun], int]:
        """Return the calls that targets ran, and the number of unreadable targets.

        Waits for a bounded time until running calls have ended.
        """
        ...
