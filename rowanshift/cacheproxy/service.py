"""The router as a service: its phases from start to exit."""

import random
import signal
from collections.abc import AsyncIterator
from enum import Enum
from pathlib import Path

import trio
from loguru import logger

from rowanshift.cacheproxy.clients import BACKLOG, Clients
from rowanshift.cacheproxy.clock import Clock
from rowanshift.cacheproxy.config import Config, ConfigError, changed, load
from rowanshift.cacheproxy.control import BACKLOG as CALLS
from rowanshift.cacheproxy.control import CALLERS, Control, Refused
from rowanshift.cacheproxy.discovery import Discovery
from rowanshift.cacheproxy.driver import Driver
from rowanshift.cacheproxy.figures import Figures
from rowanshift.cacheproxy.handover import Handover, Inherited
from rowanshift.cacheproxy.membership import MOST_OUT, Membership
from rowanshift.cacheproxy.peers import Peers
from rowanshift.cacheproxy.servers import Servers
from rowanshift.transport.descriptor_budget import DescriptorBudget
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME, Nursery, Runtime
from rowanshift.transport.signals import ReceivedSignal
from rowanshift.transport.streams import Listener, Port

STALL = 0.25  # of the due time, that an answer may stand still halfway
BEAT, STOOD_STILL = 0.5, 0.4  # seconds; the latter is told of
ACCEPT_FOR = 0.5  # after SIGTERM: connections go on coming for a while


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    RELOADING = "reloading"  # serves on, while the file of the configuration is read again
    DRAINED = "drained"  # not ready, and empty soon; serves what still comes, until it is called back
    LEAVING = "leaving"  # accepts, but closes each connection with its answer
    FINISHING = "finishing"  # accepts no more, and ends what it has taken
    STOPPED = "stopped"


class Service:
    def __init__(self, config: Config, path: Path | None = None, host: Runtime = SYSTEM_RUNTIME) -> None:
        self.config, self.path = config, path  # where it was read from
        self.host = host
        self.phase = Phase.STARTING
        self.shutdown_requested = trio.Event()
        self.handover = Handover(host, config.listen)
        self.listener: Listener | None = None
        self.peers: Peers | None = None

    def enter(self, phase: Phase) -> None:
        self.phase = phase
        logger.info("{} {}", self.config.name, phase.value)

    async def _on_signals(self, signals: AsyncIterator[ReceivedSignal], discovery: Discovery) -> None:
        """Takes signals for as long as the process lives, so that one that comes late ends nothing."""
        async for received in signals:
            if received.number != signal.SIGHUP:
                self.shutdown_requested.set()
            elif self.phase in (Phase.SERVING, Phase.DRAINED):
                phase = self.phase
                self.enter(Phase.RELOADING)
                self._reload(discovery)
                self.enter(phase)

    # calls on the second address --------------------------

    def _ready(self) -> str:
        if self.phase is not Phase.SERVING:
            raise Refused(self.phase.value)
        return "SUCCESS\n"

    def _drain(self) -> str:
        if self.phase not in (Phase.SERVING, Phase.DRAINED):
            raise Refused(self.phase.value)
        if self.phase is Phase.SERVING:
            self.clients.drain()
            self.enter(Phase.DRAINED)
        return "SUCCESS\n"

    def _undrain(self) -> str:
        if self.phase not in (Phase.SERVING, Phase.DRAINED):
            raise Refused(self.phase.value)
        if self.phase is Phase.DRAINED:
            self.clients.undrain()
            self.enter(Phase.SERVING)
        return "SUCCESS\n"

    def _call_out(self, server: str) -> str:
        if not self.members.known(server):
            raise Refused(f"unknown cache server {server[:64]!r}")
        if self.members.call_out(server):
            logger.info("{} is out by hand, {} in all", server, len(self.members.out))
            self.handover.call(server, True)
        elif server not in self.members.out:
            raise Refused(f"{MOST_OUT} cache servers are out already")
        return "SUCCESS\n"

    def _call_back(self, server: str) -> str:
        if not self.members.known(server):
            raise Refused(f"unknown cache server {server[:64]!r}")
        if self.members.call_back(server, self.driver.clock.now()):
            logger.info("{} is back by hand, taken for just started", server)
            self.handover.call(server, False)
        return "SUCCESS\n"

    def _control(self) -> Control:
        return Control(
            {
                "READY": ((), self._ready),
                "STATS": ((), lambda: self.figures.text() + "EOT\n"),
                "DISABLE": (("ID",), self._call_out),
                "ENABLE": (("ID",), self._call_back),
                "DRAIN": ((), self._drain),
                "UNDRAIN": ((), self._undrain),
            }
        )

    # ------------------------------------------------------

    def _reload(self, discovery: Discovery) -> None:
        """Moves the watch of the list to where the file says; what else changed waits for a restart."""
        if self.path is None:
            return
        try:
            config = load(self.path)
        except ConfigError as error:
            logger.warning("the configuration stays as it was: {}", error)
            return
        if waiting := changed(self.config, config):
            logger.warning("changed, but taken up only by a restart: {}", ", ".join(waiting))
        logger.info("the list is watched at {}:{} from now on", *config.discovery)
        discovery.move(config.discovery)

    async def run(self) -> None:
        config, host = self.config, self.host
        with host.signals() as signals:
            async with host.nursery() as nursery:
                clock, memory = Clock(host), MemoryBudget(config.memory_mb)
                budget = DescriptorBudget(host.descriptors(config.sockets), CALLERS if config.control else 0)
                figures = Figures([name.decode("latin-1") for name in config.names.categories])
                self.memory, self.budget, self.figures = memory, budget, figures
                stall_for = min(config.dial_within, STALL * min(c.due for c in config.settings.categories))
                servers = Servers(clock, config.dial_within, config.idle_for, stall_for, budget, memory, nursery, host)
                driver = Driver(config.settings, config.seed, clock, servers)
                clients = Clients(config.names, driver, clock, budget, memory, figures)
                members = self.members = Membership(servers, driver.list_changed)
                discovery = Discovery(
                    config.discovery,
                    config.names,
                    config.settings.ask,
                    random.Random(config.seed),
                    members,
                    driver.list_changed,
                    host,
                )
                self.servers, self.driver, self.clients, self.discovery = servers, driver, clients, discovery
                driver.subscribe = discovery.subscribe
                figures.servers = lambda: driver.router.seen(clock.now())
                servers.written = figures.handed_off
                discovery.learn(config.known, "cached")
                if config.control:  # opened first, closed last
                    calls = host.listen(config.control, CALLS)
                    nursery.start_soon(self._control().serve, calls, nursery)
                nursery.start_soon(self._on_signals, signals, discovery)
                nursery.start_soon(driver.keep_waking)
                nursery.start_soon(self._watch_the_loop)
                nursery.start_soon(discovery.run)
                await discovery.first_list()
                inherited = await self._take_over()
                self._meet_peers(nursery, driver, inherited.port)
                self.listener = inherited.listener or host.listen(config.listen, BACKLOG, shared=True)
                accepting = trio.CancelScope()
                nursery.start_soon(self._accept, accepting, clients, self.listener)
                host.settled()

                clients.ready = True
                self.enter(Phase.SERVING)
                self.handover.start(nursery)
                await self.shutdown_requested.wait()

                self.enter(Phase.LEAVING)
                clients.ready, clients.leaving = False, True
                if self.handover.replaced():  # it takes what comes, from the same queue
                    accepting.cancel()
                await trio.sleep(ACCEPT_FOR)

                self.enter(Phase.FINISHING)
                accepting.cancel()
                await trio.lowlevel.checkpoint()
                await self._finish(clients, nursery)

                self.enter(Phase.STOPPED)
                nursery.cancel_scope.cancel()

    async def _watch_the_loop(self) -> None:
        """Says when the whole process stood still, and how much of that time it was computing: little tells
        of a machine that did not let it run."""
        while True:
            at, cpu = trio.current_time(), self.host.cpu()
            await self.host.pause(BEAT)
            if (late := trio.current_time() - at - BEAT) > STOOD_STILL:
                spent = self.host.cpu() - cpu
                logger.warning("stood still for {:.2f} s, of which {:.2f} s computing", late, spent)

    async def _accept(self, accepting: trio.CancelScope, clients: Clients, listener: Listener) -> None:
        async with self.host.nursery() as nursery:
            with accepting:
                await clients.accept(listener, nursery)

    async def _finish(self, clients: Clients, nursery: Nursery) -> None:
        """Takes what the kernel has accepted, unless another process will, closes the listener and what is
        idle, and ends the rest."""
        if not self.handover.replaced():
            with trio.move_on_after(0.02):
                await clients.accept(self.listener, nursery)
        self.listener, listener = None, self.listener
        listener.close()
        clients.leave()
        with trio.move_on_after(self.config.longest + 0.1):  # SIGKILL may come soon after
            while clients.budget.clients > 0:
                await trio.sleep(0.01)

    async def _take_over(self) -> Inherited:
        """Meets the process that serves, if there is one, and takes up what is out by hand."""
        handover, members = self.handover, self.members
        handover.passed_on = lambda: {
            name: thing
            for name, thing in (("listener", self.listener), ("port", self.peers and self.peers.port))
            if thing is not None
        }
        handover.out = lambda: members.out
        handover.learned = self.driver.router.learned
        handover.called, handover.changed = self._called_elsewhere, self._fellows_changed
        inherited = await handover.meet()
        if inherited.learned is not None:
            self.driver.take_up(inherited.learned)
        early = sorted(members.out)
        for server in inherited.out if inherited.out is not None else handover.written():
            members.call_out(server)
        for server in early:  # called here before the fellow was met
            handover.call(server, True)
        return inherited

    def _called_elsewhere(self, server: str, out: bool) -> None:
        """A call that came to a fellow binds here as well."""
        if out:
            self.members.call_out(server)
        else:
            self.members.call_back(server, self.driver.clock.now())
        self.handover.write()

    def _fellows_changed(self) -> None:
        """Processes that live share the limits; the newest that serves hears the peers."""
        self.budget.divide(self.handover.processes())
        self.memory.divide(self.handover.processes())
        if self.peers is not None:
            self.peers.hear(not self.handover.replaced())

    def _meet_peers(self, nursery: Nursery, driver: Driver, port: Port | None) -> None:
        config = self.config
        if config.peer_listen is None:
            return
        port = port or self.host.port(config.peer_listen)
        peers = self.peers = Peers(port, config.peers, config.peers_all, driver.heard)
        driver.tell = peers.tell
        nursery.start_soon(peers.send)
        nursery.start_soon(peers.listen)
