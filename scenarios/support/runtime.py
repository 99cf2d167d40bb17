"""Runs one scenario in one trio loop on a mock clock, deterministically, and freezes VMs.

A paused VM is frozen in the scheduler: tasks below the VM's nursery that become runnable are kept
aside until the VM resumes. So a paused VM runs no code at all, its sockets keep accepting and
buffering as a kernel does, and on resuming all timers that have passed fire at once. Not covered:
the pause begins between two steps of a task, never in the middle of code without an await.

trio has no public interface for this, so the runner's scheduling method is wrapped.
"""

import queue
import random
import secrets
import threading
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import outcome
import trio
from trio._core import _run
from trio.testing import MockClock

# Real time; a step that takes longer runs in circles without letting the clock advance.
STEP_LIMIT_S = 30.0
_SCHEDULE = _run.Runner.reschedule


class Freezer:
    """Keeps runnable tasks of paused VMs out of the run queue."""

    def __init__(self) -> None:
        self._held: dict[trio.Nursery, list[trio.lowlevel.Task]] = {}

    def pause(self, nursery: trio.Nursery) -> None:
        """Freeze all tasks below a nursery; the caller runs outside of it."""
        self._held[nursery] = []
        runner = _run.GLOBAL_RUN_CONTEXT.runner
        for task in list(runner.runq):
            self.take(runner, task)

    def resume(self, nursery: trio.Nursery) -> None:
        """Let the tasks run again."""
        runner = _run.GLOBAL_RUN_CONTEXT.runner
        runner.runq.extend(self._held.pop(nursery, ()))

    def take(self, runner: Any, task: trio.lowlevel.Task) -> None:
        """Move a task that was made runnable aside if its VM is paused."""
        nursery = task.parent_nursery
        while self._held and nursery is not None:
            if nursery in self._held:
                runner.runq.remove(task)
                self._held[nursery].append(task)
                return
            nursery = nursery.parent_task.parent_nursery


def install(freezer: Freezer, seed: int) -> None:
    """Make trio and the ids of the product repeatable, and scheduling subject to the freezer."""

    def reschedule(runner, task, next_send=_run._NO_SEND):
        _SCHEDULE(runner, task, next_send)
        freezer.take(runner, task)

    ids = random.Random(f"ids/{seed}")
    _run.Runner.reschedule = reschedule
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    secrets.token_hex = lambda size=16: ids.randbytes(size).hex()
    uuid.uuid4 = lambda: uuid.UUID(int=ids.getrandbits(128), version=4)


class Stage:
    """Runs steps of a scenario one after another in a trio loop on a thread of its own.

    Between two steps the loop is blocked, so no time passes there.
    """

    def __init__(self, seed: int, make: Callable[[trio.Nursery, Freezer], Any]) -> None:
        self._steps: queue.SimpleQueue = queue.SimpleQueue()
        self._results: queue.SimpleQueue = queue.SimpleQueue()
        freezer = Freezer()
        install(freezer, seed)
        self._thread = threading.Thread(target=self._run, args=(freezer, make), daemon=True)
        self._thread.start()
        self.tier = self._results.get().unwrap()

    def run(self, step: Callable[..., Awaitable[Any]], *args: Any, **kwargs: Any) -> Any:
        """Run one step to its end and return its result."""
        self._steps.put(lambda: step(*args, **kwargs))
        return self._results.get(timeout=STEP_LIMIT_S).unwrap()

    def close(self) -> None:
        """End the loop and all VMs."""
        self._steps.put(None)
        self._results.get(timeout=STEP_LIMIT_S).unwrap()

    def _run(self, freezer: Freezer, make: Callable) -> None:
        clock = MockClock(autojump_threshold=0)
        self._results.put(outcome.capture(trio.run, self._play, freezer, make, clock=clock))

    async def _play(self, freezer: Freezer, make: Callable) -> None:
        async with trio.open_nursery() as nursery:
            self._results.put(outcome.Value(make(nursery, freezer)))
            while (step := self._steps.get()) is not None:
                self._results.put(await outcome.acapture(step))
            nursery.cancel_scope.cancel()
