"""The plan of a soak run: its size, its load and its troubles, drawn from a seed. No I/O and no clock.

Times are in seconds since the load began. The same seed, time and size give the same plan.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum
from itertools import permutations

import msgspec

CORES, SERVERS = 3, 4
LEAST_ROUTERS, MOST_ROUTERS = 2, 60  # with the core at most 63 processes
LEAST_SECONDS, MOST_SECONDS = 3.0, 1800.0
MOST_CLIENTS, MOST_TROUBLES = 64, 2000
MOST_CHANGES_PER_SECOND = 20.0
CHANGES_PER_SECOND = 8.0, 14.0  # the least and the most that are drawn; troubles hold some up
NAMES_APART = 0.3, 3.0  # seconds, the least and the most that are drawn; far less than the bound of a version
LONGEST_GAP, MOST_ROUNDS = 5.0, 5  # of a roll
DISKS_LOST_AT_MOST = 1  # in a run, of the core's three: the fault tolerance in the settings

CALM_FROM, CALM_LASTS = 40.0, 16.0  # seconds: the least run with a calm in it, in which named versions come into force
SHORT_SECONDS, SHORT_ROUTERS, SHORT_TRACKS = 6.0, 4, 2  # of the short form

CORE_NAME = "core-"  # how the names of core machines begin
CLIENTS, OPERATORS, SYSTEM, PLATFORM = "clients", "operators", "system", "platform"  # ends of links beside machines


class TroubleKind(StrEnum):
    """What happens to machines or links."""

    KILL = "kill"  # SIGKILL, started again after the trouble's time
    PAUSE = "pause"  # SIGSTOP, then SIGCONT
    STOP = "stop"  # SIGTERM, started again after the trouble's time
    ROLL = "roll"  # the same for one machine after another, ``gap`` seconds apart, ``rounds`` times in all
    RELOAD = "reload"  # the settings file is written anew, and SIGHUP
    CUT = "cut"  # links carry nothing
    LOSE_ANSWERS = "lose-answers"  # links drop each answer and close its connection
    WIPE = "wipe"  # every process is killed at once, and one core machine's disk is empty as they start again


PLANNED = frozenset([TroubleKind.STOP, TroubleKind.ROLL, TroubleKind.RELOAD])  # work that operators do on purpose


APPLICATIONS, MOST_APPLICATIONS = 2, 20  # of each kind: drawn, and the most


class Direction(StrEnum):
    """Which way a cut link carries nothing."""

    BOTH = "both"
    TOWARDS = "towards"  # from the caller to the target
    BACK = "back"


class Link(msgspec.Struct, frozen=True):
    """The connections that a caller dials to a target."""

    caller: str
    target: str


class Trouble(msgspec.Struct, frozen=True):
    """One trouble, from ``at`` for ``lasts`` seconds. A wipe names the core machine whose disk is lost."""

    kind: TroubleKind
    at: float
    lasts: float
    machines: tuple[str, ...] = ()
    links: tuple[Link, ...] = ()
    direction: Direction = Direction.BOTH
    gap: float = 0.0  # seconds between the machines of a roll
    rounds: int = 1  # of a roll

    @property
    def until(self) -> float:
        """When it is over."""
        return self.at + self.lasts + self.gap * self.rounds * len(self.machines)


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A run: sizes, load and troubles in the order of their times."""

    seed: int
    seconds: float
    routers: int
    clients: int
    changes_per_second: float
    troubles: tuple[Trouble, ...] = ()
    cores: int = CORES
    servers: int = SERVERS
    names_apart: float = NAMES_APART[1]  # seconds between the named versions of a series
    applications: int = 0  # of each kind that call for locks, numbers and keys; 0: there is no coordination

    def kinds(self) -> dict[str, int]:
        """How many troubles there are of each kind."""
        return dict(Counter(str(trouble.kind) for trouble in self.troubles))

    def overlap(self) -> int:
        """The most troubles that are drawn for one moment."""
        return max((sum(one.at <= moment < one.until for one in self.troubles) for moment in self._starts()), default=0)

    def _starts(self) -> Iterator[float]:
        return (trouble.at for trouble in self.troubles)


class BadPlan(ValueError):
    """A plan that can't be played; the text says why."""


def core_name(number: int) -> str:
    """The name of a core machine, from 1 on."""
    return f"{CORE_NAME}{number}"


def router_name(number: int) -> str:
    """The name of a router's machine, from 1 on."""
    return f"router-{number}"


def server_name(number: int) -> str:
    """The name of a model server, from 1 on."""
    return f"server-{number}"


def names(make: Callable[[int], str], count: int) -> list[str]:
    """All names of a kind."""
    return [make(number) for number in range(1, count + 1)]


# drawing ----------------------------------------------------


def draw(seed: int, seconds: float, routers: int | None = None, tracks: int = 3) -> Plan:
    """The plan of a seed. Each track is a sequence of troubles; as many overlap at most as there are tracks."""
    random_source = random.Random(f"soak/{seed}")
    routers = routers if routers is not None else random_source.randint(4, 6)
    _check_sizes(seconds, routers)
    drawn = _Draw(random_source, seconds, routers, tracks).troubles()
    plan = Plan(
        seed,
        seconds,
        routers,
        clients=min(MOST_CLIENTS, 4 * routers),
        changes_per_second=round(random_source.uniform(*CHANGES_PER_SECOND), 1),
        troubles=tuple(sorted(_outside(calm_of(seed, seconds), drawn), key=lambda trouble: trouble.at)),
        names_apart=round(random_source.uniform(*NAMES_APART), 2),
        applications=APPLICATIONS,
    )
    check(plan)
    return plan


def calm_of(seed: int, seconds: float) -> tuple[float, float] | None:
    """When a run is without trouble, from and to in seconds; none in a short one."""
    if seconds < CALM_FROM:
        return None
    since = random.Random(f"soak/{seed}/calm").uniform(0.0, seconds - CALM_LASTS)
    return since, since + CALM_LASTS


def _outside(calm: tuple[float, float] | None, troubles: list[Trouble]) -> list[Trouble]:
    """The troubles that leave the calm alone."""
    if calm is None:
        return troubles
    since, until = calm
    return [trouble for trouble in troubles if trouble.until < since or trouble.at > until]


WEIGHTS = {  # how often each kind is drawn in a track
    TroubleKind.KILL: 3,
    TroubleKind.PAUSE: 3,
    TroubleKind.STOP: 3,
    TroubleKind.ROLL: 4,
    TroubleKind.RELOAD: 2,
    TroubleKind.CUT: 4,
    TroubleKind.LOSE_ANSWERS: 2,
}
LASTS = {  # seconds, the least and the most
    TroubleKind.KILL: (0.2, 2.0),
    TroubleKind.PAUSE: (0.3, 4.0),
    TroubleKind.STOP: (0.1, 1.0),
    TroubleKind.ROLL: (0.1, 1.0),
    TroubleKind.RELOAD: (0.0, 0.5),
    TroubleKind.CUT: (0.3, 4.0),
    TroubleKind.LOSE_ANSWERS: (0.3, 2.0),
    TroubleKind.WIPE: (0.2, 1.0),
}


def draw_short(seed: int) -> Plan:
    """The plan of a seed in the short form."""
    return draw(seed, SHORT_SECONDS, SHORT_ROUTERS, SHORT_TRACKS)


STOP_TAKES = (
    4.0  # seconds from a SIGTERM to the end of most processes, before which a track goes on to no other trouble
)


STOPS = frozenset([TroubleKind.STOP, TroubleKind.ROLL])


class _Draw:
    """Draws the troubles of one plan."""

    FIRST_WITHIN = 1.0  # seconds from the start of the load to each track's first trouble
    PAUSES = 0.2, 1.5  # seconds between two troubles of a track
    WIPE_SHARE = 0.7  # of plans have a wipe
    WIPE_FROM = 0.5  # part of the run before which none is wiped
    GAPS = 0.05, 0.5  # seconds between the machines of a roll
    ROUNDS = 3  # of a roll, at most

    def __init__(self, random_source: random.Random, seconds: float, routers: int, tracks: int) -> None:
        self.random_source, self.seconds, self.tracks = random_source, seconds, tracks
        self.cores, self.routers = names(core_name, CORES), names(router_name, routers)
        self.servers = names(server_name, SERVERS)

    def troubles(self) -> list[Trouble]:
        drawn = [trouble for _ in range(self.tracks) for trouble in self._track()]
        if self.random_source.random() < self.WIPE_SHARE:
            drawn.append(
                self._trouble(TroubleKind.WIPE, self.random_source.uniform(self.WIPE_FROM, 1.0) * self.seconds)
            )
        return drawn

    def _track(self) -> Iterator[Trouble]:
        at = self.random_source.uniform(0.0, self.FIRST_WITHIN)
        while at < self.seconds:
            kind = self.random_source.choices([*WEIGHTS], [*WEIGHTS.values()])[0]
            yield (trouble := self._trouble(kind, at))
            at = trouble.until + self.random_source.uniform(*self.PAUSES) + (STOP_TAKES if kind in STOPS else 0.0)

    def _trouble(self, kind: TroubleKind, at: float) -> Trouble:
        lasts = round(self.random_source.uniform(*LASTS[kind]), 3)
        machines: tuple[str, ...] = ()
        links: tuple[Link, ...] = ()
        direction = Direction.BOTH
        if kind is TroubleKind.CUT:
            links, direction = self._cut_links(), self.random_source.choice([*Direction])
        elif kind is TroubleKind.LOSE_ANSWERS:
            links = self._asked_links()
        elif kind is TroubleKind.WIPE:
            machines = (self.random_source.choice(self.cores),)
        else:
            machines = self._machines(kind in PLANNED)
        if kind is not TroubleKind.ROLL:
            return Trouble(kind, round(at, 3), lasts, machines, links, direction)
        gap, rounds = round(self.random_source.uniform(*self.GAPS), 3), self.random_source.randint(1, self.ROUNDS)
        return Trouble(kind, round(at, 3), lasts, machines, gap=gap, rounds=rounds)

    def _machines(self, planned: bool) -> tuple[str, ...]:
        """One core machine or some routers; planned work befalls larger groups."""
        if self.random_source.random() < 0.35:
            most = 2 if planned else 1
            return self._some(self.cores, most)
        most = len(self.routers) if planned else max(1, len(self.routers) // 2)
        return self._some(self.routers, most)

    def _some(self, among: list[str], most: int) -> tuple[str, ...]:
        return tuple(sorted(self.random_source.sample(among, self.random_source.randint(1, most))))

    def _cut_links(self) -> tuple[Link, ...]:
        draws = [
            self._clients_to_routers,
            self._router_to_cores,
            self._core_from_the_others,
            self._operators_to_cores,
            self._system_to_server,
            self._system_to_platform,
        ]
        return self.random_source.choice(draws)()

    def _asked_links(self) -> tuple[Link, ...]:
        draws = [self._clients_to_routers, self._router_to_cores, self._operators_to_cores, self._system_to_server]
        return self.random_source.choice(draws)()

    def _clients_to_routers(self) -> tuple[Link, ...]:
        return tuple(Link(CLIENTS, name) for name in self._some(self.routers, max(1, len(self.routers) // 2)))

    def _router_to_cores(self) -> tuple[Link, ...]:
        router = self.random_source.choice(self.routers)
        return tuple(Link(router, name) for name in self._some(self.cores, len(self.cores)))

    def _core_from_the_others(self) -> tuple[Link, ...]:
        alone = self.random_source.choice(self.cores)
        return tuple(link for name in self.cores if name != alone for link in (Link(alone, name), Link(name, alone)))

    def _operators_to_cores(self) -> tuple[Link, ...]:
        return tuple(Link(OPERATORS, name) for name in self._some(self.cores, len(self.cores)))

    def _system_to_server(self) -> tuple[Link, ...]:
        return (Link(SYSTEM, self.random_source.choice(self.servers)),)

    def _system_to_platform(self) -> tuple[Link, ...]:
        return (Link(SYSTEM, PLATFORM),)


# checking ---------------------------------------------------


def check(plan: Plan) -> None:
    """Raises ``BadPlan`` if the plan is out of bounds, names what isn't there or loses too many disks."""
    _check_sizes(plan.seconds, plan.routers)
    if plan.cores != CORES or plan.servers != SERVERS:
        raise BadPlan(f"cores and servers: {CORES} and {SERVERS} expected")
    if not 1 <= plan.clients <= MOST_CLIENTS:
        raise BadPlan(f"clients: {plan.clients} is not within 1 and {MOST_CLIENTS}")
    if not NAMES_APART[0] <= plan.names_apart <= NAMES_APART[1]:
        raise BadPlan(f"names_apart: {plan.names_apart} is not within {NAMES_APART[0]} and {NAMES_APART[1]}")
    if not 0 < plan.changes_per_second <= MOST_CHANGES_PER_SECOND:
        raise BadPlan(f"changes_per_second: {plan.changes_per_second} is not within 0 and {MOST_CHANGES_PER_SECOND}")
    if not 0 <= plan.applications <= MOST_APPLICATIONS:
        raise BadPlan(f"applications: {plan.applications} is not within 0 and {MOST_APPLICATIONS}")
    if len(plan.troubles) > MOST_TROUBLES:
        raise BadPlan(f"troubles: {len(plan.troubles)}, {MOST_TROUBLES} at most")
    for number, trouble in enumerate(plan.troubles):
        _check_trouble(plan, trouble, f"troubles[{number}]")
    wipes = plan.kinds().get(TroubleKind.WIPE, 0)
    if wipes > DISKS_LOST_AT_MOST:
        raise BadPlan(f"troubles: {wipes} disks are lost, {DISKS_LOST_AT_MOST} at most")


def _check_sizes(seconds: float, routers: int) -> None:
    if not LEAST_SECONDS <= seconds <= MOST_SECONDS:
        raise BadPlan(f"seconds: {seconds} is not within {LEAST_SECONDS} and {MOST_SECONDS}")
    if not LEAST_ROUTERS <= routers <= MOST_ROUTERS:
        raise BadPlan(f"routers: {routers} is not within {LEAST_ROUTERS} and {MOST_ROUTERS}")


def _check_trouble(plan: Plan, trouble: Trouble, place: str) -> None:
    if not (0 <= trouble.at <= plan.seconds and 0 <= trouble.lasts <= plan.seconds):
        raise BadPlan(f"{place}: it does not lie within the run's {plan.seconds} s")
    rolls = trouble.kind is TroubleKind.ROLL
    if not (0 <= trouble.gap <= LONGEST_GAP and 1 <= trouble.rounds <= MOST_ROUNDS) or (trouble.gap and not rolls):
        raise BadPlan(f"{place}: a gap up to {LONGEST_GAP:g} s and 1 to {MOST_ROUNDS} rounds are for a roll")
    on_links = trouble.kind in (TroubleKind.CUT, TroubleKind.LOSE_ANSWERS)
    if bool(trouble.links) != on_links or bool(trouble.machines) == on_links:
        raise BadPlan(f"{place}: {trouble.kind} befalls {'links' if on_links else 'machines'}")
    cores, machines = names(core_name, plan.cores), known_machines(plan)
    allowed = cores if trouble.kind is TroubleKind.WIPE else machines
    if unknown := set(trouble.machines) - set(allowed):
        raise BadPlan(f"{place}: no such machine for {trouble.kind}: {', '.join(sorted(unknown))}")
    if trouble.kind is TroubleKind.WIPE and len(trouble.machines) > DISKS_LOST_AT_MOST:
        raise BadPlan(f"{place}: {len(trouble.machines)} disks are lost, {DISKS_LOST_AT_MOST} at most")
    for link in trouble.links:
        if link not in known_links(plan):
            raise BadPlan(f"{place}: no such link: {link.caller} to {link.target}")


def known_machines(plan: Plan) -> list[str]:
    """The machines that run a process, core first."""
    return [*names(core_name, plan.cores), *names(router_name, plan.routers)]


def known_links(plan: Plan) -> set[Link]:
    """All links that may be cut."""
    cores, routers = names(core_name, plan.cores), names(router_name, plan.routers)
    return {
        *(Link(CLIENTS, name) for name in routers),
        *(Link(OPERATORS, name) for name in cores),
        *(Link(router, core) for router in routers for core in cores),
        *(Link(*pair) for pair in [*permutations(cores, 2), *permutations(routers, 2)]),
        *(Link(SYSTEM, name) for name in names(server_name, plan.servers)),
        Link(SYSTEM, PLATFORM),
    }


# files ------------------------------------------------------


def to_json(plan: Plan) -> bytes:
    """A plan as it is kept in a file."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=2) + b"\n"


def from_json(data: bytes) -> Plan:
    """A plan out of a file; ``BadPlan`` if there is none in it, or none that can be played."""
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadPlan(str(error)) from error
    check(plan)
    return plan
