"""Operations in progress on a replica: a candidacy, a proposal, reads and a save. Times are steady seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from rowanshift.controlplane.replication.actions import Send
from rowanshift.controlplane.replication.records import NO_RECORD, DurableState, EpochRecord, StateVersion


class CandidacyPhase(Enum):
    """The phases of a candidacy, in the order in which it passes through them."""

    PRE_VOTE = "pre-vote"  # ask whether a majority would promise the epoch
    PREPARE = "prepare"  # have a majority promise it and read what they accepted
    STORE = "store"  # have the new backups store the state
    ACCEPT = "accept"  # have a majority accept the record


@dataclass
class Candidacy:
    """An attempt to establish one epoch. ``renewal`` means that a primary replaces its own epoch."""

    epoch: int
    renewal: bool
    phase: CandidacyPhase
    started_at: float
    phase_started_at: float
    sent_at: float
    wanted_witnesses: tuple[int, ...] = ()  # the new witness set; empty for no change
    votes: set[int] = field(default_factory=set)  # machines that voted in the current phase
    accepted_records: dict[int, EpochRecord] = field(default_factory=dict)  # record each voter had accepted
    base: EpochRecord = NO_RECORD  # the newest record read, which this epoch follows
    backups: tuple[int, ...] = ()
    timed_out_backups: set[int] = field(default_factory=set)  # did not store the state in time
    record: EpochRecord = NO_RECORD  # the record that the witnesses are asked to accept


@dataclass
class Proposal:
    """A proposed state that has not been committed yet."""

    token: int
    state: bytes
    version: StateVersion | None = None  # assigned when the proposal is first sent
    stored: set[int] = field(default_factory=set)  # machines that have it on disk
    started_at: float = 0.0
    sent_at: float = 0.0


@dataclass
class PendingRead:
    """A read that waits for the acknowledgement of a heartbeat round."""

    token: int
    serial: int  # number of the round
    requested_at: float


@dataclass
class SaveInProgress:
    """A save that has not completed, and the messages to send once it has."""

    token: int
    durable: DurableState
    started_at: float
    sends_after: list[Send]
