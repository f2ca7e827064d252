"""Errors of the index of prefix blocks."""


class KvIndexError(ValueError):
    """Base class of this package's errors; the text says what was wrong."""


class MalformedHoldings(KvIndexError):
    """An answer of a holder that is no list of blocks and no list of events.

    The index is as it was before. Whoever asked may read the holder's complete list again.
    """
