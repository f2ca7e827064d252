"""A scenario for the control side: a whole system, what is asked of it, and its troubles with times, as TOML.

Times are seconds from the moment at which all is ready and clients ask; parts are of 1. Whatever a file leaves out
has a plain value. A file says ``kind = "core"``.
"""

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from rowanshift.simulation.scenario import Part, Positive, ScenarioError, Seconds

KIND = "core"
LONGEST_S = 600.0  # seconds that a scenario may last
TRIGGERED_WITHIN_S = 4.0  # seconds that a trouble waits for what it comes after; else it doesn't come
Count = Annotated[int, Meta(ge=1, le=50)]

WHAT = {  # what a trouble may be, and what its value means
    "cut": "machines have no way to the others, or only one direction (ways), for for_s",
    "part": "two machines of a list have no way to each other for for_s",
    "freeze": "machines stand still for for_s",
    "kill": "processes are killed, and started again after for_s",
    "power": "machines lose power, and come back after for_s; what their disks had not synced may be lost",
    "wipe": "machines lose power and disk, and come back empty after for_s",
    "slow_disk": "disks take value times as long for for_s",
    "hang_disk": "disks do nothing for for_s",
    "refuse_disk": "disks refuse to write for for_s",
    "clock": "clocks step by value seconds",
    "terminate": "machines get SIGTERM, and are started again after for_s",
    "roll": "machines get SIGTERM one after another, each for_s after the one before, started again value s later",
    "hang_up": "machines get SIGHUP",
    "change": "a configuration is sent",
    "patch": "a configuration is changed by a patch",
    "revoke": "a key of a tenant is taken away by a patch, until the next whole configuration",
    "changes": "value configurations are sent one after another within for_s",
    "race": "two operators change the configuration under one number, on top of the same one, one by a patch",
    "lose_acks": "the part value of the acknowledgements is lost on their way for for_s",
    "send_again": "an acknowledged configuration is sent again as it was: the one value before the newest",
    "version": "the next version of the model is named",
    "versions": "value versions of the model are named one after another within for_s",
}
NO_MACHINE = frozenset(
    ["change", "patch", "revoke", "changes", "race", "lose_acks", "send_again", "version", "versions"]
)
WITH_VALUE = frozenset(["slow_disk", "changes", "lose_acks", "versions"])  # a value above 0 is wanted
# besides core-0.. and router-0..; coordinator: the primary of the coordination state
ROLES = ("primary", "former", "backup", "witness", "coordinator", "core", "routers", "all")


class CoreFleet(Struct, frozen=True, forbid_unknown_fields=True):
    """How many machines of each class there are, how many of the core may be lost at once, whether the model
    servers refuse an order with a fence below the highest that they saw, and how long they take to load."""

    routers: Count = 2
    cores: Count = 3
    servers: Count = 3
    lost_at_once: Count = 1
    fencing: bool = True
    load_s: Positive = 0.4
    revoke_s: Seconds = 0.0  # for which any machine may use a key that was taken away; 0: no such bound


class CoreLoad(Struct, frozen=True, forbid_unknown_fields=True):
    """Clients that ask all the while, the pause between configurations (0: none but those of troubles), and the
    pause between reads of the configuration (0: none but those after orders)."""

    clients: Annotated[int, Meta(ge=0, le=100)] = 5
    pause_s: Positive = 0.3
    change_every_s: Seconds = 2.5
    read_every_s: Seconds = 0.0
    applications: Annotated[int, Meta(ge=0, le=20)] = 0  # of each kind: locks, numbers, keys; 0: no coordination


class CoreExpect(Struct, frozen=True, forbid_unknown_fields=True):
    """What must come of it besides the rules."""

    served: Part = 0.9  # of the calls, answered whole
    changes: Annotated[int, Meta(ge=0)] = 1  # configurations that are acknowledged at least
    applied_s: Seconds = 0.0  # within which each router has a configuration after its acknowledgement; 0: any time
    taken: Part = 0.0  # of the configurations sent, acknowledged


class CoreTrouble(Struct, frozen=True, forbid_unknown_fields=True):
    """One trouble; with ``after`` it waits, from ``at_s`` on, for the next acknowledgement or takeover."""

    at_s: Seconds
    what: str
    who: str | list[str] = ""
    for_s: Seconds = 0.0
    value: float = 0.0
    ways: Literal["both", "in", "out"] = "both"
    after: Literal["", "acknowledgement", "takeover"] = ""


class CoreScenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole system, its load and its troubles."""

    kind: Literal["core"] = KIND
    name: str = "unnamed"
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 0
    seconds: Annotated[float, Meta(ge=1, le=LONGEST_S)] = 12.0
    fleet: CoreFleet = CoreFleet()
    load: CoreLoad = CoreLoad()
    expect: CoreExpect = CoreExpect()
    trouble: list[CoreTrouble] = []


def core_scenario_of(data: dict[str, Any], place: str = "scenario") -> CoreScenario:
    """The scenario that ``data`` holds. Raises ``ScenarioError``, which names the place and the reason."""
    try:
        made = msgspec.convert(data, CoreScenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{place}: {error}") from error
    if made.fleet.cores < 2 * made.fleet.lost_at_once + 1:
        raise ScenarioError(f"{place}: fleet.cores is below 2 x fleet.lost_at_once + 1")
    names = {*ROLES, *(f"core-{n}" for n in range(made.fleet.cores))}
    names |= {f"router-{n}" for n in range(made.fleet.routers)}
    for n, trouble in enumerate(made.trouble):
        _check(trouble, made.seconds, names, f"{place}: trouble[{n}]")
    return made


def _check(trouble: CoreTrouble, seconds: float, names: set[str], where: str) -> None:
    if trouble.what not in WHAT:
        raise ScenarioError(f"{where}: what is {trouble.what!r}, not one of {', '.join(sorted(WHAT))}")
    if trouble.at_s > seconds:
        raise ScenarioError(f"{where}: at_s {trouble.at_s:g} is after the end at {seconds:g} s")
    if trouble.what in WITH_VALUE and trouble.value <= 0:
        raise ScenarioError(f"{where}: {trouble.what} needs a value above 0")
    who = names_of(trouble)
    if trouble.what in NO_MACHINE and who:
        raise ScenarioError(f"{where}: {trouble.what} befalls no machine, and who is {', '.join(who)!r}")
    if trouble.what not in NO_MACHINE and not who:
        raise ScenarioError(f"{where}: {trouble.what} needs a machine in who")
    if trouble.what == "part" and len(who) != 2:
        raise ScenarioError(f"{where}: part needs two machines in who")
    for name in who:
        if name not in names:
            raise ScenarioError(f"{where}: who is {name!r}, which the fleet does not have")


def names_of(trouble: CoreTrouble) -> list[str]:
    """The machines or roles that a trouble names."""
    given = [trouble.who] if isinstance(trouble.who, str) else trouble.who
    return [name for name in given if name]


def read_toml(path: Path) -> dict[str, Any]:
    """The tables of a file. Raises ``ScenarioError``."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: not UTF-8: {error.reason}") from error
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from error


def load_core(path: Path) -> CoreScenario:
    """The scenario in a file. Raises ``ScenarioError``."""
    return core_scenario_of(read_toml(path), str(path))


def is_core(path: Path, read: Callable[[Path], dict[str, Any]] = read_toml) -> bool:
    """Whether a file says that it is a scenario of the control side. Raises ``ScenarioError``."""
    return read(path).get("kind") == KIND
