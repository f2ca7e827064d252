"""The troubles that befall the machines of the virtual whole system, and its model servers.

Each is begun and ended by a call, and taken down, so that whoever judges a run knows what it excuses. Durations
are in seconds.
"""

import signal
from collections.abc import Callable, Iterable

import trio

from rowanshift.emulation.model_server import ModelServer
from rowanshift.invariants.facts import Resumed, Signalled
from rowanshift.simulation.fleet_machines import FleetMachines, Trouble, Unit
from rowanshift.simulation.machine import Machine


class FleetTroubles(FleetMachines):
    """What may befall the machines of a fleet."""

    def _mark(self, what: str, *units: Unit) -> None:
        """Something happened to these machines just now."""
        now = self.now()
        self.troubles += [Trouble(what, unit.name, unit.core, now, now) for unit in units]

    def _resumed(self, unit: Unit) -> None:
        """What a machine sent before may arrive from now on."""
        self.facts.append(Resumed(self.now(), unit.name, unit.control))

    def _begin(self, what: str, *units: Unit, slows: bool = False) -> None:
        for unit in units:
            trouble = Trouble(what, unit.name, unit.core, self.now(), float("inf"), slows or not unit.core)
            self.open[what, unit.name] = trouble
            self.troubles.append(trouble)

    def _end(self, what: str, *units: Unit) -> None:
        for unit in units:
            if (trouble := self.open.pop((what, unit.name), None)) is not None:
                trouble.until = self.now()

    def _down(self, unit: Unit, how: Callable[[], None]) -> None:
        unit.wanted = False
        self._mark("goes", unit)
        self._begin("is down", unit)
        how()

    def kill(self, *units: Unit) -> None:
        """The processes end at once; their connections are reset. ``back`` starts them again."""
        for unit in units:
            self._down(unit, unit.machine.kill)

    def cut_power(self, *units: Unit) -> None:
        """The machines are gone without a word; what their disks had not synced may be lost."""
        for unit in units:
            self._down(unit, unit.machine.lose_power)

    def empty_disk(self, *units: Unit) -> None:
        """Power and disks are lost."""
        self.cut_power(*units)
        for unit in units:
            unit.machine.drive.lose()

    def back(self, *units: Unit) -> None:
        for unit in units:
            unit.wanted = True
            unit.asleep.set()
            self._end("is down", unit)
            self._end("leaves", unit)
            self._mark("started", unit)

    def freeze(self, *units: Unit, handlers_run: bool = False) -> None:
        """The processes stand still, ``handlers_run`` but for what handles signals."""
        for unit in units:
            self._mark("frozen", unit)
            self._begin("stands still", unit)
            unit.machine.stand_still(handlers_run)

    def thaw(self, *units: Unit) -> None:
        for unit in units:
            self._resumed(unit)
            self._end("stands still", unit)
            self._mark("thawed", unit)
            unit.machine.go_on()

    def cut(self, one: Unit, others: Iterable[Unit] | None = None, ways: str = "both") -> None:
        """No way between a machine and others of the system, or all: none (``both``), none ``out`` of it,
        or none ``in``."""
        self._ways(one, others, ways, self.network.lose_way)
        self._mark("cut", one)
        self._begin("is cut off", one)

    def join(self, one: Unit, others: Iterable[Unit] | None = None, ways: str = "both") -> None:
        self._ways(one, others, ways, self.network.find_way)
        self._resumed(one)
        self._end("is cut off", one)
        self._mark("joined", one)

    def _ways(
        self, one: Unit, others: Iterable[Unit] | None, ways: str, change: Callable[[Machine, Machine], None]
    ) -> None:
        for other in self.units if others is None else others:
            if other is not one:
                if ways != "in":
                    change(one.machine, other.machine)
                if ways != "out":
                    change(other.machine, one.machine)

    def cut_zone(self, zone: int) -> None:
        """No way between a zone and the others, and the platform; clients reach all."""
        for other in range(self.zones):
            if other != zone:
                self.network.cut(zone, other)
        for unit in self.units:
            if unit.zone == zone:
                self.network.lose_way(unit.machine, self.platform)
        here = [unit for unit in self.units if unit.zone == zone]
        self._mark("cut", *here)
        self._begin("is cut off", *here)

    def join_zone(self, zone: int) -> None:
        for other in range(self.zones):
            self.network.heal(zone, other)
        here = [unit for unit in self.units if unit.zone == zone]
        for unit in here:
            self.network.find_way(unit.machine, self.platform)
            self._resumed(unit)
        self._end("is cut off", *here)
        self._mark("joined", *here)

    def step_clock(self, unit: Unit, seconds: float) -> None:
        self._mark("clock", unit)
        unit.machine.skew += seconds

    def slow_disk(self, unit: Unit, factor: float) -> None:
        """Its disk takes so many times as long; 1 ends that."""
        self._end("slow disk", unit)
        if factor != 1:
            self._begin("slow disk", unit, slows=True)
        unit.machine.drive.slow(factor)

    async def hang_disk(self, unit: Unit, seconds: float) -> None:
        self._begin("disk hangs", unit, slows=True)
        unit.machine.drive.hang(seconds)
        await trio.sleep(seconds)
        self._end("disk hangs", unit)

    def refuse_writes(self, unit: Unit, refuses: bool = True) -> None:
        self._end("refused", unit)
        if refuses:
            self._begin("refused", unit, slows=True)
        unit.machine.drive.refuse(refuses)

    def terminate(self, unit: Unit) -> None:
        """SIGTERM; the process ends by itself within its grace, and ``back`` starts it again."""
        unit.wanted = False
        self._mark("told to stop", unit)
        self._begin("leaves", unit)
        self._signal(unit, signal.SIGTERM)

    def hang_up(self, unit: Unit) -> None:
        self._signal(unit, signal.SIGHUP)

    def _signal(self, unit: Unit, number: signal.Signals) -> None:
        if not unit.core and unit.machine.running:
            self.facts.append(Signalled(self.now(), unit.name, unit.front, number.name))
        unit.machine.signal(number)

    # of the servers

    def crash(self, server: ModelServer) -> None:
        """It ends at once, and the list shows that a while later."""
        instance = server.instance_id
        server.crash()
        self.listing.remove(instance)

    def revive(self, server: ModelServer) -> None:
        """It starts again under another id, at its old address."""
        server.restart()
        self.nursery.start_soon(self._list_again, server, server.life)

    async def _list_again(self, server: ModelServer, life: int) -> None:
        await self.until(lambda: server.life > life and server.up)
        self.listing.add(server)

    async def release(self, server: ModelServer, after: float = 4.0) -> None:
        """It is shown as leaving, and goes after a while."""
        self.listing.drain(server)
        await trio.sleep(after)
        self.crash(server)
