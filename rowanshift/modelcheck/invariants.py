"""Invariants of the replication protocol, which are checked throughout a run, whichever machines fail."""

from __future__ import annotations

from typing import NamedTuple

from rowanshift.controlplane import replication
from rowanshift.modelcheck.errors import Invariant, InvariantViolation

StateBytes = bytes  # a state of the control plane, as the replicas store it


class LeaseHolder(NamedTuple):
    """A machine that holds a valid lease."""

    epoch: int
    machine_id: int


class Invariants:
    """The history of a run, and checks of each event against it. docs/control-plane.md names the invariants.

    Every ``check_*`` method raises ``InvariantViolation``.
    """

    def __init__(self, first_record: replication.EpochRecord) -> None:
        self.newest_record = first_record  # the newest record in force
        self.states_by_version: dict[replication.StateVersion, StateBytes] = {}
        self.proposed_states: dict[int, StateBytes] = {}  # by token
        self.committed_states: dict[replication.StateVersion, StateBytes] = {replication.NO_VERSION: b""}
        self.longest_commit: StateBytes = b""
        self.epoch_start_states: dict[int, StateBytes] = {}  # by epoch
        self.pending_reads: dict[int, StateBytes] = {}  # by token: the longest state committed before the request
        self.read_states: list[StateBytes] = []
        self.highest_lease_epoch = 0
        self.histories: dict[StateBytes, bytes] = {}  # of states that are not themselves lists of ids

    def history(self, state: StateBytes) -> bytes:
        """The concatenated ids of all changes that led to a state, four bytes each."""
        return self.histories.get(state, state)

    def builds_on(self, state: StateBytes, earlier: StateBytes) -> bool:
        """Whether a state contains all changes of an earlier one, in the same order."""
        return self.history(state).startswith(self.history(earlier))

    def check_durable_state(self, durable: replication.DurableState) -> None:
        """Check a state that a machine is about to write to its disk."""
        self._check_state_of_version(durable.version, durable.state)
        if durable.promised < durable.accepted.epoch:
            raise InvariantViolation(
                Invariant.PROMISE_COVERS_ACCEPTED_RECORD, "the epoch of the accepted record is above the promised epoch"
            )

    def _check_state_of_version(self, version: replication.StateVersion, state: StateBytes) -> None:
        if self.states_by_version.setdefault(version, state) != state:
            raise InvariantViolation(Invariant.ONE_STATE_PER_VERSION, f"two different states have version {version}")

    def check_sent(self, message: replication.Message, disk: replication.DurableState | None) -> None:
        """Check that everything a message declares durable is on the sender's disk."""
        if isinstance(message, replication.Store):
            self._check_state_of_version(message.version, message.state)
        if not self._is_durable(message, disk):
            name = type(message).__name__
            raise InvariantViolation(
                Invariant.SENT_ONLY_ONCE_DURABLE, f"{name} was sent before its content was on disk"
            )

    @staticmethod
    def _is_durable(message: replication.Message, disk: replication.DurableState | None) -> bool:
        """Whether the disk holds what a message declares durable; true if it declares nothing."""
        match message:
            case replication.PrepareReply(epoch, True):
                return disk is not None and disk.promised >= epoch
            case replication.AcceptReply(epoch, True):
                return disk is not None and disk.promised >= epoch and disk.accepted.epoch >= epoch
            case replication.StoreReply(epoch, version, True):
                return disk is not None and disk.promised >= epoch and disk.version >= version
            case replication.HeartbeatReply(epoch, _, True):
                return disk is not None and disk.accepted.epoch >= epoch
        return True

    def check_new_epoch(
        self, record: replication.EpochRecord, state: StateBytes, accepted_epochs: dict[int, int]
    ) -> None:
        """Check the record and the start state of an epoch that a primary has begun.

        ``accepted_epochs`` maps each machine to the epoch of the record on its disk; a lost disk counts as the
        highest epoch.
        """
        epoch = record.epoch
        if epoch in self.epoch_start_states:
            return
        previous = self.newest_record
        if epoch > previous.epoch:
            self.newest_record = record
            voters = {machine_id for machine_id, accepted in accepted_epochs.items() if accepted >= epoch}
            for witnesses in (record.witnesses, previous.witnesses):
                if not replication.has_majority(voters, witnesses):
                    detail = f"{record} is in force but on the disks of {voters} only, which are no majority"
                    raise InvariantViolation(Invariant.RECORD_DECIDED_BY_MAJORITIES, detail)
        self.epoch_start_states[epoch] = state
        self.check_commit(replication.StateVersion(epoch, 0), state)

    def check_commit(self, version: replication.StateVersion, state: StateBytes) -> None:
        """Check that a commit builds on all commits of lower versions, and those of higher versions build on it."""
        for other_version, other_state in self.committed_states.items():
            earlier, later = (other_state, state) if other_version <= version else (state, other_state)
            if not self.builds_on(later, earlier):
                detail = f"the states of {other_version} and {version} are committed, but neither contains the other"
                raise InvariantViolation(Invariant.COMMITS_ARE_KEPT, detail)
        self.committed_states[version] = state
        self.longest_commit = max(self.longest_commit, state, key=lambda each: len(self.history(each)))
        for read_state in self.read_states:
            self._check_related(state, read_state)

    def check_confirmed_read(self, token: int, state: StateBytes) -> None:
        """Check the state returned by the read with a token."""
        self.check_read(self.pending_reads.pop(token), state)

    def check_read(self, committed_before: StateBytes, state: StateBytes) -> None:
        """Check a state that a read returned against all commits and the longest one at the time of the request."""
        if not self.builds_on(state, committed_before):
            raise InvariantViolation(
                Invariant.READS_ARE_LINEARIZABLE,
                "a read returned a state older than a commit completed before the request",
            )
        for committed_state in self.committed_states.values():
            self._check_related(state, committed_state)
        self.read_states.append(state)

    def _check_related(self, state: StateBytes, other: StateBytes) -> None:
        """Check that one of a read state and a committed state contains the other."""
        if not (self.builds_on(state, other) or self.builds_on(other, state)):
            raise InvariantViolation(
                Invariant.READS_ARE_LINEARIZABLE, "a read returned a state that was never committed"
            )

    def check_leases(self, holders: list[LeaseHolder]) -> None:
        """Check the machines that currently hold a valid lease."""
        if len(holders) > 1:
            raise InvariantViolation(Invariant.ONE_LEASE_HOLDER, f"{[tuple(holder) for holder in holders]}")
        for holder in holders:
            if holder.epoch < self.highest_lease_epoch:
                detail = "a lease is held under a lower epoch than an earlier lease"
                raise InvariantViolation(Invariant.LEASE_EPOCHS_INCREASE, detail)
            self.highest_lease_epoch = holder.epoch
