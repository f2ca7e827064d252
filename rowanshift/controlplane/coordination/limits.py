"""Limits of the coordination service: names, texts, times, and what one state may hold."""

MAX_NAME_BYTES = 128  # of a lock, a sequence of numbers, a key, a holder
MAX_VALUE_BYTES = 4096  # of a key
MAX_HOLD_MS = 600_000  # of a lock
MAX_WATCH_WAIT_MS = 60_000  # that a watch may ask to wait
MAX_INTEGER = 2**63 - 1  # of a token or a revision in a call
MAX_INTEGER_DIGITS = 19  # of a number in a query
MAX_WAITING_WATCHES = 128  # at one machine
MAX_QUEUED_CALLS = 1024  # that wait for their batch at the primary
MAX_BATCH_CALLS = 256  # that share one write

MAX_LOCKS = 4096  # ended holds included, which make room first
MAX_NUMBER_NAMES = 4096
MAX_GROUPS = 1024
MAX_KEYS = 16384
MAX_HISTORY_ENTRIES = 16384  # puts that watches may still ask for
MAX_STATE_BYTES = 2 << 20  # of a packed state; each change is on disk and on its way as a whole or as a difference
