"""Rolls announced model versions out to the servers, with orders under a fencing token. A singleton task.

Orders are sent only while this machine holds the lease, and only after the former lease holder must have stopped. The
fencing token is the epoch number, which only increases and is stored on the disks of a majority.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from rowanshift.controlplane.model_server_client import LoadOrder, ModelServerClient
from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.server_registry import PendingLoad, ServerRegistry
from rowanshift.transport.call_client import CallFailed
from rowanshift.transport.runtime import Nursery, Runtime

ROLLOUT_CHECK_SECONDS = 0.05  # interval between checks for a server to be ordered
MAX_AWAITED_STREAMS = 2  # a load does not wait for the active streams of a server that has more than these
DRAIN_SECONDS = 0.6  # maximum wait for active streams; those that remain pause during the load
DRAIN_CHECK_SECONDS = 0.15  # interval between checks whether the active streams have ended
ORDER_TIMEOUT_SECONDS = 0.8  # timeout for the response to an order
LEASE_MARGIN_SECONDS = 0.1  # minimum remaining lease time for an order to be sent
LOAD_TIMEOUT_SECONDS = 12.0  # maximum duration of a load
REPORT_INTERVAL_SECONDS = 0.25  # interval between requests for the report of a loading server
MAX_MISSING_REPORTS = 2  # number of consecutive missing reports after which a load has failed
LOAD_UNDER_WAY_STATUSES = (0, 202, 409)  # the server may be executing an order: its report tells


class VersionRollout:
    """Orders servers to load announced versions.

    ``registry`` returns the current registry, which is replaced when the primary changes; ``versions`` returns the
    announced version of each model; ``on_change`` is called when the registry has changed. ``node_name`` is the name of
    this machine, which orders contain as the lease holder.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica_runner: ReplicaRunner,
        client: ModelServerClient,
        node_name: str,
        registry: Callable[[], ServerRegistry],
        versions: Callable[[], dict[str, int]],
        on_change: Callable[[], None],
    ) -> None:
        self.runtime = runtime
        self.replica_runner = replica_runner
        self.client = client
        self.node_name = node_name
        self.registry = registry
        self.versions = versions
        self.on_change = on_change
        self.orders = 0  # number of orders sent

    def _may_order(self) -> bool:
        """Return whether an order sent now would arrive while this machine is the only lease holder."""
        former_holder_stopped = self.replica_runner.replica.singleton_tasks_from <= trio.current_time()
        return former_holder_stopped and self.replica_runner.lease_remaining() > LEASE_MARGIN_SECONDS

    async def run(self, nursery: Nursery) -> None:
        """Order loads, each in its own task; runs until cancelled."""
        while True:
            if self._may_order():
                registry = self.registry()
                pending = registry.next_load(self.versions(), trio.current_time())
                if pending is not None:
                    registry.load_started(pending.server, trio.current_time())
                    self.on_change()
                    nursery.start_soon(self._load, registry, pending)
                    continue
            await self.runtime.pause(ROLLOUT_CHECK_SECONDS)

    async def _load(self, registry: ServerRegistry, pending: PendingLoad) -> None:
        """Make a server load a version, or a newer one that is announced while its streams end."""
        server, model, version = pending
        succeeded = False
        try:
            await self._wait_for_streams(server)
            version = max(version, self.versions().get(model, 0))
            succeeded = await self._order(server, model, version)
        except CallFailed as error:
            logger.info("event=order_failed server={} why={!r}", server.id, str(error))
        except Exception:  # of one order; the others go on
            logger.exception("event=task_failed task=load server={}", server.id)
        if registry is not self.registry():  # the primary has changed since
            return
        if succeeded:
            registry.load_succeeded(server.id, model, version, trio.current_time())
            logger.info("event=loaded server={} model={} version={}", server.id, model, version)
        else:
            registry.load_failed(server.id, model, trio.current_time())
        self.on_change()

    async def _wait_for_streams(self, server: RegisteredServer) -> None:
        """Wait until the server's active streams have ended; routers send it no new requests.

        The wait is short, and only for a few streams: it takes the server's capacity away from requests that wait on
        other servers, which costs more than interrupting the streams.
        """
        until = trio.current_time() + DRAIN_SECONDS
        while trio.current_time() < until:
            await self.runtime.pause(DRAIN_CHECK_SECONDS)
            report = await self.client.report(server)
            if report is None or not 0 < report.active_streams <= MAX_AWAITED_STREAMS or report.has_queue:
                return

    async def _order(self, server: RegisteredServer, model: str, version: int) -> bool:
        """Order a server to load a version; return whether it did. Raises ``CallFailed`` if the order was not sent."""
        if not self._may_order():
            return False
        order = LoadOrder(model, version, self.node_name, self.replica_runner.replica.record.epoch)
        self.orders += 1
        timeout = min(ORDER_TIMEOUT_SECONDS, self.replica_runner.lease_remaining())
        status = await self.client.order(server, order, timeout)
        logger.info("event=order server={} model={} version={} status={}", server.id, model, version, status)
        if status == 200:
            return True
        if status not in LOAD_UNDER_WAY_STATUSES:
            return False
        return await self._wait_for_load(server, model, version, is_accepted=status == 202)

    async def _wait_for_load(self, server: RegisteredServer, model: str, version: int, is_accepted: bool) -> bool:
        """Request a server's report until the load has ended; return whether it succeeded.

        ``is_accepted`` means that the server has accepted this order. If it is false, a report without a running load
        means that the load has failed.
        """
        until = trio.current_time() + LOAD_TIMEOUT_SECONDS
        missing_reports = 0
        while self._is_load_awaited(server, until):
            await self.runtime.pause(REPORT_INTERVAL_SECONDS)
            report = await self.client.report(server)
            if report is None:
                missing_reports += 1
                if missing_reports >= MAX_MISSING_REPORTS:  # frees the slot for another server; retried later
                    return False
                continue
            missing_reports = 0
            if report.versions().get(model, 0) >= version:
                return True
            if not is_accepted and not report.is_loading:
                return False
        return False

    def _is_load_awaited(self, server: RegisteredServer, until: float) -> bool:
        """Return whether a load may still succeed: in time, under the lease, and on a server in the list."""
        in_time = trio.current_time() < until
        return in_time and self.replica_runner.lease_remaining() > 0 and server.id in self.registry().servers
