"""Times of the replication protocol, in seconds, and the sizes it bounds. docs/control-plane.md says why each."""

from dataclasses import dataclass

HEARTBEAT = 0.15  # from one heartbeat round to the next
LEASE = 0.6  # a primary may act as single holder so long after it asked a round that a majority answered
BLOCK = LEASE * 1.25  # a witness that answered promises no other so long: covers clocks whose rates are 25 % apart
LAPSE = BLOCK  # without a majority's answers; then a primary steps down
SILENCE_DRAW = 0.2  # drawn from 0 to this: what a machine waits beyond BLOCK before it becomes a candidate
RETRY = 0.2  # until an unanswered message is sent again
PRE_VOTE_RETRY = 0.1  # until an unanswered question for a pre-vote is sent again: those asked may just be starting
ROUND = 0.5  # for each step of a candidacy
STORE_PATIENCE = 0.25  # for chosen backups to store the state; then others are chosen, if there are any
STAND_LIMIT = 1.2  # from a number's first Prepare to its effect: later it is given up for good
RECOVERY_WAIT = STAND_LIMIT * 1.25  # votes given before a disk was lost are counted or void by then
BACKUP_SILENCE = 0.6  # without an answer; then a backup is replaced
SLOW_SAVE = 0.8  # that a primary's own save may take; then it transfers leadership
WITNESS_SILENCE = 2.0  # without an answer; then a witness is replaced, if there is a spare
CHANGE_GAP = 1.0  # from one change of witnesses to the next
RENEW_GAP = 0.3  # from one renewal of an epoch by its primary to the next
FRESH = 1.0  # within which a machine heard counts as alive
READ_LIMIT = 1.0  # until an unconfirmed read fails
JOIN_GAP = 0.3  # between a spare's Joins
SPARE_FRESH = 2.0  # after its last Join until a spare is no longer taken for one
LOCATE_GAP = 2.0  # from one telling of where a machine is to the next
LOCATED_FOR = 3 * LOCATE_GAP  # that a machine is believed which says that nobody counts
LEAVING_FOR = 3.0  # that a machine which said that it leaves is nobody's choice for a backup
REST = 3.0  # that a primary which transferred leadership, or a backup that was too slow, is left aside
NUMBER_LIMIT = 1 << 53  # epoch numbers stay exact as doubles
STATE_LIMIT = 16 * 1024 * 1024 - 4096  # bytes: a Store fits into one frame
DELTA_FROM = 32 * 1024  # bytes of a state, from which a change is sent as a difference first
LEAST_BANDWIDTH = 10_000_000  # bytes a second between core machines, reckoned with before one counts as slow


@dataclass(frozen=True, slots=True)
class Timing:
    """What a replica waits for. All in seconds, as the constants of the same names."""

    heartbeat: float = HEARTBEAT
    lease: float = LEASE
    block: float = BLOCK
    lapse: float = LAPSE
    silence_draw: float = SILENCE_DRAW
    retry: float = RETRY
    pre_vote_retry: float = PRE_VOTE_RETRY
    round: float = ROUND
    store_patience: float = STORE_PATIENCE
    stand_limit: float = STAND_LIMIT
    recovery_wait: float = RECOVERY_WAIT
    backup_silence: float = BACKUP_SILENCE
    slow_save: float = SLOW_SAVE
    witness_silence: float = WITNESS_SILENCE
    change_gap: float = CHANGE_GAP
    renew_gap: float = RENEW_GAP
    fresh: float = FRESH
    read_limit: float = READ_LIMIT
    join_gap: float = JOIN_GAP
    spare_fresh: float = SPARE_FRESH
    locate_gap: float = LOCATE_GAP
    located_for: float = LOCATED_FOR
    leaving_for: float = LEAVING_FOR
    rest: float = REST


DEFAULT_TIMING = Timing()
