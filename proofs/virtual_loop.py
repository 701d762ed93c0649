"""Runs the tasks of several processes on one virtual clock.

It replaces ``aio.sleep``, ``aio.spawn`` and ``aio.timeout``, so that the
coroutines of the product run unchanged. A process can be stalled at any
await: none of its tasks and timers runs until the stall has ended, while the
store, the upstreams and the other processes go on. That is how a frozen VM
and a late event loop look from outside.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
from datetime import datetime
from datetime import timedelta
import random
from types import TracebackType
from typing import Any

from goldcresthaven import clock
from goldcresthaven import errors
from proofs import sim_world

# Tasks and timers that a stall has delayed run in any order within this time.
WAKE_SPREAD = 0.001  # seconds


class _Expired(Exception):
    """Ends a block of ``Timeout``."""


class Cancelled(BaseException):
    """Ends a cancelled task."""


class Wait:
    """Suspends a task until ``wake`` is called; used once."""

    def __init__(self, loop: 'Loop') -> None:
        self._loop = loop
        self._task: Task | None = None
        self._woken = False
        self._value: Any = None

    def __await__(self) -> Generator['Wait', Any, Any]:
        if self._loop.closing:
            return None
        return (yield self)

    def wake(self, value: Any = None) -> None:
        """Resume the task with a value, or with an exception to raise."""
        if self._woken:
            return
        self._woken = True
        self._value = value
        if self._task is not None:
            self._task.resume(self, value)

    def attach(self, task: 'Task') -> None:
        self._task = task
        if self._woken:
            task.resume(self, self._value)

    def abandon(self) -> None:
        self._woken = True


class Task:
    """A coroutine that runs in one process."""

    def __init__(
        self, process: 'Process', coro: Coroutine[Any, Any, Any]
    ) -> None:
        self._process = process
        self.coro = coro
        self._wait: Wait | None = None
        self.terminated = False

    async def cancel(self) -> bool:
        if not self.terminated:
            if self._wait is not None:
                self._wait.abandon()
            self._process.run(lambda: self.step(Cancelled()))
        return True

    async def join(self) -> None:
        while not self.terminated:
            await self._process.sleep(0.01)

    def resume(self, wait: Wait, value: Any) -> None:
        def step() -> None:
            if self._wait is wait:
                self.step(value)

        self._process.run(step)

    def interrupt(self, exc: BaseException) -> None:
        """Raise an exception in the task at its current await."""
        if self._wait is not None:
            self._wait.abandon()
        self.step(exc)

    def step(self, value: Any) -> None:
        if self.terminated:
            return
        loop = self._process.loop
        self._wait = None
        previous, loop.current = loop.current, self
        try:
            if isinstance(value, BaseException):
                wait = self.coro.throw(value)
            else:
                wait = self.coro.send(value)
        except (StopIteration, Cancelled):
            self.terminated = True
            return
        finally:
            loop.current = previous
        self._wait = wait
        wait.attach(self)

    @property
    def process(self) -> 'Process':
        return self._process


class Process:
    """One process with its clock; its tasks stop for good when it ends.

    ``rate`` is the speed of its clock.
    """

    def __init__(self, loop: 'Loop', name: str, *, rate: float = 1.0) -> None:
        self.loop = loop
        self.name = name
        self.ended = False
        self.stalled_until = 0.0
        self.clock = ProcessClock(loop, rate)
        self._tasks: list[Task] = []

    def start(self, coro: Coroutine[Any, Any, Any]) -> Task:
        task = Task(self, coro)
        self._tasks.append(task)
        self.run(lambda: task.step(None))
        return task

    def end(self) -> None:
        self.ended = True

    def stall(self, duration: float) -> None:
        """Run nothing in this process for a time."""
        until = self.loop.now + duration
        self.stalled_until = max(self.stalled_until, until)

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback in the process as soon as it is not stalled."""
        self.loop.at(self.loop.now, lambda: self._run_unstalled(callback))

    def _run_unstalled(self, callback: Callable[[], None]) -> None:
        if self.ended:
            return
        if self.stalled_until > self.loop.now:
            spread = self.loop.rng.uniform(0.0, WAKE_SPREAD)
            self.loop.at(
                self.stalled_until + spread,
                lambda: self._run_unstalled(callback),
            )
            return
        self.loop.before_step(self)
        if self.stalled_until > self.loop.now:
            self._run_unstalled(callback)
            return
        callback()

    async def sleep(self, seconds: float) -> None:
        wait = Wait(self.loop)
        self.loop.at(self.loop.now + max(seconds, 0.0), wait.wake)
        await wait

    def close(self) -> None:
        for task in self._tasks:
            task.coro.close()


class ProcessClock:
    """Implements ``clock.Clock`` for one process."""

    def __init__(self, loop: 'Loop', rate: float) -> None:
        self._loop = loop
        self._rate = rate
        self._offset = 1000.0

    def now(self) -> datetime:
        return clock.DEFAULT_START + self.elapsed()

    def elapsed(self) -> timedelta:
        return timedelta(seconds=self._offset + self._rate * self._loop.now)


class Loop(sim_world.Schedule):
    """Runs the tasks of all processes; times are in seconds.

    ``before_step`` is called before each step of a process, and may stall
    it.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.closing = False
        self.current: Task | None = None
        self.before_step: Callable[[Process], None] = lambda process: None

    # Replacements for functions of ``aio``

    async def sleep(self, duration: timedelta) -> None:
        await self._process().sleep(duration.total_seconds())

    async def spawn(self, coro: Coroutine[Any, Any, Any]) -> Task:
        return self._process().start(coro)

    def timeout(self, duration: timedelta) -> 'Timeout':
        return Timeout(self, duration)

    def _process(self) -> Process:
        assert self.current is not None
        return self.current.process


class Timeout:
    """Replaces ``aio.timeout``; a stalled process notices it late."""

    def __init__(self, loop: Loop, duration: timedelta) -> None:
        self._loop = loop
        self._seconds = max(duration.total_seconds(), 0.0)
        self._active = False
        self._expired = _Expired()

    async def __aenter__(self) -> None:
        task = self._loop.current
        assert task is not None
        self._active = True

        def expire() -> None:
            if self._active:
                self._active = False
                task.interrupt(self._expired)

        self._loop.after(self._seconds, lambda: task.process.run(expire))

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._active = False
        if value is self._expired:
            raise errors.DeadlineExceeded(
                f'no result within {self._seconds:.3f} s',
                remedy='none, this is a simulation',
            ) from None
