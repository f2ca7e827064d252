"""A simulated machine. It implements the ``Runtime`` of ``transport/runtime.py`` and can be killed or frozen.

The tasks of its process run through ``run_as_machine_task``, which intercepts each wait of each task. While the
machine is frozen, nothing that would end a wait reaches a task: incoming data stays in buffers, as a kernel keeps it,
and expired deadlines are deferred. When it resumes, tasks see the incoming data first and then the deadlines, in the
order in which trio's own loop handles them after a pause.
"""

import errno
import random
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from types import coroutine
from typing import Any, Protocol

import outcome
import trio
from trio.lowlevel import Abort

from rowanshift.simulation.clock import VirtualClock
from rowanshift.simulation.disk import VirtualDisk, VirtualStore
from rowanshift.transport.signals import ReceivedSignal
from rowanshift.transport.streams import Address, Listener, Port, Stream

YieldedTrap = Any  # a value that a trio coroutine yields to the scheduler


class Waiter:
    """Lets one task of a machine wait for an event of the network."""

    __slots__ = ("machine", "task")

    def __init__(self, machine: "Machine") -> None:
        self.machine, self.task = machine, None

    async def wait(self) -> None:
        if self.task is not None:
            raise trio.BusyResourceError("another task already waits for this event")
        self.task = trio.lowlevel.current_task()

        def abort(_: object) -> Abort:
            if self.task is None:  # already woken in the same turn
                return Abort.FAILED
            self.task = None
            return Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)

    def wake(self, result: outcome.Outcome[None] | None = None) -> None:
        if self.task is None:
            return
        if self.machine.frozen:
            self.machine.deferred_wakes.append((self, result))
            return
        task, self.task = self.task, None
        self.machine.network.clock.task_woken = True
        trio.lowlevel.reschedule(task, result or outcome.Value(None))


@coroutine
def _step_coroutine(machine: "Machine", coro: Any) -> Iterator[YieldedTrap]:
    """Run a trio coroutine, and defer its cancellations while the machine is frozen."""
    task, result = trio.lowlevel.current_task(), None
    try:
        while True:
            try:
                trap = coro.send(result)
            except StopIteration as stop:
                return stop.value
            if (abort := getattr(trap, "abort_func", None)) is not None:
                trap = type(trap)(machine.defer_cancel_while_frozen(task, abort))
            result = yield trap
    finally:
        coro.close()


async def run_as_machine_task(machine: "Machine", function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async function as a task of a machine."""
    return await _step_coroutine(machine, function(*args))


class MachineNursery:
    """A nursery whose children are tasks of the machine."""

    def __init__(self, machine: "Machine", nursery: trio.Nursery) -> None:
        self.machine, self.nursery = machine, nursery

    @property
    def cancel_scope(self) -> trio.CancelScope:
        return self.nursery.cancel_scope

    def start_soon(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        self.nursery.start_soon(run_as_machine_task, self.machine, function, *args)


class SignalQueue:
    """An asynchronous iterator over the signals of a process, in the order in which they were handled."""

    def __init__(self, machine: "Machine") -> None:
        self.pending: deque[ReceivedSignal] = deque()
        self.waiter = Waiter(machine)

    def put(self, received: ReceivedSignal) -> None:
        """Add a signal that was handled."""
        self.pending.append(received)
        self.waiter.wake()

    def __aiter__(self) -> "SignalQueue":
        return self

    async def __anext__(self) -> ReceivedSignal:
        if not self.pending:
            await self.waiter.wait()
        return self.pending.popleft()


class MachineNetwork(Protocol):
    """The part of ``Network`` (``rowanshift/simulation/network.py``) that a machine uses."""

    clock: VirtualClock
    seed: str

    def wall(self) -> float:
        """Return the Unix time in seconds of a clock without skew."""

    def stream(self, machine: "Machine") -> Stream:
        """Open a stream that is not connected yet."""

    def listen(self, machine: "Machine", address: Address, backlog: int) -> Listener:
        """Listen at an address; ``OSError`` if it is in use."""

    def port(self, machine: "Machine", address: Address) -> Port:
        """Open a datagram port; ``OSError`` if the address is in use."""


class Machine:
    """A machine with one address, on which one process runs at a time."""

    def __init__(
        self, network: MachineNetwork, name: str, address: str, site: int, allowed: int = 1024, skew: float = 0.0
    ) -> None:
        self.network, self.name, self.address, self.site = network, name, address, site
        self.allowed, self.skew = allowed, skew  # maximum of open descriptors; seconds by which its clock is ahead
        self.held: dict[Any, None] = {}  # open streams, listeners and ports, one descriptor each; in order of opening
        self.running = False
        self.away = False  # unreachable: packets to it are lost, and it sends none, not even a reset
        self.frozen = False
        self.process_count = 0
        self.scope = trio.CancelScope()
        self.signal_queue: SignalQueue | None = None
        self.handlers_run = True  # whether signal handlers run while the process is frozen
        self.deferred_signals: list[int] = []  # handled when the process resumes
        self.deferred_wakes: list[tuple[Waiter, outcome.Outcome[None] | None]] = []
        self.deferred_cancels: list[tuple[trio.lowlevel.Task, Any, Any]] = []
        self.max_open_resources = 0
        self.persistent_files: dict[str, bytes] = {}  # survive the end of a process
        self.drive = VirtualDisk(network.clock.current_time, random.Random(f"{network.seed}/{name}/disk"))

    # a process --------------------------------------------

    async def run(self, main: Callable[..., Awaitable[Any]], *args: Any) -> int | None:
        """Run a process to its end. Return how many descriptors it left open, or None if it was killed."""
        self.process_count += 1
        self.running, self.away = True, False
        try:
            with trio.CancelScope() as self.scope:
                await run_as_machine_task(self, main, *args)
            return None if self.scope.cancelled_caught else len(self.held)
        finally:
            self._stop(reset=True)

    def kill(self) -> None:
        """End the process at once. Nothing that its tasks do while they are cancelled reaches the network."""
        self._stop(reset=True)

    def vanish(self) -> None:
        """Make the machine unreachable, without resetting or refusing connections, until it is started again."""
        self.away = True
        self._stop(reset=False)

    def lose_power(self) -> None:
        """Make the machine unreachable as ``vanish`` does. Unsynced writes may be lost."""
        self.vanish()
        self.drive.power_loss()

    def _stop(self, reset: bool) -> None:
        if not self.running:
            return
        self.running = False
        for resource in [*self.held]:
            resource.drop(reset)
        self.held.clear()
        self.network.clock.task_woken = True
        if self.frozen:
            self.resume()
        self.scope.cancel()

    def signal(self, number: int) -> None:
        """Send a signal to the process. Its handler records the time at which it runs."""
        if self.signal_queue is None or not self.running:
            return
        if self.frozen and not self.handlers_run:
            self.deferred_signals.append(number)
        else:
            self.signal_queue.put(ReceivedSignal(number, self.network.clock.time))

    # freezing ---------------------------------------------

    def defer_cancel_while_frozen(self, task: trio.lowlevel.Task, abort: Any) -> Any:
        """Wrap the abort function of a wait so that a cancellation during a freeze takes effect afterwards."""

        def guarded(raise_cancel: Any) -> Abort:
            if self.frozen:
                self.deferred_cancels.append((task, abort, raise_cancel))
                return Abort.FAILED
            return abort(raise_cancel)

        return guarded

    def freeze(self, handlers_run: bool = False) -> None:
        """Freeze the process until ``resume``. With ``handlers_run``, its signal handlers still run."""
        self.frozen, self.handlers_run = True, handlers_run

    def resume(self) -> None:
        """Resume the process, and deliver what was deferred: signals, then wakes, then cancellations."""
        if not self.frozen:
            return
        self.frozen = False
        self.network.clock.task_woken = True
        signals, self.deferred_signals = self.deferred_signals, []
        for number in signals:
            self.signal(number)
        wakes, self.deferred_wakes = self.deferred_wakes, []
        for waiter, result in wakes:
            waiter.wake(result)
        cancels, self.deferred_cancels = self.deferred_cancels, []
        for task, abort, raise_cancel in cancels:
            if abort(raise_cancel) is Abort.SUCCEEDED:
                trio.lowlevel.reschedule(task, outcome.capture(raise_cancel))

    # runtime interface ------------------------------------

    def wall(self) -> float:
        return self.network.wall() + self.skew

    def cpu(self) -> float:
        return 0.0

    def open_resource(self, resource: Any) -> None:
        """Take a descriptor for a stream, listener or port."""
        if not self.running:
            raise OSError(errno.ESHUTDOWN, "the process has ended")
        if len(self.held) >= self.allowed:
            raise OSError(errno.EMFILE, "all descriptors are in use")
        self.held[resource] = None
        self.max_open_resources = max(self.max_open_resources, len(self.held))

    def stream(self) -> Stream:
        return self.network.stream(self)

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener:
        return self.network.listen(self, address, backlog)

    def port(self, address: Address) -> Port:
        return self.network.port(self, address)

    @contextmanager
    def signals(self) -> Iterator[AsyncIterator[ReceivedSignal]]:
        self.signal_queue = SignalQueue(self)
        try:
            yield self.signal_queue
        finally:
            self.signal_queue = None

    @asynccontextmanager
    async def nursery(self) -> AsyncIterator[MachineNursery]:
        async with trio.open_nursery() as nursery:
            yield MachineNursery(self, nursery)

    async def pause(self, seconds: float) -> None:
        """Sleep as ``trio.sleep`` does, without the cost of a cancel scope."""
        if seconds <= 0:
            return await trio.lowlevel.checkpoint()
        waiter = Waiter(self)
        self.network.clock.at(self.network.clock.time + seconds, waiter.wake)
        await waiter.wait()

    def disk(self, path: Path) -> VirtualStore:
        return self.drive.store(path.name)

    async def in_thread(self, work: Callable[[], Any]) -> Any:
        """Do the work in one turn, with half of the disk's latency before it and half after it."""
        await self._wait_for_disk()
        result = work()
        await self._wait_for_disk()
        return result

    async def _wait_for_disk(self) -> None:
        drive, until = self.drive, self.network.clock.time + self.drive.delay()
        while (remaining := max(until, drive.hung_until) - self.network.clock.time) > 1e-9:
            await self.pause(remaining)

    def descriptors(self, allowed: int) -> int:
        return min(allowed, self.allowed)

    def settled(self) -> None:
        pass

    def kept(self, name: str) -> bytes | None:
        return self.persistent_files.get(name)

    def keep(self, name: str, data: bytes) -> None:
        self.persistent_files[name] = data

    def dial_fellow(self, name: str) -> Stream | None:
        return None  # a simulated machine runs one process at a time

    def await_fellows(self, name: str) -> Listener | None:
        return None

    def pass_on(self, stream: Stream, data: bytes, resources: Sequence[Listener | Port]) -> None:
        raise OSError(errno.ENOTSUP, "the simulation does not support passing sockets between processes")

    def take_over(self, stream: Stream) -> tuple[bytes, list[Listener | Port]]:
        raise OSError(errno.ENOTSUP, "the simulation does not support passing sockets between processes")
