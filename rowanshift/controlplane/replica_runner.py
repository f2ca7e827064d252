"""A replica on a Host: messages to and from the others, saves to the disk, time; reads and changes for callers."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from itertools import count

import trio
from loguru import logger

from rowanshift.controlplane.errors import NotConfirmed, OutcomeUnknown
from rowanshift.controlplane.machine_disk import Disk
from rowanshift.controlplane.record_kinds import CODEC, Hello
from rowanshift.controlplane.replication import (
    Became,
    Busy,
    Committed,
    DurableState,
    Failed,
    Located,
    Message,
    ReadConfirmed,
    ReadFailed,
    RedundancyWatch,
    Replica,
    Save,
    Send,
    Store,
)
from rowanshift.controlplane.store import StoreError
from rowanshift.transport.record_links import MOST_QUEUED, STUCK, RecordReader, RecordSender
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.wire.codec import FRAME_HEADER
from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.machine_ids import ip_from_machine_id

TICK = 0.05  # seconds
UNHEARD = 0.9  # seconds without a word from a machine, after which its connection is dialled anew
MOST_SENDERS = 64  # connections to other core machines, three a machine at most
LARGE_STATE = 64 * 1024  # bytes of a state that goes by a connection of its own
MOST_LARGE = 2  # large states that wait for one machine; the oldest goes
LARGE_STUCK = 5.0  # seconds that writing a large state may take


class Channel(Enum):
    """The connections to another core machine, by what they carry."""

    MESSAGES = "messages"
    LARGE_STATES = "large states"
    PLACES = "places"


def channel_of(message: Message) -> Channel:
    """The connection by which a message goes."""
    if isinstance(message, Store) and len(message.state) > LARGE_STATE:
        return Channel.LARGE_STATES
    return Channel.PLACES if isinstance(message, Located) else Channel.MESSAGES


@dataclass(slots=True)
class Pending:
    """A read or a change that waits for its end."""

    ended: trio.Event = field(default_factory=trio.Event)
    succeeded: bool = False


class ReplicaRunner:
    """Carries out what a ``Replica`` decides: sends, saves, time; and offers reads and changes to callers."""

    def __init__(
        self,
        host: Runtime,
        machine: int,
        port: int,
        replica: Replica,
        store: Disk | None,
        nursery: Nursery,
        became: Callable[[bool], None],
        committed: Callable[[], None],
    ) -> None:
        self.host, self.machine, self.port, self.replica, self.store = host, machine, port, replica, store
        self.nursery, self.became, self.committed = nursery, became, committed
        self.senders: dict[tuple[int, Channel], RecordSender] = {}
        self.heard: dict[int, float] = {}
        self.tokens = count(1)
        self.pending: dict[int, Pending] = {}
        self.turn = trio.Lock()  # one change at a time
        self.saves = self.save_seconds = 0.0
        self.watch = RedundancyWatch(0.0)

    # calls

    async def read(self) -> bytes:
        """The state, confirmed to be the newest when it was asked for. ``NotPrimary``, ``NotConfirmed``."""
        with self._pending() as (token, pending):
            self.replica.confirm_read(token, trio.current_time())
            self.act()
            await pending.ended.wait()
            if not pending.succeeded:
                raise NotConfirmed
        return self.replica.committed_state

    async def change(self, made: Callable[[bytes], bytes | None], within: float) -> bytes:
        """Make the next state from the newest and have it on all disks that are wanted, in so many seconds.

        ``made`` gives the next state, None to change nothing. Raises ``NotPrimary``, ``NotConfirmed``,
        ``OutcomeUnknown``, and what ``made`` raises: a refusal rests on a state that was confirmed.
        """
        with trio.move_on_after(within):
            async with self.turn:
                state = made(await self.read())
                if state is None:
                    return self.replica.committed_state
                if await self._proposed(state):
                    return state
        raise OutcomeUnknown

    async def _proposed(self, state: bytes) -> bool:
        """Whether the state was committed; where it wasn't, it may be in force later."""
        with self._pending() as (token, pending):
            try:
                self.replica.propose(token, state, trio.current_time())
            except Busy as error:
                raise NotConfirmed from error
            self.act()
            await pending.ended.wait()
            return pending.succeeded

    async def leave(self, until: float) -> bool:
        """Give leadership, copy and vote to others by this time; whether that was done."""
        with trio.move_on_at(until):
            async with self.turn:  # a change under way is answered first
                self.replica.leave(trio.current_time())
                self.act()
        while not self.replica.released and trio.current_time() < until:
            await self.host.pause(TICK / 5)
        return self.replica.released

    def lease_remaining(self) -> float:
        """Seconds for which this machine may still act as the single holder; 0 if it may not."""
        now = trio.current_time()
        return max(0.0, self.replica.lease_until(now) - now) if self.replica.is_primary else 0.0

    @contextmanager
    def _pending(self) -> Iterator[tuple[int, Pending]]:
        token, pending = next(self.tokens), Pending()
        self.pending[token] = pending
        try:
            yield token, pending
        finally:
            del self.pending[token]

    # what the replica decides

    async def run(self) -> None:
        """Tell the replica of time passing, for good."""
        while True:
            self.replica.tick(trio.current_time())
            self.act()
            self._watch_redundancy()
            await self.host.pause(TICK)

    def act(self) -> None:
        """Carry out what the replica wants done."""
        for action in self.replica.drain():
            match action:
                case Send(to, message):
                    self._send(to, message)
                case Save(token, durable):
                    self.nursery.start_soon(self._save, token, durable)
                case Committed(token):
                    self.committed()
                    self._end(token, True)
                case ReadConfirmed(token):
                    self._end(token, True)
                case Failed(token) | ReadFailed(token):
                    self._end(token, False)
                case Became(primary):
                    self._on_role_change(primary)

    def _on_role_change(self, primary: bool) -> None:
        event = "primary" if primary else "no_primary"
        in_sync = ",".join(map(ip_from_machine_id, self.replica.record.in_sync))
        logger.info("event={} epoch={} in_sync={}", event, self.replica.record.number, in_sync)
        if primary:
            self.watch = RedundancyWatch(trio.current_time())
        self.became(primary)

    def _watch_redundancy(self) -> None:
        if not self.replica.is_primary:
            return
        change = self.watch.observe(self.replica.redundancy(), trio.current_time())
        if change is None:
            return
        found = change.redundancy
        copies, witnesses = (
            f"{found.copies}/{found.copies_wanted}",
            f"{found.witnesses}/{found.witnesses_wanted}",
        )
        took = "-" if change.until_full_s is None else f"{change.until_full_s:.2f}"
        logger.info(
            "event=redundancy copies={} witnesses={} until_full_s={} spread={}", copies, witnesses, took, found.spread
        )
        if not found.spread:
            logger.warning("event=tolerance_not_met why={!r}", self.replica.lacking_spread())

    def _end(self, token: int, succeeded: bool) -> None:
        pending = self.pending.get(token)
        if pending is not None:
            pending.succeeded = succeeded
            pending.ended.set()

    async def _save(self, token: int, durable: DurableState) -> None:
        at, done = trio.current_time(), True
        if self.store is not None:
            try:
                await self.host.in_thread(partial(self.store.write, CODEC.pack(durable)))
            except StoreError as error:
                logger.error("event=save_failed why={!r}", str(error))
                done = False
        now = trio.current_time()
        self.saves += 1
        self.save_seconds += now - at
        if done:
            self.replica.saved(token, now)
        else:
            self.replica.save_failed(token, now)
        self.act()

    # connections to the others

    def _send(self, to: int, message: Message) -> None:
        """Large states go by a connection of their own, so that heartbeats don't wait behind them; so does where this
        machine is, which former programs can't read."""
        channel = channel_of(message)
        sender = self.senders.get((to, channel))
        if sender is None:
            sender = self._new_sender(to, channel)
        sender.put(message)

    def _new_sender(self, to: int, channel: Channel) -> RecordSender:
        if len(self.senders) >= MOST_SENDERS:
            quiet = min(self.senders, key=lambda key: self.heard.get(key[0], 0.0))
            self.senders.pop(quiet).stop()
        most, stuck = (MOST_LARGE, LARGE_STUCK) if channel is Channel.LARGE_STATES else (MOST_QUEUED, STUCK)
        alive = partial(self._alive, to, channel)
        sender = RecordSender(
            self.host, CODEC, (ip_from_machine_id(to), self.port), Hello(self.machine), alive, most, stuck
        )
        self.senders[to, channel] = sender
        self.nursery.start_soon(sender.run)
        return sender

    def _alive(self, machine: int, channel: Channel) -> bool:
        """Whether the connection to a machine is worth keeping: it was heard since, or not long ago."""
        since = max(self.heard.get(machine, 0.0), self.senders[machine, channel].opened_at)
        return trio.current_time() - since < UNHEARD

    async def hear(self, inbox: RecordReader, hello: Hello) -> None:
        """Take what another core machine says, until its connection ends."""
        while True:
            _, message = await inbox.next()
            now = trio.current_time()
            self.heard[hello.machine] = now
            self.replica.receive(hello.machine, message, now)
            self.act()


def decode_durable_state(record: bytes | None) -> DurableState | None:
    """What a disk holds, ``MalformedRecord`` if it can't be read."""
    if record is None:
        return None
    if len(record) < FRAME_HEADER.size:
        raise MalformedRecord("a record cut short")
    _, _, kind, _, _ = FRAME_HEADER.unpack_from(record)
    return CODEC.unpack(kind, record[FRAME_HEADER.size :])
