"""Runs a control plane scenario in the simulated system and reports the result.

Each fault is a task that waits for its time, is applied to its machines and ends by itself. After the last fault the
system must recover: a change must be acknowledged, the configuration is read back, and an acknowledged one repeated.
"""

import time
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import trio

from rowanshift.emulation.applications import Applications
from rowanshift.invariants.breaches import Violation
from rowanshift.invariants.facts import ConfigAnswered, ConfigSent, Fact, PrimaryBecame, VersionNamed
from rowanshift.simulation.core_scenario import TRIGGER_TIMEOUT_S, CoreFault, CoreScenario, target_names
from rowanshift.simulation.fleet import Fleet, config_of, play, routes_of
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.simulation.fleet_settings import KEYS

POLL_SECONDS = 0.05  # between checks of the revisions that routers have applied
TRIGGER_POLL_SECONDS = 0.001  # between checks for the trigger of a fault
RECOVERY_SECONDS = 20.0  # from the end of the faults until a change must be acknowledged
SETTLE_SECONDS = 2.5  # without faults after recovery, before the configuration is read back
OPERATOR_TIMEOUT_SECONDS = 15.0  # for a call that reads a configuration or repeats one
EXIT_POLL_SECONDS = 0.1  # between checks for the exit of a process that got SIGTERM
REVOKED_KEY = KEYS["t1"][0]  # the key that is revoked; the next complete configuration restores it
MAX_VIRTUAL_SECONDS = 3000.0


@dataclass(slots=True)
class CoreRunResult:
    """The result of one scenario. Times are in seconds."""

    name: str
    seed: int
    breaches: list[Violation] = field(default_factory=list)
    unmet: list[str] = field(default_factory=list)  # unmet expectations, and programs that ended unexpectedly
    error: str = ""  # traceback of a crash of the run itself
    seconds: float = 0.0  # simulated
    wall: float = 0.0
    served: float = 0.0  # fraction of the calls with a complete response
    changes: int = 0  # acknowledged configurations
    facts: int = 0
    digest: str = ""

    def failed(self) -> bool:
        return bool(self.breaches or self.unmet or self.error)

    def first_failure(self) -> str:
        """Return the first failure as one line, or an empty string."""
        if self.error:
            return self.error.strip().splitlines()[-1]
        return str(self.breaches[0]) if self.breaches else self.unmet[0] if self.unmet else ""


@dataclass(frozen=True, slots=True)
class AppliedRevision:
    """A router applied a configuration."""

    at: float
    router: str
    revision: int


class CoreScenarioRunner:
    """Runs one scenario on a fleet."""

    def __init__(self, fleet: Fleet, scenario: CoreScenario) -> None:
        self.fleet, self.scenario = fleet, scenario
        self.applied: list[AppliedRevision] = []
        self.active_faults = 0
        self.former_primary: Unit | None = None
        self.latest_primary: Unit | None = None
        self.unmet: list[str] = []
        self.applications: Applications | None = None

    async def run(self) -> None:
        """Start the load, inject the faults, and check that the system recovers."""
        fleet, load = self.fleet, self.scenario.load
        fleet.server("other")
        await fleet.start()
        fleet.nursery.start_soon(self._monitor)
        fleet.start_clients(load.clients, load.pause_s)
        started_at = fleet.now()
        if load.change_every_s:
            fleet.nursery.start_soon(fleet.keep_changing, load.change_every_s)
        if load.applications:
            self.applications = fleet.applications(load.applications)
        if load.read_every_s:
            fleet.nursery.start_soon(self._keep_reading, load.read_every_s)
        for fault in self.scenario.trouble:
            self.active_faults += 1
            fleet.nursery.start_soon(self._inject, fault, started_at)
        await trio.sleep(self.scenario.seconds)
        while self.active_faults:
            await trio.sleep(POLL_SECONDS)
        await self._check_recovery()

    async def _check_recovery(self) -> None:
        fleet, revision_before = self.fleet, self.fleet.revision
        deadline = fleet.now() + RECOVERY_SECONDS
        while fleet.revision == revision_before and fleet.now() < deadline:
            if not self.scenario.load.change_every_s:
                await fleet.put(config_of(fleet.sent + 1), within=deadline - fleet.now())
                fleet.revision = (await fleet.operator.read_config(OPERATOR_TIMEOUT_SECONDS) or {}).get(
                    "revision", revision_before
                )
            await trio.sleep(POLL_SECONDS)
        if fleet.revision == revision_before:
            self.unmet.append(f"no change was acknowledged within {RECOVERY_SECONDS:g} s of the end of the faults")
        await trio.sleep(SETTLE_SECONDS)
        await fleet.operator.read_config(OPERATOR_TIMEOUT_SECONDS)
        await fleet.send_again(1, within=OPERATOR_TIMEOUT_SECONDS)
        if self.applications is not None:
            self.unmet += [
                f"{call} got no response after the faults ended" for call in await self.applications.read_back()
            ]
        announced = max((fact.revision for fact in fleet.of(VersionNamed)), default=1)
        if not await fleet.until(lambda: fleet.is_rolled_out(announced)):
            self.unmet.append(f"version {announced} was not loaded by all servers")

    async def _keep_reading(self, pause: float) -> None:
        """Read the configuration periodically.

        A read may wait until the end of the run: the rules do not bound its duration, for example while the core is
        unavailable.
        """
        while True:
            await self.fleet.operators[1].read_config(MAX_VIRTUAL_SECONDS)
            await trio.sleep(pause)

    async def _monitor(self) -> None:
        """Record the revisions that routers apply, and the current and the former primary."""
        known: dict[str, int] = {}
        while True:
            for unit in self.fleet.routers:
                cache = getattr(unit.program, "control_cache", None)
                revision = cache.routing_table.revision if cache is not None else 0
                if known.get(unit.name) != revision:
                    known[unit.name] = revision
                    self.applied.append(AppliedRevision(self.fleet.now(), unit.name, revision))
            primary = self.fleet.primary()
            if primary is not None and primary is not self.latest_primary:
                self.former_primary, self.latest_primary = self.latest_primary, primary
            await trio.sleep(POLL_SECONDS)

    def late_routers(self, within: float) -> list[str]:
        """Describe each router that applied a configuration later than ``within`` seconds after its acknowledgement."""
        failures = []
        for answer in self.fleet.of(ConfigAnswered):
            if answer.status != 200 or answer.at + within > self.fleet.now():
                continue
            for unit in self.fleet.routers:
                matching = [one for one in self.applied if one.router == unit.name and one.revision >= answer.revision]
                since = min((one.at for one in matching), default=float("inf"))
                if since > answer.at + within + POLL_SECONDS:
                    failures.append(
                        f"{unit.name} applied {answer.revision} {since - answer.at:.2f} s after it was acknowledged"
                    )
        return failures

    # faults -----------------------------------------------

    def units_for(self, name: str) -> list[Unit]:
        """Return the machines that a name or a role stands for now."""
        fleet = self.fleet
        match name:
            case "primary":
                return [unit for unit in [fleet.primary() or self.latest_primary] if unit is not None]
            case "coordinator":
                return fleet.coordinators()
            case "former":
                return [unit for unit in [self.former_primary] if unit is not None]
            case "backup":
                return fleet.backups()[:1]
            case "witness":
                return fleet.backups()[-1:]
            case "core":
                return list(fleet.cores)
            case "routers":
                return list(fleet.routers)
            case "all":
                return list(fleet.units)
        return [unit for unit in fleet.units if unit.name == name]

    async def _inject(self, fault: CoreFault, started_at: float) -> None:
        try:
            await trio.sleep(max(0.0, started_at + fault.at_s - self.fleet.now()))
            if fault.after and not await self._wait_for_trigger(fault.after):
                return
            units = [unit for name in target_names(fault) for unit in self.units_for(name)]
            await getattr(self, f"_{fault.what}")(fault, units)
        finally:
            self.active_faults -= 1

    async def _wait_for_trigger(self, trigger: str) -> bool:
        """Wait for the next acknowledgement or takeover; return False if none comes within ``TRIGGER_TIMEOUT_S``."""
        kind = ConfigAnswered if trigger == "acknowledgement" else PrimaryBecame
        seen_events = len(self.fleet.facts)
        deadline = self.fleet.now() + TRIGGER_TIMEOUT_S

        def happened() -> bool:
            new_events: list[Fact] = self.fleet.facts[seen_events:]
            return any(type(fact) is kind and getattr(fact, "status", 200) == 200 for fact in new_events)

        while not happened():
            if self.fleet.now() > deadline:
                return False
            await trio.sleep(TRIGGER_POLL_SECONDS)
        return True

    async def _apply_for_duration(
        self, fault: CoreFault, begin: Callable[..., None], end: Callable[..., None], *units: Any
    ) -> None:
        begin(*units)
        await trio.sleep(fault.for_s)
        end(*units)

    async def _cut(self, fault: CoreFault, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.cut(unit, ways=fault.ways)
        await trio.sleep(fault.for_s)
        for unit in units:
            self.fleet.join(unit, ways=fault.ways)

    async def _part(self, fault: CoreFault, units: list[Unit]) -> None:
        if len(units) == 2 and units[0] is not units[1]:
            self.fleet.cut(units[0], units[1:], fault.ways)
            await trio.sleep(fault.for_s)
            self.fleet.join(units[0], units[1:], fault.ways)

    async def _freeze(self, fault: CoreFault, units: list[Unit]) -> None:
        units = [unit for unit in units if unit.machine.running and not unit.machine.frozen]
        await self._apply_for_duration(fault, self.fleet.freeze, self.fleet.thaw, *units)

    async def _kill(self, fault: CoreFault, units: list[Unit]) -> None:
        await self._apply_for_duration(fault, self.fleet.kill, self.fleet.back, *units)

    async def _power(self, fault: CoreFault, units: list[Unit]) -> None:
        await self._apply_for_duration(fault, self.fleet.cut_power, self.fleet.back, *units)

    async def _wipe(self, fault: CoreFault, units: list[Unit]) -> None:
        await self._apply_for_duration(fault, self.fleet.empty_disk, self.fleet.back, *units)

    async def _slow_disk(self, fault: CoreFault, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.slow_disk(unit, fault.value)
        await trio.sleep(fault.for_s)
        for unit in units:
            self.fleet.slow_disk(unit, 1)

    async def _hang_disk(self, fault: CoreFault, units: list[Unit]) -> None:
        async with trio.open_nursery() as nursery:
            for unit in units:
                nursery.start_soon(self.fleet.hang_disk, unit, fault.for_s)

    async def _refuse_disk(self, fault: CoreFault, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.refuse_writes(unit)
        await trio.sleep(fault.for_s)
        for unit in units:
            self.fleet.refuse_writes(unit, False)

    async def _clock(self, fault: CoreFault, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.step_clock(unit, fault.value)

    async def _terminate(self, fault: CoreFault, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.terminate(unit)
        while any(unit.machine.running for unit in units):
            await trio.sleep(EXIT_POLL_SECONDS)
        await trio.sleep(fault.for_s)
        self.fleet.back(*units)

    async def _roll(self, fault: CoreFault, units: list[Unit]) -> None:
        restart = CoreFault(0.0, "terminate", for_s=fault.value)
        async with trio.open_nursery() as nursery:
            for unit in units:
                nursery.start_soon(self._terminate, restart, [unit])
                await trio.sleep(fault.for_s)

    async def _hang_up(self, fault: CoreFault, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.hang_up(unit)

    # operator actions -------------------------------------

    async def _put(self) -> None:
        """Put a configuration. If it was refused or the outcome is unknown, read the current revision."""
        if await self.fleet.put(config_of(self.fleet.sent + 1)) != 200:
            await self._read_revision()

    async def _read_revision(self) -> None:
        """Read the current revision."""
        read = await self.fleet.operator.read_config(OPERATOR_TIMEOUT_SECONDS) or {}
        self.fleet.revision = max(self.fleet.revision, read.get("revision", 0))

    async def _change(self, fault: CoreFault, units: list[Unit]) -> None:
        await self._put()

    async def _patch(self, fault: CoreFault, units: list[Unit]) -> None:
        target = 500 + self.fleet.sent % 200
        await self.fleet.patch(self.fleet.sent + 1, [routes_of()[0] | {"targetLatencyMs": target}])
        await self._read_revision()

    async def _revoke(self, fault: CoreFault, units: list[Unit]) -> None:
        tenant = self.fleet.current_config()["tenants"][0]
        remaining_keys = [key for key in tenant["apiKeys"] if key != REVOKED_KEY]
        await self.fleet.patch(self.fleet.sent + 1, [tenant | {"apiKeys": remaining_keys}], "tenants")
        await self._read_revision()

    async def _changes(self, fault: CoreFault, units: list[Unit]) -> None:
        started_at, count = self.fleet.now(), round(fault.value)
        for n in range(count):
            await trio.sleep(max(0.0, started_at + n * fault.for_s / count - self.fleet.now()))
            await self._put()

    async def _race(self, fault: CoreFault, units: list[Unit]) -> None:
        number = self.fleet.sent + 1
        patch, patched = self.fleet.patch_of(number, [routes_of()[0] | {"targetLatencyMs": 700}])
        await self.fleet.race(config_of(number), patched, patches=[None, patch])
        await self._read_revision()

    async def _lose_acks(self, fault: CoreFault, units: list[Unit]) -> None:
        for operator in self.fleet.operators:
            operator.lost_acknowledgements = fault.value
        await trio.sleep(fault.for_s)
        for operator in self.fleet.operators:
            operator.lost_acknowledgements = 0.0

    async def _send_again(self, fault: CoreFault, units: list[Unit]) -> None:
        await self.fleet.send_again(1, round(fault.value))

    async def _version(self, fault: CoreFault, units: list[Unit]) -> None:
        announced = max((fact.revision for fact in self.fleet.of(VersionNamed)), default=1)
        await self.fleet.name_version(announced + 1)

    async def _versions(self, fault: CoreFault, units: list[Unit]) -> None:
        started_at, count = self.fleet.now(), round(fault.value)
        for n in range(count):
            await trio.sleep(max(0.0, started_at + n * fault.for_s / count - self.fleet.now()))
            await self._version(fault, units)


def unmet(runner: CoreScenarioRunner, scenario: CoreScenario) -> list[str]:
    """Return the expectations that were not met, and the programs that ended unexpectedly."""
    fleet, expect = runner.fleet, scenario.expect
    failures = [*runner.unmet, *(f"{name} ended unexpectedly at {at:.3f} s: {why}" for at, name, why in fleet.ended)]
    if scenario.load.clients and (served := fleet.served()) < expect.served:
        failures.append(f"{served:.3f} of the calls were served, {expect.served:g} are expected")
    acknowledged = sum(answer.status == 200 for answer in fleet.of(ConfigAnswered))
    if acknowledged < expect.changes:
        failures.append(f"{acknowledged} configurations were acknowledged, {expect.changes} are expected")
    if acknowledged < expect.taken * len(fleet.of(ConfigSent)):
        failures.append(f"{acknowledged} of {len(fleet.of(ConfigSent))} configurations sent were acknowledged")
    return failures + (runner.late_routers(expect.applied_s) if expect.applied_s else [])


def run_core_scenario(scenario: CoreScenario, *readers: Callable[[Fact], None]) -> CoreRunResult:
    """Run one scenario. A crash of the run itself is reported as ``error``, apart from broken rules."""
    run, started_at = CoreRunResult(scenario.name, scenario.seed), time.perf_counter()
    runners: list[CoreScenarioRunner] = []

    def main(fleet: Fleet) -> Coroutine[Any, Any, None]:
        runners.append(CoreScenarioRunner(fleet, scenario))
        return runners[0].run()

    fleet_size = scenario.fleet
    try:
        _, fleet = play(
            main,
            f"core/{scenario.seed}",
            MAX_VIRTUAL_SECONDS,
            strict=False,  # the violations are collected below
            routers=fleet_size.routers,
            cores=fleet_size.cores,
            servers=fleet_size.servers,
            f=fleet_size.lost_at_once,
            zones=max(3, fleet_size.cores),
            fencing=fleet_size.fencing,
            load=fleet_size.load_s,
            revoke=fleet_size.revoke_s,
            coordinated=scenario.load.applications > 0,
        )
    except Exception:
        run.error = traceback.format_exc()
    else:
        digest = blake2b(digest_size=16)
        for fact in fleet.facts:
            digest.update(repr(fact).encode())
            for reader in readers:
                reader(fact)
        run.digest, run.facts, run.seconds = digest.hexdigest(), len(fleet.facts), fleet.now()
        run.breaches, run.unmet = fleet.breaches(), unmet(runners[0], scenario)
        run.served = fleet.served()
        run.changes = sum(answer.status == 200 for answer in fleet.of(ConfigAnswered))
    run.wall = time.perf_counter() - started_at
    return run
