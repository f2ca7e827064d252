"""Fault injection for the machines and the model servers of the simulated system.

Each fault is started and ended by a call and recorded, so that the rules can take it into account when a run is
judged. Durations are in seconds.
"""

import signal
from collections.abc import Callable, Iterable

import trio

from rowanshift.emulation.model_server import ModelServer
from rowanshift.invariants.facts import Resumed, Signalled
from rowanshift.simulation.fleet_machines import FaultRecord, FleetMachines, Unit
from rowanshift.simulation.machine import Machine


class FleetFaults(FleetMachines):
    """Faults and operations that can be applied to the machines of a fleet."""

    def _record_moment(self, kind: str, *units: Unit) -> None:
        """Record a momentary event at these machines."""
        now = self.now()
        self.fault_records += [FaultRecord(kind, unit.name, unit.core, now, now) for unit in units]

    def _record_resumed(self, unit: Unit) -> None:
        """Record that messages which the machine sent earlier may arrive from now on."""
        self.facts.append(Resumed(self.now(), unit.name, unit.control))

    def _begin_fault(self, kind: str, *units: Unit, disturbs_contact: bool = False) -> None:
        for unit in units:
            fault = FaultRecord(kind, unit.name, unit.core, self.now(), float("inf"), disturbs_contact or not unit.core)
            self.open[kind, unit.name] = fault
            self.fault_records.append(fault)

    def _end_fault(self, kind: str, *units: Unit) -> None:
        for unit in units:
            if (fault := self.open.pop((kind, unit.name), None)) is not None:
                fault.until = self.now()

    def _take_down(self, unit: Unit, stop: Callable[[], None]) -> None:
        unit.should_run = False
        self._record_moment("stopped", unit)
        self._begin_fault("down", unit)
        stop()

    def kill(self, *units: Unit) -> None:
        """End the processes at once and reset their connections. ``back`` starts them again."""
        for unit in units:
            self._take_down(unit, unit.machine.kill)

    def cut_power(self, *units: Unit) -> None:
        """Cut power: the machines fall silent, and unsynced writes may be lost."""
        for unit in units:
            self._take_down(unit, unit.machine.lose_power)

    def empty_disk(self, *units: Unit) -> None:
        """Cut power and replace the disks with empty ones."""
        self.cut_power(*units)
        for unit in units:
            unit.machine.drive.replace_with_empty()

    def back(self, *units: Unit) -> None:
        """Start machines again that were stopped."""
        for unit in units:
            unit.should_run = True
            unit.start_requested.set()
            self._end_fault("down", unit)
            self._end_fault("shutting down", unit)
            self._record_moment("started", unit)

    def freeze(self, *units: Unit, handlers_run: bool = False) -> None:
        """Freeze the processes. With ``handlers_run``, their signal handlers still run."""
        for unit in units:
            self._record_moment("frozen", unit)
            self._begin_fault("suspended", unit)
            unit.machine.freeze(handlers_run)

    def thaw(self, *units: Unit) -> None:
        """Resume frozen processes."""
        for unit in units:
            self._record_resumed(unit)
            self._end_fault("suspended", unit)
            self._record_moment("thawed", unit)
            unit.machine.resume()

    def cut(self, one: Unit, others: Iterable[Unit] | None = None, ways: str = "both") -> None:
        """Block the paths between a machine and ``others``, or all others.

        ``ways`` gives the direction as seen from the machine: ``in``, ``out`` or ``both``.
        """
        self._change_paths(one, others, ways, self.network.block_path)
        self._record_moment("cut", one)
        self._begin_fault("cut off", one)

    def join(self, one: Unit, others: Iterable[Unit] | None = None, ways: str = "both") -> None:
        """Unblock the paths that ``cut`` blocked."""
        self._change_paths(one, others, ways, self.network.unblock_path)
        self._record_resumed(one)
        self._end_fault("cut off", one)
        self._record_moment("joined", one)

    def _change_paths(
        self, one: Unit, others: Iterable[Unit] | None, ways: str, change_path: Callable[[Machine, Machine], None]
    ) -> None:
        for other in self.units if others is None else others:
            if other is not one:
                if ways != "in":
                    change_path(one.machine, other.machine)
                if ways != "out":
                    change_path(other.machine, one.machine)

    def cut_zone(self, zone: int) -> None:
        """Partition a zone from the other zones and from the platform. Clients still reach all zones."""
        for other in range(self.zones):
            if other != zone:
                self.network.cut(zone, other)
        for unit in self.units:
            if unit.zone == zone:
                self.network.block_path(unit.machine, self.platform)
        in_zone = [unit for unit in self.units if unit.zone == zone]
        self._record_moment("cut", *in_zone)
        self._begin_fault("cut off", *in_zone)

    def join_zone(self, zone: int) -> None:
        """End the partition of a zone."""
        for other in range(self.zones):
            self.network.heal(zone, other)
        in_zone = [unit for unit in self.units if unit.zone == zone]
        for unit in in_zone:
            self.network.unblock_path(unit.machine, self.platform)
            self._record_resumed(unit)
        self._end_fault("cut off", *in_zone)
        self._record_moment("joined", *in_zone)

    def step_clock(self, unit: Unit, seconds: float) -> None:
        """Step the wall clock of a machine."""
        self._record_moment("clock", unit)
        unit.machine.skew += seconds

    def slow_disk(self, unit: Unit, factor: float) -> None:
        """Multiply the latency of the disk by ``factor``; 1 ends the fault."""
        self._end_fault("disk slow", unit)
        if factor != 1:
            self._begin_fault("disk slow", unit, disturbs_contact=True)
        unit.machine.drive.slow(factor)

    async def hang_disk(self, unit: Unit, seconds: float) -> None:
        """Block all calls of the disk for some seconds."""
        self._begin_fault("disk hangs", unit, disturbs_contact=True)
        unit.machine.drive.hang(seconds)
        await trio.sleep(seconds)
        self._end_fault("disk hangs", unit)

    def refuse_writes(self, unit: Unit, refuses_writes: bool = True) -> None:
        """Make the disk fail all writes, or end that fault."""
        self._end_fault("disk refuses writes", unit)
        if refuses_writes:
            self._begin_fault("disk refuses writes", unit, disturbs_contact=True)
        unit.machine.drive.refuse_writes(refuses_writes)

    def terminate(self, unit: Unit) -> None:
        """Send SIGTERM. The process ends by itself within its grace period, and ``back`` starts it again."""
        unit.should_run = False
        self._record_moment("SIGTERM", unit)
        self._begin_fault("shutting down", unit)
        self._send_signal(unit, signal.SIGTERM)

    def hang_up(self, unit: Unit) -> None:
        """Send SIGHUP."""
        self._send_signal(unit, signal.SIGHUP)

    def _send_signal(self, unit: Unit, signal_number: signal.Signals) -> None:
        if not unit.core and unit.machine.running:
            self.facts.append(Signalled(self.now(), unit.name, unit.front, signal_number.name))
        unit.machine.signal(signal_number)

    # model servers ----------------------------------------

    def crash(self, server: ModelServer) -> None:
        """End a server at once. The platform's list shows that a while later."""
        instance_id = server.instance_id
        server.crash()
        self.listing.remove(instance_id)

    def revive(self, server: ModelServer) -> None:
        """Start a server again, with a new instance id at its former address."""
        server.restart()
        self.nursery.start_soon(self._list_when_up, server, server.life)

    async def _list_when_up(self, server: ModelServer, life: int) -> None:
        await self.until(lambda: server.life > life and server.up)
        self.listing.add(server)

    async def release(self, server: ModelServer, after: float = 4.0) -> None:
        """List a server as draining, and end it ``after`` seconds later."""
        self.listing.drain(server)
        await trio.sleep(after)
        self.crash(server)
