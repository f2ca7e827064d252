"""Errors of the index of prefix blocks."""


class KvIndexError(ValueError):
    """Base class of this package's errors; the text describes the fault."""


class MalformedHoldings(KvIndexError):
    """A holder's response is not a valid list of blocks or of events.

    The index is unchanged; the caller may read the holder's complete list again.
    """
