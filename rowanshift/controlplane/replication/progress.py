"""Operations of a replica that are under way: a candidacy, a proposal, reads and a save. Times are steady seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from rowanshift.controlplane.replication.actions import Send
from rowanshift.controlplane.replication.records import NO_RECORD, DurableState, EpochRecord, StateVersion


class CandidacyPhase(Enum):
    """The phases of a candidacy, in their order."""

    PRE_VOTE = "pre-vote"  # ask whether a majority would promise the epoch
    PREPARE = "prepare"  # have a majority promise it and read what they accepted
    STORE = "store"  # have the new backups store the state
    ACCEPT = "accept"  # have a majority accept the record


@dataclass
class Candidacy:
    """The way of one epoch from pre-vote to being in force. ``renewal``: a primary renews its own epoch."""

    epoch: int
    renewal: bool
    phase: CandidacyPhase
    started_at: float
    phase_started_at: float
    sent_at: float
    wanted_witnesses: tuple[int, ...] = ()  # the new set, if the witnesses are to change
    votes: set[int] = field(default_factory=set)  # of this phase
    promised_records: dict[int, EpochRecord] = field(default_factory=dict)  # by machine: what it had accepted
    base: EpochRecord = NO_RECORD  # the newest record read: the one this epoch follows
    backups: tuple[int, ...] = ()
    timed_out_backups: set[int] = field(default_factory=set)  # that did not store the state in time
    record: EpochRecord = NO_RECORD  # to be accepted


@dataclass
class Proposal:
    """A state that is to be committed next."""

    token: int
    state: bytes
    version: StateVersion | None = None  # None until it is sent
    stored: set[int] = field(default_factory=set)  # machines that have it on disk
    started_at: float = 0.0
    sent_at: float = 0.0


@dataclass
class PendingRead:
    """A read that waits for a heartbeat round."""

    token: int
    serial: int  # of the round
    requested_at: float


@dataclass
class SaveInProgress:
    """A save that the disk has not confirmed, and what is sent once it has."""

    token: int
    durable: DurableState
    started_at: float
    sends_after: list[Send]
