"""The cost of changes to a large configuration, and whether all replicas keep up, in the simulated network.

    python benchmarks/changes.py --changes 1000 --routes 400 --tenants 1000

While ten changes per second are put, a core machine is killed, one loses its disk and one is replaced by a spare. For
each fault the time until redundancy is full again is reported; at the end all copies are compared. ``--whole`` sends
the full state with each change, as a baseline.
"""

import argparse
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

import trio
from loguru import logger

sys.path.insert(0, str(Path(__file__).parents[1]))

from rowanshift.controlplane.control_state import unpack
from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.controlplane.replica_connections import ReplicaConnections
from rowanshift.controlplane.replication.core import ReplicaCore
from rowanshift.simulation.fleet import Fleet, Unit, config_of, play

CHANGE_INTERVAL_SECONDS = 0.1
FAULTS = ("kill", "empty_disk", "replace")


@dataclass(slots=True)
class Measurements:
    """The results of a run; times in seconds, sizes in bytes."""

    acknowledged: int = 0
    unclear: int = 0
    bytes_sent: Counter[str] = field(default_factory=Counter)  # between core machines, by kind of message
    until_full: dict[str, float] = field(default_factory=dict)
    state_bytes: int = 0
    behind: list[str] = field(default_factory=list)  # machines whose copy is outdated at the end


def large_configuration(revision: int, routes: int, tenants: int, random_source: random.Random) -> dict[str, Any]:
    """Returns a configuration of the given size in which one route's time-out is new."""
    config = config_of(revision, {f"t{n}": [f"key-{n}-a", f"key-{n}-b"] for n in range(tenants)})
    first_route = config["routes"][0]
    config["routes"] += [
        first_route | {"name": f"r-{n}", "pathPrefix": f"/more-{n}/", "timeoutMs": 5000} for n in range(routes)
    ]
    config["routes"][random_source.randrange(len(config["routes"]))]["timeoutMs"] = 5000 + revision
    return config


def is_full(fleet: Fleet) -> bool:
    """Returns whether the primary has all copies and witnesses."""
    hosts = [unit.program.replica_runner for unit in fleet.cores if unit.machine.running and unit.program]
    return any(host is not None and host.lease_remaining() and host.replica.redundancy().is_full for host in hosts)


async def apply_fault(fleet: Fleet, fault: str, measurements: Measurements) -> None:
    """Injects a fault and records the time from the machine's return until redundancy is full again."""
    unit: Unit = fleet.backups()[0] if fault != "kill" else fleet.primary()
    if fault == "replace":
        fleet.cut_power(unit)
        await trio.sleep(1.0)
        fleet.spare()
    else:
        getattr(fleet, fault)(unit)
        await trio.sleep(1.5)
        fleet.back(unit)
    began = fleet.now()
    await trio.sleep(0.1)
    await fleet.until(lambda: is_full(fleet), 30.0)
    measurements.until_full[fault] = round(fleet.now() - began, 2)


async def put_changes(fleet: Fleet, measurements: Measurements, count: int, routes: int, tenants: int) -> None:
    """Puts ``count`` changes, each based on the newest revision."""
    random_source = random.Random(1)
    for _ in range(count):
        started = fleet.now()
        status = await fleet.put(large_configuration(fleet.sent + 1, routes, tenants, random_source), within=20.0)
        measurements.acknowledged += status == 200
        measurements.unclear += status != 200
        await trio.sleep(max(0.0, started + CHANGE_INTERVAL_SECONDS - fleet.now()))


def measure(count: int, routes: int, tenants: int, whole: bool) -> Measurements:
    """Runs the simulation and returns its measurements."""
    measurements, send = Measurements(), ReplicaConnections.send

    def count_and_send(connections: ReplicaConnections, to: int, message: Any) -> None:
        measurements.bytes_sent[type(message).__name__] += len(CODEC.pack(message))
        send(connections, to, message)

    async def main(fleet: Fleet) -> None:
        await fleet.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_changes, fleet, measurements, count, routes, tenants)
            for fault in FAULTS:
                await trio.sleep(count * CHANGE_INTERVAL_SECONDS / (len(FAULTS) + 1))
                await apply_fault(fleet, fault, measurements)
        await fleet.until(lambda: is_full(fleet), 30.0)
        await trio.sleep(1.0)
        compare(fleet, measurements)

    with (
        mock.patch.object(ReplicaConnections, "send", count_and_send),
        mock.patch.object(
            ReplicaCore, "delta_min_state_bytes", 1 << 40 if whole else ReplicaCore.delta_min_state_bytes
        ),
    ):
        play(main, "changes", within=100 + 20 * count * CHANGE_INTERVAL_SECONDS)
    return measurements


def compare(fleet: Fleet, measurements: Measurements) -> None:
    """Records the in-sync machines that do not hold the newest acknowledged configuration."""
    primary = fleet.primary().program.replica_runner.replica
    measurements.state_bytes = len(primary.committed_state)
    for unit in fleet.cores:
        if unit.program is None or not unit.machine.running or unit.program.machine not in primary.record.in_sync:
            continue
        copy = unit.program.replica_runner.replica._durable
        if unpack(copy.state).revision < fleet.revision:
            measurements.behind.append(unit.name)


def main(arguments: list[str] | None = None) -> int:
    """Returns the exit status: 1 if a copy lacks an acknowledged change."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--routes", type=int, default=400)
    parser.add_argument("--tenants", type=int, default=1000)
    parser.add_argument("--whole", action="store_true")
    options = parser.parse_args(arguments)
    logger.disable("rowanshift")
    measurements = measure(options.changes, options.routes, options.tenants, options.whole)
    print(
        f"{measurements.acknowledged} acknowledged, {measurements.unclear} unclear; "
        f"the state is {measurements.state_bytes} bytes"
    )
    for kind in ("Store", "StoreDelta", "Heartbeat"):
        print(f"{kind}: {measurements.bytes_sent[kind] / max(1, measurements.acknowledged):.0f} bytes a change")
    for fault, seconds in measurements.until_full.items():
        print(f"{fault}: redundancy full {seconds:.2f} s after the return")
    print(f"behind at the end: {', '.join(measurements.behind) or 'none'}")
    return bool(measurements.behind)


if __name__ == "__main__":
    raise SystemExit(main())
