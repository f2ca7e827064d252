"""The events that a soak run records itself, beside those of clients, operators and servers, and events as JSON lines.

Every time is in seconds since the run began, by the clock of the soak process.
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

KIND_FIELD = "kind"  # the field of a line that names the event's class


class BadRecords(ValueError):
    """A file of events that can not be read; the text names the line and the reason."""


@dataclass(frozen=True, slots=True)
class ProcessStarted(Fact):
    """A machine's process was started, which begins a new life; ``log`` is the name of its log file."""

    machine: str
    life: int
    log: str
    front: str = ""  # IP:PORT to which clients send requests; empty unless it is a router


@dataclass(frozen=True, slots=True)
class ProcessSignalled(Fact):
    """The soak process sent a signal to a machine's process."""

    machine: str
    life: int
    signal: str  # SIGTERM, SIGHUP, SIGKILL, SIGSTOP or SIGCONT


@dataclass(frozen=True, slots=True)
class ProcessEnded(Fact):
    """A process exited; ``code`` is the negative signal number if a signal ended it."""

    machine: str
    life: int
    code: int


@dataclass(frozen=True, slots=True)
class TroubleMet(Fact):
    """A fault that was in force from ``at`` to ``until``."""

    until: float
    trouble: FaultKind
    machines: tuple[str, ...] = ()
    links: tuple[Link, ...] = ()


@dataclass(frozen=True, slots=True)
class Recovered(Fact):
    """After the last fault, all processes run and all routers report that they are ready."""


@dataclass(frozen=True, slots=True)
class Lagged(Fact):
    """The soak process woke up this many seconds later than it was due, because its machine was busy."""

    seconds: float


@dataclass(frozen=True, slots=True)
class LoadEnded(Fact):
    """Clients send no further requests and abandon those in flight."""


@dataclass(frozen=True, slots=True)
class ReadBack(Fact):
    """The configuration that an operator read after all faults; ``None`` if it got no answer."""

    config: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Stalled(Fact):
    """The system did not reach a required state in time."""

    what: str


def event_classes() -> dict[str, type[Fact]]:
    """All event classes by name."""
    own_values = globals().values()
    return {
        candidate.__name__: candidate
        for candidate in (*vars(fact_module).values(), *vars(coordination_facts).values(), *own_values)
        if inspect.isclass(candidate) and issubclass(candidate, Fact)
    }


def write(path: Path, events: Iterable[Fact]) -> None:
    """Writes events as JSON lines."""
    with path.open("wb") as file:
        for event in events:
            file.write(orjson.dumps({KIND_FIELD: type(event).__name__} | msgspec.to_builtins(event)) + b"\n")


def read(path: Path) -> list[Fact]:
    """Reads the events from a file written by ``write``."""
    classes, decoded = event_classes(), []
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                fields = orjson.loads(line)
                decoded.append(msgspec.convert(fields, classes[fields.pop(KIND_FIELD)]))
            except (KeyError, TypeError, AttributeError, orjson.JSONDecodeError, msgspec.ValidationError) as error:
                raise BadRecords(f"{path.name}, line {number}: {error}") from error
    return decoded
