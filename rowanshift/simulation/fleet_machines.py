"""The machines of the simulated system, and the programs that run on them."""

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
from rowanshift.simulation.fleet_settings import CONTROL, FRONT, RESTART_SECONDS
from rowanshift.simulation.machine import Machine
from rowanshift.simulation.network import Network
from rowanshift.transport.call_server import CutCall
from rowanshift.wire.machine_ids import machine_id_from_ip


@dataclass(slots=True)
class FaultRecord:
    """A fault or an operation that affected a machine from ``since`` to ``until``.

    A core machine affects the contact of all routers while it is slow, and at the moments in which it stops, starts or
    is cut off, but not in between.
    """

    kind: str
    machine: str
    core: bool
    since: float
    until: float
    disturbs_contact: bool = True  # whether it may break contact between a router and the core


@dataclass(slots=True, eq=False)
class Unit:
    """A machine of the system, and its program, which is started again whenever it ends while ``should_run`` is set."""

    machine: Machine
    zone: int
    core: bool
    boot: dict[str, Any]
    program: Any = None
    should_run: bool = True
    process_count: int = 0
    start_requested: trio.Event = field(default_factory=trio.Event)

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self.machine.name

    @property
    def front(self) -> str:
        """IP:PORT for the requests of clients; empty for a core machine."""
        return "" if self.core else f"{self.machine.address}:{FRONT}"

    @property
    def control(self) -> str:
        """IP:PORT for the calls of operators; empty for a router."""
        return f"{self.machine.address}:{CONTROL}" if self.core else ""


class ObservedControlPlane(ControlPlaneService):
    """The program of a core machine, with a callback that gets the epoch when it becomes the primary."""

    def __init__(self, boot: NodeSettings, host: Machine, seed: int, on_became_primary: Callable[[int], None]) -> None:
        super().__init__(boot, host, seed)
        self.report_primary = on_became_primary

    def _on_role_change(self, primary: bool) -> None:
        if primary:
            self.report_primary(self.replica_runner.replica.record.epoch)
        super()._on_role_change(primary)


class FleetMachines:
    """The machines of a fleet, and the programs that run on them."""

    seed: str
    zones: int
    units: list[Unit]
    cores: list[Unit]
    facts: list[Fact]
    fault_records: list[FaultRecord]
    open: dict[tuple[str, str], FaultRecord]  # that have not ended, by kind and machine
    ended: list[tuple[float, str, str]]  # programs that ended unexpectedly: time, machine, reason
    network: Network
    nursery: trio.Nursery
    platform: Machine
    listing: PlatformList

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        raise NotImplementedError

    async def until(self, condition: Callable[[], Any], within: float = 15.0) -> bool:
        """Wait until a condition holds; return False if it does not within ``within`` seconds."""
        ends = self.now() + within
        while not condition():
            if self.now() >= ends:
                return False
            await trio.sleep(0.05)
        return True

    # programs ---------------------------------------------

    async def _keep_running(self, unit: Unit, delay: float) -> None:
        await trio.sleep(delay)
        while True:
            while not unit.should_run:
                unit.start_requested = trio.Event()
                await unit.start_requested.wait()
            unit.process_count += 1
            boot = node_settings_of(orjson.dumps(unit.boot))
            boot.path = None
            seed = random.Random(f"{self.seed}/{unit.name}/{unit.process_count}").getrandbits(32)
            unit.program = self._create_program(unit, boot, seed)
            reason = "the program returned"
            try:
                was_killed = await unit.machine.run(unit.program.run) is None
            except Exception as error:
                was_killed, reason = False, repr(error)
                logger.exception("event=program_ended name={}", unit.name)
            if not was_killed and unit.should_run:
                self.ended.append((self.now(), unit.name, reason))
            await trio.sleep(RESTART_SECONDS)

    def _create_program(self, unit: Unit, boot: NodeSettings, seed: int) -> ControlPlaneService | DataPlaneService:
        if unit.core:
            core = ObservedControlPlane(boot, unit.machine, seed, partial(self._record_primary, unit))
            core.calls.watch = partial(self._record_call_cut, unit)
            return core
        self.facts.append(RouterStarted(self.now(), unit.name, unit.front))
        router = DataPlaneService(boot, unit.machine, seed)
        router.outcomes.on_violation = partial(self._record_request_cut, unit)
        return router

    def _record_request_cut(self, unit: Unit, closed: ClosedRequest) -> None:
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

    def _record_call_cut(self, unit: Unit, cut: CutCall) -> None:
        self.facts.append(CallCut(self.now(), unit.name, unit.control, cut.target, cut.came_at))

    def _record_primary(self, unit: Unit, epoch: int) -> None:
        self.facts.append(PrimaryBecame(self.now(), unit.control, epoch))

    def primary(self) -> Unit | None:
        """Return the first running core machine that considers itself the primary, or None."""
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
        """Return the running core machine that considers itself the primary of coordination, as a list of 0 or 1."""
        running = [unit for unit in self.cores if unit.machine.running and not unit.machine.away]
        services = [(unit, getattr(unit.program, "coordination", None)) for unit in running]
        return [
            unit for unit, service in services if service is not None and service.replica_runner.replica.is_primary
        ][:1]

    def backups(self) -> list[Unit]:
        """Return the core machines other than the primary: first those in sync with it, then the rest."""
        primary = self.primary()
        in_sync = primary.program.replica_runner.replica.record.in_sync if primary else ()
        return sorted(
            (unit for unit in self.cores if unit is not primary),
            key=lambda unit: machine_id_from_ip(unit.machine.address) not in in_sync,
        )
