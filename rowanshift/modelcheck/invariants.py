"""What must hold over the whole of a run, whoever lives or dies; named as in docs/control-plane.md."""

from __future__ import annotations

from rowanshift.controlplane import replication

ControlState = bytes


class InvariantViolation(Exception):
    """An invariant doesn't hold; its name comes first."""


class Invariants:
    """What is checked over the whole of a run, whoever lives or dies; named as in docs/control-plane.md."""

    def __init__(self, first: replication.EpochRecord) -> None:
        self.last = first  # the newest record in force
        self.values: dict[replication.StateVersion, ControlState] = {}
        self.proposed_states: dict[int, ControlState] = {}  # token -> state
        self.commits: dict[replication.StateVersion, ControlState] = {
            replication.NO_VERSION: b""
        }  # committed, by the version it was committed under
        self.longest: ControlState = b""
        self.epochs: dict[int, ControlState] = {}  # epoch number -> state it began with
        self.reads: dict[int, ControlState] = {}  # token -> the longest state committed before it was asked
        self.observed: list[ControlState] = []
        self.fence = 0
        self.lineage: dict[ControlState, bytes] = {}  # what a state that is no list of ids itself was made of

    def history(self, state: ControlState) -> bytes:
        """The ids of all changes that a state was made of, four bytes each."""
        return self.lineage.get(state, state)

    def builds_on(self, state: ControlState, earlier: ControlState) -> bool:
        """Whether a state holds all changes of an earlier one, in their order."""
        return self.history(state).startswith(self.history(earlier))

    def durable(self, durable: replication.DurableState) -> None:
        """What a machine's disk holds is consistent."""
        self.value(durable.version, durable.state)
        if durable.promised < durable.accepted.number:
            raise InvariantViolation("PROMISE: a record is accepted above the promise")

    def value(self, version: replication.StateVersion, state: ControlState) -> None:
        """One state under one version."""
        if self.values.setdefault(version, state) != state:
            raise InvariantViolation(f"ONE-VALUE: two states under {version}")

    def sent(self, message: replication.Message, disk: replication.DurableState | None) -> None:
        """What a machine says it holds is on its disk."""
        if isinstance(message, replication.Store):
            self.value(message.version, message.state)
        match message:
            case (
                replication.Promised(number, True)
                | replication.Accepted(number, True)
                | replication.Stored(number, _, True)
            ):
                held = disk is not None and disk.promised >= number
            case replication.HeartbeatReply(number, _, True):
                held = disk is not None and disk.accepted.number >= number
            case _:
                return
        if isinstance(message, replication.Accepted):
            held = held and disk.accepted.number >= message.number
        if isinstance(message, replication.Stored):
            held = held and disk.version >= message.version
        if not held:
            raise InvariantViolation(f"DURABLE: {type(message).__name__} is sent before it is on disk")

    def office(self, record: replication.EpochRecord, state: ControlState, accepted: dict[int, int]) -> None:
        """`accepted`: the number of the record on each machine's disk; of a lost one a high number."""
        number = record.number
        if number in self.epochs:
            return
        before = self.last
        if number > before.number:
            self.last = record
            voters = {machine_id for machine_id, held in accepted.items() if held >= number}
            for members in (record.witnesses, before.witnesses):
                if not replication.has_majority(voters, members):
                    raise InvariantViolation(f"DECIDED: {record} is in force and on the disks of {voters} alone")
        self.epochs[number] = state
        self.check_commit(replication.StateVersion(number, 0), state)

    def check_commit(self, version: replication.StateVersion, state: ControlState) -> None:
        """Whatever is committed under a lower version is part of it, and it is part of what comes after."""
        for other, value in self.commits.items():
            low, high = (value, state) if other <= version else (state, value)
            if not self.builds_on(high, low):
                raise InvariantViolation(f"KEPT: {other} and {version} are committed and don't build on one another")
        self.commits[version] = state
        self.longest = max(self.longest, state, key=lambda each: len(self.history(each)))
        for value in self.observed:
            if not (self.builds_on(state, value) or self.builds_on(value, state)):
                raise InvariantViolation("READ: a read gave what was never committed")

    def read(self, token: int, state: ControlState) -> None:
        """What a confirmed read gave."""
        self.read_given(self.reads.pop(token), state)

    def read_given(self, committed: ControlState, state: ControlState) -> None:
        """A read gave ``state``; ``committed`` is the longest that was committed when it was asked."""
        if not self.builds_on(state, committed):
            raise InvariantViolation("READ: older than a commit that was complete when it was asked")
        for value in self.commits.values():
            if not (self.builds_on(state, value) or self.builds_on(value, state)):
                raise InvariantViolation("READ: a read gave what was never committed")
        self.observed.append(state)

    def leases(self, holders: list[tuple[int, int]]) -> None:
        """`holders`: (epoch number, machine) of each that holds a valid lease right now."""
        if len(holders) > 1:
            raise InvariantViolation(f"ONE-HOLDER: {holders}")
        for number, _ in holders:
            if number < self.fence:
                raise InvariantViolation("FENCE: a lease is held under a lower number after a higher one")
            self.fence = number
