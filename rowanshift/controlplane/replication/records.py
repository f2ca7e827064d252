"""Records that replicas agree on and persist: state versions, epoch records, and a machine's durable state."""

from __future__ import annotations

import msgspec


class StateVersion(msgspec.Struct, frozen=True, order=True):
    """The version of a replicated state, ordered by epoch and then by sequence number within the epoch."""

    epoch: int
    sequence: int


NO_VERSION = StateVersion(0, 0)


class EpochRecord(msgspec.Struct, frozen=True):
    """The configuration of an epoch, called a view in viewstamped replication.

    It names the primary, the in-sync machines, which store every change, and the witnesses, a majority of which decides
    the next record. During a change of witnesses, ``former`` is the previous witness set, and a majority of it is
    required as well. The lower 32 bits of ``epoch`` are the id of the machine that chose it.
    """

    epoch: int
    primary: int
    in_sync: tuple[int, ...]
    witnesses: tuple[int, ...]
    former: tuple[int, ...] = ()

    def witness_sets(self) -> tuple[tuple[int, ...], ...]:
        """The witness sets each of which needs a majority to promise or accept a successor of this record."""
        return (self.witnesses, self.former) if self.former else (self.witnesses,)

    def members(self) -> set[int]:
        """All machines in this epoch: in sync, witnesses and former witnesses."""
        return {*self.in_sync, *self.witnesses, *self.former}


NO_RECORD = EpochRecord(0, 0, (), ())


class DurableState(msgspec.Struct, frozen=True):
    """The contents of a machine's disk, written in one save.

    ``promised`` is the highest epoch promised, ``accepted`` the last record accepted. ``amnesic`` means that the disk
    was lost and the machine has not yet recovered its earlier promise.
    """

    promised: int
    accepted: EpochRecord
    version: StateVersion
    state: bytes
    amnesic: bool
