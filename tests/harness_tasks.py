"""Tasks that record which process of the harness started them.

A test can then kill a simulated process with all its tasks.
"""

import asyncio
from contextvars import ContextVar
from typing import Any

OWNER_OF_TASK: ContextVar[str] = ContextVar("owner_of_task", default="")
KILLED_OWNERS: set[str] = set()


class OwnedTask(asyncio.Task[Any]):
    """Task that records which gateway or sidecar started it, also indirectly."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.owner = OWNER_OF_TASK.get()
        if self.owner in KILLED_OWNERS:
            # The running calls of a killed process end one by one, and each would
            # pass its slot to queued work. A killed process must not start any.
            self.cancel()


def cancel_tasks_of(owner: str) -> None:
    KILLED_OWNERS.add(owner)
    for task in asyncio.all_tasks():
        if getattr(task, "owner", "") == owner:
            task.cancel()


def name_owners_of_tasks() -> None:
    KILLED_OWNERS.clear()

    def create_task(
        loop: asyncio.AbstractEventLoop, coro: Any, **kwargs: Any
    ) -> asyncio.Task[Any]:
        return OwnedTask(coro, loop=loop, **kwargs)

    asyncio.get_running_loop().set_task_factory(create_task)
