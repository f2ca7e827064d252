"""A scenario: a fleet, its work and its troubles with times, as TOML; the simulation and trials read the
same form.

Times are seconds from the start, rates are a second, parts are of 1. Whatever a file leaves out has a plain
value.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Part = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0, le=100_000)]
Count = Annotated[int, Meta(ge=1, le=1000)]

WHAT = {  # what a trouble may be, and what its value means
    "void": "the part of kept copies that goes void",
    "die": "caches die, and come back cold after for_s under the same name",
    "vanish": "machines fall silent for for_s, and come back cold",
    "reborn": "caches die and come back after for_s at their address under a new name",
    "moved": "caches die and come back after for_s under their name at another address",
    "stall": "servers or routers stand still for for_s",
    "stutter": "servers stand still for value seconds, every 2.5 s for for_s",
    "slow": "servers run at value times their speed for for_s",
    "deploy": "the part value of the caches is replaced by cold successors within for_s",
    "shrink": "the fleet shrinks by draining to the part value within for_s",
    "grow": "value more caches come up within for_s",
    "drain": "servers leave",
    "drain_lost": "servers leave, and what routers say to each other then is lost for for_s",
    "weights": "servers are listed with value times their weight for for_s",
    "cut": "two sites, named 'a-b', are cut off from each other for for_s",
    "lean": "one router gets all the work for for_s",
    "rate": "value times the work for for_s",
    "hot": "one key gets the part value of the work for for_s",
    "shift": "other keys become popular",
    "spoil": "the part value of a server's answers is spoilt for for_s",
    "flood": "value connections that ask nothing are opened to a router and held for for_s",
    "halves": "the part value of requests is sent only half, for for_s",
    "one_off": "the part value of requests comes on connections of their own, for for_s",
    "kill": "a router dies, and is started again after for_s",
    "restart": "a router gets SIGTERM, and is started again once it has ended",
    "reload": "a router gets SIGHUP; its file names another agent with a list of its own count",
    "list_late": "the list is value seconds later than usual for for_s",
    "list_silent": "agents say nothing for for_s",
    "list_broken": "agents answer with what is no list for for_s",
    "list_failing": "agents end each watch for for_s",
    "list_over": "agents count generations anew",
    "lose": "datagrams of routers are lost for for_s",
}


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    routers: Count = 3
    caches: Count = 10
    sites: Annotated[int, Meta(ge=1, le=20)] = 2
    cores: Count = 2
    slowest: Positive = 0.8  # speeds of caches lie between
    fastest: Positive = 1.4
    queue: Count = 64
    connections: Count = 600
    descriptors: Annotated[int, Meta(ge=32, le=100_000)] = 256  # of a router
    memory_mb: Positive = 96.0
    idle_s: Positive = 20.0  # that a server keeps a connection
    start_share: Part = 0.2
    warm_within_s: Positive = 15.0
    overload_factor: Positive = 2.5
    overload_for_s: Positive = 3.0
    grace_s: Seconds = 0.5
    leaves_after_s: Positive = 4.0  # from a drain's begin to the end of the process
    origin_cores: Count = 6
    origin_stops_s: Seconds = 4.0
    throws_away: bool = True  # waiting work whose connection was given up
    peers: bool = True
    ask: bool = False  # routers are told when to ask for the list
    list_late_s: Seconds = 1.0  # at most, usually
    skew_s: Seconds = 0.0  # clocks of routers differ by so much either way
    max_hand_offs: Annotated[int, Meta(ge=1, le=20)] = 5
    retry_after_s: Seconds = 2.0
    dial_s: Positive = 0.25


class CategoryRow(Struct, frozen=True, forbid_unknown_fields=True):
    name: Annotated[str, Meta(pattern="^[a-z][a-z0-9-]*$")]
    share: Positive
    due_s: Positive
    expiry_s: Annotated[float, Meta(ge=0.1, le=60)]
    semantics: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["", "all", "zone", "cell"] = ""
    window_s: Seconds = 0.0
    credit: Positive = 1.0
    work_s: Positive = 0.02  # at a core of speed 1
    write: bool = False


class Work(Struct, frozen=True, forbid_unknown_fields=True):
    rate: Positive = 100.0
    keys: Annotated[int, Meta(ge=1, le=10_000_000)] = 400
    zipf: Annotated[float, Meta(ge=0, le=5)] = 0.9
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    wait_s: Seconds = 0.2
    patience: Annotated[float, Meta(gt=0, le=1)] = 1.0
    one_off: Part = 0.05
    halves: Part = 0.0
    warm: bool = True  # caches begin with the keys that the ring gives them
    origin_fetch_s: Positive = 0.05
    customers: dict[str, Positive] = msgspec.field(default_factory=lambda: {"noord": 0.6, "zuid": 0.4})


class Links(Struct, frozen=True, forbid_unknown_fields=True):
    within_s: Positive = 0.0004
    across_s: Positive = 0.004
    jitter: Part = 0.3
    bandwidth: Positive = 125e6
    window: Annotated[int, Meta(ge=256, le=2**20)] = 65536
    partial: Part = 0.02
    lost: Part = 0.02
    doubled: Part = 0.01
    late: Part = 0.05


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    at_s: Seconds
    what: str
    who: str | list[str] = ""  # caches c0.., routers r0.., origin, sites '0-1'; '' or 'some': drawn
    for_s: Seconds = 0.0
    value: float = 0.0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    name: str = "unnamed"
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 0
    seconds: Annotated[float, Meta(ge=1, le=100_000)] = 30.0
    fleet: Fleet = Fleet()
    work: Work = Work()
    links: Links = Links()
    category: list[CategoryRow] = []
    trouble: list[Trouble] = []


CATEGORIES = [
    CategoryRow("read", 0.85, 0.5, 2.0),
    CategoryRow("save", 0.1, 0.6, 2.5, "keyed", "all", 5.0, 3.0, 0.03, True),
    CategoryRow("order", 0.05, 0.75, 1.5, "unsafe", "", 0.0, 8.0, 0.03, True),
]


class ScenarioError(ValueError):
    """A scenario that can't be used; the text names the place and the reason."""


def scenario_of(data: dict[str, Any], place: str = "scenario") -> Scenario:
    try:
        made = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{place}: {error}") from error
    fleet = made.fleet
    caches = {f"c{n}" for n in range(1000)}
    servers = caches | {"origin"}
    routers = {f"r{n}" for n in range(fleet.routers)}
    if fleet.slowest > fleet.fastest:
        raise ScenarioError(f"{place}: fleet.slowest is above fleet.fastest")
    names = [row.name for row in made.category]
    if len(set(names)) != len(names):
        raise ScenarioError(f"{place}: two categories of one name")
    for row in made.category:
        if row.due_s > row.expiry_s:
            raise ScenarioError(f"{place}: category {row.name}: due_s is above expiry_s")
    for n, trouble in enumerate(made.trouble):
        where = f"{place}: trouble[{n}]"
        if trouble.what not in WHAT:
            raise ScenarioError(f"{where}: what is {trouble.what!r}, not one of {', '.join(sorted(WHAT))}")
        if trouble.at_s > made.seconds:
            raise ScenarioError(f"{where}: at_s {trouble.at_s:g} is after the end at {made.seconds:g} s")
        for who in [trouble.who] if isinstance(trouble.who, str) else trouble.who:
            if trouble.what == "cut":
                one, _, other = who.partition("-")
                sites = {str(n) for n in range(fleet.sites)}
                if who and (one not in sites or other not in sites or one == other):
                    raise ScenarioError(f"{where}: who is {who!r}, not two sites as '0-1'")
            elif who not in servers | routers | {"", "some"}:
                raise ScenarioError(f"{where}: who is {who!r}, which the fleet does not have")
    return made if made.category else msgspec.structs.replace(made, category=CATEGORIES)


def load(path: Path) -> Scenario:
    try:
        return scenario_of(tomllib.loads(path.read_text()), str(path))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ScenarioError(f"{path}: not UTF-8: {error.reason}") from error
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from error


def dump(scenario: Scenario, comment: str = "") -> str:
    """The TOML of a scenario, with what differs from the plain values only."""
    lines = [f"# {line}" for line in comment.splitlines()]
    plain = Scenario()
    for name in ("name", "seed", "seconds"):
        lines.append(f"{name} = {_value(getattr(scenario, name))}")
    for table in ("fleet", "work", "links"):
        rows = _rows(getattr(scenario, table), getattr(plain, table))
        lines += ["", f"[{table}]", *rows] if rows else []
    if scenario.category != CATEGORIES:
        for row in scenario.category:
            lines += ["", "[[category]]", *_rows(row, CategoryRow("", 1e-9, 1e-9, 1e-9))]
    for trouble in scenario.trouble:
        lines += ["", "[[trouble]]", *_rows(trouble, Trouble(-1.0, ""))]
    return "\n".join(lines) + "\n"


def _rows(given: Struct, plain: Struct) -> list[str]:
    pairs = ((name, getattr(given, name)) for name in given.__struct_fields__)
    return [f"{name} = {_value(value)}" for name, value in pairs if value != getattr(plain, name)]


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
