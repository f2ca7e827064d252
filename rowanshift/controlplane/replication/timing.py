"""Times and sizes that the replication protocol goes by. docs/control-plane.md says why each is what it is."""

from dataclasses import dataclass

CLOCK_RATE_MARGIN = 1.25  # steady clocks of two machines may run at rates that differ by 25 %

# from one heartbeat round to the next
HEARTBEAT_INTERVAL_SECONDS = 0.15
# a primary holds the lease for so long after it sent a round that a majority answered
LEASE_SECONDS = 0.6
# a witness that answered promises no other machine for so long
LEASE_GUARD_SECONDS = LEASE_SECONDS * CLOCK_RATE_MARGIN
# without a majority's answers; then a primary steps down
QUORUM_LOSS_SECONDS = LEASE_GUARD_SECONDS
# at most, drawn at random: what a machine waits beyond LEASE_GUARD_SECONDS before it becomes a candidate
ELECTION_JITTER_SECONDS = 0.2
# until an unanswered message is sent again
RETRY_SECONDS = 0.2
# until an unanswered pre-vote is sent again: the machines asked may just be starting
PRE_VOTE_RETRY_SECONDS = 0.1
# for each phase of a candidacy
PHASE_TIMEOUT_SECONDS = 0.5
# for chosen backups to store the state; then others are chosen, if there are any
STORE_TIMEOUT_SECONDS = 0.25
# from an epoch's first Prepare until it is in force; later it is abandoned
CANDIDACY_LIMIT_SECONDS = 1.2
# from the start of an amnesic machine: votes it gave before its disk was lost are counted or void by then
RECOVERY_DELAY_SECONDS = CANDIDACY_LIMIT_SECONDS * CLOCK_RATE_MARGIN
# without an answer; then a backup is replaced
BACKUP_TIMEOUT_SECONDS = 0.6
# of a primary's own save; then it transfers leadership
SLOW_SAVE_SECONDS = 0.8
# without an answer; then a witness is replaced, if there is a spare
WITNESS_TIMEOUT_SECONDS = 2.0
# from one change of witnesses to the next
WITNESS_CHANGE_INTERVAL_SECONDS = 1.0
# from one renewal of an epoch by its primary to the next
RENEWAL_INTERVAL_SECONDS = 0.3
# since a machine was heard: it counts as alive for a candidate
ALIVE_SECONDS = 1.0
# until an unconfirmed read fails
READ_TIMEOUT_SECONDS = 1.0
# between Joins of a spare
JOIN_INTERVAL_SECONDS = 0.3
# since its last Join: a machine counts as a spare
SPARE_LIFETIME_SECONDS = 2.0
# between reports of a machine's failure domain
FAILURE_DOMAIN_INTERVAL_SECONDS = 2.0
# since a machine reported that no member is a quorum member: that is believed
NO_QUORUM_MEMBERS_LIFETIME_SECONDS = 3 * FAILURE_DOMAIN_INTERVAL_SECONDS
# since a machine's last Leave: it is chosen as a backup only if no other is there
LEAVE_LIFETIME_SECONDS = 3.0
# since a primary transferred leadership, or a backup was too slow: it is avoided
COOLDOWN_SECONDS = 3.0

EPOCH_LIMIT = 1 << 53  # epochs below it are exact as doubles
STATE_LIMIT_BYTES = 16 * 1024 * 1024 - 4096  # a Store fits into one frame
DELTA_MIN_STATE_BYTES = 32 * 1024  # a smaller state is always sent in full
MIN_BANDWIDTH_BYTES_PER_SECOND = 10_000_000  # between core machines: below it a backup counts as slow

# the part of QUORUM_LOSS_SECONDS after which a primary without answers changes no members any more
RENEWAL_LEASE_FRACTION = 0.8
# an abandoned candidacy is followed by the next after so long and a random delay
CANDIDACY_RETRY_SECONDS = 0.1
# the same where this machine lacks the state: the in-sync machines, which it has nominated, go first
NOMINATION_RETRY_SECONDS = 0.8
# the time by which a replica with work under way wants to be called again
TICK_INTERVAL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Timing:
    """The times a replica goes by, in seconds: each field is the constant of the same name unless given."""

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
