"""A core machine as a service: the replica, the operator's API, the routers' polls, the primary's duties."""

import random
import signal
import zlib
from collections.abc import AsyncIterator
from hashlib import blake2b
from typing import Any

import trio
from loguru import logger

from rowanshift.controlplane.api import ConfigResource, StatusResource, VersionResource
from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.control_state import ControlState, unpack
from rowanshift.controlplane.machine_disk import SYSTEM_CORE_RUNTIME, CoreRuntime, Disk
from rowanshift.controlplane.record_kinds import CODEC, Hello
from rowanshift.controlplane.replica_runner import ReplicaRunner, decode_durable_state
from rowanshift.controlplane.replication import DurableState, FailureDomain, FaultTolerance, Replica
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.controlplane.settings_doubts import fault_tolerance_doubts
from rowanshift.controlplane.singleton_tasks import SingletonTasks
from rowanshift.controlplane.store import DamagedRecord, NewerFormat, StoreError
from rowanshift.dataplane.routing_table import routing_table_of
from rowanshift.kv_index.index import packed
from rowanshift.process.error_groups import first_of
from rowanshift.process.logs import log_to_stderr
from rowanshift.process.node_settings import NodeSettings, NodeSettingsError, load_node_settings
from rowanshift.transport.calls import CallOutcomes, CallServer
from rowanshift.transport.memory_budget import Memory
from rowanshift.transport.record_links import ConnectionFailed, RecordReader
from rowanshift.transport.signals import ReceivedSignal
from rowanshift.transport.streams import Listener, Stream, send_all
from rowanshift.wire.control_updates import (
    SERVER_RECORDS,
    ModelVersionAnnouncement,
    Poll,
    PollOfFormat1,
    PollOfFormat2,
    PollOfFormat3,
    Redirect,
    Update,
    UpdateOfFormat1,
)
from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.machine_ids import ip_from_machine_id, machine_id_from_ip
from rowanshift.wire.version_announcements import age_ms

LONG_POLL_SECONDS = 1.0  # seconds that a poll is held at most
FIND_PRIMARY = 0.4  # seconds that a poll waits at a machine that knows of no primary
LOOK = 0.05  # seconds between its looks
MEMBERS_EVERY = 0.5  # seconds between tellings of who is a member
MEMBER_FOR = 2.5  # seconds that a router is a member after its poll
COUNTED_FOR = 12.0  # seconds that it still counts where a shared budget is cut
LARGEST_CALL = 16 << 20  # bytes of an operator's body
MEMORY_PART = 0.4
OPEN_AGAIN = 0.5  # seconds between tries to open the disk
WRITE_WITHIN = 2.0  # seconds for a router to take an answer
GRACE_LEFT = 1.5  # seconds of the grace that are kept: until then this machine waits for its release
ANSWERED_WITHIN = 0.8  # of these, for calls and polls that were read to be answered
FAREWELL = 0.1  # seconds from then to the end, in which answers still go out
LINKS = 2048  # connections of routers and core machines at once
MOST_BEHIND = 50  # servers in the status that lack a named version


ROLE = "controlplane"


class ControlPlaneService:
    """One core machine: its replica, the operator's API, routers' polls and the singleton tasks."""

    def __init__(self, boot: NodeSettings, host: CoreRuntime = SYSTEM_CORE_RUNTIME, seed: int | None = None) -> None:
        self.boot, self.host = boot, host
        self.random_source = random.Random(seed)
        self.machine = machine_id_from_ip(boot.ip)
        self.shutdown_requested = trio.Event()
        self.shutdown_requested_at: float | None = None  # trio's time at which the signal was handled
        self.replica_runner: ReplicaRunner | None = None  # until the disk has been read
        self.state, self.fingerprint, self.packed = ControlState(), 0, b""
        self.raw: bytes | None = None
        self.store_addresses: set[tuple[str, int]] = set()
        self.update_event = trio.Event()
        self.members: dict[int, float] = {}  # routers by machine, with trio's time of their last poll
        self.primary_since: float | None = None
        self.links = 0
        self.calls = CallOutcomes()
        self.polls = 0  # that were read and have no answer yet
        self.leaving = False  # released, or the grace is nearly over: nothing is held or begun any more
        self.rows_of: tuple[ServerRegistry | None, int] = (None, 0)
        self.rows = b""
        self.peers: tuple[int, ...] = ()  # routers that are members, as they were told last
        self.peers_serial = 0  # 0: not known yet

    # state ------------------------------------------------

    def _seeds(self) -> tuple[int, ...]:
        return tuple(machine_id_from_ip(seed[0]) for seed in self.boot.seeds)

    async def _disk(self) -> tuple[Disk | None, DurableState | None]:
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
                return store, decode_durable_state(record)
            except NewerFormat:
                raise
            except (DamagedRecord, MalformedRecord) as error:
                logger.error("event=disk_damaged why={!r}", str(error))
                return store, None
            except StoreError as error:
                logger.error("event=disk_not_open why={!r}", str(error))
                await self.host.pause(OPEN_AGAIN)

    def _on_role_change(self, primary: bool) -> None:
        self.primary_since = trio.current_time() if primary else None
        self.members.clear()
        self.peers, self.peers_serial = (), 0
        self.tasks.forget()
        self.raw = None  # what is named was inherited, also where the state is the one of an earlier time as primary
        self.refresh()
        self._tell()

    def _tell(self) -> None:
        self.update_event.set()
        self.update_event = trio.Event()

    def refresh(self) -> None:
        """Takes the committed state up."""
        replica = self.replica_runner.replica
        if replica.committed_state is self.raw or not replica.is_primary:
            return
        self.raw = replica.committed_state
        self.state = unpack(self.raw)
        text = b"%d|%s|%r" % (self.state.revision, self.state.config, sorted(self.state.versions.items()))
        self.fingerprint = int.from_bytes(blake2b(text, digest_size=8).digest(), "big") | 1
        self.packed = zlib.compress(self.state.config, 1)
        self.tasks.registry.record_versions(self.state.versions, trio.current_time())
        routing_table = routing_table_of(self.state.revision, self.state.config, self.state.versions)
        self.store_addresses = set()
        for service in routing_table.services.values():
            host, _, port = service.store.rpartition(":")
            if host and port.isdigit():
                self.store_addresses.add((host, int(port)))
        self._tell()

    def stores(self) -> set[tuple[str, int]]:
        """Addresses of the stores that the configuration names."""
        self.refresh()
        return self.store_addresses

    def named(self) -> dict[str, int]:
        """The named version of each model."""
        self.refresh()
        return self.state.versions

    def status(self) -> dict:
        """What this machine knows, for staff."""
        replica, now = self.replica_runner.replica, trio.current_time()
        record = replica.record
        return {
            "name": self.boot.name,
            "machine": self.boot.ip,
            "primary": replica.is_primary,
            "primaryHint": ip_from_machine_id(replica.primary_hint),
            "epoch": record.number,
            "inSync": [ip_from_machine_id(m) for m in record.in_sync],
            "witnesses": [ip_from_machine_id(m) for m in record.witnesses],
            "amnesic": replica.is_amnesic,
            "leaseS": round(self.replica_runner.lease_remaining(), 3),
            "redundancy": self._redundancy(now) if replica.is_primary else None,
            "revision": self.state.revision if replica.is_primary else None,
            "versions": self.state.versions if replica.is_primary else None,
            "known": [ip_from_machine_id(m) for m in sorted(replica.known)],
            "members": [ip_from_machine_id(m) for m, at in self.members.items() if now - at < MEMBER_FOR],
            "memberAgeS": {
                ip_from_machine_id(m): round(now - at, 3) for m, at in self.members.items() if now - at < MEMBER_FOR
            },
            "readsList": self.boot.cloud is not None and self.replica_runner.lease_remaining() > 0,
            "listRead": self.tasks.registry.serial > 0,
            "mayOrder": replica.duty_from <= now and self.replica_runner.lease_remaining() > 0,
            "servers": [
                {
                    "id": row.id,
                    "service": row.service,
                    "address": row.address,
                    "state": row.state,
                    "versions": row.versions,
                }
                for row in self.tasks.registry.records()
            ],
            "behind": [
                {
                    "id": server.id,
                    "model": server.model,
                    "version": server.version,
                    "lacksForS": round(server.lag_seconds, 3),
                    "loading": server.loading,
                }
                for server in self.tasks.registry.servers_behind(self.state.versions, now)[:MOST_BEHIND]
            ],
            "calls": self.tasks.calls,
            "orders": self.tasks.orders,
            "saves": self.replica_runner.saves,
            "saveSeconds": round(self.replica_runner.save_seconds, 4),
        }

    def _redundancy(self, now: float) -> dict[str, Any]:
        """What the primary sees of copies and witnesses, for staff."""
        found, lacking = self.replica_runner.replica.redundancy(), self.replica_runner.watch.lacking_for(now)
        return {
            "copies": found.copies,
            "copiesWanted": found.copies_wanted,
            "witnesses": found.witnesses,
            "witnessesWanted": found.witnesses_wanted,
            "full": found.full,
            "spread": found.spread,
            "lackingS": round(lacking, 3),
        }

    # routers ---------------------------------------------

    async def _poll(self, poll: PollOfFormat3) -> Update | Redirect:
        """Hold a router's question until there is something newer than it has, as long as it allows.

        The answer is made under a lease that was looked at after the question came in.
        """
        now = trio.current_time()
        until = now + min(LONG_POLL_SECONDS, poll.long_poll_ms / 1000)
        search_until = now + FIND_PRIMARY
        while True:
            now = trio.current_time()
            if self.leaving:
                return self._elsewhere()
            if not self.replica_runner.lease_remaining():
                if self._names_another() or now >= search_until:
                    return self._elsewhere()
                await self.host.pause(LOOK)
                continue
            self.members[poll.machine] = now
            self.refresh()
            self._take_dates(poll)
            if now >= until or self._has_update(poll):
                return self._update(poll, now)
            update_event = self.update_event
            with trio.move_on_at(until):
                await update_event.wait()

    def _names_another(self) -> bool:
        """Whether this machine is sure of not being the primary and has heard the primary lately."""
        replica = self.replica_runner.replica
        return not replica.is_primary and replica.primary_hint != 0

    def _elsewhere(self) -> Redirect:
        replica = self.replica_runner.replica
        return Redirect(0 if replica.is_primary else replica.primary_hint, self._core())

    def _take_dates(self, poll: PollOfFormat3) -> None:
        """Takes in when versions were named, if the asker tells it."""
        told = poll.announcements if isinstance(poll, Poll) else ()
        if told and self.tasks.registry.apply_announcements(told, self.state.versions, trio.current_time()):
            self._tell()

    def _has_update(self, poll: PollOfFormat3) -> bool:
        """Whether there is anything that the asker lacks."""
        epoch, registry = self.replica_runner.replica.record.number, self.tasks.registry
        return (
            poll.fingerprint != self.fingerprint
            or (registry.serial > 0 and poll.registry_version != (epoch, registry.serial))
            or poll.prefix_holdings_version != (epoch, self.tasks.stock.serial)
            or (self.peers_serial > 0 and poll.peers_version != (epoch, self.peers_serial))
            or (isinstance(poll, Poll) and poll.announcements_version != (epoch, registry.announcements_serial))
        )

    def _update(self, poll: PollOfFormat3, now: float) -> Update:
        """All that the asker lacks, as it is committed."""
        replica, registry, stock = self.replica_runner.replica, self.tasks.registry, self.tasks.stock
        epoch, state = replica.record.number, self.state
        version = replica.committed_version
        has_state = poll.fingerprint != self.fingerprint
        has_rows = registry.serial > 0 and poll.registry_version != (epoch, registry.serial)
        has_peers = self.peers_serial > 0 and poll.peers_version != (epoch, self.peers_serial)
        announcements_serial = epoch, registry.announcements_serial
        has_names = has_state or not isinstance(poll, Poll) or poll.announcements_version != announcements_serial
        counted = sum(now - at < COUNTED_FOR for at in self.members.values())
        known = self.primary_since is not None and now - self.primary_since > MEMBER_FOR
        whole, kept, dropped = stock.since(
            poll.prefix_holdings_version[1] if poll.prefix_holdings_version[0] == epoch else 0
        )
        return Update(
            state_version=(version.epoch, version.sequence),
            fingerprint=self.fingerprint,
            has_state=has_state,
            revision=state.revision if has_state else 0,
            config=self.packed if has_state else b"",
            versions=state.versions if has_state else {},
            registry_version=(epoch, registry.serial),
            has_server_records=has_rows,
            server_records=self._rows(registry) if has_rows else (),
            member_count=counted if known else 0,
            prefix_holdings_version=(epoch, stock.serial),
            prefix_holdings_complete=whole,
            stored_block_hashes=packed(kept),
            removed_block_hashes=packed(dropped),
            peers_version=(epoch, self.peers_serial) if has_peers else poll.peers_version,
            has_peers=has_peers,
            peer_machines=self.peers if has_peers else (),
            core_machines=self._core(),
            announcements_version=announcements_serial,
            has_announcements=has_names,
            announcements=self._named_versions(now) if has_names else (),
        )

    def _named_versions(self, now: float) -> tuple[ModelVersionAnnouncement, ...]:
        """The names whose deadlines may be still to come, with how long ago they were acknowledged, as this machine met
        each as it was committed or as a router told it; else since this machine became primary, undated."""
        return tuple(
            ModelVersionAnnouncement(name.model, name.version, age_ms(now - name.announced_at), name.is_dated)
            for name in self.tasks.registry.announcements.all()
        )

    def _rows(self, registry: ServerRegistry) -> bytes:
        """The registry's rows, packed once for all routers that ask."""
        if self.rows_of != (registry, registry.serial):
            self.rows_of, self.rows = (registry, registry.serial), SERVER_RECORDS.encode(registry.records())
        return self.rows

    async def _tell_members(self) -> None:
        """Tells the routers of each other, once a new primary has surely heard all that live."""
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
        record = self.replica_runner.replica.record
        return tuple(sorted({*record.witnesses, *record.in_sync}))

    async def _link(self, stream: Stream) -> None:
        """One connection of a router or of a core machine."""
        self.links += 1
        inbox = RecordReader(stream, CODEC)
        try:
            number, record = await inbox.next()
            if isinstance(record, Hello):
                await self.replica_runner.hear(inbox, record)
            while True:
                await self._answer_poll(stream, number, record)
                number, record = await inbox.next()
        except MalformedRecord as error:
            logger.warning("event=bad_record why={!r}", str(error))
        except (ConnectionFailed, OSError, trio.ClosedResourceError, trio.TooSlowError):
            pass
        except Exception:
            logger.exception("event=link_broke")
        finally:
            self.links -= 1
            stream.close()

    async def _answer_poll(self, stream: Stream, number: int, record: Any) -> None:
        """Answer one question of a router on its connection."""
        if isinstance(record, PollOfFormat1):
            record = record.as_format_2(int(1000 * LONG_POLL_SECONDS))
        if not isinstance(record, PollOfFormat3):
            raise MalformedRecord(f"{type(record).__name__} was not expected")
        self.polls += 1
        try:
            found = readable_by(record, await self._poll(record))
            answer = CODEC.pack(found, number)
            with trio.fail_after(WRITE_WITHIN):
                await send_all(stream, answer)
        finally:
            self.polls -= 1

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
        """Serve from the start to the end that a signal asks for, and tell how the calls ended."""
        try:
            await self._serve()
        finally:
            ended = " ".join(f"calls_{ending.value}={number}" for ending, number in self.calls.ended.items())
            logger.info(
                "event=stopped calls_read={} calls_not_answered={} {}",
                self.calls.read,
                self.calls.not_answered,
                ended,
            )

    async def _serve(self) -> None:
        """Serve until a signal asks for the end, and leave the core."""
        boot, host = self.boot, self.host
        with host.signals() as signals:
            async with host.nursery() as nursery:
                nursery.start_soon(self._on_signals, signals, nursery.cancel_scope)
                store, durable = await self._disk()
                memory = Memory(boot.limits.memory_mb * MEMORY_PART)
                file = boot.file
                tolerated = file.fault_tolerance
                replica = Replica(
                    self.machine,
                    tolerated.machines,
                    self._seeds(),
                    file.bootstrap,
                    durable,
                    trio.current_time(),
                    self.random_source.random,
                    boot.bounds.lease_ms / 1000 + 0.3,
                    place=FailureDomain(file.zone, file.region, file.quorum_member),
                    tolerance=FaultTolerance(tolerated.machines, tolerated.zones, tolerated.regions),
                )
                for doubt in fault_tolerance_doubts(file):
                    logger.warning("event=tolerance_not_met why={!r}", doubt)
                self.replica_runner = ReplicaRunner(
                    host, self.machine, boot.inner[1], replica, store, nursery, self._on_role_change, self.refresh
                )
                self.tasks = SingletonTasks(
                    host,
                    memory,
                    self.replica_runner,
                    boot.cloud,
                    boot.name,
                    self.named,
                    self._tell,
                    boot.bounds.version_ms / 1000,
                )
                control, changes = boot.want("controlPlane"), ChangeLoader(host)
                calls = CallServer(
                    {
                        b"/config": ConfigResource(self.replica_runner, control[1], changes),
                        b"/version-put": VersionResource(self.replica_runner, control[1]),
                        b"/status": StatusResource(self.status),
                    },
                    memory,
                    LARGEST_CALL,
                    self.calls,
                )
                inner = host.listen(boot.inner, 256)
                nursery.start_soon(self._accept, inner, nursery)
                nursery.start_soon(calls.serve, host.listen(control, 256), nursery, host.pause)
                nursery.start_soon(self.replica_runner.run)
                nursery.start_soon(changes.load_later)
                nursery.start_soon(self._tell_members)
                nursery.start_soon(self.tasks.read_list)
                nursery.start_soon(self.tasks.roll_out, nursery)
                nursery.start_soon(self.tasks.follow_stores, nursery, self.stores)
                host.settled()
                logger.info(
                    "event=started role=controlplane name={} amnesic={} epoch={}",
                    boot.name,
                    replica.is_amnesic,
                    replica.record.number,
                )
                await self.shutdown_requested.wait()
                logger.info("event=stopping primary={}", replica.is_primary)
                released = await self.replica_runner.leave(self._grace_ends_at() - GRACE_LEFT)
                logger.info("event=left released={}", released)
                await self._finish(calls)
                nursery.cancel_scope.cancel()

    def request_shutdown(self, at: float) -> None:
        """Serve no longer than the grace from this time on; a second call changes nothing."""
        self.shutdown_requested_at = at if self.shutdown_requested_at is None else self.shutdown_requested_at
        self.shutdown_requested.set()

    def _grace_ends_at(self) -> float:
        """When the platform ends this process, however late its loop heard of the signal."""
        return self.shutdown_requested_at + self.boot.bounds.grace_s

    async def _finish(self, calls: CallServer) -> None:
        """Answer the calls and polls that were read, and refuse what comes, within what is kept of the grace."""
        self.leaving = True
        self._tell()
        now = trio.current_time()
        until = max(now, min(now + ANSWERED_WITHIN, self._grace_ends_at() - GRACE_LEFT + ANSWERED_WITHIN))
        await calls.leave(until - now, self.host.pause)
        while self.polls and trio.current_time() < until:
            await self.host.pause(LOOK)
        await self.host.pause(FAREWELL)

    async def _on_signals(self, signals: AsyncIterator[ReceivedSignal], scope: trio.CancelScope) -> None:
        async for received in signals:
            if received.number != signal.SIGHUP:
                self.request_shutdown(received.at)
                if self.replica_runner is None:
                    scope.cancel()
            elif self.boot.path is not None:
                try:
                    self.boot = load_node_settings(self.boot.path)
                    if self.replica_runner is not None:
                        self.replica_runner.replica.known |= {*self._seeds()} - {self.machine}
                        self.replica_runner.replica.counts = self.boot.file.quorum_member
                except NodeSettingsError as error:
                    logger.warning("event=settings_kept why={!r}", str(error))


def readable_by(poll: PollOfFormat3, found: Update | Redirect) -> UpdateOfFormat1 | Redirect:
    """An answer in the form that the router which asked knows."""
    if isinstance(poll, Poll) or isinstance(found, Redirect):
        return found
    return found.as_format_1() if isinstance(poll, PollOfFormat2) else found.as_format_2()


def run(boot: NodeSettings, level: str = "INFO", former_role: str = "") -> int:
    """Serve until SIGTERM and return the exit code; ``former_role`` is the withdrawn name it was started by."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr(level)
    if former_role:
        logger.warning("event=former_role_name name={} now={}", former_role, ROLE)
    code = 0
    try:
        trio.run(ControlPlaneService(boot).run)
    except* NewerFormat as group:
        logger.error("event=ended why={!r}", str(first_of(group)))
        code = 2
    except* (OSError, NodeSettingsError) as group:
        logger.error("event=ended why={!r}", str(first_of(group)))
        code = 1
    return code
