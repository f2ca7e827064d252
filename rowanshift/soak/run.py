"""Runs one plan: starts the system with emulated clients, servers and platform, injects the faults, records all events.

No process is left running when ``Run.execute`` returns or raises.
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

START_SPREAD_S = 0.3  # over which the starts of all processes are spread
START_TIMEOUT_S = 20.0  # until the first configuration is acknowledged, and again until all routers are ready
RECOVERY_TIMEOUT_S = 12.0  # from the last start until all routers are ready again and serve
READ_TIMEOUT_S = 10.0  # for the read at the end
KILL_DELAY_S = 1.0  # beyond the grace, after which a process that has not exited is killed
POLL_INTERVAL_S = 0.05
LAG_THRESHOLD_S = 0.05  # larger delays of the soak process itself are recorded
SERVE_STRETCH_S = 1.5  # of load over which the served fraction is measured after the recovery
MIN_CHANGES = 6  # acknowledged configurations per run
CHANGES_TIMEOUT_S = 15.0  # to reach ``MIN_CHANGES`` after the plan's duration
OVERHEAD_S = (  # of a run beside its load
    CHANGES_TIMEOUT_S + START_TIMEOUT_S + RECOVERY_TIMEOUT_S + READ_TIMEOUT_S + 2 * (GRACE_S + KILL_DELAY_S) + 30.0
)
MAX_EVENTS = 3_000_000
SERVER_TRAITS = Traits(slots=8, queue=8, kv_tokens=20_000, load=0.4, gap=0.01, prefill=0.00002)


class TooManyEvents(Exception):
    """The run recorded more than ``MAX_EVENTS``."""


class Run:
    """One run of a plan, with its files in ``folder`` and the address prefix ``net``."""

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
        self.client_scope = trio.CancelScope()

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
        server.name = "{}:{}".format(
            *self.layout.listed_server(name)
        )  # the address of its relay, through which others reach it
        return server

    async def execute(self) -> None:
        """Runs the plan from the start of all processes to their exit."""
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
        """Starts the relays, the model servers, the platform's list and the balancer's probes."""
        for link_relay in self.link_relays:
            await nursery.start(link_relay.relay.run)
        for server in self.servers:
            nursery.start_soon(server.run)
            self.platform.add(server)
        nursery.start_soon(self.platform.run)
        for name in self.layout.routers:
            nursery.start_soon(self.balancer.probe, name)

    async def _start(self, nursery: trio.Nursery) -> bool:
        """Starts the system on empty disks and sends it a configuration; returns whether it became ready."""
        await self._start_staggered(self.layout.machines)
        if not await self.changes.put_first(START_TIMEOUT_S):
            self._record_stall(f"no configuration acknowledged within {START_TIMEOUT_S:g} s of the start")
            return False
        if not await self._wait_until_ready(START_TIMEOUT_S):
            return False
        self.bootstrap = False
        for name in self.layout.machines:
            self._write_settings(name)
        return True

    async def _start_staggered(self, names: list[str]) -> None:
        """Starts machines in random order within ``START_SPREAD_S``."""
        order = self.random_source.sample(names, len(names))
        for name in order:
            self._write_settings(name)
            self.processes[name].start()
            await trio.sleep(START_SPREAD_S / len(order))

    def _write_settings(self, name: str) -> None:
        self.layout.write_settings(name, self.bootstrap, self.random_source)

    async def _wait_until_ready(self, within: float) -> bool:
        """Waits until every router reports that it is ready; returns whether they did in time."""
        with trio.move_on_after(within):
            while not all(self.balancer.reported_ready.values()):
                await trio.sleep(POLL_INTERVAL_S)
            return True
        late = [name for name, ready in self.balancer.reported_ready.items() if not ready]
        self._record_stall(f"routers not ready within {within:g} s: {', '.join(late)}")
        return False

    def _record_stall(self, what: str) -> None:
        self.events.append(Stalled(self.now(), what))

    async def _run_load(self) -> None:
        """Runs the clients, the changes and the faults, then stops all processes."""
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
        """Makes changes and injects the faults for the plan's duration."""
        async with trio.open_nursery() as changes:
            changes.start_soon(self.changes.run)
            async with trio.open_nursery() as faults:
                for fault in self.plan.troubles:
                    faults.start_soon(self._inject_fault, fault)
                await trio.sleep(self.plan.seconds)
            await self._wait_for_changes()
            changes.cancel_scope.cancel()

    async def _wait_for_changes(self) -> None:
        """Waits until ``MIN_CHANGES`` are acknowledged, so that the run is meaningful even on a busy machine; records a
        stall if they are not in time."""
        until = self.now() + CHANGES_TIMEOUT_S
        while self.changes.acknowledged_count < MIN_CHANGES:
            if self.now() > until:
                self._record_stall(
                    f"{self.changes.acknowledged_count} of {MIN_CHANGES} changes acknowledged within the time limit"
                )
                return
            await trio.sleep(POLL_INTERVAL_S)

    async def _run_clients(self) -> None:
        """Runs the clients until no router runs any more."""
        with self.client_scope:
            await self.clients.run()
        self.events.append(LoadEnded(self.now()))

    async def _recover(self) -> None:
        """Starts all processes that do not run, waits until the routers are ready and serve, and reads the
        configuration back."""
        restarted_at = self.now()
        for name in self.layout.machines:
            self.processes[name].start()
            self.balancer.reported_ready.update({name: False} if name in self.layout.routers else {})
        if await self._wait_until_ready(RECOVERY_TIMEOUT_S):
            await self._serve_until_recovered(restarted_at + RECOVERY_TIMEOUT_S)
        config = await self.changes.read(READ_TIMEOUT_S)
        self.events.append(ReadBack(self.now(), config))

    async def _read_back(self) -> None:
        """The applications read back everything that was acknowledged to them."""
        for call in await self.applications.read_back():
            self._record_stall(f"no answer to {call} while reading back at the end")

    async def _serve_until_recovered(self, until: float) -> None:
        """Continues the load until the required fraction of it is served, or until the recovery timeout.

        Readiness alone is not enough: servers may lack a version whose time bound has passed, and a new primary may not
        send orders yet.
        """
        while True:
            began = self.now()
            await trio.sleep(SERVE_STRETCH_S)
            if self.now() >= until or served_fraction(self.events, began, self.now()) >= MIN_SERVED_FRACTION:
                break
        self.events.append(Recovered(began))

    async def _stop_all(self) -> None:
        """Stops every process; clients continue until the last router has exited."""
        async with trio.open_nursery() as cores:
            for name in self.layout.cores:
                cores.start_soon(self._stop, name)
            async with trio.open_nursery() as routers:
                for name in self.layout.routers:
                    routers.start_soon(self._stop, name)
            self.client_scope.cancel()

    async def _stop(self, name: str) -> None:
        """Sends SIGTERM to a process and waits for its exit; kills it if it does not exit in time."""
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

    # faults -----------------------------------------------

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
        """The machines that a fault affects. A signal has no effect on a machine whose process does not run."""
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
        """Sends a signal to a process once it has signal handlers."""
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
        """Stops and restarts one machine after another without waiting for the previous one. Every second machine also
        gets SIGHUP during its shutdown, and every third a second SIGTERM."""
        async with trio.open_nursery() as nursery:
            for number, name in enumerate(fault.rounds * fault.machines):
                nursery.start_soon(self._stop_and_restart_one, name, fault.lasts)
                await trio.sleep(fault.gap)
                if number % 2:
                    await self._signal_when_handled(name, signal.SIGHUP)
                if number % 3 == 0:  # restart it as well, as the signal may reach its next life
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
        """Kills all processes without yielding in between, deletes one data folder, and restarts them."""
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
    """Makes the relays drop all answers within the ``with`` block."""
    for relay in relays:
        relay.answer_losses += 1
    try:
        yield
    finally:
        for relay in relays:
            relay.answer_losses -= 1


async def execute_plan(plan: Plan, folder: Path, net: str) -> list[Fact]:
    """Runs a plan and returns the recorded events."""
    run = Run(plan, folder, net)
    await run.execute()
    return run.events
