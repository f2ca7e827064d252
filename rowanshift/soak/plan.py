"""The plan of a soak run: its size, its load and its faults, drawn from a seed. No I/O and no clock.

Times are in seconds since the load began. The same seed, duration and size give the same plan.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum
from itertools import permutations

import msgspec

CORE_COUNT, SERVER_COUNT = 3, 4
MIN_ROUTERS, MAX_ROUTERS = 2, 60  # at most 63 processes with the core machines
MIN_SECONDS, MAX_SECONDS = 3.0, 1800.0
MAX_CLIENTS, MAX_FAULTS = 64, 2000
MAX_CHANGES_PER_SECOND = 20.0
CHANGES_PER_SECOND_RANGE = 8.0, 14.0  # bounds of the draw; faults delay some changes
NAMES_APART_RANGE_S = 0.3, 3.0  # bounds of the draw; far below the time bound of the rule VERSION
MAX_GAP_S, MAX_ROUNDS = 5.0, 5  # of a roll
MAX_DISKS_LOST = 1  # per run, of the three core machines, as the settings tolerate the fault of one machine

# A run of at least the first length contains a window of the second without faults, so that named versions take effect.
FAULT_FREE_MIN_RUN_S, FAULT_FREE_S = 40.0, 16.0
SHORT_SECONDS, SHORT_ROUTERS, SHORT_TRACKS = 6.0, 4, 2  # of the short form

CORE_NAME_PREFIX = "core-"
CLIENTS, OPERATORS, SYSTEM, PLATFORM = "clients", "operators", "system", "platform"  # link ends other than machines


class FaultKind(StrEnum):
    """The kinds of faults that are injected into machines or links."""

    KILL = "kill"  # SIGKILL; restarted after the fault's duration
    PAUSE = "pause"  # SIGSTOP; SIGCONT after the fault's duration
    STOP = "stop"  # SIGTERM; restarted the fault's duration after the exit
    ROLL = "roll"  # like STOP for one machine after another, ``gap`` seconds apart, repeated for ``rounds`` rounds
    RELOAD = "reload"  # the settings file is rewritten, then SIGHUP
    CUT = "cut"  # links forward nothing
    LOSE_ANSWERS = "lose-answers"  # links drop each answer and close its connection
    WIPE = "wipe"  # all processes are killed at once and restarted, one core machine with an empty disk


PLANNED_WORK = frozenset([FaultKind.STOP, FaultKind.ROLL, FaultKind.RELOAD])  # operators do this in normal operation


APPLICATIONS_PER_KIND, MAX_APPLICATIONS_PER_KIND = 2, 20  # in drawn plans, and in any plan


class Direction(StrEnum):
    """The direction in which a cut link forwards nothing."""

    BOTH = "both"
    TOWARDS = "towards"  # from the caller to the target
    BACK = "back"  # from the target to the caller


class Link(msgspec.Struct, frozen=True):
    """The connections that a caller opens to a target."""

    caller: str
    target: str


class Fault(msgspec.Struct, frozen=True):
    """A fault that begins at ``at`` and lasts ``lasts`` seconds. A wipe names the core machine whose disk is lost."""

    kind: FaultKind
    at: float
    lasts: float
    machines: tuple[str, ...] = ()
    links: tuple[Link, ...] = ()
    direction: Direction = Direction.BOTH
    gap: float = 0.0  # seconds between the machines of a roll
    rounds: int = 1  # of a roll

    @property
    def until(self) -> float:
        """The planned time of its end."""
        return self.at + self.lasts + self.gap * self.rounds * len(self.machines)


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A run: its sizes, its load, and its faults in order of time."""

    seed: int
    seconds: float
    routers: int
    clients: int
    changes_per_second: float
    troubles: tuple[Fault, ...] = ()
    cores: int = CORE_COUNT
    servers: int = SERVER_COUNT
    names_apart: float = NAMES_APART_RANGE_S[1]  # seconds between the named versions of a series
    applications: int = 0  # per kind, that use locks, numbers and keys; 0: without the coordination service

    def kinds(self) -> dict[str, int]:
        """The number of faults of each kind."""
        return dict(Counter(str(fault.kind) for fault in self.troubles))

    def overlap(self) -> int:
        """The largest number of faults that are planned for the same moment."""
        return max(
            (sum(one.at <= moment < one.until for one in self.troubles) for moment in self._start_times()), default=0
        )

    def _start_times(self) -> Iterator[float]:
        return (fault.at for fault in self.troubles)


class InvalidPlan(ValueError):
    """A plan that can not be run; the text says why."""


def core_name(number: int) -> str:
    """The name of a core machine; numbers begin at 1."""
    return f"{CORE_NAME_PREFIX}{number}"


def router_name(number: int) -> str:
    """The name of a router's machine; numbers begin at 1."""
    return f"router-{number}"


def server_name(number: int) -> str:
    """The name of a model server; numbers begin at 1."""
    return f"server-{number}"


def numbered_names(name_of: Callable[[int], str], count: int) -> list[str]:
    """The names with the numbers 1 to ``count``."""
    return [name_of(number) for number in range(1, count + 1)]


# drawing ----------------------------------------------------


def draw(seed: int, seconds: float, routers: int | None = None, tracks: int = 3) -> Plan:
    """Draws the plan of a seed. Each track is a sequence of faults without overlap, so that, apart from a wipe, at most
    ``tracks`` faults overlap."""
    random_source = random.Random(f"soak/{seed}")
    routers = routers if routers is not None else random_source.randint(4, 6)
    _check_sizes(seconds, routers)
    drawn = _FaultDraw(random_source, seconds, routers, tracks).draw_all()
    plan = Plan(
        seed,
        seconds,
        routers,
        clients=min(MAX_CLIENTS, 4 * routers),
        changes_per_second=round(random_source.uniform(*CHANGES_PER_SECOND_RANGE), 1),
        troubles=tuple(sorted(_without_window(fault_free_window(seed, seconds), drawn), key=lambda fault: fault.at)),
        names_apart=round(random_source.uniform(*NAMES_APART_RANGE_S), 2),
        applications=APPLICATIONS_PER_KIND,
    )
    check(plan)
    return plan


def fault_free_window(seed: int, seconds: float) -> tuple[float, float] | None:
    """The start and end of the window without faults in a run; ``None`` if the run is too short for one."""
    if seconds < FAULT_FREE_MIN_RUN_S:
        return None
    since = random.Random(f"soak/{seed}/calm").uniform(0.0, seconds - FAULT_FREE_S)
    return since, since + FAULT_FREE_S


def _without_window(window: tuple[float, float] | None, faults: list[Fault]) -> list[Fault]:
    """The faults that do not overlap the window."""
    if window is None:
        return faults
    since, until = window
    return [fault for fault in faults if fault.until < since or fault.at > until]


KIND_WEIGHTS = {  # relative frequency of each kind in a track; a wipe is drawn separately
    FaultKind.KILL: 3,
    FaultKind.PAUSE: 3,
    FaultKind.STOP: 3,
    FaultKind.ROLL: 4,
    FaultKind.RELOAD: 2,
    FaultKind.CUT: 4,
    FaultKind.LOSE_ANSWERS: 2,
}
DURATION_RANGES_S = {  # bounds of the draw for each kind
    FaultKind.KILL: (0.2, 2.0),
    FaultKind.PAUSE: (0.3, 4.0),
    FaultKind.STOP: (0.1, 1.0),
    FaultKind.ROLL: (0.1, 1.0),
    FaultKind.RELOAD: (0.0, 0.5),
    FaultKind.CUT: (0.3, 4.0),
    FaultKind.LOSE_ANSWERS: (0.3, 2.0),
    FaultKind.WIPE: (0.2, 1.0),
}


def draw_short(seed: int) -> Plan:
    """Draws the plan of a seed in the short form."""
    return draw(seed, SHORT_SECONDS, SHORT_ROUTERS, SHORT_TRACKS)


STOP_DURATION_S = 4.0  # most processes exit within this after SIGTERM; a track draws no other fault before


STOPPING_KINDS = frozenset([FaultKind.STOP, FaultKind.ROLL])


class _FaultDraw:
    """Draws the faults of one plan."""

    FIRST_FAULT_WITHIN_S = 1.0  # from the start of the load to the first fault of each track
    PAUSE_RANGE_S = 0.2, 1.5  # between two faults of a track
    WIPE_PROBABILITY = 0.7  # that a plan contains a wipe
    WIPE_EARLIEST_FRACTION = 0.5  # of the run's duration, before which no wipe is drawn
    GAP_RANGE_S = 0.05, 0.5  # between the machines of a roll
    MAX_DRAWN_ROUNDS = 3  # of a roll

    def __init__(self, random_source: random.Random, seconds: float, routers: int, tracks: int) -> None:
        self.random_source, self.seconds, self.tracks = random_source, seconds, tracks
        self.cores, self.routers = numbered_names(core_name, CORE_COUNT), numbered_names(router_name, routers)
        self.servers = numbered_names(server_name, SERVER_COUNT)

    def draw_all(self) -> list[Fault]:
        drawn = [fault for _ in range(self.tracks) for fault in self._draw_track()]
        if self.random_source.random() < self.WIPE_PROBABILITY:
            drawn.append(
                self._draw_fault(
                    FaultKind.WIPE, self.random_source.uniform(self.WIPE_EARLIEST_FRACTION, 1.0) * self.seconds
                )
            )
        return drawn

    def _draw_track(self) -> Iterator[Fault]:
        at = self.random_source.uniform(0.0, self.FIRST_FAULT_WITHIN_S)
        while at < self.seconds:
            kind = self.random_source.choices([*KIND_WEIGHTS], [*KIND_WEIGHTS.values()])[0]
            yield (fault := self._draw_fault(kind, at))
            at = (
                fault.until
                + self.random_source.uniform(*self.PAUSE_RANGE_S)
                + (STOP_DURATION_S if kind in STOPPING_KINDS else 0.0)
            )

    def _draw_fault(self, kind: FaultKind, at: float) -> Fault:
        lasts = round(self.random_source.uniform(*DURATION_RANGES_S[kind]), 3)
        machines: tuple[str, ...] = ()
        links: tuple[Link, ...] = ()
        direction = Direction.BOTH
        if kind is FaultKind.CUT:
            links, direction = self._draw_cut_links(), self.random_source.choice([*Direction])
        elif kind is FaultKind.LOSE_ANSWERS:
            links = self._draw_answer_loss_links()
        elif kind is FaultKind.WIPE:
            machines = (self.random_source.choice(self.cores),)
        else:
            machines = self._draw_machines(kind in PLANNED_WORK)
        if kind is not FaultKind.ROLL:
            return Fault(kind, round(at, 3), lasts, machines, links, direction)
        gap, rounds = (
            round(self.random_source.uniform(*self.GAP_RANGE_S), 3),
            self.random_source.randint(1, self.MAX_DRAWN_ROUNDS),
        )
        return Fault(kind, round(at, 3), lasts, machines, gap=gap, rounds=rounds)

    def _draw_machines(self, is_planned: bool) -> tuple[str, ...]:
        """Core machines or routers; planned work affects larger groups than other faults."""
        if self.random_source.random() < 0.35:
            max_count = 2 if is_planned else 1
            return self._sample(self.cores, max_count)
        max_count = len(self.routers) if is_planned else max(1, len(self.routers) // 2)
        return self._sample(self.routers, max_count)

    def _sample(self, candidates: list[str], max_count: int) -> tuple[str, ...]:
        return tuple(sorted(self.random_source.sample(candidates, self.random_source.randint(1, max_count))))

    def _draw_cut_links(self) -> tuple[Link, ...]:
        link_draws = [
            self._clients_to_routers,
            self._router_to_cores,
            self._isolated_core,
            self._operators_to_cores,
            self._system_to_server,
            self._system_to_platform,
        ]
        return self.random_source.choice(link_draws)()

    def _draw_answer_loss_links(self) -> tuple[Link, ...]:
        link_draws = [self._clients_to_routers, self._router_to_cores, self._operators_to_cores, self._system_to_server]
        return self.random_source.choice(link_draws)()

    def _clients_to_routers(self) -> tuple[Link, ...]:
        return tuple(Link(CLIENTS, name) for name in self._sample(self.routers, max(1, len(self.routers) // 2)))

    def _router_to_cores(self) -> tuple[Link, ...]:
        router = self.random_source.choice(self.routers)
        return tuple(Link(router, name) for name in self._sample(self.cores, len(self.cores)))

    def _isolated_core(self) -> tuple[Link, ...]:
        isolated = self.random_source.choice(self.cores)
        return tuple(
            link for name in self.cores if name != isolated for link in (Link(isolated, name), Link(name, isolated))
        )

    def _operators_to_cores(self) -> tuple[Link, ...]:
        return tuple(Link(OPERATORS, name) for name in self._sample(self.cores, len(self.cores)))

    def _system_to_server(self) -> tuple[Link, ...]:
        return (Link(SYSTEM, self.random_source.choice(self.servers)),)

    def _system_to_platform(self) -> tuple[Link, ...]:
        return (Link(SYSTEM, PLATFORM),)


# checking ---------------------------------------------------


def check(plan: Plan) -> None:
    """Raises ``InvalidPlan`` if a value is out of bounds, a machine or link is unknown, or too many disks are lost."""
    _check_sizes(plan.seconds, plan.routers)
    if plan.cores != CORE_COUNT or plan.servers != SERVER_COUNT:
        raise InvalidPlan(
            f"cores and servers: expected {CORE_COUNT} and {SERVER_COUNT}, got {plan.cores} and {plan.servers}"
        )
    if not 1 <= plan.clients <= MAX_CLIENTS:
        raise InvalidPlan(f"clients: expected 1 to {MAX_CLIENTS}, got {plan.clients}")
    if not NAMES_APART_RANGE_S[0] <= plan.names_apart <= NAMES_APART_RANGE_S[1]:
        raise InvalidPlan(
            f"names_apart: expected {NAMES_APART_RANGE_S[0]} to {NAMES_APART_RANGE_S[1]}, got {plan.names_apart}"
        )
    if not 0 < plan.changes_per_second <= MAX_CHANGES_PER_SECOND:
        raise InvalidPlan(
            f"changes_per_second: expected over 0 up to {MAX_CHANGES_PER_SECOND}, got {plan.changes_per_second}"
        )
    if not 0 <= plan.applications <= MAX_APPLICATIONS_PER_KIND:
        raise InvalidPlan(f"applications: expected 0 to {MAX_APPLICATIONS_PER_KIND}, got {plan.applications}")
    if len(plan.troubles) > MAX_FAULTS:
        raise InvalidPlan(f"troubles: expected at most {MAX_FAULTS} faults, got {len(plan.troubles)}")
    for number, fault in enumerate(plan.troubles):
        _check_fault(plan, fault, f"troubles[{number}]")
    wipe_count = plan.kinds().get(FaultKind.WIPE, 0)
    if wipe_count > MAX_DISKS_LOST:
        raise InvalidPlan(f"troubles: expected at most {MAX_DISKS_LOST} disks lost in a run, got {wipe_count}")


def _check_sizes(seconds: float, routers: int) -> None:
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        raise InvalidPlan(f"seconds: expected {MIN_SECONDS} to {MAX_SECONDS}, got {seconds}")
    if not MIN_ROUTERS <= routers <= MAX_ROUTERS:
        raise InvalidPlan(f"routers: expected {MIN_ROUTERS} to {MAX_ROUTERS}, got {routers}")


def _check_fault(plan: Plan, fault: Fault, location: str) -> None:
    if not (0 <= fault.at <= plan.seconds and 0 <= fault.lasts <= plan.seconds):
        raise InvalidPlan(f"{location}: at {fault.at} s for {fault.lasts} s is not within the run's {plan.seconds} s")
    is_roll = fault.kind is FaultKind.ROLL
    if not (0 <= fault.gap <= MAX_GAP_S and 1 <= fault.rounds <= MAX_ROUNDS) or (fault.gap and not is_roll):
        raise InvalidPlan(
            f"{location}: expected a gap of 0, or up to {MAX_GAP_S:g} s for a roll, and 1 to {MAX_ROUNDS} rounds"
        )
    acts_on_links = fault.kind in (FaultKind.CUT, FaultKind.LOSE_ANSWERS)
    if bool(fault.links) != acts_on_links or bool(fault.machines) == acts_on_links:
        raise InvalidPlan(
            f"{location}: {fault.kind} needs {'links and no machines' if acts_on_links else 'machines and no links'}"
        )
    cores, machines = numbered_names(core_name, plan.cores), known_machines(plan)
    allowed = cores if fault.kind is FaultKind.WIPE else machines
    if unknown := set(fault.machines) - set(allowed):
        raise InvalidPlan(f"{location}: no such machine for {fault.kind}: {', '.join(sorted(unknown))}")
    if fault.kind is FaultKind.WIPE and len(fault.machines) > MAX_DISKS_LOST:
        raise InvalidPlan(
            f"{location}: expected at most {MAX_DISKS_LOST} disks lost in a wipe, got {len(fault.machines)}"
        )
    for link in fault.links:
        if link not in known_links(plan):
            raise InvalidPlan(f"{location}: no such link: {link.caller} to {link.target}")


def known_machines(plan: Plan) -> list[str]:
    """The machines that run a process, core machines first."""
    return [*numbered_names(core_name, plan.cores), *numbered_names(router_name, plan.routers)]


def known_links(plan: Plan) -> set[Link]:
    """All links on which faults can be injected."""
    cores, routers = numbered_names(core_name, plan.cores), numbered_names(router_name, plan.routers)
    return {
        *(Link(CLIENTS, name) for name in routers),
        *(Link(OPERATORS, name) for name in cores),
        *(Link(router, core) for router in routers for core in cores),
        *(Link(*pair) for pair in [*permutations(cores, 2), *permutations(routers, 2)]),
        *(Link(SYSTEM, name) for name in numbered_names(server_name, plan.servers)),
        Link(SYSTEM, PLATFORM),
    }


# files ------------------------------------------------------


def to_json(plan: Plan) -> bytes:
    """Encodes a plan for its file."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=2) + b"\n"


def from_json(data: bytes) -> Plan:
    """Decodes a plan from its file; raises ``InvalidPlan`` if the data is not a plan or the plan can not be run."""
    try:
        plan = msgspec.json.decode(data, type=Plan)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidPlan(str(error)) from error
    check(plan)
    return plan
