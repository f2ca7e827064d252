"""Time and size limits of the replication protocol; docs/control-plane.md gives the reason for each value."""

from dataclasses import dataclass

CLOCK_RATE_MARGIN = 1.25  # tolerates steady clocks whose rates differ by up to 25 %

# Interval between heartbeat rounds.
HEARTBEAT_INTERVAL_SECONDS = 0.15
# Duration of a primary's lease, counted from the sending of a heartbeat round that a majority acknowledged.
LEASE_SECONDS = 0.6
# Time for which a witness that replied to a primary makes no promise to another machine.
LEASE_GUARD_SECONDS = LEASE_SECONDS * CLOCK_RATE_MARGIN
# A primary steps down after this time without replies from a majority.
QUORUM_LOSS_SECONDS = LEASE_GUARD_SECONDS
# Upper bound of the random delay, added to LEASE_GUARD_SECONDS, before a machine becomes a candidate.
ELECTION_JITTER_SECONDS = 0.2
# Time after which an unanswered message is sent again.
RETRY_SECONDS = 0.2
# Time after which an unanswered pre-vote is sent again; shorter, because the recipients may be just starting.
PRE_VOTE_RETRY_SECONDS = 0.1
# Time limit for each phase of a candidacy.
PHASE_TIMEOUT_SECONDS = 0.5
# Time limit for the chosen backups to store the state, after which other backups are chosen if available.
STORE_TIMEOUT_SECONDS = 0.25
# Time limit for a candidacy, from its first Prepare until its record is decided.
CANDIDACY_LIMIT_SECONDS = 1.2
# Time from the start of an amnesic machine to its first recovery request: by then, any candidacy that it voted in
# before it lost its disk has been decided or abandoned.
RECOVERY_DELAY_SECONDS = CANDIDACY_LIMIT_SECONDS * CLOCK_RATE_MARGIN
# A backup is replaced after this time without a reply.
BACKUP_TIMEOUT_SECONDS = 0.6
# A primary transfers leadership when a save to its own disk takes this long.
SLOW_SAVE_SECONDS = 0.8
# A witness is replaced after this time without a reply, if there is a spare.
WITNESS_TIMEOUT_SECONDS = 2.0
# Minimum interval between changes of the witness set.
WITNESS_CHANGE_INTERVAL_SECONDS = 1.0
# Minimum interval between a primary's renewals of its epoch.
RENEWAL_INTERVAL_SECONDS = 0.3
# A candidate regards a machine as alive for this time after its last message.
ALIVE_SECONDS = 1.0
# Time after which an unconfirmed read fails.
READ_TIMEOUT_SECONDS = 1.0
# Interval between a spare's Join messages.
JOIN_INTERVAL_SECONDS = 0.3
# A machine counts as a spare for this time after its last Join.
SPARE_LIFETIME_SECONDS = 2.0
# Interval between a machine's reports of its failure domain.
FAILURE_DOMAIN_INTERVAL_SECONDS = 2.0
# Validity of a report that no member is a quorum member.
NO_QUORUM_MEMBERS_LIFETIME_SECONDS = 3 * FAILURE_DOMAIN_INTERVAL_SECONDS
# For this time after its last Leave, a machine is chosen as a backup only if there is no other.
LEAVE_LIFETIME_SECONDS = 3.0
# For this time after it transferred leadership or was too slow, a machine is not preferred as a backup.
COOLDOWN_SECONDS = 3.0

EPOCH_LIMIT = 1 << 53  # lower epochs are represented exactly by double-precision numbers
STATE_LIMIT_BYTES = 16 * 1024 * 1024 - 4096  # so that a Store fits into one frame
DELTA_MIN_STATE_BYTES = 32 * 1024  # smaller states are always sent in full
MIN_BANDWIDTH_BYTES_PER_SECOND = 10_000_000  # between core machines; with less, a backup counts as too slow

# Fraction of QUORUM_LOSS_SECONDS after which a primary without a majority's replies no longer starts renewals.
RENEWAL_LEASE_FRACTION = 0.8
# Delay, besides a random one, between an abandoned candidacy and the next.
CANDIDACY_RETRY_SECONDS = 0.1
# The same delay if this machine lacks the state, long enough for the in-sync machines it nominated to go first.
NOMINATION_RETRY_SECONDS = 0.8
# Interval at which ``Replica.next_wake`` requests ticks while work is in progress.
TICK_INTERVAL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Timing:
    """The time limits of a replica, in seconds. Each field defaults to the constant of the same name."""

    heartbeat_interval_seconds: float = HEARTBEAT_INTERVAL_SECONDS
    lease_seconds: float = LEASE_SECONDS
    lease_guard_seconds: float = LEASE_GUARD_SECONDS
    quorum_loss_seconds: float = QUORUM_LOSS_SECONDS
    election_jitter_seconds: float = ELECTION_JITTER_SECONDS
    retry_seconds: float = RETRY_SECONDS
    pre_vote_retry_seconds: float = PRE_VOTE_RETRY_SECONDS
    phase_timeout_seconds: float = PHASE_TIMEOUT_SECONDS
    store_timeout_seconds: float = STORE_TIMEOUT_SECONDS
    candidacy_limit_seconds: float = CANDIDACY_LIMIT_SECONDS
    recovery_delay_seconds: float = RECOVERY_DELAY_SECONDS
    backup_timeout_seconds: float = BACKUP_TIMEOUT_SECONDS
    slow_save_seconds: float = SLOW_SAVE_SECONDS
    witness_timeout_seconds: float = WITNESS_TIMEOUT_SECONDS
    witness_change_interval_seconds: float = WITNESS_CHANGE_INTERVAL_SECONDS
    renewal_interval_seconds: float = RENEWAL_INTERVAL_SECONDS
    alive_seconds: float = ALIVE_SECONDS
    read_timeout_seconds: float = READ_TIMEOUT_SECONDS
    join_interval_seconds: float = JOIN_INTERVAL_SECONDS
    spare_lifetime_seconds: float = SPARE_LIFETIME_SECONDS
    failure_domain_interval_seconds: float = FAILURE_DOMAIN_INTERVAL_SECONDS
    no_quorum_members_lifetime_seconds: float = NO_QUORUM_MEMBERS_LIFETIME_SECONDS
    leave_lifetime_seconds: float = LEAVE_LIFETIME_SECONDS
    cooldown_seconds: float = COOLDOWN_SECONDS


DEFAULT_TIMING = Timing()
