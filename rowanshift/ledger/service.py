"""A core machine as a service: the ledger, the operator's API, the counters' polls, the primary's duties."""

import random
import signal
import zlib
from collections.abc import AsyncIterator
from hashlib import blake2b

import trio
from loguru import logger

from rowanshift.boot import Boot, BootError, load_boot
from rowanshift.counter.book import book_of
from rowanshift.ledger.api import ConfigResource, StatusResource, VersionResource
from rowanshift.ledger.duties import Duties
from rowanshift.ledger.node import Node, durable_of
from rowanshift.ledger.protocol import Durable, Ledger
from rowanshift.ledger.roster import Roster
from rowanshift.ledger.sheet import Sheet, unpack
from rowanshift.ledger.store import DamagedRecord, NewerFormat, StoreError
from rowanshift.logs import log_to_stderr
from rowanshift.net.budget import Memory
from rowanshift.net.calls import CallServer
from rowanshift.net.links import Inbox, LinkFailed
from rowanshift.net.transport import SYSTEM, Disk, Host, Listener, Stream, send_all
from rowanshift.records.codec import BadRecord
from rowanshift.records.delivery import Elsewhere, Poll, Update
from rowanshift.records.machines import ip_of, machine_of
from rowanshift.records.table import CODEC, Hello
from rowanshift.stock.index import packed

HOLD = 1.0  # seconds that a poll is held
MEMBERS_EVERY = 0.5  # seconds between tellings of who is a member
MEMBER_FOR = 2.5  # seconds that a counter is a member after its poll
COUNTED_FOR = 12.0  # seconds that it still counts where a shared budget is cut
LARGEST_CALL = 16 << 20  # bytes of an operator's body
MEMORY_PART = 0.4
OPEN_AGAIN = 0.5  # seconds between tries to open the disk
WRITE_WITHIN = 2.0  # seconds for a counter to take an answer
FAREWELL = 0.3  # seconds from giving the primacy up to the end
LINKS = 2048  # connections of counters and core machines at once


class Desk:
    def __init__(self, boot: Boot, host: Host = SYSTEM, seed: int | None = None) -> None:
        self.boot, self.host = boot, host
        self.chance = random.Random(seed)
        self.machine = machine_of(boot.ip)
        self.told_to_stop = trio.Event()
        self.node: Node | None = None  # until the disk has been read
        self.sheet, self.mark, self.packed, self.stamp = Sheet(), 0, b"", (0, 0)
        self.raw: bytes | None = None
        self.store_addresses: set[tuple[str, int]] = set()
        self.news = trio.Event()
        self.members: dict[int, float] = {}  # counters by machine, with trio's time of their last poll
        self.primary_since: float | None = None
        self.links = 0
        self.rows_of: tuple[Roster | None, int] = (None, 0)
        self.rows = b""
        self.peers: tuple[int, ...] = ()  # counters that are members, as they were told last
        self.peers_serial = 0  # 0: not known yet

    # state ------------------------------------------------

    def _seeds(self) -> tuple[int, ...]:
        return tuple(machine_of(seed[0]) for seed in self.boot.seeds)

    async def _disk(self) -> tuple[Disk | None, Durable | None]:
        """The store, open, and what it holds."""
        if self.boot.data is None:
            return None, None
        store = self.host.disk(self.boot.data / "ledger")
        while True:
            try:
                await self.host.in_thread(store.open)
                record = await self.host.in_thread(store.read)
                if store.damage:  # what is left may be older than what was promised
                    raise DamagedRecord(store.damage)
                return store, durable_of(record)
            except NewerFormat:
                raise
            except (DamagedRecord, BadRecord) as error:
                logger.error("event=disk_damaged why={!r}", str(error))
                return store, None
            except StoreError as error:
                logger.error("event=disk_not_open why={!r}", str(error))
                await self.host.pause(OPEN_AGAIN)

    def _became(self, primary: bool) -> None:
        self.primary_since = trio.current_time() if primary else None
        self.members.clear()
        self.peers, self.peers_serial = (), 0
        self.duties.forget()
        self.refresh()
        self._tell()

    def _tell(self) -> None:
        self.news.set()
        self.news = trio.Event()

    def refresh(self) -> None:
        """Takes the committed sheet up."""
        ledger = self.node.ledger
        if ledger.committed_sheet is self.raw or not ledger.is_primary:
            return
        self.raw = ledger.committed_sheet
        self.sheet = unpack(self.raw)
        text = b"%d|%s|%r" % (self.sheet.revision, self.sheet.config, sorted(self.sheet.versions.items()))
        self.mark = int.from_bytes(blake2b(text, digest_size=8).digest(), "big") | 1
        self.packed = zlib.compress(self.sheet.config, 1)
        book = book_of(self.sheet.revision, self.sheet.config, self.sheet.versions)
        self.store_addresses = set()
        for service in book.services.values():
            host, _, port = service.store.rpartition(":")
            if host and port.isdigit():
                self.store_addresses.add((host, int(port)))
        self._tell()

    def stores(self) -> set[tuple[str, int]]:
        """Addresses of the stores that the configuration names."""
        self.refresh()
        return self.store_addresses

    def named(self) -> dict[str, int]:
        self.refresh()
        return self.sheet.versions

    def status(self) -> dict:
        ledger, now = self.node.ledger, trio.current_time()
        record = ledger.record
        return {
            "name": self.boot.name,
            "machine": self.boot.ip,
            "primary": ledger.is_primary,
            "primaryHint": ip_of(ledger.primary_hint),
            "epoch": record.number,
            "inSync": [ip_of(m) for m in record.in_sync],
            "witnesses": [ip_of(m) for m in record.witnesses],
            "forgotten": ledger.is_forgotten,
            "leaseS": round(self.node.holds(), 3),
            "revision": self.sheet.revision if ledger.is_primary else None,
            "versions": self.sheet.versions if ledger.is_primary else None,
            "known": [ip_of(m) for m in sorted(ledger.known)],
            "members": [ip_of(m) for m, at in self.members.items() if now - at < MEMBER_FOR],
            "memberAgeS": {ip_of(m): round(now - at, 3) for m, at in self.members.items() if now - at < MEMBER_FOR},
            "readsList": self.boot.cloud is not None and self.node.holds() > 0,
            "listRead": self.duties.roster.serial > 0,
            "mayOrder": ledger.duty_from <= now and self.node.holds() > 0,
            "servers": [
                {
                    "id": row.id,
                    "service": row.service,
                    "address": row.address,
                    "state": row.state,
                    "versions": row.versions,
                }
                for row in self.duties.roster.rows()
            ],
            "calls": self.duties.calls,
            "orders": self.duties.orders,
            "saves": self.node.saves,
            "saveSeconds": round(self.node.save_seconds, 4),
        }

    # counters ---------------------------------------------

    async def _poll(self, poll: Poll) -> Update | Elsewhere:
        """Holds a counter's question until there is something newer than it has, for ``HOLD`` at most."""
        until = trio.current_time() + HOLD
        ledger = self.node.ledger
        while True:
            now = trio.current_time()
            if not self.node.holds():
                return Elsewhere(0 if ledger.is_primary else ledger.primary_hint, self._core())
            self.members[poll.machine] = now
            self.refresh()
            stamp = (ledger.record.number, 0)
            roster, epoch = self.duties.roster, ledger.record.number
            has_sheet = poll.mark != self.mark
            has_rows = roster.serial > 0 and poll.roster != (epoch, roster.serial)
            stock = self.duties.stock
            has_stock = poll.stock != (epoch, stock.serial)
            has_peers = self.peers_serial > 0 and poll.peers != (epoch, self.peers_serial)
            if has_sheet or has_rows or has_stock or has_peers or now >= until:
                counted = sum(now - at < COUNTED_FOR for at in self.members.values())
                known = self.primary_since is not None and now - self.primary_since > MEMBER_FOR
                whole, kept, dropped = stock.since(poll.stock[1] if poll.stock[0] == epoch else 0)
                return Update(
                    stamp,
                    self.mark,
                    has_sheet,
                    self.sheet.revision if has_sheet else 0,
                    self.packed if has_sheet else b"",
                    self.sheet.versions if has_sheet else {},
                    (epoch, roster.serial),
                    has_rows,
                    self._rows(roster) if has_rows else (),
                    counted if known else 0,
                    (epoch, stock.serial),
                    whole,
                    packed(kept),
                    packed(dropped),
                    (epoch, self.peers_serial) if has_peers else poll.peers,
                    has_peers,
                    self.peers if has_peers else (),
                    self._core(),
                )
            news = self.news
            with trio.move_on_at(until):
                await news.wait()

    def _rows(self, roster: Roster) -> bytes:
        """The roster's rows, packed once for all counters that ask."""
        if self.rows_of != (roster, roster.serial):
            self.rows_of, self.rows = (roster, roster.serial), CODEC.put("o", roster.rows())
        return self.rows

    async def _tell_members(self) -> None:
        """Tells the counters of each other, once a new primary has surely heard all that live."""
        while True:
            now = trio.current_time()
            if self.primary_since is not None and now - self.primary_since > MEMBER_FOR:
                peers = tuple(sorted(machine for machine, at in self.members.items() if now - at < MEMBER_FOR))
                if peers != self.peers:
                    self.peers, self.peers_serial = peers, self.peers_serial + 1
                    self._tell()
                for machine in [machine for machine, at in self.members.items() if now - at > COUNTED_FOR]:
                    del self.members[machine]
            await self.host.pause(MEMBERS_EVERY)

    def _core(self) -> tuple[int, ...]:
        record = self.node.ledger.record
        return tuple(sorted({*record.witnesses, *record.in_sync}))

    async def _link(self, stream: Stream) -> None:
        """One connection of a counter or of a core machine."""
        self.links += 1
        inbox = Inbox(stream, CODEC)
        try:
            number, record = await inbox.next()
            if isinstance(record, Hello):
                await self.node.hear(inbox, record)
            while True:
                if not isinstance(record, Poll):
                    raise BadRecord(f"{type(record).__name__} was not expected")
                answer = CODEC.pack(await self._poll(record), number)
                with trio.fail_after(WRITE_WITHIN):
                    await send_all(stream, answer)
                number, record = await inbox.next()
        except BadRecord as error:
            logger.warning("event=bad_record why={!r}", str(error))
        except (LinkFailed, OSError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        except Exception:
            logger.exception("event=link_broke")
        finally:
            self.links -= 1
            stream.close()

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        while True:
            await listener.wait()
            try:
                stream = listener.accept()
            except BlockingIOError:
                continue
            except OSError:
                await self.host.pause(0.02)
                continue
            if self.links >= LINKS:
                stream.close()
                continue
            nursery.start_soon(self._link, stream)

    # phases -----------------------------------------------

    async def run(self) -> None:
        boot, host = self.boot, self.host
        with host.signals() as signals:
            async with host.nursery() as nursery:
                nursery.start_soon(self._heed, signals, nursery.cancel_scope)
                store, durable = await self._disk()
                memory = Memory(boot.limits.memory_mb * MEMORY_PART)
                file = boot.file
                ledger = Ledger(
                    self.machine,
                    file.fault_tolerance.machines,
                    self._seeds(),
                    file.bootstrap,
                    durable,
                    trio.current_time(),
                    self.chance.random,
                    boot.bounds.lease_ms / 1000 + 0.3,
                )
                self.node = Node(host, self.machine, boot.inner[1], ledger, store, nursery, self._became, self.refresh)
                self.duties = Duties(host, memory, self.node, boot.cloud, boot.name, self.named, self._tell)
                control = boot.want("controlPlane")
                calls = CallServer(
                    {
                        b"/config": ConfigResource(self.node, control[1]),
                        b"/version-put": VersionResource(self.node, control[1]),
                        b"/status": StatusResource(self.status),
                    },
                    memory,
                    LARGEST_CALL,
                )
                inner = host.listen(boot.inner, 256)
                nursery.start_soon(self._accept, inner, nursery)
                nursery.start_soon(calls.serve, host.listen(control, 256), nursery, host.pause)
                nursery.start_soon(self.node.run)
                nursery.start_soon(self._tell_members)
                nursery.start_soon(self.duties.read_list)
                nursery.start_soon(self.duties.roll_out, nursery)
                nursery.start_soon(self.duties.follow_stores, nursery, self.stores)
                host.settled()
                logger.info(
                    "event=started role=ledger name={} forgotten={} epoch={}",
                    boot.name,
                    ledger.is_forgotten,
                    ledger.record.number,
                )
                await self.told_to_stop.wait()
                logger.info("event=stopping primary={}", ledger.is_primary)
                if ledger.is_primary:
                    async with self.node.turn:  # a change under way is answered first
                        ledger.resign(trio.current_time())
                        self.node.act()
                    await host.pause(FAREWELL)
                nursery.cancel_scope.cancel()

    async def _heed(self, signals: AsyncIterator[int], scope: trio.CancelScope) -> None:
        async for number in signals:
            if number != signal.SIGHUP:
                self.told_to_stop.set()
                if self.node is None:
                    scope.cancel()
            elif self.boot.path is not None:
                try:
                    self.boot = load_boot(self.boot.path)
                    if self.node is not None:
                        self.node.ledger.known |= {*self._seeds()} - {self.machine}
                except BootError as error:
                    logger.warning("event=settings_kept why={!r}", str(error))


def run(boot: Boot, level: str = "INFO") -> int:
    """Serves until SIGTERM; the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr(level)
    code = 0
    try:
        trio.run(Desk(boot).run)
    except* NewerFormat as group:
        logger.error("event=ended why={!r}", str(group.exceptions[0]))
        code = 2
    except* (OSError, BootError) as group:
        logger.error("event=ended why={!r}", str(group.exceptions[0]))
        code = 1
    return code
