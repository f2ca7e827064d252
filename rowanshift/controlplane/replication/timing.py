"""Times of the replication protocol, in seconds, and the sizes it bounds. docs/control-plane.md says why each."""

from dataclasses import dataclass

HEARTBEAT_INTERVAL_SECONDS = 0.15  # from one heartbeat round to the next
LEASE_SECONDS = 0.6  # a primary may act as single holder so long after it asked a round that a majority answered
LEASE_GUARD_SECONDS = (
    LEASE_SECONDS * 1.25
)  # a witness that answered promises no other so long: covers clocks whose rates are 25 % apart
QUORUM_LOSS_SECONDS = LEASE_GUARD_SECONDS  # without a majority's answers; then a primary steps down
ELECTION_JITTER_SECONDS = (
    0.2  # drawn from 0 to this: what a machine waits beyond LEASE_GUARD_SECONDS before it becomes a candidate
)
RETRY_SECONDS = 0.2  # until an unanswered message is sent again
PRE_VOTE_RETRY_SECONDS = (
    0.1  # until an unanswered question for a pre-vote is sent again: those asked may just be starting
)
PHASE_TIMEOUT_SECONDS = 0.5  # for each step of a candidacy
STORE_TIMEOUT_SECONDS = 0.25  # for chosen backups to store the state; then others are chosen, if there are any
CANDIDACY_LIMIT_SECONDS = 1.2  # from a number's first Prepare to its effect: later it is given up for good
RECOVERY_DELAY_SECONDS = (
    CANDIDACY_LIMIT_SECONDS * 1.25
)  # votes given before a disk was lost are counted or void by then
BACKUP_TIMEOUT_SECONDS = 0.6  # without an answer; then a backup is replaced
SLOW_SAVE_SECONDS = 0.8  # that a primary's own save may take; then it transfers leadership
WITNESS_TIMEOUT_SECONDS = 2.0  # without an answer; then a witness is replaced, if there is a spare
WITNESS_CHANGE_INTERVAL_SECONDS = 1.0  # from one change of witnesses to the next
RENEWAL_INTERVAL_SECONDS = 0.3  # from one renewal of an epoch by its primary to the next
ALIVE_SECONDS = 1.0  # within which a machine heard counts as alive
READ_TIMEOUT_SECONDS = 1.0  # until an unconfirmed read fails
JOIN_INTERVAL_SECONDS = 0.3  # between a spare's Joins
SPARE_LIFETIME_SECONDS = 2.0  # after its last Join until a spare is no longer taken for one
FAILURE_DOMAIN_INTERVAL_SECONDS = 2.0  # from one telling of where a machine is to the next
NO_QUORUM_MEMBERS_LIFETIME_SECONDS = (
    3 * FAILURE_DOMAIN_INTERVAL_SECONDS
)  # that a machine is believed which says that nobody counts
LEAVE_LIFETIME_SECONDS = 3.0  # that a machine which said that it leaves is nobody's choice for a backup
COOLDOWN_SECONDS = 3.0  # that a primary which transferred leadership, or a backup that was too slow, is left aside
EPOCH_LIMIT = 1 << 53  # epoch numbers stay exact as doubles
STATE_LIMIT_BYTES = 16 * 1024 * 1024 - 4096  # bytes: a Store fits into one frame
DELTA_MIN_STATE_BYTES = 32 * 1024  # bytes of a state, from which a change is sent as a difference first
MIN_BANDWIDTH_BYTES_PER_SECOND = (
    10_000_000  # bytes a second between core machines, reckoned with before one counts as slow
)


@dataclass(frozen=True, slots=True)
class Timing:
    """What a replica waits for. All in seconds, as the constants of the same names."""

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
