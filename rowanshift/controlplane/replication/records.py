"""What replicas agree on and keep on disk: state versions, epoch records, and a machine's durable state."""

from __future__ import annotations

import msgspec


class StateVersion(msgspec.Struct, frozen=True, order=True):
    """Orders the states of the control plane: by the epoch they were stored in, then by their sequence within it."""

    epoch: int
    sequence: int


NO_VERSION = StateVersion(0, 0)


class EpochRecord(msgspec.Struct, frozen=True):
    """An epoch's configuration, what viewstamped replication calls a view.

    It names the primary, the in-sync machines that store every change, and the witnesses whose majority decides on the
    next record. ``former`` is the previous witness set while a change of witnesses is under way: a majority of it is
    needed as well. The lower 32 bits of ``epoch`` are the id of the machine that chose it.
    """

    epoch: int
    primary: int
    in_sync: tuple[int, ...]
    witnesses: tuple[int, ...]
    former: tuple[int, ...] = ()

    def witness_sets(self) -> tuple[tuple[int, ...], ...]:
        """The witness sets of which a majority each must promise, or accept, what follows this record."""
        return (self.witnesses, self.former) if self.former else (self.witnesses,)

    def members(self) -> set[int]:
        """Every machine that has a part in this epoch."""
        return {*self.in_sync, *self.witnesses, *self.former}


NO_RECORD = EpochRecord(0, 0, (), ())


class DurableState(msgspec.Struct, frozen=True):
    """What a machine's disk holds, written in one save.

    ``promised`` is the highest epoch it promised, ``accepted`` the last record it accepted. ``amnesic``: the disk was
    lost, and what this machine promised before is not recovered yet.
    """

    promised: int
    accepted: EpochRecord
    version: StateVersion
    state: bytes
    amnesic: bool
