"""The primary's duties: the platform's list is read for all, and servers get their orders under a fence.

Both are done only while the primary holds its lease; orders, by one holder, only after the one before has
surely stopped. The fence is the epoch's number, which rises and is on the disks of a majority.
"""

from collections.abc import Callable

import orjson
import trio
from loguru import logger

from rowanshift.controlplane.errors import BadEndpointList
from rowanshift.controlplane.registered_server import RegisteredServer, parse_registered_server
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.kv_index.index import BadEvents, KvIndex, Source
from rowanshift.transport.calls import CallFailed, Line, call
from rowanshift.transport.memory_budget import Memory
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Address

LIST_EVERY = 0.8  # seconds between readings of the list
LIST_WITHIN = 1.0  # seconds for a page
MOST_PAGES = 400
ROLL_OUT_PART = 0.85  # of ``versionMs``, in which all servers should have a version that was named
FEW = 2  # streams at a server that are waited for
LEFT_ALONE = 0.15  # seconds between looks whether the streams that run at a server to be loaded have ended
DRAIN_WITHIN = 0.6  # seconds that they are waited for; then they pause while it loads
ORDER_WITHIN = 0.8  # seconds for an answer to an order
REPORT_EVERY, REPORT_WITHIN = 0.25, 0.6  # seconds
LOAD_WITHIN = 12.0  # seconds that a server may take to load
UNHEARD_MOST = 2  # reports in a row without an answer, after which a load counts as failed
STOCK_EVERY = 0.25  # seconds between tellings of what stores keep
EVENTS_WAIT_MS, EVENTS_WITHIN = 1000, 1.6  # that a store holds a question, and seconds for its answer
EVENTS_EVERY = 0.2  # seconds between questions
STORE_AGAIN = 0.5  # seconds until a store that failed is asked again
LOOK = 0.05  # seconds between looks for a server to be ordered
SPARE = 0.1  # seconds of the lease that must be left beyond a call's time


class SingletonTasks:
    """What only the holder of the lease does; all of it stops when the lease does."""

    def __init__(
        self,
        host: Runtime,
        memory: Memory,
        node: ReplicaRunner,
        cloud: Address | None,
        name: str,
        named: Callable[[], dict[str, int]],
        changed: Callable[[], None],
        version_within: float,
    ) -> None:
        """``version_within``: seconds in which servers must have a version that was named."""
        self.roll_out_within = ROLL_OUT_PART * version_within
        self.host, self.memory, self.replica_runner, self.cloud, self.name = host, memory, node, cloud, name
        self.named, self.changed = named, changed
        self.registry, self.stock = ServerRegistry(rollout_seconds=self.roll_out_within), KvIndex()
        self.sources: dict[Address, Source] = {}
        self.calls = 0
        self.orders = 0

    def forget(self) -> None:
        """Another machine is primary, or this one has just become it: the list is read anew. When versions were named
        is not forgotten."""
        announcements = self.registry.announcements
        self.registry, self.stock = (
            ServerRegistry(rollout_seconds=self.roll_out_within, announcements=announcements),
            KvIndex(),
        )

    # the list ---------------------------------------------

    async def read_list(self) -> None:
        """Read the platform's list again and again."""
        while True:
            at = trio.current_time()
            if self.cloud is not None and self.replica_runner.lease_remaining():
                try:
                    entries = await self._pages()
                    if self.replica_runner.lease_remaining() and self.registry.apply_list(entries):
                        self.changed()
                except (CallFailed, BadEndpointList) as error:
                    logger.info("event=list_failed why={!r}", str(error))
            every = LIST_EVERY if self.replica_runner.lease_remaining() else 0.1
            await self.host.pause(max(0.05, at + every - trio.current_time()))

    async def _pages(self) -> list[RegisteredServer]:
        entries, token = [], None
        for _ in range(MOST_PAGES):
            target = b"/instances" if token is None else b"/instances?pageToken=" + token.encode()
            self.calls += 1
            answer = await call(self.host, self.memory, self.cloud, b"GET", target, within=LIST_WITHIN)
            if answer.status != 200:
                raise BadEndpointList(f"status {answer.status}")
            try:
                data = orjson.loads(answer.body)
                rows, token = data["instances"], data.get("nextToken")
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                raise BadEndpointList(repr(error)) from error
            entries += [parse_registered_server(row) for row in rows]
            if not token:
                return entries
        raise BadEndpointList(f"over {MOST_PAGES} pages")

    # what stores keep -------------------------------------

    async def follow_stores(self, nursery: Nursery, named: Callable[[], set[Address]]) -> None:
        """Follows the events of each store that the configuration names, while this machine is primary."""
        while True:
            wanted = named() if self.replica_runner.lease_remaining() else set()
            for address in wanted - self.sources.keys():
                self.sources[address] = Source("{}:{}".format(*address))
                nursery.start_soon(self._follow, address, self.sources[address])
            for address in self.sources.keys() - wanted:
                del self.sources[address]
            self._tell_stock()
            await self.host.pause(STOCK_EVERY)

    def _tell_stock(self) -> None:
        held = {mark for source in self.sources.values() for mark in source.marks()}
        if self.stock.update(held):
            self.changed()

    async def _follow(self, address: Address, source: Source) -> None:
        line = Line(self.host, self.memory, address)
        while self.sources.get(address) is source:
            target = b"/kv-list"
            if source.boot >= 0:
                target = b"/kv-events?since=%d" % source.since
            at = trio.current_time()
            try:
                answer = await line.call(b"GET", target, [(b"Wait-Ms", b"%d" % EVENTS_WAIT_MS)], EVENTS_WITHIN)
                if answer.status != 200:
                    raise BadEvents(f"status {answer.status}")
                data = orjson.loads(answer.body)
                if source.boot < 0:
                    source.take_list(data)
                elif not source.take_events(data):
                    logger.info("event=stock_gap store={}:{}", *address)
            except (CallFailed, BadEvents, ValueError) as error:
                if source.parts or source.boot >= 0:
                    logger.info("event=store_away store={}:{} why={!r}", *address, str(error))
                source.boot = -1
                source.parts.clear()
                self._tell_stock()
                await self.host.pause(STORE_AGAIN)
            await self.host.pause(max(0.0, at + EVENTS_EVERY - trio.current_time()))
        line.close()

    # orders -----------------------------------------------

    def _may_order(self) -> bool:
        """Whether an order may go out now and still arrive while this machine is the only holder."""
        return (
            self.replica_runner.replica.duty_from <= trio.current_time()
            and self.replica_runner.lease_remaining() > SPARE
        )

    async def roll_out(self, nursery: Nursery) -> None:
        """Order servers to load named versions, for good."""
        while True:
            if self._may_order():
                due = self.registry.next_load(self.named(), trio.current_time())
                if due is not None:
                    self.registry.load_started(due[0], trio.current_time())
                    self.changed()
                    nursery.start_soon(self._load, self.registry, *due)
                    continue
            await self.host.pause(LOOK)

    async def _load(self, registry: ServerRegistry, known: RegisteredServer, model: str, version: int) -> None:
        """Brings one server to a version, or to a newer one that is named while its requests end."""
        well = False
        try:
            await self._left_alone(known)
            version = max(version, self.named().get(model, 0))
            well = await self._ordered(known, model, version)
        except CallFailed as error:
            logger.info("event=order_failed server={} why={!r}", known.id, str(error))
        if registry is self.registry:
            if well:
                registry.load_succeeded(known.id, model, version, trio.current_time())
                logger.info("event=loaded server={} model={} version={}", known.id, model, version)
            else:
                registry.load_failed(known.id, model, trio.current_time())
            self.changed()

    async def _left_alone(self, known: RegisteredServer) -> None:
        """Waits until the streams that run there have ended, as the routers send no more: only where they
        are few, since what waits elsewhere meanwhile loses more than they do, and not for long."""
        until = trio.current_time() + DRAIN_WITHIN
        while trio.current_time() < until:
            await self.host.pause(LEFT_ALONE)
            report = await self._report(known)
            if report is None or not 0 < report.get("active", 0) <= FEW or report.get("queued"):
                return

    async def _report(self, known: RegisteredServer) -> dict | None:
        """What a server says of itself; None if it says nothing that can be read."""
        host, _, port = known.address.rpartition(":")
        expected = [(b"Expect-Instance", known.id.encode())]
        try:
            answer = await call(
                self.host, self.memory, (host, int(port)), b"GET", b"/report", b"", expected, REPORT_WITHIN
            )
            report = orjson.loads(answer.body)
            return report if answer.status == 200 and isinstance(report, dict) else None
        except (CallFailed, ValueError) as error:
            logger.info("event=report_failed server={} why={!r}", known.id, str(error))
            return None

    async def _ordered(self, known: RegisteredServer, model: str, version: int) -> bool:
        host, _, port = known.address.rpartition(":")
        address = host, int(port)
        if not self._may_order():
            return False
        order = orjson.dumps(
            {
                "operation": "revision",
                "model": model,
                "revision": version,
                "method": "retain",
                "leaseHolder": self.name,
                "fenceToken": self.replica_runner.replica.record.number,
            }
        )
        expected = [(b"Expect-Instance", known.id.encode())]
        self.orders += 1
        try:
            answer = await call(
                self.host,
                self.memory,
                address,
                b"POST",
                b"/order",
                order,
                expected,
                min(ORDER_WITHIN, self.replica_runner.lease_remaining()),
            )
            status = answer.status
        except CallFailed as error:
            if not error.sent:
                raise
            status = 0  # it may have been taken: its report tells
        logger.info("event=order server={} model={} version={} status={}", known.id, model, version, status)
        if status == 200:
            return True
        if status not in (0, 202, 409):
            return False
        until, unheard = trio.current_time() + LOAD_WITHIN, 0
        while (
            trio.current_time() < until and self.replica_runner.lease_remaining() and known.id in self.registry.servers
        ):
            await self.host.pause(REPORT_EVERY)
            report = await self._report(known)
            if report is None:
                unheard += 1
                if unheard >= UNHEARD_MOST:  # its place is another's: it is looked at again later
                    return False
                continue
            unheard = 0
            if versions_of(report).get(model, 0) >= version:
                return True
            if status != 202 and not report.get("busy"):
                return False
        return False


def versions_of(report: dict) -> dict[str, int]:
    """The version of each model, as far as a report can be read."""
    try:
        return {str(row["name"]): int(row["revision"]) for row in report["models"]}
    except (KeyError, TypeError, ValueError) as error:
        logger.info("event=bad_report why={!r}", repr(error))
        return {}
