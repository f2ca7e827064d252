"""Plays one plan: starts the system between its emulated surroundings, brings the troubles about, records all.

Nothing is left running when ``play`` returns or raises.
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
from rowanshift.soak.checker import SERVED_LEAST, served_part
from rowanshift.soak.layout import GRACE, Layout, Wire, relays_by_link
from rowanshift.soak.load import OTHER, Balancer, Changes, Clients, applications_of
from rowanshift.soak.plan import Plan, Trouble, TroubleKind
from rowanshift.soak.processes import Processes
from rowanshift.soak.records import Lagged, LoadEnded, ReadBack, Recovered, Stalled, TroubleMet

START_APART = 0.3  # seconds in which all processes start
START_WITHIN = 20.0  # seconds until all is ready
RECOVER_WITHIN = 12.0  # seconds from the last start until all is ready again, and serves
READ_WITHIN = 10.0  # seconds for the last reading
KILL_AFTER = 1.0  # seconds beyond the grace; then a process that was told to stop is killed
LOOK = 0.05  # seconds
LATE = 0.05  # seconds by which the soak's own process may be late without a record of it
SERVE_ON = 1.5  # seconds of load once all is ready again, looked at together
LEAST_CHANGES = 6  # configurations that are acknowledged in a run, at least
CHANGES_WITHIN = 15.0  # seconds beyond the plan's in which they are waited for
OVERHEAD = (
    CHANGES_WITHIN + START_WITHIN + RECOVER_WITHIN + READ_WITHIN + 2 * (GRACE + KILL_AFTER) + 30.0
)  # seconds beside the load
MOST_FACTS = 3_000_000
TRAITS = Traits(slots=8, queue=8, kv_tokens=20_000, load=0.4, gap=0.01, prefill=0.00002)


class TooManyFacts(Exception):
    """The run recorded more than ``MOST_FACTS``."""


class Run:
    """One run of a plan under a folder, at the addresses that begin with ``net``."""

    def __init__(self, plan: Plan, folder: Path, net: str) -> None:
        self.plan, self.random_source = plan, random.Random(f"{plan.seed}/run")
        self.began = trio.current_time()
        self.facts: list[Fact] = []
        self.host = Inside()
        self.layout = Layout(plan, folder, net)
        self.registry = Registry()
        self.wires: list[Wire] = [*self.layout.wires(self.host)]
        self.relays = relays_by_link(self.wires)
        self.balancer = Balancer(self.host, self.layout)
        self.clients = Clients(plan, self.host, self.layout, self.balancer, self.now, self.facts)
        self.changes = Changes(plan, self.host, self.layout, self.registry, self.now, self.facts)
        self.applications = applications_of(plan, self.host, self.layout, self.now, self.facts)
        self.platform = PlatformList(self.host, self.layout.platform(), 40.0, 800.0, self.now, self.facts)
        self.servers = [self._server(name) for name in self.layout.servers]
        self.bootstrap = True
        self.asking = trio.CancelScope()  # of the clients

    def now(self) -> float:
        """Seconds since the run began."""
        return trio.current_time() - self.began

    def _server(self, name: str) -> ModelServer:
        service = OTHER if name == self.layout.servers[-1] else SERVICE
        server = ModelServer(
            self.host,
            self.layout.server(name),
            name,
            service,
            self.now,
            self.facts,
            self.registry,
            {MODEL: 1},
            TRAITS,
            random_source=random.Random(f"{self.plan.seed}/{name}"),
        )
        server.name = "{}:{}".format(*self.layout.listed(name))  # others reach it through its relay
        return server

    async def play(self) -> None:
        """From the start of all processes to their end."""
        try:
            limit = self.plan.seconds + OVERHEAD
            with trio.fail_after(limit), Processes(self.layout, self.now, self.facts) as made:
                self.processes = made.by_name
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(made.watch)
                    nursery.start_soon(self._bound)
                    nursery.start_soon(self._notice_lag)
                    await self._surround(nursery)
                    if await self._start(nursery):
                        await self._load()
                    nursery.cancel_scope.cancel()
        finally:
            self.host.close()

    async def _bound(self) -> None:
        while len(self.facts) <= MOST_FACTS:
            await trio.sleep(1.0)
        raise TooManyFacts

    async def _notice_lag(self) -> None:
        while True:
            due = trio.current_time() + LOOK
            await trio.sleep_until(due)
            late = trio.current_time() - due
            if late > LATE:
                self.facts.append(Lagged(self.now(), late))

    async def _surround(self, nursery: trio.Nursery) -> None:
        """Servers, the platform's list, relays and the balancer's probes."""
        for wire in self.wires:
            await nursery.start(wire.relay.run)
        for server in self.servers:
            nursery.start_soon(server.run)
            self.platform.add(server)
        nursery.start_soon(self.platform.run)
        for name in self.layout.routers:
            nursery.start_soon(self.balancer.probe, name)

    async def _start(self, nursery: trio.Nursery) -> bool:
        """Starts the system on empty disks and gives it a configuration; whether it became ready."""
        await self._start_apart(self.layout.machines)
        if not await self.changes.first(START_WITHIN):
            self._stalled(f"no configuration was acknowledged within {START_WITHIN:g} s of the start")
            return False
        if not await self._ready(START_WITHIN):
            return False
        self.bootstrap = False
        for name in self.layout.machines:
            self._write_settings(name)
        return True

    async def _start_apart(self, names: list[str]) -> None:
        """Starts machines in any order within ``START_APART``."""
        order = self.random_source.sample(names, len(names))
        for name in order:
            self._write_settings(name)
            self.processes[name].start()
            await trio.sleep(START_APART / len(order))

    def _write_settings(self, name: str) -> None:
        self.layout.write_settings(name, self.bootstrap, self.random_source)

    async def _ready(self, within: float) -> bool:
        """Waits until every router says that it is ready."""
        with trio.move_on_after(within):
            while not all(self.balancer.says_ready.values()):
                await trio.sleep(LOOK)
            return True
        late = [name for name, ready in self.balancer.says_ready.items() if not ready]
        self._stalled(f"not ready within {within:g} s: {', '.join(late)}")
        return False

    def _stalled(self, what: str) -> None:
        self.facts.append(Stalled(self.now(), what))

    async def _load(self) -> None:
        """Clients, changes and troubles, then the end."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask)
            async with trio.open_nursery() as applications:
                if self.plan.applications:
                    self.applications.start(applications.start_soon)
                await self._change_and_harm()
                await self._recover()
                if self.plan.applications:
                    await self._read_back()
                applications.cancel_scope.cancel()
            await self._end_all()

    async def _change_and_harm(self) -> None:
        """Changes and troubles, for the time of the plan."""
        async with trio.open_nursery() as changes:
            changes.start_soon(self.changes.run)
            async with trio.open_nursery() as troubles:
                for trouble in self.plan.troubles:
                    troubles.start_soon(self._inject, trouble)
                await trio.sleep(self.plan.seconds)
            await self._enough_changes()
            changes.cancel_scope.cancel()

    async def _enough_changes(self) -> None:
        """Waits until so many changes were acknowledged that the run says something of them, however busy the machine
        is; it is a stall if they don't come."""
        until = self.now() + CHANGES_WITHIN
        while self.changes.taken < LEAST_CHANGES:
            if self.now() > until:
                self._stalled(f"{self.changes.taken} changes acknowledged {CHANGES_WITHIN:g} s after the troubles")
                return
            await trio.sleep(LOOK)

    async def _ask(self) -> None:
        """Clients, until no router runs any more."""
        with self.asking:
            await self.clients.run()
        self.facts.append(LoadEnded(self.now()))

    async def _recover(self) -> None:
        """All processes run again and are ready, and serve; the configuration is read back."""
        returned_at = self.now()
        for name in self.layout.machines:
            self.processes[name].start()
            self.balancer.says_ready.update({name: False} if name in self.layout.routers else {})
        if await self._ready(RECOVER_WITHIN):
            await self._serve_on(returned_at + RECOVER_WITHIN)
        config = await self.changes.read(READ_WITHIN)
        self.facts.append(ReadBack(self.now(), config))

    async def _read_back(self) -> None:
        """The applications ask for all that was acknowledged to them."""
        for call in await self.applications.read_back():
            self._stalled(f"at the end no answer came to {call}")

    async def _serve_on(self, until: float) -> None:
        """Goes on with the load until so much of it is served as must be, or the time for that is up.

        Being ready alone says less: servers may lack a version whose bound is over, and a new primary may give no order
        yet.
        """
        while True:
            began = self.now()
            await trio.sleep(SERVE_ON)
            if self.now() >= until or served_part(self.facts, began, self.now()) >= SERVED_LEAST:
                break
        self.facts.append(Recovered(began))

    async def _end_all(self) -> None:
        """Every process is told to stop, while clients go on until the last router has ended."""
        async with trio.open_nursery() as cores:
            for name in self.layout.cores:
                cores.start_soon(self._stop, name)
            async with trio.open_nursery() as routers:
                for name in self.layout.routers:
                    routers.start_soon(self._stop, name)
            self.asking.cancel()

    async def _stop(self, name: str) -> None:
        """Tells a process to stop and waits for its end; one that is late is killed."""
        process = self.processes[name]
        await process.born()
        life = process.life
        if not process.send(signal.SIGTERM):
            return
        with trio.move_on_after(GRACE + KILL_AFTER):
            await process.ended.wait()
            return
        if process.life == life:
            process.kill()

    # troubles ---------------------------------------------

    async def _inject(self, trouble: Trouble) -> None:
        await trio.sleep(trouble.at)
        begun, machines = self.now(), self._hit(trouble)
        methods: dict[TroubleKind, Callable] = {
            TroubleKind.KILL: self._kill,
            TroubleKind.PAUSE: self._pause,
            TroubleKind.STOP: self._stop_and_start,
            TroubleKind.ROLL: self._roll,
            TroubleKind.RELOAD: self._reload,
            TroubleKind.CUT: self._cut,
            TroubleKind.LOSE_ANSWERS: self._lose_answers,
            TroubleKind.WIPE: self._wipe,
        }
        await methods[trouble.kind](trouble)
        self.facts.append(TroubleMet(begun, self.now(), trouble.kind, machines, trouble.links))

    def _hit(self, trouble: Trouble) -> tuple[str, ...]:
        """The machines that a trouble befalls: no signal reaches one whose process does not run."""
        if trouble.kind is TroubleKind.WIPE:
            return trouble.machines
        return tuple(name for name in trouble.machines if self.processes[name].running)

    async def _kill(self, trouble: Trouble) -> None:
        for name in trouble.machines:
            self.processes[name].kill()
        await trio.sleep(trouble.lasts)
        self._start_again(trouble.machines)

    def _start_again(self, names: tuple[str, ...] | list[str]) -> None:
        for name in names:
            self.processes[name].start()

    async def _pause(self, trouble: Trouble) -> None:
        paused = [(name, self.processes[name].life) for name in trouble.machines if self._sent(name, signal.SIGSTOP)]
        await trio.sleep(trouble.lasts)
        for name, life in paused:
            process = self.processes[name]
            if process.life == life and process.send(signal.SIGCONT):
                self._resumed(name)

    def _sent(self, name: str, number: signal.Signals) -> bool:
        return self.processes[name].send(number)

    async def _tell(self, name: str, number: signal.Signals) -> None:
        """Signal a process once it heeds signals."""
        await self.processes[name].born()
        self._sent(name, number)

    def _resumed(self, name: str) -> None:
        control = "{}:{}".format(*self.layout.control(name)) if name in self.layout.cores else ""
        self.facts.append(Resumed(self.now(), name, control))

    async def _stop_and_start(self, trouble: Trouble) -> None:
        async with trio.open_nursery() as nursery:
            for name in trouble.machines:
                nursery.start_soon(self._stop_then_start, name, trouble.lasts)

    async def _stop_then_start(self, name: str, pause: float) -> None:
        await self._stop(name)
        await trio.sleep(pause)
        self.processes[name].start()

    async def _roll(self, trouble: Trouble) -> None:
        """One machine after another, whether the one before has ended or not; each second one is told to read its
        settings again while it leaves, each third is told to stop a second time."""
        async with trio.open_nursery() as nursery:
            for number, name in enumerate(trouble.rounds * trouble.machines):
                nursery.start_soon(self._stop_then_start, name, trouble.lasts)
                await trio.sleep(trouble.gap)
                if number % 2:
                    await self._tell(name, signal.SIGHUP)
                if number % 3 == 0:  # it may be the next life already that is told, so that it is started again too
                    nursery.start_soon(self._stop_then_start, name, trouble.lasts)

    async def _reload(self, trouble: Trouble) -> None:
        for name in trouble.machines:
            self._write_settings(name)
            await self._tell(name, signal.SIGHUP)
        await trio.sleep(trouble.lasts)

    async def _cut(self, trouble: Trouble) -> None:
        relays = [relay for link in trouble.links for relay in self.relays(link)]
        for relay in relays:
            relay.cut(trouble.direction)
        await trio.sleep(trouble.lasts)
        for relay in relays:
            relay.join(trouble.direction)
        for name in {end for link in trouble.links for end in (link.caller, link.target)} & {*self.layout.machines}:
            self._resumed(name)

    async def _lose_answers(self, trouble: Trouble) -> None:
        relays = [relay for link in trouble.links for relay in self.relays(link)]
        with losing(relays):
            await trio.sleep(trouble.lasts)

    async def _wipe(self, trouble: Trouble) -> None:
        """Every process is killed in one step of the soak's own process, and one disk is lost."""
        for process in self.processes.values():
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()
        for name in trouble.machines:
            self.processes[name].wipe()
        await trio.sleep(trouble.lasts)
        await self._start_apart(self.layout.machines)


@contextmanager
def losing(relays: list):
    """Within it the relays drop all answers."""
    for relay in relays:
        relay.losing += 1
    try:
        yield
    finally:
        for relay in relays:
            relay.losing -= 1


async def play(plan: Plan, folder: Path, net: str) -> list[Fact]:
    """Plays a plan and gives what was recorded."""
    run = Run(plan, folder, net)
    await run.play()
    return run.facts
