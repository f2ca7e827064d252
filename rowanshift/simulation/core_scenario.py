"""The format of control plane scenarios: a system, its load, and its faults with their times, as TOML.

Times are seconds from the moment at which the system is ready and the clients start. Fractions are between 0 and 1.
Fields that a file leaves out have defaults. A file has ``kind = "core"``.
"""

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from rowanshift.simulation.scenario import Fraction, Positive, ScenarioError, Seconds

KIND = "core"
MAX_DURATION_S = 600.0  # of a scenario
TRIGGER_TIMEOUT_S = 4.0  # that a fault waits for its trigger; after that it is skipped
Count = Annotated[int, Meta(ge=1, le=50)]

FAULT_KINDS = {  # kinds of faults and operations, and the meaning of their value
    "cut": "machines are cut off from the others, in both directions or one (ways), for for_s",
    "part": "the two machines of a list are cut off from each other for for_s",
    "freeze": "processes are frozen for for_s",
    "kill": "processes are killed and restarted after for_s",
    "power": "machines lose power and restart after for_s; unsynced writes may be lost",
    "wipe": "machines lose power and their disks, and restart with empty disks after for_s",
    "slow_disk": "disks have value times their latency for for_s",
    "hang_disk": "disks hang for for_s",
    "refuse_disk": "disks fail all writes for for_s",
    "clock": "wall clocks step by value seconds",
    "terminate": "machines get SIGTERM and restart for_s after their exit",
    "roll": "machines get SIGTERM in turn, for_s apart, and restart value seconds after their exit",
    "hang_up": "machines get SIGHUP",
    "change": "a configuration is put",
    "patch": "the configuration is changed by a patch",
    "revoke": "an API key is revoked by a patch, until the next complete configuration",
    "changes": "value configurations are put in sequence within for_s",
    "race": "two operators concurrently send the same revision based on the same configuration, one as a patch",
    "lose_acks": "the fraction value of the acknowledgements to operators is lost for for_s",
    "send_again": "an acknowledged configuration is repeated unchanged: the one value places before the newest",
    "version": "the next version of the model is announced",
    "versions": "value versions of the model are announced in sequence within for_s",
}
WITHOUT_MACHINE = frozenset(
    ["change", "patch", "revoke", "changes", "race", "lose_acks", "send_again", "version", "versions"]
)
WITH_POSITIVE_VALUE = frozenset(["slow_disk", "changes", "lose_acks", "versions"])  # kinds that need a value above 0
# targets besides core-0.. and router-0..; coordinator: the primary of the coordination state
ROLES = ("primary", "former", "backup", "witness", "coordinator", "core", "routers", "all")


class CoreFleet(Struct, frozen=True, forbid_unknown_fields=True):
    """Size and properties of the system.

    ``lost_at_once``: core machines that may be lost at once. ``fencing``: whether model servers refuse an order whose
    fence token is below the highest that they saw. ``load_s``: time in which a server loads a version.
    """

    routers: Count = 2
    cores: Count = 3
    servers: Count = 3
    lost_at_once: Count = 1
    fencing: bool = True
    load_s: Positive = 0.4
    revoke_s: Seconds = 0.0  # for which a machine may still accept a revoked key; 0: no bound


class CoreLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """Load during the whole run.

    ``change_every_s``: pause between configurations; 0: only those of ``trouble``. ``read_every_s``: pause between
    reads of the configuration; 0: only those after changes.
    """

    clients: Annotated[int, Meta(ge=0, le=100)] = 5
    pause_s: Positive = 0.3
    change_every_s: Seconds = 2.5
    read_every_s: Seconds = 0.0
    applications: Annotated[int, Meta(ge=0, le=20)] = 0  # of each kind: locks, numbers, keys; 0: no coordination


class CoreExpect(Struct, frozen=True, forbid_unknown_fields=True):
    """Expectations besides the rules."""

    served: Fraction = 0.9  # minimum fraction of the calls that get a complete response
    changes: Annotated[int, Meta(ge=0)] = 1  # minimum of acknowledged configurations
    applied_s: Seconds = 0.0  # in which each router must apply an acknowledged configuration; 0: no bound
    taken: Fraction = 0.0  # minimum fraction of the sent configurations that are acknowledged


class CoreFault(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault or operation. With ``after``, it waits from ``at_s`` on for the next acknowledgement or takeover."""

    at_s: Seconds
    what: str
    who: str | list[str] = ""
    for_s: Seconds = 0.0
    value: float = 0.0
    ways: Literal["both", "in", "out"] = "both"
    after: Literal["", "acknowledgement", "takeover"] = ""


class CoreScenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A system, its load, its expectations and its faults."""

    kind: Literal["core"] = KIND
    name: str = "unnamed"
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 0
    seconds: Annotated[float, Meta(ge=1, le=MAX_DURATION_S)] = 12.0
    fleet: CoreFleet = CoreFleet()
    load: CoreLoad = CoreLoad()
    expect: CoreExpect = CoreExpect()
    trouble: list[CoreFault] = []


def parse_core_scenario(data: dict[str, Any], source: str = "scenario") -> CoreScenario:
    """Return the scenario in ``data``. Raises ``ScenarioError``, which names the field and the reason."""
    try:
        scenario = msgspec.convert(data, CoreScenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{source}: {error}") from error
    if scenario.fleet.cores < 2 * scenario.fleet.lost_at_once + 1:
        raise ScenarioError(f"{source}: fleet.cores is below 2 x fleet.lost_at_once + 1")
    names = {*ROLES, *(f"core-{n}" for n in range(scenario.fleet.cores))}
    names |= {f"router-{n}" for n in range(scenario.fleet.routers)}
    for n, fault in enumerate(scenario.trouble):
        _check_fault(fault, scenario.seconds, names, f"{source}: trouble[{n}]")
    return scenario


def _check_fault(fault: CoreFault, seconds: float, names: set[str], location: str) -> None:
    if fault.what not in FAULT_KINDS:
        raise ScenarioError(f"{location}: what is {fault.what!r}, not one of {', '.join(sorted(FAULT_KINDS))}")
    if fault.at_s > seconds:
        raise ScenarioError(f"{location}: at_s {fault.at_s:g} is after the end at {seconds:g} s")
    if fault.what in WITH_POSITIVE_VALUE and fault.value <= 0:
        raise ScenarioError(f"{location}: {fault.what} needs a value above 0")
    targets = target_names(fault)
    if fault.what in WITHOUT_MACHINE and targets:
        raise ScenarioError(f"{location}: {fault.what} applies to no machine, but who is {', '.join(targets)!r}")
    if fault.what not in WITHOUT_MACHINE and not targets:
        raise ScenarioError(f"{location}: {fault.what} needs a machine or role in who")
    if fault.what == "part" and len(targets) != 2:
        raise ScenarioError(f"{location}: part needs exactly two machines in who")
    for name in targets:
        if name not in names:
            raise ScenarioError(f"{location}: who is {name!r}, which the fleet does not have")


def target_names(fault: CoreFault) -> list[str]:
    """Return the machines or roles that a fault names."""
    targets = [fault.who] if isinstance(fault.who, str) else fault.who
    return [name for name in targets if name]


def read_toml(path: Path) -> dict[str, Any]:
    """Parse a TOML file. Raises ``ScenarioError``."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: not UTF-8: {error.reason}") from error
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from error


def load_core(path: Path) -> CoreScenario:
    """Load a scenario from a file. Raises ``ScenarioError``."""
    return parse_core_scenario(read_toml(path), str(path))


def is_core(path: Path, read: Callable[[Path], dict[str, Any]] = read_toml) -> bool:
    """Return whether a file contains a control plane scenario. Raises ``ScenarioError``."""
    return read(path).get("kind") == KIND
