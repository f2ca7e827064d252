"""Limits of the coordination service: sizes of names and values, times, queue lengths, and the size of the state."""

MAX_NAME_BYTES = 128  # names of locks, number sequences, keys and lock holders
MAX_VALUE_BYTES = 4096
MAX_HOLD_MS = 600_000
MAX_WATCH_WAIT_MS = 60_000  # longer waits in a watch's query are reduced to this
MAX_INTEGER = 2**63 - 1  # tokens and revisions in calls
MAX_INTEGER_DIGITS = 19  # integers in a query string
MAX_WAITING_WATCHES = 128  # per machine
MAX_QUEUED_CALLS = 1024  # calls that wait at the primary for their batch
MAX_BATCH_CALLS = 256  # calls committed by one write

MAX_LOCKS = 4096  # including expired holds, which are removed when the table is full
MAX_NUMBER_NAMES = 4096
MAX_GROUPS = 1024
MAX_KEYS = 16384
MAX_HISTORY_ENTRIES = 16384  # puts kept for watches
MAX_STATE_BYTES = 2 << 20  # packed state, which each change writes to disk and sends, in full or as a delta
