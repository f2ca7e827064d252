"""Simulated connections and datagrams between the machines of one process, with latency, loss and partitions.

Bytes of one direction arrive in order, after the latency of their path, a random jitter and the transmission time
at the path's bandwidth. Data that is sent on a blocked path is retransmitted after growing pauses, as TCP does, and
a connection attempt is retried until the path is open. The receive window limits the bytes in flight, and a send may
accept only a part of the data.
"""

import errno
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import outcome
import trio

from rowanshift.simulation.clock import VirtualClock
from rowanshift.simulation.machine import Machine, Waiter
from rowanshift.transport.streams import Address

START_UNIX_SECONDS = 1_700_000_000.0  # the wall clock at the start of every run
WINDOW_BYTES = 64 * 1024  # that may be sent and not yet read
RETRANSMIT_SECONDS, MAX_RETRANSMIT_SECONDS = 0.2, 1.6  # first and longest pause of retransmission on a blocked path
CONNECT_RETRY_SECONDS, MAX_CONNECT_RETRY_SECONDS = 1.0, 4.0  # first and longest pause between connection attempts
MAX_QUEUED_DATAGRAMS = 64  # of a port; more are lost


@dataclass(slots=True)
class Paths:
    """Properties of all paths: times in seconds, bandwidth in bytes per second; the rest are probabilities."""

    within: float = 0.0004  # one-way latency within a site; ``across``: between sites
    across: float = 0.008
    jitter: float = 0.3  # largest part of the latency that is added at random
    bandwidth: float = 125e6
    window: int = WINDOW_BYTES
    partial: float = 0.02  # that a send accepts only a part of the data
    lost: float = 0.02  # that a datagram is lost
    doubled: float = 0.01  # that a datagram arrives twice
    late: float = 0.05  # that a datagram arrives after ``LATE_FACTOR`` times the latency
    LATE_FACTOR = 20.0


class End:
    """One end of a simulated connection; implements ``Stream``."""

    __slots__ = (
        "address",
        "arrived_at",
        "arrived_bytes",
        "bytes_read",
        "closed_at",
        "eof",
        "failed",
        "holds_descriptor",
        "inbox",
        "latest_arrival",
        "machine",
        "network",
        "peer",
        "reader",
        "send_ended",
        "send_window",
        "sent_at",
        "state",
        "undelivered",
        "unread_bytes",
        "writer",
        "wrote",
    )

    def __init__(self, network: "Network", machine: Machine) -> None:
        self.network, self.machine = network, machine
        self.peer: End | None = None
        self.state = "new"  # or "dialling", "up", "closed"
        self.holds_descriptor = False
        self.inbox: deque[tuple[memoryview, float]] = deque()  # received pieces, and the time at which each was sent
        self.eof = self.send_ended = False
        self.failed = 0
        self.reader, self.writer = Waiter(machine), Waiter(machine)
        self.send_window = network.paths.window
        self.unread_bytes = 0  # in the inbox
        self.wrote = self.bytes_read = self.arrived_bytes = 0  # total bytes sent, read, and received from the peer
        self.latest_arrival = self.arrived_at = network.clock.time
        self.closed_at = float("inf")
        self.sent_at = self.latest_arrival  # send time of the first piece of the last read
        self.undelivered: list[tuple[str, bytes, float]] = []  # held back by a blocked path: kind, bytes, send time

    # stream interface -------------------------------------

    def connect_ex(self, address: Address) -> int:
        if self.state != "new":
            return errno.EISCONN
        self.state, self.address = "dialling", address
        self.network.connect(self, address)
        return errno.EINPROGRESS

    def dialled(self) -> int:
        return self.failed

    def send(self, data: bytes | memoryview) -> int:
        self._check_usable()
        if self.state != "up" or self.send_ended:
            raise BrokenPipeError(errno.EPIPE, "the connection is not open for sending")
        count = min(len(data), self.send_window)
        if count == 0:
            if len(data) == 0:
                return 0
            raise BlockingIOError(errno.EAGAIN, "the receive window of the peer is full")
        if count > 1 and self.network.random_source.random() < self.network.paths.partial:
            count = self.network.random_source.randrange(1, count)
        self.send_window -= count
        self.wrote += count
        self.network.transmit(self, "data", bytes(data[:count]))
        return count

    def recv_into(self, space: memoryview) -> int:
        if not self.inbox:
            self._check_usable()
            if self.eof:
                return 0
            raise BlockingIOError(errno.EAGAIN, "no data has arrived")
        if self.state == "closed":
            raise OSError(errno.EBADF, "the stream is closed")
        copied, space_left = 0, len(space)
        self.sent_at = self.inbox[0][1]
        while self.inbox and space_left:
            piece, at = self.inbox[0]
            count = min(len(piece), space_left)
            space[copied : copied + count] = piece[:count]
            copied, space_left = copied + count, space_left - count
            if count == len(piece):
                self.inbox.popleft()
            else:
                self.inbox[0] = piece[count:], at
        self.unread_bytes -= copied
        self.bytes_read += copied
        self.network.return_window(self, copied)
        return copied

    def _check_usable(self) -> None:
        if self.state == "closed":
            raise OSError(errno.EBADF, "the stream is closed")
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
        if self.failed or (self.state == "up" and self.send_window):
            await trio.lowlevel.checkpoint()
        else:
            await self.writer.wait()

    def readable(self) -> bool:
        return bool(self.inbox or self.eof or self.failed)

    def age(self) -> float:
        return self.network.clock.time - self.arrived_at

    def acknowledged(self) -> int | None:
        return self.peer.arrived_bytes if self.peer is not None else None

    def end(self) -> None:
        self._check_usable()
        if not self.send_ended:
            self.send_ended = True
            self.network.transmit(self, "end", b"")

    def close(self) -> None:
        """Close the connection. Unread input turns this into a reset."""
        self._close("reset" if self.unread_bytes else "end")

    def reset(self) -> None:
        self._close("reset")

    def _close(self, how: str) -> None:
        if self.state != "closed":
            self.closed_at = self.network.clock.time
            self._release(how)
            closed_error = outcome.Error(trio.ClosedResourceError("the stream was closed by another task"))
            self.reader.wake(closed_error)
            self.writer.wake(closed_error)

    def closed(self) -> bool:
        return self.state == "closed"

    def deserted(self) -> bool:
        """Return whether the peer has ended its sending by now, even if that has not arrived here."""
        return self.peer.state == "closed" or self.peer.send_ended or bool(self.peer.failed)

    def given_up_at(self) -> float:
        """Return when the peer closed the connection, even if that has not arrived here; infinity if it did not."""
        return self.peer.closed_at

    def taken(self) -> bool:
        """Return whether the peer has read all that was sent."""
        return self.peer.bytes_read >= self.wrote

    def other(self) -> str:
        """Return the name of the peer's machine."""
        return self.peer.machine.name

    # called by the machine and the network ------------------

    def drop(self, reset: bool) -> None:
        """Drop the connection when the process ends: with a reset by the kernel, or silently if the machine is off."""
        self._release("reset" if reset else "")

    def _release(self, how: str) -> None:
        if self.state == "dialling":
            self.network.on_undeliverable(self.machine.name, self.address[0])
        if how and self.peer is not None and not (how == "end" and self.send_ended):
            self.network.transmit(self, how, b"")
        self.state, self.holds_descriptor = "closed", False
        self.machine.held.pop(self, None)
        self.inbox.clear()

    def mark_connected(self) -> None:
        if self.state == "dialling":
            self.state = "up"
            self.writer.wake()

    def fail(self, error: int) -> None:
        if self.state != "closed" and not self.failed:
            self.failed = error
            self.reader.wake()
            self.writer.wake()

    def deliver(self, kind: str, data: bytes, sent_at: float) -> None:
        if self.state == "closed":
            if kind == "data":
                self.network.transmit(self, "reset", b"")
                self.network.on_undeliverable(self.peer.machine.name, self.machine.address)
            return
        self.arrived_at = self.network.clock.time
        if kind == "data":
            self.inbox.append((memoryview(data), sent_at))
            self.unread_bytes += len(data)
            self.arrived_bytes += len(data)
        elif kind == "end":
            self.eof = True
        else:
            return self.fail(errno.ECONNRESET)
        self.reader.wake()


class VirtualListener:
    """A simulated listening socket; implements ``Listener``."""

    def __init__(self, network: "Network", machine: Machine, address: Address, backlog: int) -> None:
        self.network, self.machine, self.address, self.backlog = network, machine, address, backlog
        self.queue: deque[End] = deque()
        self.waiter = Waiter(machine)

    def accept(self) -> End:
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "no connection is waiting")
        self.machine.open_resource(self.queue[0])
        end = self.queue.popleft()
        end.holds_descriptor = True
        return end

    async def wait(self) -> None:
        if self.queue:
            await trio.lowlevel.checkpoint()
        else:
            await self.waiter.wait()

    def close(self) -> None:
        self.machine.held.pop(self, None)
        self.drop(True)

    def drop(self, reset: bool) -> None:
        if self.network.listeners.get(self.address) is self:
            del self.network.listeners[self.address]
        while self.queue:
            self.queue.popleft().drop(reset)


class VirtualPort:
    """A simulated datagram socket; implements ``Port``."""

    def __init__(self, network: "Network", machine: Machine, address: Address) -> None:
        self.network, self.machine, self.address = network, machine, address
        self.inbox: deque[tuple[bytes, Address]] = deque()
        self.waiter = Waiter(machine)

    async def send(self, payload: bytes, address: Address) -> None:
        await trio.lowlevel.checkpoint()
        self.network.send_datagram(self, payload, address)

    async def receive(self, most: int) -> tuple[bytes, Address]:
        while not self.inbox:
            await self.waiter.wait()
        payload, sender = self.inbox.popleft()
        return payload[:most], sender

    def deliver(self, payload: bytes, sender: Address) -> None:
        if self.network.ports.get(self.address) is self and len(self.inbox) < MAX_QUEUED_DATAGRAMS:
            self.inbox.append((payload, sender))
            self.waiter.wake()

    def close(self) -> None:
        self.machine.held.pop(self, None)
        self.drop(True)

    def drop(self, reset: bool) -> None:
        if self.network.ports.get(self.address) is self:
            del self.network.ports[self.address]


class Network:
    """All machines, connections and datagrams of a run. Random draws depend on the seed only."""

    def __init__(self, clock: VirtualClock, seed: str, paths: Paths | None = None) -> None:
        self.clock, self.seed, self.paths = clock, seed, paths or Paths()
        self.random_source = random.Random(f"{seed}/network")
        self.machines: dict[str, Machine] = {}  # by address
        self.listeners: dict[Address, VirtualListener] = {}
        self.ports: dict[Address, VirtualPort] = {}
        self.cut_sites: set[frozenset[int]] = set()  # pairs of sites that are partitioned from each other
        self.blocked_paths: set[tuple[str, str]] = set()  # addresses: nothing from the first reaches the second
        # called with the name of the sender and the destination address of undeliverable data
        self.on_undeliverable: Callable[[str, str], None] = lambda machine, address: None
        self.datagrams_lost_until: dict[str, float] = {}  # by name of the sending machine

    def wall(self) -> float:
        return START_UNIX_SECONDS + self.clock.time

    def machine(self, name: str, site: int = 0, allowed: int = 1024, skew: float = 0.0) -> Machine:
        number = len(self.machines)
        address = f"127.1.{number // 250}.{number % 250 + 1}"
        made = self.machines[address] = Machine(self, name, address, site, allowed, skew)
        return made

    # paths ------------------------------------------------

    def is_blocked(self, one: Machine, other: Machine) -> bool:
        """Return whether nothing that ``one`` sends reaches ``other``."""
        if one.away or other.away:
            return True
        if (one.address, other.address) in self.blocked_paths:
            return True
        return one.site != other.site and frozenset((one.site, other.site)) in self.cut_sites

    def cut(self, one: int, other: int) -> None:
        self.cut_sites.add(frozenset((one, other)))

    def heal(self, one: int, other: int) -> None:
        self.cut_sites.discard(frozenset((one, other)))

    def block_path(self, one: Machine, other: Machine) -> None:
        """Block the path from ``one`` to ``other``; the reverse path is unchanged."""
        self.blocked_paths.add((one.address, other.address))

    def unblock_path(self, one: Machine, other: Machine) -> None:
        self.blocked_paths.discard((one.address, other.address))

    def latency(self, one: Machine, other: Machine) -> float:
        if one is other:
            return 0.00002
        base = self.paths.within if one.site == other.site else self.paths.across
        return base * (1 + self.paths.jitter * self.random_source.random())

    # streams ----------------------------------------------

    def stream(self, machine: Machine) -> End:
        end = End(self, machine)
        machine.open_resource(end)
        end.holds_descriptor = True
        return end

    def listen(self, machine: Machine, address: Address, backlog: int) -> VirtualListener:
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, f"{address[0]}:{address[1]} is already in use")
        listener = VirtualListener(self, machine, address, backlog)
        machine.open_resource(listener)
        self.listeners[address] = listener
        return listener

    def connect(self, end: End, address: Address, pause: float = CONNECT_RETRY_SECONDS) -> None:
        machine = self.machines.get(address[0])
        if machine is not None:
            delay = self.latency(end.machine, machine)
            self.clock.at(self.clock.time + delay, self._request_connection, end, machine, address, pause)

    def _request_connection(self, end: End, machine: Machine, address: Address, pause: float) -> None:
        if end.state != "dialling":
            return
        listener, now = self.listeners.get(address), self.clock.time
        full = listener and len(listener.queue) >= listener.backlog
        if full or self.is_blocked(end.machine, machine) or self.is_blocked(machine, end.machine):
            self.clock.at(now + pause, self.connect, end, address, min(2 * pause, MAX_CONNECT_RETRY_SECONDS))
            return
        back = now + self.latency(end.machine, machine)
        if listener is None:
            self.clock.at(back, end.fail, errno.ECONNREFUSED)
            return
        other = End(self, machine)
        other.state, other.peer, end.peer = "up", end, other
        listener.queue.append(other)
        listener.waiter.wake()
        other.latest_arrival = back
        self.clock.at(back, end.mark_connected)

    def transmit(self, sender: End, kind: str, data: bytes) -> None:
        """Send data, an end of stream or a reset (``kind``) to the peer."""
        receiver, now = sender.peer, self.clock.time
        delay = self.latency(sender.machine, receiver.machine) + len(data) / self.paths.bandwidth
        sender.latest_arrival = max(sender.latest_arrival + 1e-9, now + delay)
        self.clock.at(sender.latest_arrival, self._arrive, sender, kind, data, now, RETRANSMIT_SECONDS)

    def _arrive(self, sender: End, kind: str, data: bytes, sent_at: float, pause: float) -> None:
        receiver = sender.peer
        if sender.undelivered or self.is_blocked(sender.machine, receiver.machine):
            sender.undelivered.append((kind, data, sent_at))
            if kind == "data":
                self.on_undeliverable(sender.machine.name, receiver.machine.address)
            if len(sender.undelivered) == 1:
                self.clock.at(self.clock.time + pause, self._retransmit, sender, pause)
            return
        receiver.deliver(kind, data, sent_at)

    def _retransmit(self, sender: End, pause: float) -> None:
        if sender.machine.away:  # a machine that is gone retransmits nothing
            sender.undelivered.clear()
        elif self.is_blocked(sender.machine, sender.peer.machine):
            pause = min(2 * pause, MAX_RETRANSMIT_SECONDS)
            self.clock.at(self.clock.time + pause, self._retransmit, sender, pause)
        else:
            undelivered, sender.undelivered = sender.undelivered, []
            for kind, data, sent_at in undelivered:
                sender.peer.deliver(kind, data, sent_at)

    def return_window(self, reader: End, count: int) -> None:
        """Return window space to the sender of bytes that were read.

        The sender learns of it with the latency of an acknowledgement; at once if it does not wait for the window.
        """
        peer = reader.peer
        if peer.send_window and peer.writer.task is None:
            peer.send_window += count
        else:
            self.clock.at(
                self.clock.time + self.latency(reader.machine, peer.machine), self._extend_window, peer, count
            )

    def _extend_window(self, end: End, count: int) -> None:
        end.send_window += count
        end.writer.wake()

    # datagrams --------------------------------------------

    def port(self, machine: Machine, address: Address) -> VirtualPort:
        if address in self.ports:
            raise OSError(errno.EADDRINUSE, f"{address[0]}:{address[1]} is already in use")
        port = VirtualPort(self, machine, address)
        machine.open_resource(port)
        self.ports[address] = port
        return port

    def send_datagram(self, port: VirtualPort, payload: bytes, address: Address) -> None:
        target, sender = self.machines.get(address[0]), port.machine
        if target is None or self.is_blocked(sender, target):
            return
        if self.clock.time < self.datagrams_lost_until.get(sender.name, 0.0):
            return
        draw, paths = self.random_source.random(), self.paths
        if draw < paths.lost:
            return
        for _ in range(2 if draw > 1 - paths.doubled else 1):
            delay = self.latency(sender, target)
            if self.random_source.random() < paths.late:
                delay *= paths.LATE_FACTOR
            self.clock.at(self.clock.time + delay, self._deliver_datagram, payload, port.address, address)

    def _deliver_datagram(self, payload: bytes, sender: Address, address: Address) -> None:
        if (port := self.ports.get(address)) is not None and not port.machine.away:
            port.deliver(payload, sender)
