"""A scenario from a seed: a fleet, its work, and overlapping troubles of every kind that is known."""

import random

import msgspec

from rowanshift.simulation.scenario import CATEGORIES, CategoryRow, Fleet, Links, Scenario, Trouble, Work

SIZES = {"small": (3, 10, 100.0, 30.0), "grown": (60, 40, 1500.0, 30.0)}  # routers, caches, rate, seconds
FETCHES = 0.3  # of the work, with writes, that goes to the origin while all is well
FIRST, LAST = 3.0, 0.8  # seconds until the first trouble; part of the time in which the last begins

# kind: weight, shortest and longest seconds, least and largest value
KINDS: dict[str, tuple[float, float, float, float, float]] = {
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
OF_ORIGIN = ("stall", "slow")  # may befall it as well
OF_ROUTERS = ("stall",)


def scenario(seed: int, size: str = "small") -> Scenario:
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
        origin_cores=max(2, round(FETCHES * Work().origin_fetch_s * rate * between(1.5, 3))),
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
    rows, load = categories(random_source), pick([0.1, 0.2, 0.4, 0.6, 0.8])  # part of the fleet's cores that is busy
    speed = (fleet.slowest + fleet.fastest) / 2
    wanted = load * caches * fleet.cores * speed / work.rate  # seconds of work of a work item
    mean = sum(row.share * row.work_s for row in rows) / sum(row.share for row in rows)
    rows = [msgspec.structs.replace(row, work_s=min(0.15, row.work_s * wanted / mean)) for row in rows]
    return Scenario(
        f"seed-{seed}",
        seed,
        seconds,
        fleet,
        work,
        links,
        rows,
        troubles(random_source, seconds, pick([1, 2, 3, 4, 6, 8])),
    )


def categories(random_source: random.Random) -> list[CategoryRow]:
    """The plain ones, with writes that may go again within a zone or not at all."""
    rows = [*CATEGORIES]
    if random_source.random() < 0.3:
        rows[1] = msgspec.structs.replace(rows[1], group="zone", window_s=random_source.uniform(1, 5))
    if random_source.random() < 0.3:  # effects at the caches themselves
        rows.append(CategoryRow("once", 0.1, 0.5, 2.0, "unsafe", "", 0.0, 4.0, 0.02))
    if random_source.random() < 0.3:
        group = random_source.choice(["all", "zone"])
        rows.append(CategoryRow("mark", 0.1, 0.5, 2.0, "keyed", group, 3.0, 2.0, 0.02))
    return rows


def troubles(random_source: random.Random, seconds: float, count: int) -> list[Trouble]:
    rows = []
    for what in random_source.choices([*KINDS], [row[0] for row in KINDS.values()], k=count):
        _, shortest, longest, least, largest = KINDS[what]
        who = ""
        if what in OF_ORIGIN and random_source.random() < 0.3:
            who = "origin"
        elif what in OF_ROUTERS and random_source.random() < 0.4:
            who = f"r{random_source.randrange(3)}"
        rows.append(
            Trouble(
                round(random_source.uniform(FIRST, LAST * seconds), 3),
                what,
                who,
                round(random_source.uniform(shortest, longest), 3),
                round(random_source.uniform(least, largest), 3),
            )
        )
    return sorted(rows, key=lambda row: row.at_s)
