"""The machines of the virtual whole system, their lives, and the programs that they run."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import orjson
import trio
from loguru import logger

from rowanshift.controlplane.service import ControlPlaneService
from rowanshift.dataplane.request_outcomes import ClosedRequest
from rowanshift.dataplane.service import DataPlaneService
from rowanshift.emulation.platform import PlatformList
from rowanshift.invariants.facts import CallCut, Fact, PrimaryBecame, RequestCut, RouterStarted
from rowanshift.process.node_settings import NodeSettings, node_settings_of
from rowanshift.simulation.fleet_settings import AGAIN, CONTROL, FRONT
from rowanshift.simulation.machine import Machine
from rowanshift.simulation.network import Network
from rowanshift.transport.call_server import CutCall
from rowanshift.wire.machine_ids import machine_id_from_ip


@dataclass(slots=True)
class Trouble:
    """From ``since`` to ``until`` a machine was not as it should be. One of the core matters to all routers
    while it is slow, and at the moments in which it goes, comes back or is cut off, but not in between."""

    what: str
    machine: str
    core: bool
    since: float
    until: float
    unsettles: bool = True  # a router, or the whole core


@dataclass(slots=True, eq=False)
class Unit:
    """A machine of the system, and its program. ``wanted``: it is started again whenever it ends."""

    machine: Machine
    zone: int
    core: bool
    boot: dict[str, Any]
    program: Any = None
    wanted: bool = True
    lives: int = 0
    asleep: trio.Event = field(default_factory=trio.Event)

    @property
    def name(self) -> str:
        return self.machine.name

    @property
    def front(self) -> str:
        """IP:PORT that clients ask, of a router."""
        return "" if self.core else f"{self.machine.address}:{FRONT}"

    @property
    def control(self) -> str:
        """IP:PORT that operators ask, of a core machine."""
        return f"{self.machine.address}:{CONTROL}" if self.core else ""


class TellingControlPlane(ControlPlaneService):
    """A core machine's program that tells when it becomes the primary, and of which epoch."""

    def __init__(self, boot: NodeSettings, host: Machine, seed: int, became: Callable[[int], None]) -> None:
        super().__init__(boot, host, seed)
        self.told = became

    def _on_role_change(self, primary: bool) -> None:
        if primary:
            self.told(self.replica_runner.replica.record.epoch)
        super()._on_role_change(primary)


class FleetMachines:
    """The machines of a fleet, and the programs that live on them."""

    seed: str
    zones: int
    units: list[Unit]
    cores: list[Unit]
    facts: list[Fact]
    troubles: list[Trouble]
    open: dict[tuple[str, str], Trouble]  # that have not ended, by what and the machine
    ended: list[tuple[float, str, str]]  # programs that ended by themselves: when, whose, why
    network: Network
    nursery: trio.Nursery
    platform: Machine
    listing: PlatformList

    def now(self) -> float:
        """Seconds since the start of the run."""
        raise NotImplementedError

    async def until(self, so: Callable[[], Any], within: float = 15.0) -> bool:
        """Waits until something is so; whether it came to that in time."""
        ends = self.now() + within
        while not so():
            if self.now() >= ends:
                return False
            await trio.sleep(0.05)
        return True

    # the life of a program --------------------------------

    async def _live(self, unit: Unit, after: float) -> None:
        await trio.sleep(after)
        while True:
            while not unit.wanted:
                unit.asleep = trio.Event()
                await unit.asleep.wait()
            unit.lives += 1
            boot = node_settings_of(orjson.dumps(unit.boot))
            boot.path = None
            seed = random.Random(f"{self.seed}/{unit.name}/{unit.lives}").getrandbits(32)
            unit.program = self._program(unit, boot, seed)
            why = "it returned"
            try:
                killed = await unit.machine.run(unit.program.run) is None
            except Exception as error:
                killed, why = False, repr(error)
                logger.exception("event=program_ended name={}", unit.name)
            if not killed and unit.wanted:
                self.ended.append((self.now(), unit.name, why))
            await trio.sleep(AGAIN)

    def _program(self, unit: Unit, boot: NodeSettings, seed: int) -> ControlPlaneService | DataPlaneService:
        if unit.core:
            core = TellingControlPlane(boot, unit.machine, seed, partial(self._became_primary, unit))
            core.calls.watch = partial(self._call_cut, unit)
            return core
        self.facts.append(RouterStarted(self.now(), unit.name, unit.front))
        router = DataPlaneService(boot, unit.machine, seed)
        router.outcomes.on_violation = partial(self._request_cut, unit)
        return router

    def _request_cut(self, unit: Unit, closed: ClosedRequest) -> None:
        self.facts.append(
            RequestCut(
                self.now(),
                unit.name,
                unit.front,
                closed.request.id,
                closed.request.received_at,
                closed.violation.value if closed.violation else "",
                closed.bytes_written,
                closed.excused,
            )
        )

    def _call_cut(self, unit: Unit, cut: CutCall) -> None:
        self.facts.append(CallCut(self.now(), unit.name, unit.control, cut.target, cut.came_at))

    def _became_primary(self, unit: Unit, epoch: int) -> None:
        self.facts.append(PrimaryBecame(self.now(), unit.control, epoch))

    def primary(self) -> Unit | None:
        """The core machine that says it is primary, of those that run."""
        return next(
            (
                unit
                for unit in self.cores
                if unit.machine.running
                and not unit.machine.away
                and getattr(unit.program, "replica_runner", None) is not None
                and unit.program.replica_runner.replica.is_primary
            ),
            None,
        )

    def coordinators(self) -> list[Unit]:
        """The core machine that says it is primary of the coordination state, of those that run; none elsewhere."""
        running = [unit for unit in self.cores if unit.machine.running and not unit.machine.away]
        services = [(unit, getattr(unit.program, "coordination", None)) for unit in running]
        return [
            unit for unit, service in services if service is not None and service.replica_runner.replica.is_primary
        ][:1]

    def backups(self) -> list[Unit]:
        """The other machines in sync with the primary, and then the rest."""
        primary = self.primary()
        in_sync = primary.program.replica_runner.replica.record.in_sync if primary else ()
        return sorted(
            (unit for unit in self.cores if unit is not primary),
            key=lambda unit: machine_id_from_ip(unit.machine.address) not in in_sync,
        )
