"""What a soak run records beside the facts of clients, operators and servers, and facts as JSON lines.

Every time is in seconds since the run began, by the clock of the soak's own process.
"""

import inspect
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import orjson

from rowanshift.invariants import coordination_facts
from rowanshift.invariants import facts as fact_module
from rowanshift.invariants.facts import Fact
from rowanshift.soak.plan import FaultKind, Link

KIND_FIELD = "kind"  # the field of a line that names the fact's class


class BadRecords(ValueError):
    """A file that holds no records; the text names the line and why."""


@dataclass(frozen=True, slots=True)
class ProcessStarted(Fact):
    """A life of a machine's process begins; ``log`` is the name of its log file."""

    machine: str
    life: int
    log: str
    front: str = ""  # IP:PORT that clients ask, of a router


@dataclass(frozen=True, slots=True)
class ProcessSignalled(Fact):
    """The soak sent a signal to a process."""

    machine: str
    life: int
    signal: str  # SIGTERM, SIGHUP, SIGKILL, SIGSTOP or SIGCONT


@dataclass(frozen=True, slots=True)
class ProcessEnded(Fact):
    """A process is over; ``code`` is minus the signal's number if a signal ended it."""

    machine: str
    life: int
    code: int


@dataclass(frozen=True, slots=True)
class TroubleMet(Fact):
    """A trouble that was brought about, from ``at`` to ``until``."""

    until: float
    trouble: FaultKind
    machines: tuple[str, ...] = ()
    links: tuple[Link, ...] = ()


@dataclass(frozen=True, slots=True)
class Recovered(Fact):
    """After the last trouble, all processes run and all routers say that they are ready."""


@dataclass(frozen=True, slots=True)
class Lagged(Fact):
    """The soak's own process came so many seconds too late to a moment that it waited for."""

    seconds: float


@dataclass(frozen=True, slots=True)
class LoadEnded(Fact):
    """Clients ask nothing more; what was still under way then is left by them."""


@dataclass(frozen=True, slots=True)
class ReadBack(Fact):
    """The operator's last reading of the configuration, after all troubles; none: none came."""

    config: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Stalled(Fact):
    """The system did not reach a state within its time."""

    what: str


def event_classes() -> dict[str, type[Fact]]:
    """All classes of facts by their names."""
    own_values = globals().values()
    return {
        candidate.__name__: candidate
        for candidate in (*vars(fact_module).values(), *vars(coordination_facts).values(), *own_values)
        if inspect.isclass(candidate) and issubclass(candidate, Fact)
    }


def write(path: Path, events: Iterable[Fact]) -> None:
    """Writes facts as JSON lines."""
    with path.open("wb") as file:
        for event in events:
            file.write(orjson.dumps({KIND_FIELD: type(event).__name__} | msgspec.to_builtins(event)) + b"\n")


def read(path: Path) -> list[Fact]:
    """Facts out of a file that ``write`` made."""
    classes, decoded = event_classes(), []
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                fields = orjson.loads(line)
                decoded.append(msgspec.convert(fields, classes[fields.pop(KIND_FIELD)]))
            except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError, msgspec.ValidationError) as error:
                raise BadRecords(f"{path.name}, line {number}: {error}") from error
    return decoded
