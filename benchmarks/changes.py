"""Hundreds of changes of a large configuration, in the virtual network: what each costs, and who keeps up.

    python benchmarks/changes.py --changes 1000 --routes 400 --tenants 1000

A core machine is killed, one loses its disk, one is replaced by a spare while changes go on at ten a second. Each is
told how long it took until redundancy was full again; at the end all copies are compared. ``--whole`` sends each
change as a whole state, to be compared with.
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

PACE = 0.1  # seconds from one change to the next
TROUBLES = ("kill", "empty_disk", "replace")


@dataclass(slots=True)
class Measured:
    """What a play came to; times in seconds, sizes in bytes."""

    acknowledged: int = 0
    unclear: int = 0
    bytes_sent: Counter[str] = field(default_factory=Counter)  # between core machines, by kind of message
    until_full: dict[str, float] = field(default_factory=dict)
    state_bytes: int = 0
    behind: list[str] = field(default_factory=list)  # machines whose copy is not the newest at the end


def large_configuration(revision: int, routes: int, tenants: int, draw: random.Random) -> dict[str, Any]:
    """A configuration of that size, in which one route's time-out differs from all before."""
    made = config_of(revision, {f"t{n}": [f"key-{n}-a", f"key-{n}-b"] for n in range(tenants)})
    plain = made["routes"][0]
    made["routes"] += [
        plain | {"name": f"r-{n}", "pathPrefix": f"/more-{n}/", "timeoutMs": 5000} for n in range(routes)
    ]
    made["routes"][draw.randrange(len(made["routes"]))]["timeoutMs"] = 5000 + revision
    return made


def is_full(fleet: Fleet) -> bool:
    """Whether the primary sees all copies and witnesses."""
    hosts = [unit.program.replica_runner for unit in fleet.cores if unit.machine.running and unit.program]
    return any(host is not None and host.lease_remaining() and host.replica.redundancy().is_full for host in hosts)


async def suffer(fleet: Fleet, trouble: str, measured: Measured) -> None:
    """One trouble, and the time from the machine's return until redundancy is full again."""
    unit: Unit = fleet.backups()[0] if trouble != "kill" else fleet.primary()
    if trouble == "replace":
        fleet.cut_power(unit)
        await trio.sleep(1.0)
        fleet.spare()
    else:
        getattr(fleet, trouble)(unit)
        await trio.sleep(1.5)
        fleet.back(unit)
    began = fleet.now()
    await trio.sleep(0.1)
    await fleet.until(lambda: is_full(fleet), 30.0)
    measured.until_full[trouble] = round(fleet.now() - began, 2)


async def change(fleet: Fleet, measured: Measured, count: int, routes: int, tenants: int) -> None:
    """So many changes, each on top of the newest."""
    draw = random.Random(1)
    for _ in range(count):
        at = fleet.now()
        status = await fleet.put(large_configuration(fleet.sent + 1, routes, tenants, draw), within=20.0)
        measured.acknowledged += status == 200
        measured.unclear += status != 200
        await trio.sleep(max(0.0, at + PACE - fleet.now()))


def measure(count: int, routes: int, tenants: int, whole: bool) -> Measured:
    """Plays it and counts."""
    measured, send = Measured(), ReplicaConnections.send

    def counted(connections: ReplicaConnections, to: int, message: Any) -> None:
        measured.bytes_sent[type(message).__name__] += len(CODEC.pack(message))
        send(connections, to, message)

    async def main(fleet: Fleet) -> None:
        await fleet.start()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, fleet, measured, count, routes, tenants)
            for trouble in TROUBLES:
                await trio.sleep(count * PACE / (len(TROUBLES) + 1))
                await suffer(fleet, trouble, measured)
        await fleet.until(lambda: is_full(fleet), 30.0)
        await trio.sleep(1.0)
        compare(fleet, measured)

    with (
        mock.patch.object(ReplicaConnections, "send", counted),
        mock.patch.object(
            ReplicaCore, "delta_min_state_bytes", 1 << 40 if whole else ReplicaCore.delta_min_state_bytes
        ),
    ):
        play(main, "changes", within=100 + 20 * count * PACE)
    return measured


def compare(fleet: Fleet, measured: Measured) -> None:
    """Which in-sync machines do not hold the newest acknowledged configuration."""
    primary = fleet.primary().program.replica_runner.replica
    measured.state_bytes = len(primary.committed_state)
    for unit in fleet.cores:
        if unit.program is None or not unit.machine.running or unit.program.machine not in primary.record.in_sync:
            continue
        held = unit.program.replica_runner.replica._durable
        if unpack(held.state).revision < fleet.revision:
            measured.behind.append(unit.name)


def main(arguments: list[str] | None = None) -> int:
    """The exit code: 1 if a copy is behind or an acknowledged change is not there."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--changes", type=int, default=1000)
    parser.add_argument("--routes", type=int, default=400)
    parser.add_argument("--tenants", type=int, default=1000)
    parser.add_argument("--whole", action="store_true")
    given = parser.parse_args(arguments)
    logger.disable("rowanshift")
    measured = measure(given.changes, given.routes, given.tenants, given.whole)
    print(
        f"{measured.acknowledged} acknowledged, {measured.unclear} unclear; the state is {measured.state_bytes} bytes"
    )
    for kind in ("Store", "StoreDelta", "Heartbeat"):
        print(f"{kind}: {measured.bytes_sent[kind] / max(1, measured.acknowledged):.0f} bytes a change")
    for trouble, seconds in measured.until_full.items():
        print(f"{trouble}: redundancy full {seconds:.2f} s after the return")
    print(f"behind at the end: {', '.join(measured.behind) or 'none'}")
    return bool(measured.behind)


if __name__ == "__main__":
    raise SystemExit(main())
