"""Connections and datagrams between the machines of one process, with what a network does to them.

Bytes of one direction arrive in order, after the latency of their path, a drawn jitter and the time that
the bandwidth takes. What is sent on a path that is cut waits and is sent again after growing pauses, as TCP
does; a dial there never comes up. A receiver's window bounds what is under way; a sender may be told that
only a part was taken.
"""

import errno
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import outcome
import trio

from rowanshift.simulation.clock import VirtualClock
from rowanshift.simulation.machine import Machine, Slot
from rowanshift.transport.streams import Address

EPOCH = 1_700_000_000.0  # Unix time at which every run starts
WINDOW = 64 * 1024  # bytes that may be sent and not yet read
AGAIN, LONGEST_AGAIN = 0.2, 1.6  # seconds until what a cut held back is sent again
DIAL_AGAIN, LONGEST_DIAL_AGAIN = 1.0, 4.0
INBOX = 64  # datagrams that a port holds; more are lost


@dataclass(slots=True)
class Paths:
    """How the network behaves. Times in seconds, bandwidth in bytes a second, the rest are probabilities."""

    within: float = 0.0004  # one way, inside a site
    across: float = 0.008
    jitter: float = 0.3  # of the latency, at most
    bandwidth: float = 125e6
    window: int = WINDOW
    partial: float = 0.02  # a send takes only a part
    lost: float = 0.02  # a datagram
    doubled: float = 0.01
    late: float = 0.05  # comes after LATE times the latency
    LATE = 20.0


class End:
    """One end of a connection: a ``Stream``."""

    __slots__ = (
        "address",
        "arrived_at",
        "closed_at",
        "eof",
        "failed",
        "inbox",
        "machine",
        "network",
        "open",
        "out_at",
        "peer",
        "queued",
        "reader",
        "room",
        "sent_at",
        "sent_end",
        "state",
        "stuck",
        "took",
        "writer",
        "wrote",
    )

    def __init__(self, network: "Network", machine: Machine) -> None:
        self.network, self.machine = network, machine
        self.peer: End | None = None
        self.state = "new"  # dialling, up, closed
        self.open = False  # holds a descriptor
        self.inbox: deque[tuple[memoryview, float]] = deque()  # pieces, and when they were sent
        self.eof = self.sent_end = False
        self.failed = 0
        self.reader, self.writer = Slot(machine), Slot(machine)
        self.room = network.paths.window
        self.queued = 0  # bytes in the inbox
        self.wrote = self.took = 0  # bytes, over its life
        self.out_at = self.arrived_at = network.clock.time
        self.closed_at = float("inf")
        self.sent_at = self.out_at  # when the first of what was read last had been sent
        self.stuck: list[tuple[str, bytes, float]] = []  # what a cut holds back

    # the stream -------------------------------------------

    def connect_ex(self, address: Address) -> int:
        if self.state != "new":
            return errno.EISCONN
        self.state, self.address = "dialling", address
        self.network.dial(self, address)
        return errno.EINPROGRESS

    def dialled(self) -> int:
        return self.failed

    def send(self, data: bytes | memoryview) -> int:
        self._check()
        if self.state != "up" or self.sent_end:
            raise BrokenPipeError(errno.EPIPE, "not connected")
        n = min(len(data), self.room)
        if n == 0:
            if len(data) == 0:
                return 0
            raise BlockingIOError(errno.EAGAIN, "the window is full")
        if n > 1 and self.network.random_source.random() < self.network.paths.partial:
            n = self.network.random_source.randrange(1, n)
        self.room -= n
        self.wrote += n
        self.network.carry(self, "data", bytes(data[:n]))
        return n

    def recv_into(self, space: memoryview) -> int:
        if not self.inbox:
            self._check()
            if self.eof:
                return 0
            raise BlockingIOError(errno.EAGAIN, "nothing has come")
        if self.state == "closed":
            raise OSError(errno.EBADF, "closed")
        taken, left = 0, len(space)
        self.sent_at = self.inbox[0][1]
        while self.inbox and left:
            piece, at = self.inbox[0]
            n = min(len(piece), left)
            space[taken : taken + n] = piece[:n]
            taken, left = taken + n, left - n
            if n == len(piece):
                self.inbox.popleft()
            else:
                self.inbox[0] = piece[n:], at
        self.queued -= taken
        self.took += taken
        self.network.regain(self, taken)
        return taken

    def _check(self) -> None:
        if self.state == "closed":
            raise OSError(errno.EBADF, "closed")
        if self.failed:
            raise OSError(self.failed, errno.errorcode[self.failed])

    async def wait_readable(self) -> None:
        if self.state == "closed":
            raise trio.ClosedResourceError
        if self.readable():
            await trio.lowlevel.checkpoint()
        else:
            await self.reader.wait()

    async def wait_writable(self) -> None:
        if self.state == "closed":
            raise trio.ClosedResourceError
        if self.failed or (self.state == "up" and self.room):
            await trio.lowlevel.checkpoint()
        else:
            await self.writer.wait()

    def readable(self) -> bool:
        return bool(self.inbox or self.eof or self.failed)

    def age(self) -> float:
        return self.network.clock.time - self.arrived_at

    def end(self) -> None:
        self._check()
        if not self.sent_end:
            self.sent_end = True
            self.network.carry(self, "end", b"")

    def close(self) -> None:
        """Ends the connection; a reset if what came in was not read."""
        self._close("reset" if self.queued else "end")

    def reset(self) -> None:
        self._close("reset")

    def _close(self, how: str) -> None:
        if self.state != "closed":
            self.closed_at = self.network.clock.time
            self._leave(how)
            gone = outcome.Error(trio.ClosedResourceError("closed by another task"))
            self.reader.wake(gone)
            self.writer.wake(gone)

    def closed(self) -> bool:
        return self.state == "closed"

    def deserted(self) -> bool:
        """Whether the other side has ended its sending by now, seen here or not."""
        return self.peer.state == "closed" or self.peer.sent_end or bool(self.peer.failed)

    def given_up_at(self) -> float:
        """When the other side closed the connection, seen here or not; infinity if it did not."""
        return self.peer.closed_at

    def taken(self) -> bool:
        """Whether the other side has read all that was sent."""
        return self.peer.took >= self.wrote

    def other(self) -> str:
        """The name of the machine at the other side."""
        return self.peer.machine.name

    # what the machine and the network do --------------------

    def drop(self, reset: bool) -> None:
        """The process is over: the system resets the connection, or nobody is left to do so."""
        self._leave("reset" if reset else "")

    def _leave(self, how: str) -> None:
        if self.state == "dialling":
            self.network.no_way(self.machine.name, self.address[0])
        if how and self.peer is not None and not (how == "end" and self.sent_end):
            self.network.carry(self, how, b"")
        self.state, self.open = "closed", False
        self.machine.held.pop(self, None)
        self.inbox.clear()

    def up(self) -> None:
        if self.state == "dialling":
            self.state = "up"
            self.writer.wake()

    def fail(self, error: int) -> None:
        if self.state != "closed" and not self.failed:
            self.failed = error
            self.reader.wake()
            self.writer.wake()

    def arrive(self, kind: str, data: bytes, sent_at: float) -> None:
        if self.state == "closed":
            if kind == "data":
                self.network.carry(self, "reset", b"")
                self.network.no_way(self.peer.machine.name, self.machine.address)
            return
        self.arrived_at = self.network.clock.time
        if kind == "data":
            self.inbox.append((memoryview(data), sent_at))
            self.queued += len(data)
        elif kind == "end":
            self.eof = True
        else:
            return self.fail(errno.ECONNRESET)
        self.reader.wake()


class VirtualListener:
    def __init__(self, network: "Network", machine: Machine, address: Address, backlog: int) -> None:
        self.network, self.machine, self.address, self.backlog = network, machine, address, backlog
        self.queue: deque[End] = deque()
        self.slot = Slot(machine)

    def accept(self) -> End:
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        self.machine.hold(self.queue[0])
        end = self.queue.popleft()
        end.open = True
        return end

    async def wait(self) -> None:
        if self.queue:
            await trio.lowlevel.checkpoint()
        else:
            await self.slot.wait()

    def close(self) -> None:
        self.machine.held.pop(self, None)
        self.drop(True)

    def drop(self, reset: bool) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
        while self.queue:
            self.queue.popleft().drop(reset)


class VirtualPort:
    def __init__(self, network: "Network", machine: Machine, address: Address) -> None:
        self.network, self.machine, self.address = network, machine, address
        self.inbox: deque[tuple[bytes, Address]] = deque()
        self.slot = Slot(machine)

    async def send(self, payload: bytes, address: Address) -> None:
        await trio.lowlevel.checkpoint()
        self.network.datagram(self, payload, address)

    async def receive(self, most: int) -> tuple[bytes, Address]:
        while not self.inbox:
            await self.slot.wait()
        payload, sender = self.inbox.popleft()
        return payload[:most], sender

    def arrive(self, payload: bytes, sender: Address) -> None:
        if self.network.ports.get(self.address) is self and len(self.inbox) < INBOX:
            self.inbox.append((payload, sender))
            self.slot.wake()

    def close(self) -> None:
        self.machine.held.pop(self, None)
        self.drop(True)

    def drop(self, reset: bool) -> None:
        if self.network.ports.get(self.address) is self:
            del self.network.ports[self.address]


class Network:
    def __init__(self, clock: VirtualClock, seed: str, paths: Paths | None = None) -> None:
        self.clock, self.seed, self.paths = clock, seed, paths or Paths()
        self.random_source = random.Random(f"{seed}/network")
        self.machines: dict[str, Machine] = {}  # by address
        self.listeners: dict[Address, VirtualListener] = {}
        self.ports: dict[Address, VirtualPort] = {}
        self.cuts: set[frozenset[int]] = set()  # pairs of sites with no way between them
        self.lost_ways: set[tuple[str, str]] = set()  # addresses: from the first to the second nothing comes
        self.no_way: Callable[[str, str], None] = lambda machine, address: None  # hears of what was lost
        self.lose_all_until: dict[str, float] = {}  # by machine: its datagrams are lost

    def wall(self) -> float:
        return EPOCH + self.clock.time

    def machine(self, name: str, site: int = 0, allowed: int = 1024, skew: float = 0.0) -> Machine:
        n = len(self.machines)
        address = f"127.1.{n // 250}.{n % 250 + 1}"
        made = self.machines[address] = Machine(self, name, address, site, allowed, skew)
        return made

    # paths ------------------------------------------------

    def severed(self, one: Machine, other: Machine) -> bool:
        """Whether what one machine sends doesn't reach the other."""
        if one.away or other.away:
            return True
        if (one.address, other.address) in self.lost_ways:
            return True
        return one.site != other.site and frozenset((one.site, other.site)) in self.cuts

    def cut(self, one: int, other: int) -> None:
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: int, other: int) -> None:
        self.cuts.discard(frozenset((one, other)))

    def lose_way(self, one: Machine, other: Machine) -> None:
        """Nothing comes from one machine to the other; the way back is as it was."""
        self.lost_ways.add((one.address, other.address))

    def find_way(self, one: Machine, other: Machine) -> None:
        self.lost_ways.discard((one.address, other.address))

    def latency(self, one: Machine, other: Machine) -> float:
        if one is other:
            return 0.00002
        base = self.paths.within if one.site == other.site else self.paths.across
        return base * (1 + self.paths.jitter * self.random_source.random())

    # streams ----------------------------------------------

    def stream(self, machine: Machine) -> End:
        end = End(self, machine)
        machine.hold(end)
        end.open = True
        return end

    def listen(self, machine: Machine, address: Address, backlog: int) -> VirtualListener:
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f"{address[0]}:{address[1]} is in use")
        listener = VirtualListener(self, machine, address, backlog)
        machine.hold(listener)
        self.listeners[address] = listener
        return listener

    def dial(self, end: End, address: Address, pause: float = DIAL_AGAIN) -> None:
        machine = self.machines.get(address[0])
        if machine is not None:
            after = self.latency(end.machine, machine)
            self.clock.at(self.clock.time + after, self._knock, end, machine, address, pause)

    def _knock(self, end: End, machine: Machine, address: Address, pause: float) -> None:
        if end.state != "dialling":
            return
        listener, now = self.listeners.get(address), self.clock.time
        full = listener and len(listener.queue) >= listener.backlog
        if full or self.severed(end.machine, machine) or self.severed(machine, end.machine):
            self.clock.at(now + pause, self.dial, end, address, min(2 * pause, LONGEST_DIAL_AGAIN))
            return
        back = now + self.latency(end.machine, machine)
        if listener is None:
            self.clock.at(back, end.fail, errno.ECONNREFUSED)
            return
        other = End(self, machine)
        other.state, other.peer, end.peer = "up", end, other
        listener.queue.append(other)
        listener.slot.wake()
        other.out_at = back
        self.clock.at(back, end.up)

    def carry(self, sender: End, kind: str, data: bytes) -> None:
        """Sends bytes, or the end of them, towards the peer."""
        receiver, now = sender.peer, self.clock.time
        after = self.latency(sender.machine, receiver.machine) + len(data) / self.paths.bandwidth
        sender.out_at = max(sender.out_at + 1e-9, now + after)
        self.clock.at(sender.out_at, self._reach, sender, kind, data, now, AGAIN)

    def _reach(self, sender: End, kind: str, data: bytes, sent_at: float, pause: float) -> None:
        receiver = sender.peer
        if sender.stuck or self.severed(sender.machine, receiver.machine):
            sender.stuck.append((kind, data, sent_at))
            if kind == "data":
                self.no_way(sender.machine.name, receiver.machine.address)
            if len(sender.stuck) == 1:
                self.clock.at(self.clock.time + pause, self._reach_again, sender, pause)
            return
        receiver.arrive(kind, data, sent_at)

    def _reach_again(self, sender: End, pause: float) -> None:
        if sender.machine.away:  # nobody is left to send it
            sender.stuck.clear()
        elif self.severed(sender.machine, sender.peer.machine):
            pause = min(2 * pause, LONGEST_AGAIN)
            self.clock.at(self.clock.time + pause, self._reach_again, sender, pause)
        else:
            stuck, sender.stuck = sender.stuck, []
            for kind, data, sent_at in stuck:
                sender.peer.arrive(kind, data, sent_at)

    def regain(self, reader: End, n: int) -> None:
        """What was read makes room at the sender, of which it hears by an acknowledgement."""
        peer = reader.peer
        if peer.room and peer.writer.task is None:
            peer.room += n
        else:
            self.clock.at(self.clock.time + self.latency(reader.machine, peer.machine), self._room, peer, n)

    def _room(self, end: End, n: int) -> None:
        end.room += n
        end.writer.wake()

    # datagrams --------------------------------------------

    def port(self, machine: Machine, address: Address) -> VirtualPort:
        if address in self.ports:
            raise OSError(errno.EADDRINUSE, f"{address[0]}:{address[1]} is in use")
        port = VirtualPort(self, machine, address)
        machine.hold(port)
        self.ports[address] = port
        return port

    def datagram(self, port: VirtualPort, payload: bytes, address: Address) -> None:
        target, sender = self.machines.get(address[0]), port.machine
        if target is None or self.severed(sender, target):
            return
        if self.clock.time < self.lose_all_until.get(sender.name, 0.0):
            return
        draw, paths = self.random_source.random(), self.paths
        if draw < paths.lost:
            return
        for _ in range(2 if draw > 1 - paths.doubled else 1):
            after = self.latency(sender, target)
            if self.random_source.random() < paths.late:
                after *= paths.LATE
            self.clock.at(self.clock.time + after, self._datagram, payload, port.address, address)

    def _datagram(self, payload: bytes, sender: Address, address: Address) -> None:
        if (port := self.ports.get(address)) is not None and not port.machine.away:
            port.arrive(payload, sender)
