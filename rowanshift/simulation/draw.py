"""Random cache proxy scenarios: a fleet, its load, and overlapping faults of all kinds."""

import random

import msgspec

from rowanshift.simulation.scenario import CATEGORIES, CategoryRow, Fault, Fleet, Links, Scenario, Work

SIZES = {"small": (3, 10, 100.0, 30.0), "grown": (60, 40, 1500.0, 30.0)}  # routers, caches, rate, seconds
ORIGIN_FETCH_SHARE = 0.3  # of the requests, writes included, that go to the origin without faults
FIRST_FAULT_S, LAST_FAULT_FRACTION = 3.0, 0.8  # start of the first fault; fraction of the run in which faults start

# kind: weight, minimum and maximum seconds, minimum and maximum value
FAULT_DISTRIBUTIONS: dict[str, tuple[float, float, float, float, float]] = {
    "void": (1, 0, 0, 0.3, 0.96),
    "die": (2, 2, 10, 0, 0),
    "vanish": (2, 2, 10, 0, 0),
    "reborn": (1, 0.5, 4, 0, 0),
    "moved": (1, 0.5, 4, 0, 0),
    "stall": (2, 0.2, 4, 0, 0),
    "stutter": (1, 3, 10, 0.19, 0.5),
    "slow": (2, 2, 10, 0.15, 0.6),
    "deploy": (2, 8, 20, 0.4, 0.9),
    "shrink": (1, 4, 10, 0.4, 0.8),
    "grow": (1, 1, 5, 1, 5),
    "drain": (3, 0, 0, 0, 0),
    "drain_lost": (1, 1, 3, 0, 0),
    "weights": (1, 3, 10, 0.3, 2),
    "cut": (3, 1, 6, 0, 0),
    "lean": (1, 3, 10, 0, 0),
    "rate": (1, 2, 8, 1.5, 4),
    "hot": (1, 4, 12, 0.1, 0.5),
    "shift": (1, 0, 0, 0, 0),
    "spoil": (2, 2, 8, 0.05, 0.5),
    "flood": (1, 2, 6, 50, 400),
    "halves": (1, 2, 8, 0.02, 0.2),
    "one_off": (1, 2, 8, 0.2, 1),
    "kill": (2, 0.5, 5, 0, 0),
    "restart": (2, 0.1, 2, 0, 0),
    "reload": (1, 0, 0, 0, 0),
    "list_late": (1, 3, 8, 1, 4),
    "list_silent": (1, 2, 6, 0, 0),
    "list_broken": (1, 1, 4, 0, 0),
    "list_failing": (1, 1, 4, 0, 0),
    "list_over": (2, 0, 0, 0, 0),
    "lose": (1, 1, 5, 0, 0),
}
ORIGIN_FAULTS = ("stall", "slow")  # kinds that may also be applied to the origin
ROUTER_FAULTS = ("stall",)  # kinds that may also be applied to routers


def draw_scenario(seed: int, size: str = "small") -> Scenario:
    """Return the scenario of a seed."""
    random_source = random.Random(f"{seed}/scenario")
    routers, caches, rate, seconds = SIZES[size]
    pick, between = random_source.choice, random_source.uniform
    fleet = Fleet(
        routers=routers,
        caches=caches,
        sites=pick([1, 2, 2, 3]),
        cores=pick([1, 2, 4]),
        queue=pick([8, 32, 64]),
        descriptors=pick([96, 256, 1024]),
        start_share=between(0.1, 0.4),
        warm_within_s=between(8, 24),
        overload_factor=between(1.5, 4),
        overload_for_s=between(0.8, 3),
        grace_s=pick([0.5, 1.0]),
        throws_away=pick([True, False]),
        peers=pick([True, False]),
        ask=pick([True, False, False]),
        list_late_s=between(0.2, 3),
        skew_s=pick([0, 0, 0.02, 0.4]),
        dial_s=pick([0.25, 0.25, 1.5]),
        max_hand_offs=pick([2, 4, 5, 6]),
        retry_after_s=pick([0.0, 1.0, 2.0]),
        idle_s=pick([1.0, 5.0, 20.0]),
        origin_cores=max(2, round(ORIGIN_FETCH_SHARE * Work().origin_fetch_s * rate * between(1.5, 3))),
    )
    work = Work(
        rate=rate * between(0.9, 1.2),
        keys=pick([50, 400, 2000]),
        zipf=between(0.6, 1.2),
        retries=pick([0, 1, 2, 3]),
        wait_s=pick([0.0, 0.2, 0.5]),
        patience=between(0.5, 1),
        one_off=pick([0.0, 0.05, 0.3]),
        halves=pick([0.0, 0.0, 0.01]),
        warm=pick([True, True, False]),
    )
    links = Links(
        across_s=between(0.001, 0.006),
        partial=pick([0.0, 0.02, 0.3]),
        window=pick([512, 4096, 65536]),
        lost=between(0, 0.1),
    )
    # busy_fraction: share of the fleet's cores that the load keeps busy
    drawn_categories, busy_fraction = draw_categories(random_source), pick([0.1, 0.2, 0.4, 0.6, 0.8])
    speed = (fleet.slowest + fleet.fastest) / 2
    wanted_work_s = busy_fraction * caches * fleet.cores * speed / work.rate  # mean work per request for that load
    mean_work_s = sum(category.share * category.work_s for category in drawn_categories) / sum(
        category.share for category in drawn_categories
    )
    drawn_categories = [
        msgspec.structs.replace(category, work_s=min(0.15, category.work_s * wanted_work_s / mean_work_s))
        for category in drawn_categories
    ]
    return Scenario(
        f"seed-{seed}",
        seed,
        seconds,
        fleet,
        work,
        links,
        drawn_categories,
        draw_faults(random_source, seconds, pick([1, 2, 3, 4, 6, 8])),
    )


def draw_categories(random_source: random.Random) -> list[CategoryRow]:
    """Return the default categories, some of them with other retry rules and some with writes at the caches."""
    rows = [*CATEGORIES]
    if random_source.random() < 0.3:
        rows[1] = msgspec.structs.replace(rows[1], group="zone", window_s=random_source.uniform(1, 5))
    if random_source.random() < 0.3:  # requests with side effects at the caches
        rows.append(CategoryRow("once", 0.1, 0.5, 2.0, "unsafe", "", 0.0, 4.0, 0.02))
    if random_source.random() < 0.3:
        group = random_source.choice(["all", "zone"])
        rows.append(CategoryRow("mark", 0.1, 0.5, 2.0, "keyed", group, 3.0, 2.0, 0.02))
    return rows


def draw_faults(random_source: random.Random, seconds: float, count: int) -> list[Fault]:
    """Draw ``count`` faults, ordered by time."""
    faults = []
    for what in random_source.choices(
        [*FAULT_DISTRIBUTIONS], [distribution[0] for distribution in FAULT_DISTRIBUTIONS.values()], k=count
    ):
        _, min_seconds, max_seconds, min_value, max_value = FAULT_DISTRIBUTIONS[what]
        who = ""
        if what in ORIGIN_FAULTS and random_source.random() < 0.3:
            who = "origin"
        elif what in ROUTER_FAULTS and random_source.random() < 0.4:
            who = f"r{random_source.randrange(3)}"
        faults.append(
            Fault(
                round(random_source.uniform(FIRST_FAULT_S, LAST_FAULT_FRACTION * seconds), 3),
                what,
                who,
                round(random_source.uniform(min_seconds, max_seconds), 3),
                round(random_source.uniform(min_value, max_value), 3),
            )
        )
    return sorted(faults, key=lambda fault: fault.at_s)
