"""A machine of the virtual network: what ``transport/runtime.py`` asks of a host, and what can befall one.

A process on it is driven through ``driven``, which sees each wait of each of its tasks. While the machine
stands still, nothing that ends a wait reaches a task: what the network brings stays in buffers, as a kernel
holds it, and deadlines that pass are kept. When it goes on, what came in is seen first and then the
deadlines, as trio's own loop does after a standstill.
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

Trap = Any  # what a coroutine of trio's yields


class Slot:
    """Where one task of a machine waits for the network."""

    __slots__ = ("machine", "task")

    def __init__(self, machine: "Machine") -> None:
        self.machine, self.task = machine, None

    async def wait(self) -> None:
        if self.task is not None:
            raise trio.BusyResourceError("another task waits here")
        self.task = trio.lowlevel.current_task()

        def abort(_: object) -> Abort:
            if self.task is None:  # it was woken in the same turn
                return Abort.FAILED
            self.task = None
            return Abort.SUCCEEDED

        await trio.lowlevel.wait_task_rescheduled(abort)

    def wake(self, result: outcome.Outcome[None] | None = None) -> None:
        if self.task is None:
            return
        if self.machine.frozen:
            self.machine.late_wakes.append((self, result))
            return
        task, self.task = self.task, None
        self.machine.network.clock.woken = True
        trio.lowlevel.reschedule(task, result or outcome.Value(None))


@coroutine
def _drive(machine: "Machine", coro: Any) -> Iterator[Trap]:
    """Runs a coroutine of trio's and keeps deadlines from it while the machine stands still."""
    task, result = trio.lowlevel.current_task(), None
    try:
        while True:
            try:
                trap = coro.send(result)
            except StopIteration as stop:
                return stop.value
            if (abort := getattr(trap, "abort_func", None)) is not None:
                trap = type(trap)(machine.guard(task, abort))
            result = yield trap
    finally:
        coro.close()


async def driven(machine: "Machine", function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    return await _drive(machine, function(*args))


class MachineNursery:
    """Starts its children as tasks of the machine."""

    def __init__(self, machine: "Machine", nursery: trio.Nursery) -> None:
        self.machine, self.nursery = machine, nursery

    @property
    def cancel_scope(self) -> trio.CancelScope:
        return self.nursery.cancel_scope

    def start_soon(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        self.nursery.start_soon(driven, self.machine, function, *args)


class Signals:
    """Signals as they are handled, in order."""

    def __init__(self, machine: "Machine") -> None:
        self.queue: deque[ReceivedSignal] = deque()
        self.slot = Slot(machine)

    def put(self, received: ReceivedSignal) -> None:
        """A signal was handled."""
        self.queue.append(received)
        self.slot.wake()

    def __aiter__(self) -> "Signals":
        return self

    async def __anext__(self) -> ReceivedSignal:
        if not self.queue:
            await self.slot.wait()
        return self.queue.popleft()


class MachineNetwork(Protocol):
    """What a machine asks of the virtual network; ``rowanshift/simulation/network.py`` has it."""

    clock: VirtualClock
    seed: str

    def wall(self) -> float:
        """Return Unix seconds of a clock that is right."""

    def stream(self, machine: "Machine") -> Stream:
        """Open a stream that is not connected yet."""

    def listen(self, machine: "Machine", address: Address, backlog: int) -> Listener:
        """Listen at an address; ``OSError`` if it is in use."""

    def port(self, machine: "Machine", address: Address) -> Port:
        """Open a datagram port; ``OSError`` if the address is in use."""


class Machine:
    """One process at a time, at one address."""

    def __init__(
        self, network: MachineNetwork, name: str, address: str, site: int, allowed: int = 1024, skew: float = 0.0
    ) -> None:
        self.network, self.name, self.address, self.site = network, name, address, site
        self.allowed, self.skew = allowed, skew  # descriptors; seconds that its clock is ahead
        self.held: dict[Any, None] = {}  # streams, listeners and ports that are open, a descriptor each
        self.running = False
        self.away = False  # without a word: what is sent to it is lost, and it sends nothing
        self.frozen = False
        self.life = 0
        self.scope = trio.CancelScope()
        self.inbox: Signals | None = None
        self.handlers_run = True  # also while the process stands still
        self.late_signals: list[int] = []  # that are handled once it goes on
        self.late_wakes: list[tuple[Slot, outcome.Outcome[None] | None]] = []
        self.late_cancels: list[tuple[trio.lowlevel.Task, Any, Any]] = []
        self.most_held = 0
        self.files: dict[str, bytes] = {}  # outlive a process
        self.drive = VirtualDisk(network.clock.current_time, random.Random(f"{network.seed}/{name}/disk"))

    # a process --------------------------------------------

    async def run(self, main: Callable[..., Awaitable[Any]], *args: Any) -> int | None:
        """Runs a process to its end: how many descriptors it left open, or none if it was killed."""
        self.life += 1
        self.running, self.away = True, False
        try:
            with trio.CancelScope() as self.scope:
                await driven(self, main, *args)
            return None if self.scope.cancelled_caught else len(self.held)
        finally:
            self._stop(reset=True)

    def kill(self) -> None:
        """Ends the process at once. Nothing that its tasks do on their way out reaches the network."""
        self._stop(reset=True)

    def vanish(self) -> None:
        """The machine is gone: no reset, no refusal, until it is started again."""
        self.away = True
        self._stop(reset=False)

    def lose_power(self) -> None:
        """As ``vanish``; what was not synced may be lost."""
        self.vanish()
        self.drive.power_loss()

    def _stop(self, reset: bool) -> None:
        if not self.running:
            return
        self.running = False
        for thing in [*self.held]:
            thing.drop(reset)
        self.held.clear()
        self.network.clock.woken = True
        if self.frozen:
            self.go_on()
        self.scope.cancel()

    def signal(self, number: int) -> None:
        """A signal is sent to the process; its handler notes when it runs."""
        if self.inbox is None or not self.running:
            return
        if self.frozen and not self.handlers_run:
            self.late_signals.append(number)
        else:
            self.inbox.put(ReceivedSignal(number, self.network.clock.time))

    # standing still ---------------------------------------

    def guard(self, task: trio.lowlevel.Task, abort: Any) -> Any:
        def guarded(raise_cancel: Any) -> Abort:
            if self.frozen:
                self.late_cancels.append((task, abort, raise_cancel))
                return Abort.FAILED
            return abort(raise_cancel)

        return guarded

    def stand_still(self, handlers_run: bool = False) -> None:
        """Nothing reaches a task until ``go_on``; ``handlers_run`` if signals are handled meanwhile."""
        self.frozen, self.handlers_run = True, handlers_run

    def go_on(self) -> None:
        if not self.frozen:
            return
        self.frozen = False
        self.network.clock.woken = True
        signals, self.late_signals = self.late_signals, []
        for number in signals:
            self.signal(number)
        wakes, self.late_wakes = self.late_wakes, []
        for slot, result in wakes:
            slot.wake(result)
        cancels, self.late_cancels = self.late_cancels, []
        for task, abort, raise_cancel in cancels:
            if abort(raise_cancel) is Abort.SUCCEEDED:
                trio.lowlevel.reschedule(task, outcome.capture(raise_cancel))

    # what a host gives ------------------------------------

    def wall(self) -> float:
        return self.network.wall() + self.skew

    def cpu(self) -> float:
        return 0.0

    def hold(self, thing: Any) -> None:
        """Takes a descriptor."""
        if not self.running:
            raise OSError(errno.ESHUTDOWN, "the process is over")
        if len(self.held) >= self.allowed:
            raise OSError(errno.EMFILE, "no descriptor is left")
        self.held[thing] = None
        self.most_held = max(self.most_held, len(self.held))

    def stream(self) -> Stream:
        return self.network.stream(self)

    def listen(self, address: Address, backlog: int, shared: bool = False) -> Listener:
        return self.network.listen(self, address, backlog)

    def port(self, address: Address) -> Port:
        return self.network.port(self, address)

    @contextmanager
    def signals(self) -> Iterator[AsyncIterator[ReceivedSignal]]:
        self.inbox = Signals(self)
        try:
            yield self.inbox
        finally:
            self.inbox = None

    @asynccontextmanager
    async def nursery(self) -> AsyncIterator[MachineNursery]:
        async with trio.open_nursery() as nursery:
            yield MachineNursery(self, nursery)

    async def pause(self, seconds: float) -> None:
        """As ``trio.sleep``, without the cost of a cancel scope."""
        if seconds <= 0:
            return await trio.lowlevel.checkpoint()
        slot = Slot(self)
        self.network.clock.at(self.network.clock.time + seconds, slot.wake)
        await slot.wait()

    def disk(self, path: Path) -> VirtualStore:
        return self.drive.store(path.name)

    async def in_thread(self, work: Callable[[], Any]) -> Any:
        """Does the work in one turn, half of the disk's time before it and half after it."""
        await self._disk_time()
        result = work()
        await self._disk_time()
        return result

    async def _disk_time(self) -> None:
        drive, until = self.drive, self.network.clock.time + self.drive.delay()
        while (left := max(until, drive.hung_until) - self.network.clock.time) > 1e-9:
            await self.pause(left)

    def descriptors(self, allowed: int) -> int:
        return min(allowed, self.allowed)

    def settled(self) -> None:
        pass

    def kept(self, name: str) -> bytes | None:
        return self.files.get(name)

    def keep(self, name: str, data: bytes) -> None:
        self.files[name] = data

    def dial_fellow(self, name: str) -> Stream | None:
        return None  # one process at a time

    def await_fellows(self, name: str) -> Listener | None:
        return None

    def pass_on(self, stream: Stream, data: bytes, things: Sequence[Listener | Port]) -> None:
        raise OSError(errno.ENOTSUP, "sockets are not passed on here")

    def take_over(self, stream: Stream) -> tuple[bytes, list[Listener | Port]]:
        raise OSError(errno.ENOTSUP, "sockets are not passed on here")
