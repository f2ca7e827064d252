"""How long the control plane has no primary, and no machine that may give orders, after each kind of loss.

Runs seeds of the simulated network, in which processes start instantly. Prints a Markdown table; times are in seconds
from the loss.

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

SETTLE_SECONDS = 6.0  # by then the primary may give orders
LOSS_WINDOW_SECONDS = 1.0  # the loss comes at a random time within it
RESTART_DELAY_SECONDS = 0.5  # until killed processes are restarted
RESTART_SPREAD_SECONDS = 0.3  # processes restart within it, in random order
FAULT_SECONDS = 4.0  # duration of a freeze or a network cut
OBSERVATION_SECONDS = 10.0  # from the loss on
POLL_SECONDS = 0.005

Loss = Callable[[Fleet, Unit], Awaitable[None]]


async def one_killed(fleet: Fleet, primary: Unit) -> None:
    """Kills the primary's process and restarts it."""
    fleet.kill(primary)
    await trio.sleep(RESTART_DELAY_SECONDS)
    fleet.back(primary)


async def one_gone(fleet: Fleet, primary: Unit) -> None:
    """Cuts the power of the primary's machine for good."""
    fleet.cut_power(primary)


async def frozen(fleet: Fleet, primary: Unit) -> None:
    """Freezes the primary's process, then resumes it."""
    fleet.freeze(primary)
    await trio.sleep(FAULT_SECONDS)
    fleet.thaw(primary)


async def cut_one_way(fleet: Fleet, primary: Unit) -> None:
    """Drops everything that the primary sends, for a time."""
    fleet.cut(primary, ways="out")
    await trio.sleep(FAULT_SECONDS)
    fleet.join(primary, ways="out")


async def all_killed(fleet: Fleet, primary: Unit) -> None:
    """Kills every core process and restarts them."""
    fleet.kill(*fleet.cores)
    await _restart_in_random_order(fleet)


async def all_without_power(fleet: Fleet, primary: Unit) -> None:
    """Cuts the power of every core machine and restarts them."""
    fleet.cut_power(*fleet.cores)
    await _restart_in_random_order(fleet)


async def rolled(fleet: Fleet, primary: Unit) -> None:
    """Rolling restart: terminates and restarts the core machines one after another."""
    for unit in fleet.cores:
        fleet.terminate(unit)
        await fleet.until(lambda unit=unit: not unit.machine.running)
        await trio.sleep(RESTART_DELAY_SECONDS)
        fleet.back(unit)


async def _restart_in_random_order(fleet: Fleet) -> None:
    await trio.sleep(RESTART_DELAY_SECONDS)
    order = fleet.random_source.sample(fleet.cores, len(fleet.cores))
    for unit in order:
        await trio.sleep(fleet.random_source.random() * RESTART_SPREAD_SECONDS / len(order))
        fleet.back(unit)


LOSSES: dict[str, Loss] = {
    loss.__name__: loss for loss in (one_killed, one_gone, frozen, cut_one_way, all_killed, all_without_power, rolled)
}


@dataclass(frozen=True, slots=True)
class Gaps:
    """Longest times, in seconds, without a lease holder and without a machine that may give orders."""

    primary: float
    orders: float


class GapTracker:
    """Tracks the longest time between observations of a condition that held."""

    def __init__(self, now: float) -> None:
        self.since, self.longest = now, 0.0

    def observe(self, condition: bool, now: float) -> None:
        """Records whether the condition holds at a time."""
        if condition:
            self.longest, self.since = max(self.longest, now - self.since), now


def lease_holder(fleet: Fleet) -> Unit | None:
    """Returns the core machine that holds the lease, or None."""
    for unit in fleet.cores:
        host = getattr(unit.program, "replica_runner", None)
        if host is not None and unit.machine.running and not unit.machine.away and host.lease_remaining() > 0:
            return unit
    return None


def may_give_orders(unit: Unit | None, now: float) -> bool:
    """Returns whether a machine may give orders."""
    return unit is not None and unit.program.replica_runner.replica.singleton_tasks_from <= now


def measure_gaps(name: str, seed: int) -> Gaps:
    """Simulates one loss at a time drawn from the seed."""
    logger.disable("rowanshift")

    async def main(fleet: Fleet) -> Gaps:
        await fleet.start()
        await trio.sleep(SETTLE_SECONDS + LOSS_WINDOW_SECONDS * fleet.random_source.random())
        started = fleet.now()
        primary, orders = GapTracker(started), GapTracker(started)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(LOSSES[name], fleet, lease_holder(fleet))
            while fleet.now() < started + (2.5 if name == "rolled" else 1.0) * OBSERVATION_SECONDS:
                now, unit = fleet.now(), lease_holder(fleet)
                primary.observe(unit is not None, now)
                orders.observe(may_give_orders(unit, now), now)
                await trio.sleep(POLL_SECONDS)
        return Gaps(primary.longest, orders.longest)

    return play(main, f"gap/{name}/{seed}", routers=1, servers=1, strict=False)[0]


def median_and_worst(values: Sequence[float]) -> str:
    """Formats the median and the maximum."""
    return f"{statistics.median(values):.2f}, {max(values):.2f}"


def main(arguments: Sequence[str]) -> int:
    """Runs the simulations, prints the table and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args(arguments)
    print("| loss | without a primary, median and worst s | without a holder of orders |")
    print("| --- | --- | --- |")
    with ProcessPoolExecutor(options.jobs) as pool:
        for name in LOSSES:
            gaps = list(pool.map(measure_gaps, [name] * options.seeds, range(options.seeds)))
            print(
                f"| {name} | {median_and_worst([gap.primary for gap in gaps])} "
                f"| {median_and_worst([gap.orders for gap in gaps])} |",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
