"""Results as JSON: the stepped variable, the metrics of each step, and the lines fitted to the steps."""

import os
import platform
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from rowanshift.capacity.errors import BadResults
from rowanshift.capacity.fit import Line, fit_line

FORMAT_VERSION = 1
MAX_FILE_BYTES = 8 << 20


@dataclass(slots=True)
class Step:
    """The metrics at one size. The suffix gives the unit: ``_s`` seconds, ``_cpu_s`` CPU seconds, ``_per_s`` per
    second; others are bytes or counts."""

    x: int
    metrics: dict[str, float]


@dataclass(slots=True)
class Sweep:
    name: str
    variable: str
    fixed: dict[str, float]
    steps: list[Step] = field(default_factory=list)
    limit: str = ""  # the limits on each step
    lines: dict[str, Line] = field(default_factory=dict)

    def fit(self) -> None:
        """Fits a line to each metric that every step has."""
        xs = [step.x for step in self.steps]
        for name in self.steps[0].metrics if self.steps else ():
            ys = [step.metrics[name] for step in self.steps if name in step.metrics]
            if len(ys) == len(xs):
                self.lines[name] = fit_line(xs, ys)


@dataclass(slots=True)
class Results:
    sweeps: list[Sweep] = field(default_factory=list)
    machine: dict[str, Any] = field(default_factory=dict)
    format: int = FORMAT_VERSION

    def sweep(self, name: str) -> Sweep | None:
        return next((sweep for sweep in self.sweeps if sweep.name == name), None)


def describe_machine() -> dict[str, Any]:
    """Describes the measuring machine, which other work may have shared."""
    return {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "memory": os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE"),
        "load": [round(value, 2) for value in os.getloadavg()],
        "shared": True,
    }


def encode_results(results: Results) -> bytes:
    return msgspec.json.format(msgspec.json.encode(asdict(results)), indent=1) + b"\n"


def read_results(path: Path) -> Results:
    """Reads a results file. Raises ``BadResults`` if it is unreadable, malformed or of another format version."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise BadResults(f"{path}: {error.strerror or error}") from error
    if len(data) > MAX_FILE_BYTES:
        raise BadResults(f"{path}: over {MAX_FILE_BYTES} bytes")
    try:
        raw = msgspec.json.decode(data)
        found = raw["format"]
    except (msgspec.MsgspecError, UnicodeDecodeError, KeyError, TypeError) as error:
        raise BadResults(f"{path}: not a results file of rowanshift capacity") from error
    if found != FORMAT_VERSION:
        raise BadResults(f"{path}: results of format {found!r}, this version reads {FORMAT_VERSION}")
    try:
        return msgspec.convert(raw, Results)
    except msgspec.ValidationError as error:
        raise BadResults(f"{path}: {error}") from error
