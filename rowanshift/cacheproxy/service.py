"""The router as a service: its phases from start to exit, its signals, and the commands of its control port."""

import random
import signal
from collections.abc import AsyncIterator
from enum import Enum
from pathlib import Path

import trio
from loguru import logger

from rowanshift.cacheproxy.clients import LISTEN_BACKLOG, Clients
from rowanshift.cacheproxy.clock import Clock
from rowanshift.cacheproxy.config import Config, ConfigError, fields_needing_restart, load
from rowanshift.cacheproxy.control import LISTEN_BACKLOG as CONTROL_BACKLOG
from rowanshift.cacheproxy.control import MAX_CALLERS, CommandRefused, ControlPort
from rowanshift.cacheproxy.discovery import Discovery
from rowanshift.cacheproxy.driver import Driver
from rowanshift.cacheproxy.figures import Metrics
from rowanshift.cacheproxy.handover import Handover, Inherited
from rowanshift.cacheproxy.membership import MAX_DISABLED, Membership
from rowanshift.cacheproxy.peers import Peers
from rowanshift.cacheproxy.servers import Servers
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Nursery, Runtime
from rowanshift.transport.signals import ReceivedSignal
from rowanshift.transport.streams import Listener, Port

STALL_FRACTION = 0.25  # A response may stall halfway for this part of the shortest due time.
LOOP_CHECK_SECONDS, LOOP_DELAY_WARNING_SECONDS = 0.5, 0.4
ACCEPT_AFTER_SIGTERM_SECONDS = 0.5  # Clients learn only after a while that the router shuts down.


class Phase(Enum):
    """The phases of a router."""

    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"  # It serves while it reads the configuration file again.
    DRAINED = "drained"  # It is not ready and closes idle connections, but serves new requests.
    LEAVING = "leaving"  # It accepts connections, and closes each with its reply.
    FINISHING = "finishing"  # It accepts no connections, and completes the requests in progress.
    STOPPED = "stopped"


class Service:
    """One process of a router. ``path`` is the file that ``config`` was read from."""

    def __init__(self, config: Config, path: Path | None = None, runtime: Runtime = SYSTEM_RUNTIME) -> None:
        self.config, self.path = config, path
        self.runtime = runtime
        self.phase = Phase.STARTING
        self.shutdown_requested = trio.Event()
        self.handover = Handover(runtime, config.listen)
        self.listener: Listener | None = None
        self.peers: Peers | None = None

    def enter(self, phase: Phase) -> None:
        """Changes the phase."""
        self.phase = phase
        logger.info("event=phase_entered router={} phase={}", self.config.name, phase.value)

    async def _on_signals(self, signals: AsyncIterator[ReceivedSignal], discovery: Discovery) -> None:
        """Handles signals until the process ends, so that the default action of a late one can't end it."""
        async for received in signals:
            if received.number != signal.SIGHUP:
                self.shutdown_requested.set()
            elif self.phase in (Phase.SERVING, Phase.DRAINED):
                phase = self.phase
                self.enter(Phase.RELOADING)
                self._reload(discovery)
                self.enter(phase)

    # commands of the control port

    def _ready(self) -> str:
        if self.phase is not Phase.SERVING:
            raise CommandRefused(self.phase.value)
        return "SUCCESS\n"

    def _drain(self) -> str:
        if self.phase not in (Phase.SERVING, Phase.DRAINED):
            raise CommandRefused(self.phase.value)
        if self.phase is Phase.SERVING:
            self.clients.drain()
            self.enter(Phase.DRAINED)
        return "SUCCESS\n"

    def _undrain(self) -> str:
        if self.phase not in (Phase.SERVING, Phase.DRAINED):
            raise CommandRefused(self.phase.value)
        if self.phase is Phase.DRAINED:
            self.clients.undrain()
            self.enter(Phase.SERVING)
        return "SUCCESS\n"

    def _disable(self, server: str) -> str:
        if not self.members.is_known(server):
            raise CommandRefused(f"unknown cache server {server[:64]!r}")
        if self.members.disable(server):
            logger.info("event=server_disabled server={} disabled_servers={}", server, len(self.members.disabled))
            self.handover.record_command(server, True)
        elif server not in self.members.disabled:
            raise CommandRefused(f"{MAX_DISABLED} cache servers are out already")
        return "SUCCESS\n"

    def _enable(self, server: str) -> str:
        if not self.members.is_known(server):
            raise CommandRefused(f"unknown cache server {server[:64]!r}")
        if self.members.enable(server, self.driver.clock.now()):
            logger.info("event=server_enabled server={}", server)
            self.handover.record_command(server, False)
        return "SUCCESS\n"

    def _control_port(self) -> ControlPort:
        return ControlPort(
            {
                "READY": ((), self._ready),
                "STATS": ((), lambda: self.metrics.render() + "EOT\n"),
                "DISABLE": (("ID",), self._disable),
                "ENABLE": (("ID",), self._enable),
                "DRAIN": ((), self._drain),
                "UNDRAIN": ((), self._undrain),
            }
        )

    # start, reload and end

    def _reload(self, discovery: Discovery) -> None:
        """Moves the watch of the list to the agent that the file names; other changes need a restart."""
        if self.path is None:
            return
        try:
            config = load(self.path)
        except ConfigError as error:
            logger.warning("event=reload_failed error={!r}", error)
            return
        if not_applied := fields_needing_restart(self.config, config):
            logger.warning("event=restart_needed changed={!r}", ", ".join(not_applied))
        logger.info("event=discovery_agent_changed address={}:{}", *config.discovery)
        discovery.switch_agent(config.discovery)

    async def run(self) -> None:
        """Serves until a signal or ``shutdown_requested`` ends it."""
        config, runtime = self.config, self.runtime
        with runtime.signals() as signals:
            async with runtime.nursery() as nursery:
                clock, memory = Clock(runtime), MemoryBudget(config.memory_mb)
                budget = DescriptorBudget(runtime.descriptors(config.sockets), MAX_CALLERS if config.control else 0)
                metrics = Metrics([name.decode("latin-1") for name in config.names.categories])
                self.memory, self.budget, self.metrics = memory, budget, metrics
                stall_timeout = min(config.dial_within, STALL_FRACTION * min(c.due for c in config.settings.categories))
                servers = Servers(
                    clock, config.dial_within, config.idle_for, stall_timeout, budget, memory, nursery, runtime
                )
                driver = Driver(config.settings, config.seed, clock, servers)
                clients = Clients(config.names, driver, clock, budget, memory, metrics)
                members = self.members = Membership(servers, driver.list_changed)
                discovery = Discovery(
                    config.discovery,
                    config.names,
                    config.settings.ask,
                    random.Random(config.seed),
                    members,
                    driver.list_changed,
                    runtime,
                )
                self.servers, self.driver, self.clients, self.discovery = servers, driver, clients, discovery
                driver.subscribe = discovery.subscribe
                metrics.server_counts = lambda: driver.router.server_counts(clock.now())
                servers.on_written = metrics.count_attempt
                discovery.apply_update(config.known, "cached")
                if config.control:  # The control port opens first and closes last.
                    control_listener = runtime.listen(config.control, CONTROL_BACKLOG)
                    nursery.start_soon(self._control_port().serve, control_listener, nursery)
                nursery.start_soon(self._on_signals, signals, discovery)
                nursery.start_soon(driver.run_wake_timer)
                nursery.start_soon(self._watch_event_loop)
                nursery.start_soon(discovery.run)
                await discovery.wait_for_first_list()
                inherited = await self._inherit()
                self._start_peers(nursery, driver, inherited.port)
                self.listener = inherited.listener or runtime.listen(config.listen, LISTEN_BACKLOG, shared=True)
                accept_scope = trio.CancelScope()
                nursery.start_soon(self._accept, accept_scope, clients, self.listener)
                runtime.settled()

                clients.ready = True
                self.enter(Phase.SERVING)
                self.handover.start(nursery)
                await self.shutdown_requested.wait()

                self.enter(Phase.LEAVING)
                clients.ready, clients.leaving = False, True
                if self.handover.is_replaced():  # The new process accepts from the same queue.
                    accept_scope.cancel()
                await trio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)

                self.enter(Phase.FINISHING)
                accept_scope.cancel()
                await trio.lowlevel.checkpoint()
                await self._finish(clients, nursery)

                self.enter(Phase.STOPPED)
                nursery.cancel_scope.cancel()

    async def _watch_event_loop(self) -> None:
        """Logs delays of the event loop, and the CPU time within them: little CPU time in a long delay means that the
        machine did not run the process."""
        while True:
            started_at, cpu = trio.current_time(), self.runtime.cpu()
            await self.runtime.pause(LOOP_CHECK_SECONDS)
            if (delay := trio.current_time() - started_at - LOOP_CHECK_SECONDS) > LOOP_DELAY_WARNING_SECONDS:
                cpu_seconds = self.runtime.cpu() - cpu
                logger.warning("event=event_loop_delayed seconds={:.2f} cpu_s={:.2f}", delay, cpu_seconds)

    async def _accept(self, accept_scope: trio.CancelScope, clients: Clients, listener: Listener) -> None:
        async with self.runtime.nursery() as nursery:
            with accept_scope:
                await clients.accept(listener, nursery)

    async def _finish(self, clients: Clients, nursery: Nursery) -> None:
        """Closes the listener and idle connections, and waits for the requests in progress.

        Unless a newer process takes them, the connections that the kernel has queued are accepted first.
        """
        if not self.handover.is_replaced():
            with trio.move_on_after(0.02):
                await clients.accept(self.listener, nursery)
        listener = self.listener
        self.listener = None
        listener.close()
        clients.finish()
        with trio.move_on_after(self.config.longest + 0.1):  # SIGKILL may follow soon after.
            while clients.budget.clients > 0:
                await trio.sleep(0.01)

    async def _inherit(self) -> Inherited:
        """Receives what the serving process passes on, if there is one, and applies the disabled servers."""
        handover, members = self.handover, self.members
        handover.sockets_to_pass = lambda: {
            name: sock
            for name, sock in (("listener", self.listener), ("port", self.peers and self.peers.port))
            if sock is not None
        }
        handover.disabled_servers = lambda: members.disabled
        handover.learned = self.driver.router.learned
        handover.on_remote_command, handover.on_links_changed = self._on_remote_command, self._on_links_changed
        inherited = await handover.inherit()
        if inherited.learned is not None:
            self.driver.restore_learned(inherited.learned)
        disabled_before = sorted(members.disabled)
        for server in inherited.disabled if inherited.disabled is not None else handover.read_disabled():
            members.disable(server)
        for server in disabled_before:  # These were disabled at this process's control port before the link existed.
            handover.record_command(server, True)
        return inherited

    def _on_remote_command(self, server: str, disable: bool) -> None:
        """Applies a command that an operator gave to another process of this router."""
        if disable:
            self.members.disable(server)
        else:
            self.members.enable(server, self.driver.clock.now())
        self.handover.write_disabled()

    def _on_links_changed(self) -> None:
        """Divides the limits among the processes; only the newest serving one receives messages of peers."""
        self.budget.divide(self.handover.process_count())
        self.memory.divide(self.handover.process_count())
        if self.peers is not None:
            self.peers.set_receiving(not self.handover.is_replaced())

    def _start_peers(self, nursery: Nursery, driver: Driver, port: Port | None) -> None:
        config = self.config
        if config.peer_listen is None:
            return
        port = port or self.runtime.port(config.peer_listen)
        peers = self.peers = Peers(port, config.peers, config.peers_all, driver.on_peer_message)
        driver.send_to_peers = peers.enqueue
        nursery.start_soon(peers.run_sender)
        nursery.start_soon(peers.run_receiver)
