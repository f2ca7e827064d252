"""Random walks. The seed determines every choice, so that a walk can be reproduced."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import NamedTuple

from rowanshift.controlplane import replication
from rowanshift.modelcheck.cluster_model import ClusterModel, Envelope, Link, MachineModel
from rowanshift.modelcheck.errors import InvariantViolation
from rowanshift.modelcheck.fault_injection import FaultInjection, FaultKind, MessageBlock
from rowanshift.modelcheck.implementations import DEFAULT_IMPLEMENTATIONS, Implementations

# Without leases and waits, only epochs and majorities prevent conflicts between two primaries.
CONTENDED_TIMING = replication.Timing(
    lease_seconds=0.0,
    lease_guard_seconds=0.0,
    quorum_loss_seconds=1.5,
    election_jitter_seconds=1.0,
    retry_seconds=0.3,
    phase_timeout_seconds=1.0,
    candidacy_limit_seconds=2.0,
    recovery_delay_seconds=2.5,
    renewal_interval_seconds=0.2,
    witness_timeout_seconds=1.0,
    witness_change_interval_seconds=0.2,
    join_interval_seconds=0.3,
)

# A deposed primary that receives no messages stays active for long. Its reads and changes must be safe nevertheless.
LONG_TENURE_TIMING = replace(CONTENDED_TIMING, quorum_loss_seconds=8.0)

RECOVERY_LIMIT_SECONDS = 40.0  # without faults, until a walk must commit again
RECOVERY_COMMITS = 3  # commits that are required for recovery
TICK_SECONDS = 0.05
TICK_PROBABILITY = 0.9  # that a machine receives a tick
REQUEST_PROBABILITY = 0.05  # per step, that a primary receives a request
SAVE_PROBABILITY = 0.3  # per step, that an outstanding save completes
SLOW_SAVE_PROBABILITY = 0.002  # the same on a slow disk
MESSAGES_PER_STEP = 3
REORDER_WINDOW = 8  # number of oldest messages among which the next one is usually chosen
REORDER_WINDOW_PROBABILITY = 0.9  # that the next message is chosen among these
CUT_LOSS_PROBABILITY = 0.7  # that a message on a cut link is lost instead of delayed
STOPPED_LOSS_PROBABILITY = 0.1  # the same for a message to a machine whose process is down
DELAY_PROBABILITY = 0.01  # that a message is delayed although nothing blocks it
DUPLICATED_FATES = (0.95, 0.97)  # range of the fate draw in which a message is duplicated
DELAYS_SECONDS = (0.02, 0.3, 2.0, 6.0)


@dataclass
class WalkResult:
    """The result of a walk."""

    seed: int
    steps: int
    violation: str  # the first violated invariant; "" if all hold
    commits: int
    epochs: int
    stall: str = ""  # what has not recovered in time; "" if everything has
    longest_recovery: float = 0.0  # seconds without faults until the next failures could be tolerated


class DelayedEnvelope(NamedTuple):
    """A delayed message."""

    due: float  # model time in seconds
    envelope: Envelope


class RandomWalk(FaultInjection):
    """A random walk of a cluster that has ``spares`` machines beyond the seeds, which may replace others."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 0,
        implementations: Implementations = DEFAULT_IMPLEMENTATIONS,
        timing: replication.Timing | None = None,
    ) -> None:
        self.seed, self.implementations = seed, implementations
        self.timing = timing or (CONTENDED_TIMING if seed % 2 else replication.DEFAULT_TIMING)
        self.random_source = random_source = random.Random(seed)
        self.cluster = ClusterModel({}, max_failures, tuple(range(1, machine_count + 1)))
        for machine_id in range(1, machine_count + spares + 1):
            self.cluster.machines[machine_id] = machine_with_drawn_clock(random_source)
            self.start(machine_id, bootstrap=machine_id <= machine_count)
            self.cluster.complete_save(machine_id)  # the first start is complete once its record is on disk
        self.mean_step_seconds = random_source.choice([0.003, 0.006, 0.012]) * 3 / machine_count
        self.message_loss = random_source.choice([0.0, 0.01, 0.05, 0.2])
        self.fault_rate = random_source.choice([0.002, 0.005, 0.015])  # faults per step
        self.fault_kinds = random_source.choices(list(FaultKind), k=4)
        self.blocked_messages: dict[MessageBlock, float] = {}
        self.delayed: list[DelayedEnvelope] = []  # sorted by due time
        self.next_tick = 0.0
        self.fault_free = False
        self.steps = 0

    def start(self, machine_id: int, bootstrap: bool = False) -> None:
        """Start a machine's process."""
        self._start_replica(machine_id, self.cluster.seeds, bootstrap)

    def _start_replica(self, machine_id: int, seeds: tuple[int, ...], bootstrap: bool) -> None:
        cluster, machine = self.cluster, self.cluster.machines[machine_id]
        machine.replica = self.implementations.replica(
            machine_id,
            cluster.max_failures,
            seeds,
            bootstrap,
            machine.disk,
            cluster.clock(machine),
            self.random_source.random,
            timing=self.timing,
        )
        cluster.carry_out_actions(machine_id)

    def step(self) -> None:
        """Advance the time a little and perform the events drawn for this step."""
        cluster, random_source = self.cluster, self.random_source
        self.steps += 1
        cluster.now += self.mean_step_seconds * 2 * random_source.random()
        cluster.check_leases()
        self._start_stopped_machines()
        if cluster.now >= self.next_tick:
            self.next_tick = cluster.now + TICK_SECONDS
            self._tick_machines()
        if not self.fault_free and random_source.random() < self.fault_rate:
            self.inject_fault()
        self._run_machines()
        for _ in range(MESSAGES_PER_STEP):
            self._move_message()

    def _start_stopped_machines(self) -> None:
        for machine_id, machine in self.cluster.machines.items():
            if machine.replica is None and not machine.removed and self.cluster.now >= machine.down_until:
                self.start(machine_id)

    def is_up(self, machine_id: int) -> bool:
        """Whether a machine's process runs and is not paused."""
        machine = self.cluster.machines[machine_id]
        return machine.replica is not None and self.cluster.now >= machine.paused_until

    def _tick_machines(self) -> None:
        for machine_id in self.cluster.machines:
            if self.is_up(machine_id) and self.random_source.random() < TICK_PROBABILITY:
                self.cluster.tick(machine_id)

    def _run_machines(self) -> None:
        """Complete some outstanding saves and issue requests to primaries."""
        for machine_id, machine in self.cluster.machines.items():
            slow = self.cluster.now < machine.slow_disk_until and not self.fault_free
            probability = SLOW_SAVE_PROBABILITY if slow else SAVE_PROBABILITY
            up = self.is_up(machine_id)
            if up and machine.pending_save is not None and self.random_source.random() < probability:
                self.cluster.complete_save(machine_id)
            if up and machine.is_primary:
                self.issue_requests(machine_id)

    def issue_requests(self, machine_id: int) -> None:
        """Occasionally ask a primary for a change or a read."""
        if self.random_source.random() < REQUEST_PROBABILITY:
            (self.cluster.propose if self.random_source.random() < 0.5 else self.cluster.read)(machine_id)

    def _move_message(self) -> None:
        """Deliver, lose, duplicate or delay one message in flight."""
        cluster, random_source = self.cluster, self.random_source
        while self.delayed and (self.delayed[0].due <= cluster.now or self.fault_free):
            cluster.in_flight.append(self.delayed.pop(0).envelope)
        if not cluster.in_flight:
            return
        is_within_window = random_source.random() < REORDER_WINDOW_PROBABILITY
        count = len(cluster.in_flight)
        index = random_source.randrange(min(count, REORDER_WINDOW) if is_within_window else count)
        envelope = cluster.in_flight[index]
        recipient = cluster.machines[envelope.recipient]
        fate = random_source.random()
        if recipient.removed:
            cluster.in_flight.pop(index)
        elif self._is_cut(envelope):
            self._lose_or_delay(index, lost=fate < CUT_LOSS_PROBABILITY)
        elif cluster.now < recipient.paused_until:
            self._delay(index, recipient.paused_until)
        elif recipient.replica is None:
            self._lose_or_delay(index, lost=fate < STOPPED_LOSS_PROBABILITY)
        elif fate < self.message_loss + DELAY_PROBABILITY and not self.fault_free:
            self._lose_or_delay(index, lost=fate < self.message_loss)
        else:
            cluster.deliver(index, duplicate=DUPLICATED_FATES[0] < fate < DUPLICATED_FATES[1])

    def _is_cut(self, envelope: Envelope) -> bool:
        """Whether a message can't be delivered now because its link is cut or its type is blocked."""
        cut_until = self.cluster.cut_links.get(Link(envelope.sender, envelope.recipient), 0.0)
        blocked_until = self.blocked_messages.get(MessageBlock(envelope.recipient, type(envelope.message)), 0.0)
        return max(cut_until, blocked_until) > self.cluster.now and not self.fault_free

    def _lose_or_delay(self, index: int, lost: bool) -> None:
        if lost:
            self.cluster.in_flight.pop(index)
        else:
            self._delay(index, self.cluster.now + self.random_source.choice(DELAYS_SECONDS))

    def _delay(self, index: int, due: float) -> None:
        self.delayed.append(DelayedEnvelope(due, self.cluster.in_flight.pop(index)))
        self.delayed.sort(key=lambda delayed: delayed.due)

    def run(self, steps: int, recover: bool = True) -> WalkResult:
        """Run ``steps`` with faults; then, if ``recover``, without faults until the cluster has recovered.

        It has recovered when no running machine is amnesic and `RECOVERY_COMMITS` more changes are committed.
        """
        cluster, violation, stall = self.cluster, "", ""
        try:
            for _ in range(steps):
                self.step()
            if recover:
                stall = self._recover()
        except InvariantViolation as violated:
            violation = str(violated)
        return WalkResult(self.seed, self.steps, violation, cluster.commit_count, cluster.epoch_count, stall)

    def _recover(self) -> str:
        """Run without faults until the cluster has recovered. Returns what has not recovered in time, or ""."""
        cluster = self.cluster
        self.fault_free = True
        started_at, commits_needed = cluster.now, cluster.commit_count + RECOVERY_COMMITS
        while cluster.commit_count < commits_needed or self._unrecovered():
            if cluster.now > started_at + RECOVERY_LIMIT_SECONDS:
                problem = self._unrecovered() or "too few changes are committed"
                return f"after {RECOVERY_LIMIT_SECONDS:.0f} s without faults: {problem}"
            self.step()
        return ""

    def _unrecovered(self) -> str:
        machines = self.cluster.machines.items()
        amnesic = [each for each, machine in machines if machine.replica is not None and machine.replica.is_amnesic]
        return f"machines {amnesic} are amnesic" if amnesic else ""


def machine_with_drawn_clock(random_source: random.Random) -> MachineModel:
    """A machine that is not started yet, with a random clock rate and offset."""
    rate = 1 + random_source.uniform(-0.1, 0.1)
    return MachineModel(clock_rate=rate, clock_offset=random_source.uniform(0, 1000))
