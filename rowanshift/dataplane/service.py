"""A router as a service: its phases from start to exit."""

import random
import signal
from collections.abc import AsyncIterator

import trio
from loguru import logger

from rowanshift.dataplane.control_cache import ControlCache
from rowanshift.dataplane.control_client import ControlClient
from rowanshift.dataplane.drain import Drain, DrainPhase
from rowanshift.dataplane.frontend import LISTEN_BACKLOG, Frontend, log_closed_request
from rowanshift.dataplane.load_index import LoadIndex
from rowanshift.dataplane.request_outcomes import RequestOutcomes
from rowanshift.dataplane.retry_budget import RetryBudget
from rowanshift.dataplane.upstream import UpstreamPool
from rowanshift.process.error_groups import first_of
from rowanshift.process.logs import log_to_stderr
from rowanshift.process.node_settings import NodeSettings, NodeSettingsError, load_node_settings
from rowanshift.transport.call_server import CallServer
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.http_connection import Message
from rowanshift.transport.http_response import Response
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Runtime
from rowanshift.transport.signals import ReceivedSignal
from rowanshift.wire.machine_ids import machine_id_from_ip

BEAT, STOOD_STILL = 0.25, 0.5  # seconds
SWEEP = 0.5  # seconds between sweeps of idle connections
LEAVE_STEP = 0.05  # seconds between looks at what is open while leaving
LAST_ANSWERS = 0.25  # seconds for clients to take the last answers
LAST_STEP = 0.01  # seconds between looks at whether they have
FILES = 200  # descriptors that sockets may not use
MEMORY_PART = 0.5  # of the limit, for bodies and what carries them


ROLE = "dataplane"


class Readiness:
    """Whether new connections may come."""

    def __init__(self, service: "DataPlaneService") -> None:
        self.service = service

    async def call(self, message: Message) -> Response:
        """200 while new connections may come, else 503."""
        ready = self.service.ready()
        return Response(200 if ready else 503, b'{"ready":%s}' % (b"true" if ready else b"false"))


class DataPlaneService:
    """One router: its frontend, upstream connections, and what it knows of the control plane."""

    def __init__(self, boot: NodeSettings, host: Runtime = SYSTEM_RUNTIME, seed: int | None = None) -> None:
        self.boot, self.host = boot, host
        self.random_source = random.Random(seed)
        self.drain = Drain(boot.bounds.grace_s)
        self.shutdown_requested = trio.Event()
        self.shutdown_requested_at = 0.0  # trio's time at which the signal was handled
        self.outcomes = RequestOutcomes()
        self.front: Frontend | None = None  # until it serves
        self.budgets: dict[str, RetryBudget] = {}
        self.joined_at: float | None = None

    def ready(self) -> bool:
        """Whether new connections may come."""
        return not self.drain.draining and self.control_cache.ready()

    def seeds(self) -> list[tuple[str, int]]:
        """The seeds as the settings name them now."""
        if self.boot.path is not None and self.boot.path.exists():
            try:
                self.boot = load_node_settings(self.boot.path)
            except NodeSettingsError as error:
                logger.warning("event=settings_kept why={!r}", str(error))
        return self.boot.seeds

    def retries(self, service: str) -> RetryBudget:
        """The retry budget of a service."""
        bounds = self.boot.bounds
        if service not in self.budgets:
            self.budgets[service] = RetryBudget(
                bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.retry_window_s
            )
        budget, now = self.budgets[service], trio.current_time()
        if self.joined_at is None and self.control_cache.member_count:
            self.joined_at = now
        long = self.joined_at is not None and now - self.joined_at > bounds.retry_window_s
        budget.router_count = self.control_cache.member_count if long else 0
        return budget

    async def run(self) -> None:
        """Serve from the start to the end that a signal asks for, and tell how its requests ended."""
        try:
            await self._serve()
        finally:
            self._log_end()

    def _log_end(self) -> None:
        """Log how the requests of this process ended, once nothing of it runs any more."""
        if self.front is None:
            return
        outcomes, now = self.outcomes, trio.current_time()
        for closed in outcomes.close_remaining(now):
            log_closed_request(closed)
        logger.info("event=stopped counts={} {}", self.front.counts, outcomes.summary())
        if (shutdown := outcomes.shutdown) is None:
            return
        logger.info(
            "event=leave_ended seconds={:.3f} grace={:.3f} new_connections={} first_connection={} last_connection={} "
            "requests_on_kept={} requests_on_new={} last_request={} idle_closed={} longest_standstill={:.3f}",
            shutdown.since_signal(now),
            shutdown.grace_seconds,
            shutdown.new_connections,
            f"{shutdown.since_signal(shutdown.first_connection_at):.3f}" if shutdown.new_connections else "none",
            f"{shutdown.since_signal(shutdown.last_connection_at):.3f}" if shutdown.new_connections else "none",
            shutdown.requests_on_reused,
            shutdown.requests_on_new,
            f"{shutdown.since_signal(shutdown.last_request_at):.3f}"
            if shutdown.requests_on_reused + shutdown.requests_on_new
            else "none",
            shutdown.idle_connections_closed,
            shutdown.longest_stall_seconds,
        )

    async def _serve(self) -> None:
        """Serve until a signal asks for the end, and finish what is open."""
        boot, host = self.boot, self.host
        with host.signals() as signals:
            async with host.nursery() as nursery:
                memory = MemoryBudget(boot.limits.memory_mb * MEMORY_PART)
                budget = DescriptorBudget(host.descriptors(boot.limits.max_fds), FILES)
                self.back = UpstreamPool(host, budget, memory)
                self.loads = LoadIndex(host, boot.internal_address, machine_id_from_ip(boot.ip))
                self.control_cache = ControlCache(
                    boot.bounds, self.random_source, self.back.close_idle_to, self.loads.set_peers
                )
                self.control_client = ControlClient(
                    host,
                    machine_id_from_ip(boot.ip),
                    boot.internal_address[1],
                    self.seeds,
                    self.control_cache,
                    self.random_source,
                )
                self.front = Frontend(
                    self.control_cache,
                    self.back,
                    budget,
                    memory,
                    self.retries,
                    self.random_source.random,
                    self.loads,
                    self.drain,
                    self.outcomes,
                )
                nursery.start_soon(self.loads.run)
                readiness = CallServer({b"/readiness": Readiness(self)}, memory)
                nursery.start_soon(self._on_signals, signals)
                nursery.start_soon(
                    readiness.serve, host.listen(boot.required_address("readiness"), 64), nursery, host.pause
                )
                nursery.start_soon(self.control_client.run)
                nursery.start_soon(self._watch)
                listener = host.listen(boot.required_address("frontend"), LISTEN_BACKLOG)
                nursery.start_soon(self.front.accept, listener, nursery, host.pause)
                host.settled()
                logger.info("event=started role=dataplane name={}", boot.name)
                await self.shutdown_requested.wait()
                await self._leave(self.front, budget)
                nursery.cancel_scope.cancel()

    async def _leave(self, front: Frontend, budget: DescriptorBudget) -> None:
        """Serve on as ``Drain`` says, then end what is open and stop; returns within the grace."""
        self.drain.begin(self.shutdown_requested_at)
        front.outcomes.begin_shutdown(self.shutdown_requested_at, self.drain.grace)
        front.begin_shutdown()
        logger.info("event=leaving open={}", front.open_requests)
        while (phase := self.drain.phase(trio.current_time(), front.unfinished_requests)) is not DrainPhase.FINISHED:
            if phase is DrainPhase.REFUSING:
                front.close_idle_connections()
            await trio.sleep(LEAVE_STEP)
        self.drain.stop_admitting()
        await front.stop_accepting()
        front.abandon_open_requests()
        clients_read_until = trio.current_time() + LAST_ANSWERS
        while budget.clients and self.drain.must_keep_running(
            trio.current_time(), front.open_requests, clients_read_until
        ):
            front.close_idle_connections()
            await trio.sleep(LAST_STEP)

    async def _on_signals(self, signals: AsyncIterator[ReceivedSignal]) -> None:
        async for received in signals:
            if received.number != signal.SIGHUP:
                self.shutdown_requested_at = self.shutdown_requested_at or received.at
                self.shutdown_requested.set()

    async def _watch(self) -> None:
        """Notices that the process stood still, and closes what was idle too long."""
        swept = 0.0
        while True:
            at = trio.current_time()
            await self.host.pause(BEAT)
            now = trio.current_time()
            if (shutdown := self.outcomes.shutdown) is not None:
                shutdown.longest_stall_seconds = max(shutdown.longest_stall_seconds, now - at - BEAT)
            if now - at - BEAT > STOOD_STILL:
                logger.warning("event=stood_still seconds={:.2f}", now - at - BEAT)
                self.control_client.mark_stale()
            if now - swept > SWEEP:
                swept = now
                self.back.close_stale(now)


def run(boot: NodeSettings, level: str = "INFO", former_role: str = "") -> int:
    """Serve until SIGTERM and return the exit code; ``former_role`` is the withdrawn name it was started by."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr(level)
    if former_role:
        logger.warning("event=former_role_name name={} now={}", former_role, ROLE)
    code = 0
    try:
        trio.run(DataPlaneService(boot).run)
    except* (OSError, NodeSettingsError) as group:
        logger.error("event=ended why={!r}", str(first_of(group)))
        code = 1
    return code
