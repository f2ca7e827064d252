"""Plays a scenario of the control side in the virtual whole system, and says what came of it.

Each trouble is a task that waits for its time, befalls its machines and ends by itself. After the last second all
is whole again: a change must be acknowledged, the configuration is read back, and an acknowledged one sent again.
"""

import time
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import trio

from rowanshift.emulation.applications import Applications
from rowanshift.invariants.breaches import Breach
from rowanshift.invariants.facts import ConfigAnswered, ConfigSent, Fact, PrimaryBecame, VersionNamed
from rowanshift.simulation.core_scenario import TRIGGERED_WITHIN_S, CoreScenario, CoreTrouble, names_of
from rowanshift.simulation.fleet import Fleet, config_of, play, routes_of
from rowanshift.simulation.fleet_machines import Unit
from rowanshift.simulation.fleet_settings import KEYS

LOOK = 0.05  # seconds between looks at what routers have applied
TRIGGER_LOOK = 0.001  # seconds between looks whether what a trouble waits for has come
RECOVERS_WITHIN = 20.0  # seconds from the end of the troubles until a change is acknowledged
SETTLES = 2.5  # seconds of calm after it
RETURNS_WITHIN = 15.0  # seconds for a call that reads back or sends again
BACK_AFTER_TERM = 0.1  # seconds between looks whether a process that got SIGTERM has ended
REVOKED = KEYS["t1"][0]  # the key that is taken away; the next whole configuration gives it back
MOST_VIRTUAL_S = 3000.0


@dataclass(slots=True)
class CoreRun:
    """What came of one scenario. Times in seconds."""

    name: str
    seed: int
    breaches: list[Breach] = field(default_factory=list)
    unmet: list[str] = field(default_factory=list)  # expectations, and programs that ended by themselves
    error: str = ""  # of the run itself
    seconds: float = 0.0  # simulated
    wall: float = 0.0
    served: float = 0.0  # part of the calls, answered whole
    changes: int = 0  # acknowledged
    facts: int = 0
    digest: str = ""

    def failed(self) -> bool:
        return bool(self.breaches or self.unmet or self.error)

    def first(self) -> str:
        """The first thing that went wrong, in one line."""
        if self.error:
            return self.error.strip().splitlines()[-1]
        return str(self.breaches[0]) if self.breaches else self.unmet[0] if self.unmet else ""


@dataclass(frozen=True, slots=True)
class Applied:
    """A router has a configuration."""

    at: float
    router: str
    revision: int


class CorePlayer:
    """Plays one scenario on a fleet."""

    def __init__(self, fleet: Fleet, scenario: CoreScenario) -> None:
        self.fleet, self.scenario = fleet, scenario
        self.applied: list[Applied] = []
        self.busy = 0  # troubles that have not ended
        self.former: Unit | None = None
        self.latest: Unit | None = None  # primary
        self.unmet: list[str] = []
        self.applications: Applications | None = None

    async def run(self) -> None:
        fleet, load = self.fleet, self.scenario.load
        fleet.server("other")
        await fleet.start()
        fleet.nursery.start_soon(self._watch)
        fleet.crowd(load.clients, load.pause_s)
        began = fleet.now()
        if load.change_every_s:
            fleet.nursery.start_soon(fleet.keep_changing, load.change_every_s)
        if load.applications:
            self.applications = fleet.applications(load.applications)
        if load.read_every_s:
            fleet.nursery.start_soon(self._keep_reading, load.read_every_s)
        for trouble in self.scenario.trouble:
            self.busy += 1
            fleet.nursery.start_soon(self._inject, trouble, began)
        await trio.sleep(self.scenario.seconds)
        while self.busy:
            await trio.sleep(LOOK)
        await self._close()

    async def _close(self) -> None:
        fleet, before = self.fleet, self.fleet.revision
        until = fleet.now() + RECOVERS_WITHIN
        while fleet.revision == before and fleet.now() < until:
            if not self.scenario.load.change_every_s:
                await fleet.put(config_of(fleet.sent + 1), within=until - fleet.now())
                fleet.revision = (await fleet.operator.read_config(RETURNS_WITHIN) or {}).get("revision", before)
            await trio.sleep(LOOK)
        if fleet.revision == before:
            self.unmet.append(f"no change was acknowledged within {RECOVERS_WITHIN:g} s of the end of the troubles")
        await trio.sleep(SETTLES)
        await fleet.operator.read_config(RETURNS_WITHIN)
        await fleet.send_again(1, within=RETURNS_WITHIN)
        if self.applications is not None:
            self.unmet += [f"{call} got no answer at the end" for call in await self.applications.read_back()]
        named = max((fact.revision for fact in fleet.of(VersionNamed)), default=1)
        if not await fleet.until(lambda: fleet.rolled_out(named)):
            self.unmet.append(f"version {named} did not reach all servers")

    async def _keep_reading(self, pause: float) -> None:
        """Reads the configuration again and again. What no machine answers in time, as during a standstill of the
        core, says nothing of the rules: it is read to the end of the run."""
        while True:
            await self.fleet.operators[1].read_config(MOST_VIRTUAL_S)
            await trio.sleep(pause)

    async def _watch(self) -> None:
        """Looks at what each router has applied, and at who is primary."""
        known: dict[str, int] = {}
        while True:
            for unit in self.fleet.routers:
                cache = getattr(unit.program, "control_cache", None)
                revision = cache.routing_table.revision if cache is not None else 0
                if known.get(unit.name) != revision:
                    known[unit.name] = revision
                    self.applied.append(Applied(self.fleet.now(), unit.name, revision))
            primary = self.fleet.primary()
            if primary is not None and primary is not self.latest:
                self.former, self.latest = self.latest, primary
            await trio.sleep(LOOK)

    def late(self, within: float) -> list[str]:
        """Routers that did not have a configuration ``within`` seconds after it was acknowledged."""
        found = []
        for answer in self.fleet.of(ConfigAnswered):
            if answer.status != 200 or answer.at + within > self.fleet.now():
                continue
            for unit in self.fleet.routers:
                has = [one for one in self.applied if one.router == unit.name and one.revision >= answer.revision]
                since = min((one.at for one in has), default=float("inf"))
                if since > answer.at + within + LOOK:
                    found.append(
                        f"{unit.name} had {answer.revision} {since - answer.at:.2f} s after it was acknowledged"
                    )
        return found

    # troubles ---------------------------------------------

    def units(self, name: str) -> list[Unit]:
        """The machines that a name or a role stands for now."""
        fleet = self.fleet
        match name:
            case "primary":
                return [unit for unit in [fleet.primary() or self.latest] if unit is not None]
            case "coordinator":
                return fleet.coordinators()
            case "former":
                return [unit for unit in [self.former] if unit is not None]
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

    async def _inject(self, trouble: CoreTrouble, began: float) -> None:
        try:
            await trio.sleep(max(0.0, began + trouble.at_s - self.fleet.now()))
            if trouble.after and not await self._triggered(trouble.after):
                return
            units = [unit for name in names_of(trouble) for unit in self.units(name)]
            await getattr(self, f"_{trouble.what}")(trouble, units)
        finally:
            self.busy -= 1

    async def _triggered(self, after: str) -> bool:
        """Waits for the next acknowledgement or takeover; whether it came within ``TRIGGERED_WITHIN_S``."""
        kind = ConfigAnswered if after == "acknowledgement" else PrimaryBecame
        seen = len(self.fleet.facts)
        until = self.fleet.now() + TRIGGERED_WITHIN_S

        def happened() -> bool:
            later: list[Fact] = self.fleet.facts[seen:]
            return any(type(fact) is kind and getattr(fact, "status", 200) == 200 for fact in later)

        while not happened():
            if self.fleet.now() > until:
                return False
            await trio.sleep(TRIGGER_LOOK)
        return True

    async def _for(
        self, trouble: CoreTrouble, begin: Callable[..., None], end: Callable[..., None], *units: Any
    ) -> None:
        begin(*units)
        await trio.sleep(trouble.for_s)
        end(*units)

    async def _cut(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.cut(unit, ways=trouble.ways)
        await trio.sleep(trouble.for_s)
        for unit in units:
            self.fleet.join(unit, ways=trouble.ways)

    async def _part(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        if len(units) == 2 and units[0] is not units[1]:
            self.fleet.cut(units[0], units[1:], trouble.ways)
            await trio.sleep(trouble.for_s)
            self.fleet.join(units[0], units[1:], trouble.ways)

    async def _freeze(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        units = [unit for unit in units if unit.machine.running and not unit.machine.frozen]
        await self._for(trouble, self.fleet.freeze, self.fleet.thaw, *units)

    async def _kill(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        await self._for(trouble, self.fleet.kill, self.fleet.back, *units)

    async def _power(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        await self._for(trouble, self.fleet.cut_power, self.fleet.back, *units)

    async def _wipe(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        await self._for(trouble, self.fleet.empty_disk, self.fleet.back, *units)

    async def _slow_disk(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.slow_disk(unit, trouble.value)
        await trio.sleep(trouble.for_s)
        for unit in units:
            self.fleet.slow_disk(unit, 1)

    async def _hang_disk(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        async with trio.open_nursery() as nursery:
            for unit in units:
                nursery.start_soon(self.fleet.hang_disk, unit, trouble.for_s)

    async def _refuse_disk(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.refuse_writes(unit)
        await trio.sleep(trouble.for_s)
        for unit in units:
            self.fleet.refuse_writes(unit, False)

    async def _clock(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.step_clock(unit, trouble.value)

    async def _terminate(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.terminate(unit)
        while any(unit.machine.running for unit in units):
            await trio.sleep(BACK_AFTER_TERM)
        await trio.sleep(trouble.for_s)
        self.fleet.back(*units)

    async def _roll(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        again = CoreTrouble(0.0, "terminate", for_s=trouble.value)
        async with trio.open_nursery() as nursery:
            for unit in units:
                nursery.start_soon(self._terminate, again, [unit])
                await trio.sleep(trouble.for_s)

    async def _hang_up(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        for unit in units:
            self.fleet.hang_up(unit)

    # orders

    async def _put(self) -> None:
        """Sends a configuration; where that ends unclear or refused, looks which one is current."""
        if await self.fleet.put(config_of(self.fleet.sent + 1)) != 200:
            await self._look_up()

    async def _look_up(self) -> None:
        """Looks which revision is current."""
        read = await self.fleet.operator.read_config(RETURNS_WITHIN) or {}
        self.fleet.revision = max(self.fleet.revision, read.get("revision", 0))

    async def _change(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        await self._put()

    async def _patch(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        target = 500 + self.fleet.sent % 200
        await self.fleet.patch(self.fleet.sent + 1, [routes_of()[0] | {"targetLatencyMs": target}])
        await self._look_up()

    async def _revoke(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        tenant = self.fleet.in_force()["tenants"][0]
        held = [key for key in tenant["apiKeys"] if key != REVOKED]
        await self.fleet.patch(self.fleet.sent + 1, [tenant | {"apiKeys": held}], "tenants")
        await self._look_up()

    async def _changes(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        began, count = self.fleet.now(), round(trouble.value)
        for n in range(count):
            await trio.sleep(max(0.0, began + n * trouble.for_s / count - self.fleet.now()))
            await self._put()

    async def _race(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        number = self.fleet.sent + 1
        patch, patched = self.fleet.patch_of(number, [routes_of()[0] | {"targetLatencyMs": 700}])
        await self.fleet.race(config_of(number), patched, patches=[None, patch])
        await self._look_up()

    async def _lose_acks(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        for operator in self.fleet.operators:
            operator.lost_acknowledgements = trouble.value
        await trio.sleep(trouble.for_s)
        for operator in self.fleet.operators:
            operator.lost_acknowledgements = 0.0

    async def _send_again(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        await self.fleet.send_again(1, round(trouble.value))

    async def _version(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        named = max((fact.revision for fact in self.fleet.of(VersionNamed)), default=1)
        await self.fleet.name_version(named + 1)

    async def _versions(self, trouble: CoreTrouble, units: list[Unit]) -> None:
        began, count = self.fleet.now(), round(trouble.value)
        for n in range(count):
            await trio.sleep(max(0.0, began + n * trouble.for_s / count - self.fleet.now()))
            await self._version(trouble, units)


def unmet(player: CorePlayer, scenario: CoreScenario) -> list[str]:
    """The expectations that were not met, and programs that ended by themselves."""
    fleet, expect = player.fleet, scenario.expect
    found = [*player.unmet, *(f"{name} ended by itself at {at:.3f} s: {why}" for at, name, why in fleet.ended)]
    if scenario.load.clients and (served := fleet.served()) < expect.served:
        found.append(f"{served:.3f} of the calls were served, {expect.served:g} are expected")
    taken = sum(answer.status == 200 for answer in fleet.of(ConfigAnswered))
    if taken < expect.changes:
        found.append(f"{taken} configurations were acknowledged, {expect.changes} are expected")
    if taken < expect.taken * len(fleet.of(ConfigSent)):
        found.append(f"{taken} of {len(fleet.of(ConfigSent))} configurations sent were acknowledged")
    return found + (player.late(expect.applied_s) if expect.applied_s else [])


def play_core(scenario: CoreScenario, *readers: Callable[[Fact], None]) -> CoreRun:
    """Plays one scenario; a crash of the run itself is told and kept apart from broken rules."""
    run, began = CoreRun(scenario.name, scenario.seed), time.perf_counter()
    players: list[CorePlayer] = []

    def main(fleet: Fleet) -> Coroutine[Any, Any, None]:
        players.append(CorePlayer(fleet, scenario))
        return players[0].run()

    sizes = scenario.fleet
    try:
        _, fleet = play(
            main,
            f"core/{scenario.seed}",
            MOST_VIRTUAL_S,
            strict=False,  # the breaches are told below
            routers=sizes.routers,
            cores=sizes.cores,
            servers=sizes.servers,
            f=sizes.lost_at_once,
            zones=max(3, sizes.cores),
            fencing=sizes.fencing,
            load=sizes.load_s,
            revoke=sizes.revoke_s,
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
        run.breaches, run.unmet = fleet.breaches(), unmet(players[0], scenario)
        run.served = fleet.served()
        run.changes = sum(answer.status == 200 for answer in fleet.of(ConfigAnswered))
    run.wall = time.perf_counter() - began
    return run
