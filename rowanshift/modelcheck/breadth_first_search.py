"""Breadth-first search over all orders of events from a start state, shortest sequences first."""

from __future__ import annotations

import pickle
import time
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import Envelope, MachineModel
from rowanshift.modelcheck.errors import InvariantViolation
from rowanshift.modelcheck.search_starts import STARTS, EventBudget, SearchState, advance_clock, start_machine

CLOCK_STEPS_SECONDS = (0.25, 1.4)  # steps by which one event may advance the clock
DEFAULT_START = "quiet-primary"
DEFAULT_MAX_DEPTH = 1000


@dataclass(frozen=True)
class Deliver:
    """The message at an index of the list of messages in flight is delivered."""

    index: int


@dataclass(frozen=True)
class CompleteSave:
    """A machine's outstanding save completes and is on disk."""

    machine_id: int


@dataclass(frozen=True)
class StartMachine:
    """A machine's process starts."""

    machine_id: int


@dataclass(frozen=True)
class Crash:
    """A machine's process ends. ``save_persisted``: its outstanding save has reached the disk."""

    machine_id: int
    save_persisted: bool


@dataclass(frozen=True)
class LoseDisk:
    """A machine's process ends, and its disk is lost."""

    machine_id: int


@dataclass(frozen=True)
class Read:
    """A primary is asked for a confirmed read."""

    machine_id: int


@dataclass(frozen=True)
class Propose:
    """A change is proposed at a primary."""

    machine_id: int


@dataclass(frozen=True)
class AdvanceClock:
    """Time advances on the clocks of all machines."""

    seconds: float


Event = Deliver | CompleteSave | StartMachine | Crash | LoseDisk | Read | Propose | AdvanceClock


class PackedState(NamedTuple):
    """A state in the queue whose successors have not been visited."""

    depth: int  # number of events from the start
    packed: bytes  # a pickled SearchState


@dataclass
class SearchResult:
    """The result of a search."""

    states: int
    depth: int  # every state up to this many events from the start has been visited
    seconds: float
    violation: str = ""  # the first violated invariant; "" if all hold


def possible_events(state: SearchState) -> list[Event]:
    """All events that can occur next. Message loss needs no event: a lost message is one that is never delivered."""
    events: list[Event] = []
    distinct: set[Envelope] = set()
    for index, envelope in enumerate(state.cluster.in_flight):
        if envelope not in distinct and state.cluster.machines[envelope.recipient].replica is not None:
            distinct.add(envelope)
            events.append(Deliver(index))
    for machine_id, machine in state.cluster.machines.items():
        events.extend(_events_of_machine(machine_id, machine, state.budget))
    events.extend(AdvanceClock(seconds) for seconds in CLOCK_STEPS_SECONDS)
    return events


def _events_of_machine(machine_id: int, machine: MachineModel, budget: EventBudget) -> list[Event]:
    events: list[Event] = []
    if machine.pending_save is not None:
        events.append(CompleteSave(machine_id))
    if machine.replica is None:
        return events if machine.removed else [*events, StartMachine(machine_id)]
    if budget.crashes:
        events.append(Crash(machine_id, save_persisted=False))
        if machine.pending_save is not None:
            events.append(Crash(machine_id, save_persisted=True))
    if budget.disk_losses:
        events.append(LoseDisk(machine_id))
    if machine.is_primary and budget.reads:
        events.append(Read(machine_id))
    if machine.is_primary and budget.proposals:
        events.append(Propose(machine_id))
    return events


def apply_event(state: SearchState, event: Event, replica_class: type[replication.Replica]) -> None:
    """Apply an event to a state in place. Raises ``InvariantViolation``."""
    cluster, budget = state.cluster, state.budget
    match event:
        case Deliver(index):
            cluster.deliver(index)
        case CompleteSave(machine_id):
            cluster.complete_save(machine_id)
        case StartMachine(machine_id):
            start_machine(cluster, machine_id, replica_class)
        case Crash(machine_id, save_persisted):
            budget.crashes -= 1
            cluster.crash(machine_id, save_persisted)
        case LoseDisk(machine_id):
            budget.disk_losses -= 1
            cluster.lose_disk(machine_id)
        case Read(machine_id):
            budget.reads -= 1
            cluster.read(machine_id)
        case Propose(machine_id):
            budget.proposals -= 1
            cluster.propose(machine_id)
        case AdvanceClock(seconds):
            advance_clock(cluster, seconds)
    cluster.check_leases()


def search_breadth_first(
    max_states: int,
    start: str = DEFAULT_START,
    replica_class: type[replication.Replica] = replication.Replica,
    max_depth: int = DEFAULT_MAX_DEPTH,
) -> SearchResult:
    """Visit the states reachable from a start until ``max_states``, ``max_depth`` events or a violation is reached."""
    started_at = time.monotonic()
    first = STARTS[start](replica_class)
    queue = deque([PackedState(0, pickle.dumps(first))])
    visited = {state_hash(first)}
    depth = 0
    while queue:
        depth, packed = queue.popleft()
        if len(visited) >= max_states or depth >= max_depth:
            break
        for event in possible_events(_unpack(packed)):
            state = _unpack(packed)
            try:
                apply_event(state, event, replica_class)
            except InvariantViolation as violation:
                return SearchResult(len(visited), depth, time.monotonic() - started_at, str(violation))
            key = state_hash(state)
            if key not in visited:
                visited.add(key)
                queue.append(PackedState(depth + 1, pickle.dumps(state)))
    return SearchResult(len(visited), depth, time.monotonic() - started_at)


def _unpack(packed: bytes) -> SearchState:
    """Create a separate copy of a state, to which an event can be applied."""
    state: SearchState = pickle.loads(packed)
    return state


def state_hash(state: SearchState) -> int:
    """A hash of everything that determines which states can follow."""
    cluster = state.cluster
    machines = [
        (machine.disk, machine.pending_save, machine.replica and vars(machine.replica))
        for machine in cluster.machines.values()
    ]
    invariants = cluster.invariants
    history = (invariants.committed_states, invariants.pending_reads, invariants.highest_lease_epoch)
    in_flight = sorted(map(repr, cluster.in_flight))
    return hash((repr(machines), repr(in_flight), cluster.now, repr(history), repr(state.budget)))
