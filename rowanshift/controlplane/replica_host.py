"""A core machine's part of the replica on a Host: records to and from the others, saves to the disk, time."""

from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any

import trio
from loguru import logger

from rowanshift.controlplane.replication import (
    Became,
    Busy,
    Committed,
    DurableState,
    Failed,
    NotPrimary,
    ReadConfirmed,
    ReadFailed,
    Replica,
    Save,
    Send,
)
from rowanshift.controlplane.store import StoreError
from rowanshift.net.links import Inbox, LinkFailed, Sender
from rowanshift.net.transport import Disk, Host, Nursery
from rowanshift.wire.codec import HEAD, BadRecord
from rowanshift.wire.machines import ip_of
from rowanshift.wire.table import CODEC, Hello

TICK = 0.05  # seconds
UNHEARD = 0.9  # seconds without a word from a machine, after which its connection is dialled anew
MOST_PEERS = 32
SAVE_AGAIN = 0.2  # seconds


class OutcomeUnknown(Exception):
    """The change may or may not be in force."""


class NotConfirmed(Exception):
    """Nobody could confirm that this machine is the primary."""


class ReplicaHost:
    def __init__(
        self,
        host: Host,
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
        self.senders: dict[int, Sender] = {}
        self.heard: dict[int, float] = {}
        self.tokens = count(1)
        self.waits: dict[int, tuple[trio.Event, list[bool]]] = {}
        self.turn = trio.Lock()  # one change at a time
        self.hint = 0
        self.saves = self.save_seconds = 0.0

    # calls ------------------------------------------------

    async def read(self) -> bytes:
        """The sheet, confirmed to be the newest when it was asked for. ``NotPrimary``, ``NotConfirmed``."""
        token, wait = self._wait()
        try:
            self.replica.confirm_read(token, trio.current_time())
            self.act()
            if not await self._outcome(wait):
                raise NotConfirmed
        finally:
            del self.waits[token]
        return self.replica.committed_state

    async def change(self, made: Callable[[bytes], bytes | None], within: float) -> bytes:
        """Makes the next sheet from the newest, once it is on all disks that are wanted; None changes
        nothing. ``NotPrimary``, ``NotConfirmed``, ``OutcomeUnknown``, and what ``made`` raises."""
        with trio.move_on_after(within):
            async with self.turn:
                sheet = made(await self.read())
                if sheet is None:
                    return self.replica.committed_state
                token, wait = self._wait()
                try:
                    self.replica.propose(token, sheet, trio.current_time())
                    self.act()
                    if await self._outcome(wait):
                        return sheet
                except Busy as error:
                    raise NotConfirmed from error
                finally:
                    del self.waits[token]
        raise OutcomeUnknown

    def holds(self) -> float:
        """Seconds for which this machine may still act as the single holder; 0 if it may not."""
        now = trio.current_time()
        return max(0.0, self.replica.lease_until(now) - now) if self.replica.is_primary else 0.0

    def _wait(self) -> tuple[int, tuple[trio.Event, list[bool]]]:
        token = next(self.tokens)
        self.waits[token] = wait = (trio.Event(), [])
        return token, wait

    @staticmethod
    async def _outcome(wait: tuple[trio.Event, list[bool]]) -> bool:
        await wait[0].wait()
        return wait[1][0]

    # the protocol -----------------------------------------

    async def run(self) -> None:
        while True:
            self.replica.tick(trio.current_time())
            self.act()
            await self.host.pause(TICK)

    def act(self) -> None:
        """Carries out what the protocol wants done."""
        for action in self.replica.drain():
            match action:
                case Send(to, message):
                    self._sender(to, message)
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
                    logger.info(
                        "event={} epoch={} in_sync={}",
                        "primary" if primary else "no_primary",
                        self.replica.record.number,
                        ",".join(map(ip_of, self.replica.record.in_sync)),
                    )
                    self.became(primary)

    def _end(self, token: int, well: bool) -> None:
        if (wait := self.waits.get(token)) is not None:
            wait[1].append(well)
            wait[0].set()

    async def _save(self, token: int, durable: DurableState) -> None:
        at, well = trio.current_time(), True
        if self.store is not None:
            try:
                await self.host.in_thread(partial(self.store.write, CODEC.pack(durable)))
            except StoreError as error:
                logger.error("event=save_failed why={!r}", str(error))
                well = False
        now = trio.current_time()
        self.saves += 1
        self.save_seconds += now - at
        (self.replica.saved if well else self.replica.save_failed)(token, now)
        self.act()

    def _sender(self, to: int, message: Any) -> None:
        sender = self.senders.get(to)
        if sender is None:
            if len(self.senders) >= MOST_PEERS:
                quiet = min(self.senders, key=lambda machine: self.heard.get(machine, 0.0))
                self.senders.pop(quiet).stop()
            sender = self.senders[to] = Sender(
                self.host, CODEC, (ip_of(to), self.port), Hello(self.machine), partial(self._alive, to)
            )
            self.nursery.start_soon(sender.run)
        sender.put(message)

    def _alive(self, machine: int) -> bool:
        """Whether the connection to a machine is worth keeping: it was heard since, or not long ago."""
        since = max(self.heard.get(machine, 0.0), self.senders[machine].opened_at)
        return trio.current_time() - since < UNHEARD

    async def hear(self, inbox: Inbox, hello: Hello) -> None:
        """Takes what another core machine says, until its connection ends."""
        while True:
            _, message = await inbox.next()
            now = trio.current_time()
            self.heard[hello.machine] = now
            self.replica.receive(hello.machine, message, now)
            self.act()


def durable_of(record: bytes | None) -> DurableState | None:
    """What a disk holds, ``BadRecord`` if it can't be read."""
    if record is None:
        return None
    if len(record) < HEAD.size:
        raise BadRecord("a record cut short")
    _, _, kind, _, _ = HEAD.unpack_from(record)
    return CODEC.unpack(kind, record[HEAD.size :])


__all__ = ["BadRecord", "LinkFailed", "NotConfirmed", "NotPrimary", "OutcomeUnknown", "ReplicaHost", "durable_of"]
