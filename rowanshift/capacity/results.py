"""Results as JSON: what was stepped, what was measured at each step, and the lines through the steps."""

import os
import platform
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from rowanshift.capacity.errors import BadResults
from rowanshift.capacity.fit import Line, line

FORMAT = 1
LARGEST = 8 << 20  # bytes


@dataclass(slots=True)
class Step:
    """One size, with its metrics: ``_s`` seconds, ``_cpu_s`` of CPU, else or counts; ``_per_s`` a second."""

    x: int
    metrics: dict[str, float]


@dataclass(slots=True)
class Sweep:
    name: str
    variable: str  # what is stepped
    fixed: dict[str, float]
    steps: list[Step] = field(default_factory=list)
    limit: str = ""  # of each step
    lines: dict[str, Line] = field(default_factory=dict)

    def fit(self) -> None:
        """Fits a line to every metric that all steps have."""
        xs = [step.x for step in self.steps]
        for name in self.steps[0].metrics if self.steps else ():
            ys = [step.metrics[name] for step in self.steps if name in step.metrics]
            if len(ys) == len(xs):
                self.lines[name] = line(xs, ys)


@dataclass(slots=True)
class Results:
    sweeps: list[Sweep] = field(default_factory=list)
    machine: dict[str, Any] = field(default_factory=dict)
    format: int = FORMAT

    def sweep(self, name: str) -> Sweep | None:
        return next((sweep for sweep in self.sweeps if sweep.name == name), None)


def this_machine() -> dict[str, Any]:
    """What the figures were measured on; others may have used it meanwhile."""
    return {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "memory": os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE"),
        "load": [round(value, 2) for value in os.getloadavg()],
        "shared": True,
    }


def written(results: Results) -> bytes:
    return msgspec.json.format(msgspec.json.encode(asdict(results)), indent=1) + b"\n"


def read(path: Path) -> Results:
    """The results in a file; ``BadResults`` if it holds none of this format."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise BadResults(f"{path}: {error.strerror or error}") from error
    if len(data) > LARGEST:
        raise BadResults(f"{path}: over {LARGEST} bytes")
    try:
        raw = msgspec.json.decode(data)
        found = raw["format"]
    except (msgspec.MsgspecError, UnicodeDecodeError, KeyError, TypeError) as error:
        raise BadResults(f"{path}: no results of rowanshift capacity") from error
    if found != FORMAT:
        raise BadResults(f"{path}: results of format {found!r}, this version reads {FORMAT}")
    try:
        return msgspec.convert(raw, Results)
    except msgspec.ValidationError as error:
        raise BadResults(f"{path}: {error}") from error
