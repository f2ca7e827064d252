"""The format of cache proxy scenarios: a fleet, its load, and its faults with their times, as TOML.

The simulation and runs on real machines read the same format. Times are seconds from the start, rates are per second,
and fractions are between 0 and 1. Fields that a file leaves out have defaults.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0, le=100_000)]
Count = Annotated[int, Meta(ge=1, le=1000)]

FAULT_KINDS = {  # kinds of faults and operations, and the meaning of their value
    "void": "caches lose the fraction value of their entries",
    "die": "caches crash, and restart empty after for_s under the same name",
    "vanish": "caches become unreachable for for_s, and restart empty",
    "reborn": "caches crash, and restart after for_s at their address under a new name",
    "moved": "caches crash, and restart after for_s under their name at another address",
    "stall": "servers or routers freeze for for_s",
    "stutter": "servers freeze for value seconds, every 2.5 s during for_s",
    "slow": "servers run at value times their speed for for_s",
    "deploy": "the fraction value of the caches is replaced by empty successors within for_s",
    "shrink": "the fleet shrinks by draining to the fraction value within for_s",
    "grow": "value more caches start within for_s",
    "drain": "servers are drained",
    "drain_lost": "servers are drained, and datagrams between routers are lost for for_s",
    "weights": "servers are listed with value times their weight for for_s",
    "cut": "two sites, named 'a-b', are cut off from each other for for_s",
    "lean": "one router gets all requests for for_s",
    "rate": "the request rate is multiplied by value for for_s",
    "hot": "one key gets the fraction value of the requests for for_s",
    "shift": "the popularity of keys shifts to other keys",
    "spoil": "the fraction value of a server's responses is corrupted for for_s",
    "flood": "value idle connections are opened to a router and held for for_s",
    "halves": "the fraction value of requests is sent only by half, for for_s",
    "one_off": "the fraction value of requests uses a connection of its own, for for_s",
    "kill": "a router is killed, and restarted after for_s",
    "restart": "a router gets SIGTERM, and is restarted for_s after its exit",
    "reload": "a router gets SIGHUP; its file names another agent with other list generations",
    "list_late": "changes of the list are delayed by value more seconds for for_s",
    "list_silent": "agents send nothing for for_s",
    "list_broken": "agents answer with invalid lists for for_s",
    "list_failing": "agents close each watch for for_s",
    "list_over": "agents restart their count of generations",
    "lose": "datagrams of routers are lost for for_s",
}


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """Routers, caches and origin, and their settings."""

    routers: Count = 3
    caches: Count = 10
    sites: Annotated[int, Meta(ge=1, le=20)] = 2
    cores: Count = 2
    slowest: Positive = 0.8  # speeds of caches are between this and ``fastest``
    fastest: Positive = 1.4
    queue: Count = 64
    connections: Count = 600
    descriptors: Annotated[int, Meta(ge=32, le=100_000)] = 256  # of each router
    memory_mb: Positive = 96.0
    idle_s: Positive = 20.0  # after which a server closes an idle connection
    start_share: Fraction = 0.2
    warm_within_s: Positive = 15.0
    overload_factor: Positive = 2.5
    overload_for_s: Positive = 3.0
    grace_s: Seconds = 0.5
    leaves_after_s: Positive = 4.0  # from the start of a drain to the end of the process
    origin_cores: Count = 6
    origin_stops_s: Seconds = 4.0
    throws_away: bool = True  # whether servers discard queued work whose connection was closed
    peers: bool = True
    ask: bool = False  # whether routers are notified to fetch the list, instead of getting it pushed
    list_late_s: Seconds = 1.0  # largest normal delay of a list change
    skew_s: Seconds = 0.0  # largest deviation of a router's clock, in both directions
    max_hand_offs: Annotated[int, Meta(ge=1, le=20)] = 5
    retry_after_s: Seconds = 2.0
    dial_s: Positive = 0.25


class CategoryRow(Struct, frozen=True, forbid_unknown_fields=True):
    """A category of requests."""

    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]*$")]
    share: Positive
    due_s: Positive
    expiry_s: Annotated[float, Meta(ge=0.1, le=60)]
    semantics: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["", "all", "zone", "cell"] = ""
    window_s: Seconds = 0.0
    credit: Positive = 1.0
    work_s: Positive = 0.02  # on a core of speed 1
    write: bool = False


class Work(Struct, frozen=True, forbid_unknown_fields=True):
    """The load of the clients."""

    rate: Positive = 100.0
    keys: Annotated[int, Meta(ge=1, le=10_000_000)] = 400
    zipf: Annotated[float, Meta(ge=0, le=5)] = 0.9
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    wait_s: Seconds = 0.2
    patience: Annotated[float, Meta(gt=0, le=1)] = 1.0
    one_off: Fraction = 0.05
    halves: Fraction = 0.0
    warm: bool = True  # whether caches start with the keys that the hash ring assigns to them
    origin_fetch_s: Positive = 0.05
    customers: dict[str, Positive] = msgspec.field(default_factory=lambda: {"noord": 0.6, "zuid": 0.4})


class Links(Struct, frozen=True, forbid_unknown_fields=True):
    """Properties of the network; see ``simulation.network.Paths``."""

    within_s: Positive = 0.0004
    across_s: Positive = 0.004
    jitter: Fraction = 0.3
    bandwidth: Positive = 125e6
    window: Annotated[int, Meta(ge=256, le=2**20)] = 65536
    partial: Fraction = 0.02
    lost: Fraction = 0.02
    doubled: Fraction = 0.01
    late: Fraction = 0.05


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault or operation."""

    at_s: Seconds
    what: str
    who: str | list[str] = ""  # caches c0.., routers r0.., origin, sites '0-1'; '' or 'some': chosen at random
    for_s: Seconds = 0.0
    value: float = 0.0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet, its load and its faults."""

    name: str = "unnamed"
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 0
    seconds: Annotated[float, Meta(ge=1, le=100_000)] = 30.0
    fleet: Fleet = Fleet()
    work: Work = Work()
    links: Links = Links()
    category: list[CategoryRow] = []
    trouble: list[Fault] = []


CATEGORIES = [
    CategoryRow("read", 0.85, 0.5, 2.0),
    CategoryRow("save", 0.1, 0.6, 2.5, "keyed", "all", 5.0, 3.0, 0.03, True),
    CategoryRow("order", 0.05, 0.75, 1.5, "unsafe", "", 0.0, 8.0, 0.03, True),
]


class ScenarioError(ValueError):
    """An invalid scenario. The message names the file or field and the reason."""


def parse_scenario(data: dict[str, Any], source: str = "scenario") -> Scenario:
    """Return the scenario in ``data``. Raises ``ScenarioError``."""
    try:
        scenario = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{source}: {error}") from error
    fleet = scenario.fleet
    caches = {f"c{n}" for n in range(1000)}
    servers = caches | {"origin"}
    routers = {f"r{n}" for n in range(fleet.routers)}
    if fleet.slowest > fleet.fastest:
        raise ScenarioError(f"{source}: fleet.slowest is above fleet.fastest")
    names = [category.name for category in scenario.category]
    if len(set(names)) != len(names):
        raise ScenarioError(f"{source}: two categories have the same name")
    for category in scenario.category:
        if category.due_s > category.expiry_s:
            raise ScenarioError(f"{source}: category {category.name}: due_s is above expiry_s")
    for n, fault in enumerate(scenario.trouble):
        location = f"{source}: trouble[{n}]"
        if fault.what not in FAULT_KINDS:
            raise ScenarioError(f"{location}: what is {fault.what!r}, not one of {', '.join(sorted(FAULT_KINDS))}")
        if fault.at_s > scenario.seconds:
            raise ScenarioError(f"{location}: at_s {fault.at_s:g} is after the end at {scenario.seconds:g} s")
        for target in [fault.who] if isinstance(fault.who, str) else fault.who:
            if fault.what == "cut":
                site, _, other_site = target.partition("-")
                sites = {str(n) for n in range(fleet.sites)}
                if target and (site not in sites or other_site not in sites or site == other_site):
                    raise ScenarioError(f"{location}: who is {target!r}, not two sites such as '0-1'")
            elif target not in servers | routers | {"", "some"}:
                raise ScenarioError(f"{location}: who is {target!r}, which the fleet does not have")
    return scenario if scenario.category else msgspec.structs.replace(scenario, category=CATEGORIES)


def load(path: Path) -> Scenario:
    """Load a scenario from a file. Raises ``ScenarioError``."""
    try:
        return parse_scenario(tomllib.loads(path.read_text()), str(path))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: not UTF-8: {error.reason}") from error
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from error


def dump(scenario: Scenario, comment: str = "") -> str:
    """Return a scenario as TOML, without the fields that have their defaults."""
    lines = [f"# {line}" for line in comment.splitlines()]
    defaults = Scenario()
    for name in ("name", "seed", "seconds"):
        lines.append(f"{name} = {_value(getattr(scenario, name))}")
    for table in ("fleet", "work", "links"):
        table_lines = _lines(getattr(scenario, table), getattr(defaults, table))
        lines += ["", f"[{table}]", *table_lines] if table_lines else []
    if scenario.category != CATEGORIES:
        for category in scenario.category:
            lines += ["", "[[category]]", *_lines(category, CategoryRow("", 1e-9, 1e-9, 1e-9))]
    for fault in scenario.trouble:
        lines += ["", "[[trouble]]", *_lines(fault, Fault(-1.0, ""))]
    return "\n".join(lines) + "\n"


def _lines(record: Struct, defaults: Struct) -> list[str]:
    pairs = ((name, getattr(record, name)) for name in record.__struct_fields__)
    return [f"{name} = {_value(value)}" for name, value in pairs if value != getattr(defaults, name)]


def _value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return repr(round(value, 6))
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_value(v)}" for key, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_value, value)) + "]"
    return msgspec.json.encode(value).decode()
