"""Random control plane scenarios: overlapping faults of the core, operator actions, and lost acknowledgements.

A scenario consists of rounds. In each round, some core machines, no more than may be lost at once, have several
overlapping faults; then there is time until they are in sync again. A round may also kill or cut the power of the
whole core at once, or stop more machines than may be lost while their disks stay intact: even then nothing that was
acknowledged may be lost. Times are in seconds.
"""

import random
from dataclasses import dataclass

import msgspec

from rowanshift.simulation.core_scenario import (
    TRIGGER_TIMEOUT_S,
    CoreExpect,
    CoreFault,
    CoreFleet,
    CoreLoad,
    CoreScenario,
    target_names,
)

FLEET_SIZES = (
    CoreFleet(),
    CoreFleet(servers=6, fencing=False, load_s=1.2, revoke_s=5.0),
    CoreFleet(cores=5, lost_at_once=2, revoke_s=2.0),
    CoreFleet(cores=5, servers=6, lost_at_once=2, fencing=False, load_s=1.2),
    CoreFleet(servers=6, load_s=3.0),  # versions announced in quick succession leave servers behind
)
FIRST_ROUND_S, LAST_ROUND_S = 1.5, 22.0
SYNC_S = 4.5  # after the last fault of a round, for all core machines to get in sync again
ROUND_S = 4.0  # within which the faults of a round begin
END_S = 2.0
READ_EVERY_S = 0.15
ROLLOUT_LEAD_S = 0.6  # from the announcement of a version to the cut of the primary
SLOW_DISK_LEAD_S = 0.5  # from the start of a slow disk to the loss of the whole core
WHOLE_CORE_SHARE = 0.35  # of rounds in which the whole core is lost at once
PRIMARY_WIPED_SHARE = 0.6  # of these rounds, with loss of the primary's disk as well
BACKUP_SLOW_SHARE = 0.6  # of these rounds, with a slow disk at the backup
EXTRA_FAULT_SHARE = 0.25  # of rounds in which more machines stop than may be lost
ROUTER_SHARE = 0.4  # of rounds in which a router gets a signal or has a fault
ROLE_SHARE = 0.5  # of rounds in which the first target is a role instead of a machine
ROLES = ("primary", "backup")
COORDINATION_SHARE = 0.5  # of roles whose faults hit the primary of coordination instead, with applications
TRIGGERS = ("", "", "", "acknowledgement", "takeover")
WHOLE_CORE_FAULTS = ("power", "kill")
EXTRA_FAULTS = ("cut", "freeze", "part")


@dataclass(frozen=True, slots=True)
class FaultDistribution:
    """Weight of a fault kind, and the ranges of its duration in seconds and of its value."""

    weight: float
    min_seconds: float
    max_seconds: float
    min_value: float = 0.0
    max_value: float = 0.0


CORE_FAULTS = {
    "cut": FaultDistribution(3, 0.3, 6.0),
    "freeze": FaultDistribution(3, 0.2, 6.0),
    "kill": FaultDistribution(2, 0.1, 3.0),
    "power": FaultDistribution(2, 0.1, 3.0),
    "wipe": FaultDistribution(2, 0.1, 3.0),
    "slow_disk": FaultDistribution(2, 0.5, 5.0, 20, 600),
    "hang_disk": FaultDistribution(2, 0.2, 4.0),
    "refuse_disk": FaultDistribution(1, 0.5, 4.0),
    "clock": FaultDistribution(1, 0.0, 0.0, -60, 60),
    "terminate": FaultDistribution(2, 0.1, 1.0),
}
OPERATOR_ACTIONS = {
    "race": FaultDistribution(3, 0, 0),
    "lose_acks": FaultDistribution(3, 0.5, 4.0, 0.3, 1.0),
    "send_again": FaultDistribution(3, 0, 0, 0, 5),
    "patch": FaultDistribution(3, 0, 0),
    "revoke": FaultDistribution(3, 0, 0),
    "changes": FaultDistribution(2, 1.0, 3.0, 3, 20),
    "version": FaultDistribution(2, 0, 0),
    "versions": FaultDistribution(2, 4.0, 14.0, 3, 8),
}
ROUTER_FAULTS = {
    "terminate": FaultDistribution(1, 0.5, 0.5),
    "hang_up": FaultDistribution(1, 0.0, 0.0),
    "freeze": FaultDistribution(1, 0.3, 7.0),
    "kill": FaultDistribution(1, 0.1, 1.0),
}


def draw_core_scenario(seed: int, applications: int = 0) -> CoreScenario:
    """Return the scenario of a seed, with ``applications`` users of coordination of each kind."""
    random_source = random.Random(f"{seed}/core")
    fleet = random_source.choice(FLEET_SIZES)
    faults: list[CoreFault] = []
    at = FIRST_ROUND_S
    while at < LAST_ROUND_S:
        round_faults = _draw_round(random_source, fleet, at)
        faults += round_faults
        ends = max(_latest_end(fault) for fault in round_faults)
        faults += _operator_actions(random_source, at, ends)
        at = ends + SYNC_S
    seconds = round(at - SYNC_S + END_S, 3)
    load = CoreLoad(
        clients=4,
        change_every_s=random_source.choice([0.2, 0.7, 2.0]),
        read_every_s=READ_EVERY_S,
        applications=applications,
    )
    if applications:
        faults = _retarget_to_coordination(random.Random(f"{seed}/coordination"), faults)
    sorted_faults = sorted(faults, key=lambda fault: fault.at_s)
    return CoreScenario(
        name=f"core-seed-{seed}",
        seed=seed,
        seconds=seconds,
        fleet=fleet,
        load=load,
        expect=CoreExpect(served=0.0),
        trouble=sorted_faults,
    )


def _retarget_to_coordination(random_source: random.Random, faults: list[CoreFault]) -> list[CoreFault]:
    """Return the same faults, with those of some roles aimed at the primary of the coordination state instead.

    Either all faults of a role are retargeted or none: otherwise more disks might be lost at once than allowed.
    """
    targets = [role for role in ROLES if random_source.random() < COORDINATION_SHARE]
    retargeted = []
    for fault in faults:
        if any(role in target_names(fault) for role in targets):
            fault = msgspec.structs.replace(fault, who=["coordinator"])
        retargeted.append(fault)
    return retargeted


def _latest_end(fault: CoreFault) -> float:
    return fault.at_s + fault.for_s + (TRIGGER_TIMEOUT_S if fault.after else 0.0)


def _draw_fault(
    random_source: random.Random, kind: str, distribution: FaultDistribution, at: float, who: list[str], after: str = ""
) -> CoreFault:
    return CoreFault(
        round(at, 3),
        kind,
        who,
        round(random_source.uniform(distribution.min_seconds, distribution.max_seconds), 3),
        round(random_source.uniform(distribution.min_value, distribution.max_value), 3),
        random_source.choice(["both", "both", "in", "out"]),
        after,
    )


def _draw_round(random_source: random.Random, fleet: CoreFleet, at: float) -> list[CoreFault]:
    if random_source.random() < WHOLE_CORE_SHARE:
        return _whole_core_faults(random_source, at)
    cores = [f"core-{n}" for n in range(fleet.cores)]
    victims = random_source.sample(cores, random_source.randint(1, fleet.lost_at_once))
    if random_source.random() < ROLE_SHARE:
        victims[0] = random_source.choice(ROLES)
    faults: list[CoreFault] = []
    for victim in victims:
        drawn_kinds = random_source.choices(
            [*CORE_FAULTS],
            [distribution.weight for distribution in CORE_FAULTS.values()],
            k=random_source.randint(1, 3),
        )
        # a role gets each kind once at most, because another machine may have the role the next time
        kinds = dict.fromkeys(drawn_kinds) if victim in ROLES else drawn_kinds
        for kind in kinds:
            after = random_source.choice(TRIGGERS)
            drawn_at = at + ROUND_S * random_source.random()
            faults.append(_draw_fault(random_source, kind, CORE_FAULTS[kind], drawn_at, [victim], after))
            if kind == "cut" and victim == "primary":  # so that the cut hits a rollout
                faults.append(CoreFault(round(drawn_at - ROLLOUT_LEAD_S, 3), "version"))
    if random_source.random() < EXTRA_FAULT_SHARE:
        faults += _extra_fault(random_source, cores, victims, at)
    if random_source.random() < ROUTER_SHARE:
        kind = random_source.choice([*ROUTER_FAULTS])
        faults.append(
            _draw_fault(random_source, kind, ROUTER_FAULTS[kind], at + ROUND_S * random_source.random(), ["router-0"])
        )
    return faults


def _whole_core_faults(random_source: random.Random, at: float) -> list[CoreFault]:
    """Stop the whole core at once, at a given time or right after an acknowledgement.

    The primary may lose its disk as well, and the backup's disk may be slow, so that its copy may be unsynced.
    """
    kind = random_source.choice(WHOLE_CORE_FAULTS)
    after = random_source.choice(["", "acknowledgement", "acknowledgement"])
    when = at + ROUND_S * random_source.random()
    faults = [_draw_fault(random_source, kind, CORE_FAULTS[kind], when, ["core"], after)]
    if random_source.random() < PRIMARY_WIPED_SHARE:
        faults.append(_draw_fault(random_source, "wipe", CORE_FAULTS["wipe"], when, ["primary"], after))
    if random_source.random() < BACKUP_SLOW_SHARE:
        faults.append(
            _draw_fault(
                random_source, "slow_disk", CORE_FAULTS["slow_disk"], max(0.0, when - SLOW_DISK_LEAD_S), ["backup"]
            )
        )
    return faults


def _extra_fault(random_source: random.Random, cores: list[str], victims: list[str], at: float) -> list[CoreFault]:
    """Stop one machine more than may be lost, or cut two off from each other. No disk is lost."""
    other = random_source.choice([name for name in cores if name not in victims])
    kind = random_source.choice(EXTRA_FAULTS)
    who = [victims[0], other] if kind == "part" else [other]
    distribution = CORE_FAULTS["cut" if kind == "part" else kind]
    return [_draw_fault(random_source, kind, distribution, at + ROUND_S * random_source.random(), who)]


def _operator_actions(random_source: random.Random, since: float, until: float) -> list[CoreFault]:
    """Draw operator actions during a round."""
    kinds = random_source.choices(
        [*OPERATOR_ACTIONS],
        [distribution.weight for distribution in OPERATOR_ACTIONS.values()],
        k=random_source.randint(1, 4),
    )
    return [
        _draw_fault(random_source, kind, OPERATOR_ACTIONS[kind], random_source.uniform(since, until), [])
        for kind in kinds
    ]
