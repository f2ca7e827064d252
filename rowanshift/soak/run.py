"""Plays one plan: starts the system between its emulated surroundings, brings the troubles about, records all.

Nothing is left running when ``Run.execute`` returns or raises.
"""

import random
import signal
from collections.abc import Callable
from contextlib import contextmanager
from pathlib import Path

import trio

from rowanshift.emulation.cluster import Inside
from rowanshift.emulation.model_server import ModelServer, Registry, Traits
from rowanshift.emulation.platform import PlatformList
from rowanshift.invariants.facts import Fact, Resumed
from rowanshift.simulation.fleet_settings import MODEL, SERVICE
from rowanshift.soak.checker import MIN_SERVED_FRACTION, served_fraction
from rowanshift.soak.layout import GRACE_S, Layout, LinkRelay, relays_by_link
from rowanshift.soak.load import OTHER_SERVICE, Balancer, Changes, Clients, applications_of
from rowanshift.soak.plan import Fault, FaultKind, Plan
from rowanshift.soak.processes import Processes
from rowanshift.soak.records import Lagged, LoadEnded, ReadBack, Recovered, Stalled, TroubleMet

START_SPREAD_S = 0.3  # seconds in which all processes start
START_TIMEOUT_S = 20.0  # seconds until all is ready
RECOVERY_TIMEOUT_S = 12.0  # seconds from the last start until all is ready again, and serves
READ_TIMEOUT_S = 10.0  # seconds for the last reading
KILL_DELAY_S = 1.0  # seconds beyond the grace; then a process that was told to stop is killed
POLL_INTERVAL_S = 0.05  # seconds
LAG_THRESHOLD_S = 0.05  # seconds by which the soak's own process may be late without a record of it
SERVE_STRETCH_S = 1.5  # seconds of load once all is ready again, looked at together
MIN_CHANGES = 6  # configurations that are acknowledged in a run, at least
CHANGES_TIMEOUT_S = 15.0  # seconds beyond the plan's in which they are waited for
OVERHEAD_S = (
    CHANGES_TIMEOUT_S + START_TIMEOUT_S + RECOVERY_TIMEOUT_S + READ_TIMEOUT_S + 2 * (GRACE_S + KILL_DELAY_S) + 30.0
)  # seconds beside the load
MAX_EVENTS = 3_000_000
SERVER_TRAITS = Traits(slots=8, queue=8, kv_tokens=20_000, load=0.4, gap=0.01, prefill=0.00002)


class TooManyEvents(Exception):
    """The run recorded more than ``MOST_FACTS``."""


class Run:
    """One run of a plan under a folder, at the addresses that begin with ``net``."""

    def __init__(self, plan: Plan, folder: Path, net: str) -> None:
        self.plan, self.random_source = plan, random.Random(f"{plan.seed}/run")
        self.began = trio.current_time()
        self.events: list[Fact] = []
        self.host = Inside()
        self.layout = Layout(plan, folder, net)
        self.registry = Registry()
        self.link_relays: list[LinkRelay] = [*self.layout.link_relays(self.host)]
        self.relays = relays_by_link(self.link_relays)
        self.balancer = Balancer(self.host, self.layout)
        self.clients = Clients(plan, self.host, self.layout, self.balancer, self.now, self.events)
        self.changes = Changes(plan, self.host, self.layout, self.registry, self.now, self.events)
        self.applications = applications_of(plan, self.host, self.layout, self.now, self.events)
        self.platform = PlatformList(self.host, self.layout.platform(), 40.0, 800.0, self.now, self.events)
        self.servers = [self._server(name) for name in self.layout.servers]
        self.bootstrap = True
        self.client_scope = trio.CancelScope()  # of the clients

    def now(self) -> float:
        """Seconds since the run began."""
        return trio.current_time() - self.began

    def _server(self, name: str) -> ModelServer:
        service = OTHER_SERVICE if name == self.layout.servers[-1] else SERVICE
        server = ModelServer(
            self.host,
            self.layout.server(name),
            name,
            service,
            self.now,
            self.events,
            self.registry,
            {MODEL: 1},
            SERVER_TRAITS,
            random_source=random.Random(f"{self.plan.seed}/{name}"),
        )
        server.name = "{}:{}".format(*self.layout.listed_server(name))  # others reach it through its relay
        return server

    async def execute(self) -> None:
        """From the start of all processes to their end."""
        try:
            limit = self.plan.seconds + OVERHEAD_S
            with trio.fail_after(limit), Processes(self.layout, self.now, self.events) as processes:
                self.processes = processes.by_name
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(processes.watch)
                    nursery.start_soon(self._limit_events)
                    nursery.start_soon(self._notice_lag)
                    await self._start_surroundings(nursery)
                    if await self._start(nursery):
                        await self._run_load()
                    nursery.cancel_scope.cancel()
        finally:
            self.host.close()

    async def _limit_events(self) -> None:
        while len(self.events) <= MAX_EVENTS:
            await trio.sleep(1.0)
        raise TooManyEvents

    async def _notice_lag(self) -> None:
        while True:
            due = trio.current_time() + POLL_INTERVAL_S
            await trio.sleep_until(due)
            late = trio.current_time() - due
            if late > LAG_THRESHOLD_S:
                self.events.append(Lagged(self.now(), late))

    async def _start_surroundings(self, nursery: trio.Nursery) -> None:
        """Servers, the platform's list, relays and the balancer's probes."""
        for link_relay in self.link_relays:
            await nursery.start(link_relay.relay.run)
        for server in self.servers:
            nursery.start_soon(server.run)
            self.platform.add(server)
        nursery.start_soon(self.platform.run)
        for name in self.layout.routers:
            nursery.start_soon(self.balancer.probe, name)

    async def _start(self, nursery: trio.Nursery) -> bool:
        """Starts the system on empty disks and gives it a configuration; whether it became ready."""
        await self._start_staggered(self.layout.machines)
        if not await self.changes.put_first(START_TIMEOUT_S):
            self._record_stall(f"no configuration was acknowledged within {START_TIMEOUT_S:g} s of the start")
            return False
        if not await self._wait_until_ready(START_TIMEOUT_S):
            return False
        self.bootstrap = False
        for name in self.layout.machines:
            self._write_settings(name)
        return True

    async def _start_staggered(self, names: list[str]) -> None:
        """Starts machines in any order within ``START_APART``."""
        order = self.random_source.sample(names, len(names))
        for name in order:
            self._write_settings(name)
            self.processes[name].start()
            await trio.sleep(START_SPREAD_S / len(order))

    def _write_settings(self, name: str) -> None:
        self.layout.write_settings(name, self.bootstrap, self.random_source)

    async def _wait_until_ready(self, within: float) -> bool:
        """Waits until every router says that it is ready."""
        with trio.move_on_after(within):
            while not all(self.balancer.reported_ready.values()):
                await trio.sleep(POLL_INTERVAL_S)
            return True
        late = [name for name, ready in self.balancer.reported_ready.items() if not ready]
        self._record_stall(f"not ready within {within:g} s: {', '.join(late)}")
        return False

    def _record_stall(self, what: str) -> None:
        self.events.append(Stalled(self.now(), what))

    async def _run_load(self) -> None:
        """Clients, changes and troubles, then the end."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_clients)
            async with trio.open_nursery() as applications:
                if self.plan.applications:
                    self.applications.start(applications.start_soon)
                await self._change_and_inject()
                await self._recover()
                if self.plan.applications:
                    await self._read_back()
                applications.cancel_scope.cancel()
            await self._stop_all()

    async def _change_and_inject(self) -> None:
        """Changes and troubles, for the time of the plan."""
        async with trio.open_nursery() as changes:
            changes.start_soon(self.changes.run)
            async with trio.open_nursery() as faults:
                for fault in self.plan.troubles:
                    faults.start_soon(self._inject_fault, fault)
                await trio.sleep(self.plan.seconds)
            await self._wait_for_changes()
            changes.cancel_scope.cancel()

    async def _wait_for_changes(self) -> None:
        """Waits until so many changes were acknowledged that the run says something of them, however busy the machine
        is; it is a stall if they don't come."""
        until = self.now() + CHANGES_TIMEOUT_S
        while self.changes.acknowledged_count < MIN_CHANGES:
            if self.now() > until:
                self._record_stall(
                    f"{self.changes.acknowledged_count} changes acknowledged {CHANGES_TIMEOUT_S:g} s after the troubles"
                )
                return
            await trio.sleep(POLL_INTERVAL_S)

    async def _run_clients(self) -> None:
        """Clients, until no router runs any more."""
        with self.client_scope:
            await self.clients.run()
        self.events.append(LoadEnded(self.now()))

    async def _recover(self) -> None:
        """All processes run again and are ready, and serve; the configuration is read back."""
        restarted_at = self.now()
        for name in self.layout.machines:
            self.processes[name].start()
            self.balancer.reported_ready.update({name: False} if name in self.layout.routers else {})
        if await self._wait_until_ready(RECOVERY_TIMEOUT_S):
            await self._serve_until_recovered(restarted_at + RECOVERY_TIMEOUT_S)
        config = await self.changes.read(READ_TIMEOUT_S)
        self.events.append(ReadBack(self.now(), config))

    async def _read_back(self) -> None:
        """The applications ask for all that was acknowledged to them."""
        for call in await self.applications.read_back():
            self._record_stall(f"at the end no answer came to {call}")

    async def _serve_until_recovered(self, until: float) -> None:
        """Goes on with the load until so much of it is served as must be, or the time for that is up.

        Being ready alone says less: servers may lack a version whose bound is over, and a new primary may give no order
        yet.
        """
        while True:
            began = self.now()
            await trio.sleep(SERVE_STRETCH_S)
            if self.now() >= until or served_fraction(self.events, began, self.now()) >= MIN_SERVED_FRACTION:
                break
        self.events.append(Recovered(began))

    async def _stop_all(self) -> None:
        """Every process is told to stop, while clients go on until the last router has ended."""
        async with trio.open_nursery() as cores:
            for name in self.layout.cores:
                cores.start_soon(self._stop, name)
            async with trio.open_nursery() as routers:
                for name in self.layout.routers:
                    routers.start_soon(self._stop, name)
            self.client_scope.cancel()

    async def _stop(self, name: str) -> None:
        """Tells a process to stop and waits for its end; one that is late is killed."""
        process = self.processes[name]
        await process.wait_for_handler()
        life = process.life
        if not process.send(signal.SIGTERM):
            return
        with trio.move_on_after(GRACE_S + KILL_DELAY_S):
            await process.ended.wait()
            return
        if process.life == life:
            process.kill()

    # troubles ---------------------------------------------

    async def _inject_fault(self, fault: Fault) -> None:
        await trio.sleep(fault.at)
        injected_at, machines = self.now(), self._affected_machines(fault)
        methods: dict[FaultKind, Callable] = {
            FaultKind.KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.STOP: self._stop_and_restart,
            FaultKind.ROLL: self._roll,
            FaultKind.RELOAD: self._reload,
            FaultKind.CUT: self._cut,
            FaultKind.LOSE_ANSWERS: self._lose_answers,
            FaultKind.WIPE: self._wipe,
        }
        await methods[fault.kind](fault)
        self.events.append(TroubleMet(injected_at, self.now(), fault.kind, machines, fault.links))

    def _affected_machines(self, fault: Fault) -> tuple[str, ...]:
        """The machines that a trouble befalls: no signal reaches one whose process does not run."""
        if fault.kind is FaultKind.WIPE:
            return fault.machines
        return tuple(name for name in fault.machines if self.processes[name].running)

    async def _kill(self, fault: Fault) -> None:
        for name in fault.machines:
            self.processes[name].kill()
        await trio.sleep(fault.lasts)
        self._restart(fault.machines)

    def _restart(self, names: tuple[str, ...] | list[str]) -> None:
        for name in names:
            self.processes[name].start()

    async def _pause(self, fault: Fault) -> None:
        paused = [(name, self.processes[name].life) for name in fault.machines if self._send(name, signal.SIGSTOP)]
        await trio.sleep(fault.lasts)
        for name, life in paused:
            process = self.processes[name]
            if process.life == life and process.send(signal.SIGCONT):
                self._record_resumed(name)

    def _send(self, name: str, number: signal.Signals) -> bool:
        return self.processes[name].send(number)

    async def _signal_when_handled(self, name: str, number: signal.Signals) -> None:
        """Signal a process once it heeds signals."""
        await self.processes[name].wait_for_handler()
        self._send(name, number)

    def _record_resumed(self, name: str) -> None:
        control = "{}:{}".format(*self.layout.control(name)) if name in self.layout.cores else ""
        self.events.append(Resumed(self.now(), name, control))

    async def _stop_and_restart(self, fault: Fault) -> None:
        async with trio.open_nursery() as nursery:
            for name in fault.machines:
                nursery.start_soon(self._stop_and_restart_one, name, fault.lasts)

    async def _stop_and_restart_one(self, name: str, pause: float) -> None:
        await self._stop(name)
        await trio.sleep(pause)
        self.processes[name].start()

    async def _roll(self, fault: Fault) -> None:
        """One machine after another, whether the one before has ended or not; each second one is told to read its
        settings again while it leaves, each third is told to stop a second time."""
        async with trio.open_nursery() as nursery:
            for number, name in enumerate(fault.rounds * fault.machines):
                nursery.start_soon(self._stop_and_restart_one, name, fault.lasts)
                await trio.sleep(fault.gap)
                if number % 2:
                    await self._signal_when_handled(name, signal.SIGHUP)
                if number % 3 == 0:  # it may be the next life already that is told, so that it is started again too
                    nursery.start_soon(self._stop_and_restart_one, name, fault.lasts)

    async def _reload(self, fault: Fault) -> None:
        for name in fault.machines:
            self._write_settings(name)
            await self._signal_when_handled(name, signal.SIGHUP)
        await trio.sleep(fault.lasts)

    async def _cut(self, fault: Fault) -> None:
        relays = [relay for link in fault.links for relay in self.relays(link)]
        for relay in relays:
            relay.cut(fault.direction)
        await trio.sleep(fault.lasts)
        for relay in relays:
            relay.restore(fault.direction)
        for name in {end for link in fault.links for end in (link.caller, link.target)} & {*self.layout.machines}:
            self._record_resumed(name)

    async def _lose_answers(self, fault: Fault) -> None:
        relays = [relay for link in fault.links for relay in self.relays(link)]
        with dropping_answers(relays):
            await trio.sleep(fault.lasts)

    async def _wipe(self, fault: Fault) -> None:
        """Every process is killed in one step of the soak's own process, and one disk is lost."""
        for process in self.processes.values():
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()
        for name in fault.machines:
            self.processes[name].wipe_disk()
        await trio.sleep(fault.lasts)
        await self._start_staggered(self.layout.machines)


@contextmanager
def dropping_answers(relays: list):
    """Within it the relays drop all answers."""
    for relay in relays:
        relay.answer_losses += 1
    try:
        yield
    finally:
        for relay in relays:
            relay.answer_losses -= 1


async def execute_plan(plan: Plan, folder: Path, net: str) -> list[Fact]:
    """Plays a plan and gives what was recorded."""
    run = Run(plan, folder, net)
    await run.execute()
    return run.events
