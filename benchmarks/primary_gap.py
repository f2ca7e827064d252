"""How long the control plane has no primary, and nobody who may give orders, after each kind of loss: seeds of the
virtual network, in which a process starts in no time. Prints a table in Markdown; times in seconds from the loss.

    python benchmarks/primary_gap.py --seeds 50
"""

import argparse
import statistics
import sys
from collections.abc import Awaitable, Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import trio
from loguru import logger

from rowanshift.simulation.fleet import Fleet, play
from rowanshift.simulation.fleet_troubles import Unit

SETTLES = 6.0  # seconds until the primary may give orders
DRAWN = 1.0  # seconds within which the loss comes
DOWN = 0.5  # seconds until killed processes are started again
APART = 0.3  # seconds within which they start, in any order
LASTS = 4.0  # seconds of a standstill or a cut
LOOKED_AT = 10.0  # seconds from the loss on
LOOK = 0.005  # seconds between looks

Loss = Callable[[Fleet, Unit], Awaitable[None]]


async def one_killed(fleet: Fleet, primary: Unit) -> None:
    """The primary's process ends and comes back."""
    fleet.kill(primary)
    await trio.sleep(DOWN)
    fleet.back(primary)


async def one_gone(fleet: Fleet, primary: Unit) -> None:
    """The primary's machine ends for good."""
    fleet.cut_power(primary)


async def frozen(fleet: Fleet, primary: Unit) -> None:
    """The primary stands still."""
    fleet.freeze(primary)
    await trio.sleep(LASTS)
    fleet.thaw(primary)


async def cut_one_way(fleet: Fleet, primary: Unit) -> None:
    """Nothing that the primary sends arrives."""
    fleet.cut(primary, ways="out")
    await trio.sleep(LASTS)
    fleet.join(primary, ways="out")


async def all_killed(fleet: Fleet, primary: Unit) -> None:
    """Every core process ends and comes back."""
    fleet.kill(*fleet.cores)
    await _back_apart(fleet)


async def all_without_power(fleet: Fleet, primary: Unit) -> None:
    """Every core machine loses power and comes back."""
    fleet.cut_power(*fleet.cores)
    await _back_apart(fleet)


async def rolled(fleet: Fleet, primary: Unit) -> None:
    """Each core machine is told to stop, and starts again, one after another."""
    for unit in fleet.cores:
        fleet.terminate(unit)
        await fleet.until(lambda unit=unit: not unit.machine.running)
        await trio.sleep(DOWN)
        fleet.back(unit)


async def _back_apart(fleet: Fleet) -> None:
    await trio.sleep(DOWN)
    order = fleet.random_source.sample(fleet.cores, len(fleet.cores))
    for unit in order:
        await trio.sleep(fleet.random_source.random() * APART / len(order))
        fleet.back(unit)


LOSSES: dict[str, Loss] = {
    loss.__name__: loss for loss in (one_killed, one_gone, frozen, cut_one_way, all_killed, all_without_power, rolled)
}


@dataclass(frozen=True, slots=True)
class Gaps:
    """The longest stretches, in seconds, without a machine that holds the lease, and without one that may order."""

    primary: float
    orders: float


class Watch:
    """The longest stretch in which something was not so."""

    def __init__(self, now: float) -> None:
        self.since, self.longest = now, 0.0

    def look(self, so: bool, now: float) -> None:
        """Whether it is so at this time."""
        if so:
            self.longest, self.since = max(self.longest, now - self.since), now


def holder(fleet: Fleet) -> Unit | None:
    """The core machine that holds the lease."""
    for unit in fleet.cores:
        host = getattr(unit.program, "replica_runner", None)
        if host is not None and unit.machine.running and not unit.machine.away and host.lease_remaining() > 0:
            return unit
    return None


def may_order(unit: Unit | None, now: float) -> bool:
    """Whether a machine may give orders."""
    return unit is not None and unit.program.replica_runner.replica.singleton_tasks_from <= now


def played(name: str, seed: int) -> Gaps:
    """One loss at a time drawn from the seed."""
    logger.disable("rowanshift")

    async def main(fleet: Fleet) -> Gaps:
        await fleet.start()
        await trio.sleep(SETTLES + DRAWN * fleet.random_source.random())
        began = fleet.now()
        primary, orders = Watch(began), Watch(began)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(LOSSES[name], fleet, holder(fleet))
            while fleet.now() < began + (2.5 if name == "rolled" else 1.0) * LOOKED_AT:
                now, unit = fleet.now(), holder(fleet)
                primary.look(unit is not None, now)
                orders.look(may_order(unit, now), now)
                await trio.sleep(LOOK)
        return Gaps(primary.longest, orders.longest)

    return play(main, f"gap/{name}/{seed}", routers=1, servers=1, strict=False)[0]


def told(values: Sequence[float]) -> str:
    """Median and worst."""
    return f"{statistics.median(values):.2f}, {max(values):.2f}"


def main(arguments: Sequence[str]) -> int:
    """Play and print; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args(arguments)
    print("| loss | without a primary, median and worst s | without a holder of orders |")
    print("| --- | --- | --- |")
    with ProcessPoolExecutor(given.jobs) as pool:
        for name in LOSSES:
            gaps = list(pool.map(played, [name] * given.seeds, range(given.seeds)))
            print(
                f"| {name} | {told([gap.primary for gap in gaps])} | {told([gap.orders for gap in gaps])} |", flush=True
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
