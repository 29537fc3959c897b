"""Tasks that know which process of the harness started them, to kill it whole."""

import asyncio
from contextvars import ContextVar
from typing import Any

OWNER_OF_TASK: ContextVar[str] = ContextVar("owner_of_task", default="")
DEAD_OWNERS: set[str] = set()


class OwnedTask(asyncio.Task[Any]):
    """Task that remembers which sidecar started it, however indirectly."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.owner = OWNER_OF_TASK.get()
        if self.owner in DEAD_OWNERS:
            # The running calls of a killed process end here one by one, and
            # each would hand its slot to work that waits; a dead one starts none.
            self.cancel()


def cancel_tasks_of(owner: str) -> None:
    DEAD_OWNERS.add(owner)
    for task in asyncio.all_tasks():
        if getattr(task, "owner", "") == owner:
            task.cancel()


def name_owners_of_tasks() -> None:
    DEAD_OWNERS.clear()

    def make(
        loop: asyncio.AbstractEventLoop, coro: Any, **kwargs: Any
    ) -> asyncio.Task[Any]:
        return OwnedTask(coro, loop=loop, **kwargs)

    asyncio.get_running_loop().set_task_factory(make)
