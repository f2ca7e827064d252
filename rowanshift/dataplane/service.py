"""The life cycle of a router: start, service, and a graceful shutdown that finishes the requests it has read."""

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
from rowanshift.transport.supervision import run_supervised
from rowanshift.wire.machine_ids import machine_id_from_ip

ROLE = "dataplane"
CLOCK_CHECK_SECONDS = 0.25  # interval of clock checks, which detect that the process was stalled
STALL_THRESHOLD_SECONDS = 0.5  # the control state counts as stale after a clock check that is later than this
IDLE_SWEEP_SECONDS = 0.5  # interval of sweeps of idle connections to servers
SHUTDOWN_CHECK_SECONDS = 0.05  # interval of checks of the open requests during a shutdown
FINAL_ANSWERS_SECONDS = 0.25  # maximum time for clients to read the last responses
FINAL_ANSWERS_CHECK_SECONDS = 0.01  # interval of checks whether clients have read the last responses
RESERVED_DESCRIPTORS = 200  # descriptors that sockets may not use
MEMORY_FRACTION = 0.5  # part of ``memoryMb`` for message bodies and their buffers
READINESS_BACKLOG = 64  # connections waiting to be accepted


class Readiness:
    """The readiness endpoint: whether this router accepts new connections."""

    def __init__(self, service: "DataPlaneService") -> None:
        self.service = service

    async def call(self, message: Message) -> Response:
        """200 while the router is ready for new connections, else 503."""
        ready = self.service.ready()
        return Response(200 if ready else 503, b'{"ready":%s}' % (b"true" if ready else b"false"))


class DataPlaneService:
    """One router: its frontend, upstream connections and control-plane client."""

    def __init__(self, settings: NodeSettings, runtime: Runtime = SYSTEM_RUNTIME, seed: int | None = None) -> None:
        self.settings, self.runtime = settings, runtime
        self.random_source = random.Random(seed)
        self.drain = Drain(settings.bounds.grace_s)
        self.shutdown_requested = trio.Event()
        self.shutdown_requested_at = 0.0  # trio's time at which the signal was handled
        self.outcomes = RequestOutcomes()
        self.frontend: Frontend | None = None  # created when serving starts
        self.retry_budgets: dict[str, RetryBudget] = {}  # keyed by service name
        self.joined_at: float | None = None  # time at which the number of member routers was first known

    def ready(self) -> bool:
        """Whether this router is ready for new connections."""
        return not self.drain.draining and self.control_cache.ready()

    def seeds(self) -> list[tuple[str, int]]:
        """The seed addresses in the current settings file."""
        if self.settings.path is not None and self.settings.path.exists():
            try:
                self.settings = load_node_settings(self.settings.path)
            except NodeSettingsError as error:
                logger.warning("event=settings_kept why={!r}", str(error))
        return self.settings.seeds

    def retry_budget(self, service: str) -> RetryBudget:
        """The retry budget of a service, limited to this router's share.

        The share applies once this router has been a member for a complete window: before that, the requests of the
        other routers in the window are unknown.
        """
        bounds = self.settings.bounds
        if service not in self.retry_budgets:
            self.retry_budgets[service] = RetryBudget(
                bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.retry_window_s
            )
        budget, now = self.retry_budgets[service], trio.current_time()
        if self.joined_at is None and self.control_cache.member_count:
            self.joined_at = now
        is_settled = self.joined_at is not None and now - self.joined_at > bounds.retry_window_s
        budget.router_count = self.control_cache.member_count if is_settled else 0
        return budget

    async def run(self) -> None:
        """Serve until a signal requests the shutdown, then log the outcomes of the requests."""
        try:
            await self._serve()
        finally:
            self._log_end()

    def _log_end(self) -> None:
        """Log the outcomes of all requests, after all tasks of this process have ended."""
        if self.frontend is None:
            return
        outcomes, now = self.outcomes, trio.current_time()
        for closed in outcomes.close_remaining(now):
            log_closed_request(closed)
        logger.info("event=stopped counts={} {}", self.frontend.counts, outcomes.summary())
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
        """Serve until a signal requests the shutdown, and finish the open requests."""
        settings, runtime = self.settings, self.runtime
        with runtime.signals() as signals:
            async with runtime.nursery() as nursery:
                memory = MemoryBudget(settings.limits.memory_mb * MEMORY_FRACTION)
                descriptors = DescriptorBudget(runtime.descriptors(settings.limits.max_fds), RESERVED_DESCRIPTORS)
                self.upstream = UpstreamPool(runtime, descriptors, memory)
                self.loads = LoadIndex(runtime, settings.internal_address, machine_id_from_ip(settings.ip))
                self.control_cache = ControlCache(
                    settings.bounds, self.random_source, self.upstream.close_idle_to, self.loads.set_peers
                )
                self.control_client = ControlClient(
                    runtime,
                    machine_id_from_ip(settings.ip),
                    settings.internal_address[1],
                    self.seeds,
                    self.control_cache,
                    self.random_source,
                )
                self.frontend = Frontend(
                    self.control_cache,
                    self.upstream,
                    descriptors,
                    memory,
                    self.retry_budget,
                    self.random_source.random,
                    self.loads,
                    self.drain,
                    self.outcomes,
                )
                nursery.start_soon(run_supervised, runtime.pause, "load_index", self.loads.run)
                readiness = CallServer({b"/readiness": Readiness(self)}, memory)
                nursery.start_soon(self._on_signals, signals)
                nursery.start_soon(
                    readiness.serve,
                    runtime.listen(settings.required_address("readiness"), READINESS_BACKLOG),
                    nursery,
                    runtime.pause,
                )
                nursery.start_soon(run_supervised, runtime.pause, "control_client", self.control_client.run)
                nursery.start_soon(self._watch_clock)
                listener = runtime.listen(settings.required_address("frontend"), LISTEN_BACKLOG)
                nursery.start_soon(self.frontend.accept, listener, nursery, runtime.pause)
                runtime.settled()
                logger.info("event=started role=dataplane name={}", settings.name)
                await self.shutdown_requested.wait()
                await self._shut_down(self.frontend, descriptors)
                nursery.cancel_scope.cancel()

    async def _shut_down(self, frontend: Frontend, descriptors: DescriptorBudget) -> None:
        """Drain as ``Drain`` decides, then abandon open requests; returns within the grace period."""
        self.drain.begin(self.shutdown_requested_at)
        frontend.outcomes.begin_shutdown(self.shutdown_requested_at, self.drain.grace)
        frontend.begin_shutdown()
        logger.info("event=leaving open={}", frontend.open_requests)
        while (phase := self.drain.phase(trio.current_time(), frontend.unfinished_requests)) is not DrainPhase.FINISHED:
            if phase is DrainPhase.REFUSING:
                frontend.close_idle_connections()
            await trio.sleep(SHUTDOWN_CHECK_SECONDS)
        self.drain.stop_admitting()
        await frontend.stop_accepting()
        frontend.abandon_open_requests()
        clients_read_until = trio.current_time() + FINAL_ANSWERS_SECONDS
        while descriptors.clients and self.drain.must_keep_running(
            trio.current_time(), frontend.open_requests, clients_read_until
        ):
            frontend.close_idle_connections()
            await trio.sleep(FINAL_ANSWERS_CHECK_SECONDS)

    async def _on_signals(self, signals: AsyncIterator[ReceivedSignal]) -> None:
        """Request the shutdown at the first signal except SIGHUP, since the settings are re-read anyway."""
        async for received in signals:
            if received.number != signal.SIGHUP:
                self.shutdown_requested_at = self.shutdown_requested_at or received.at
                self.shutdown_requested.set()

    async def _watch_clock(self) -> None:
        """Detect stalls of the process, and close server connections that have been idle too long."""
        last_sweep_at = 0.0
        while True:
            sleep_started_at = trio.current_time()
            await self.runtime.pause(CLOCK_CHECK_SECONDS)
            now = trio.current_time()
            if (shutdown := self.outcomes.shutdown) is not None:
                shutdown.longest_stall_seconds = max(
                    shutdown.longest_stall_seconds, now - sleep_started_at - CLOCK_CHECK_SECONDS
                )
            if now - sleep_started_at - CLOCK_CHECK_SECONDS > STALL_THRESHOLD_SECONDS:
                logger.warning("event=stood_still seconds={:.2f}", now - sleep_started_at - CLOCK_CHECK_SECONDS)
                self.control_client.mark_stale()
            if now - last_sweep_at > IDLE_SWEEP_SECONDS:
                last_sweep_at = now
                self.upstream.close_stale(now)


def run(settings: NodeSettings, level: str = "INFO", former_role: str = "") -> int:
    """Serve until SIGTERM and return the exit code; ``former_role`` is the deprecated role name, if one was used."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr(level)
    if former_role:
        logger.warning("event=former_role_name name={} now={}", former_role, ROLE)
    code = 0
    try:
        trio.run(DataPlaneService(settings).run)
    except* (OSError, NodeSettingsError) as group:
        logger.error("event=ended why={!r}", str(first_of(group)))
        code = 1
    return code
