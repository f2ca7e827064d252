"""How recent a router's knowledge of the control state is, by its own steady clock. No I/O.

A primary checks its lease after a poll has come in and before it answers. While the lease is valid no other machine has
acknowledged anything. So an answer, however late it arrives, holds whatever had been acknowledged before its poll was
*sent*; it says nothing of the time between. That is the one time that counts here.
"""

NEVER = float("-inf")


class Freshness:
    """Tracks since when a router's knowledge may be old. All times are steady seconds.

    What it knows holds all that was acknowledged before ``known_as_of``.
    """

    def __init__(self, now: float, max_refusal_age: float, max_key_age: float | None = None) -> None:
        """``max_refusal_age``: seconds of age up to which a client may be refused by what is known; ``max_key_age``:
        those up to which a request may be admitted by its key, ``None``: at any age."""
        self.max_refusal_age, self.max_key_age = max_refusal_age, max_key_age
        self.known_as_of = NEVER
        self.stale_since: float | None = now  # what is known may be older than it seems; None: it isn't

    def mark_stale(self, now: float) -> None:
        """The process was suspended: what is known must be confirmed by a poll sent from now on."""
        self.stale_since = now

    def confirm(self, asked_at: float) -> bool:
        """A poll sent at that time was answered; whether what is known is no longer stale by that."""
        self.known_as_of = max(self.known_as_of, asked_at)
        ended = self.stale_since is not None and self.stale_since <= asked_at
        if ended:
            self.stale_since = None
        return ended

    @property
    def is_stale(self) -> bool:
        """Whether what is known must be confirmed before it is relied on."""
        return self.stale_since is not None

    def may_refuse(self, now: float) -> bool:
        """Whether a 401 or 404, which is final for the client, may be given by what is known."""
        return not self.is_stale and now - self.known_as_of <= self.max_refusal_age

    def may_admit_key(self, arrived_at: float) -> bool:
        """Whether a request that arrived at that time may be admitted by its key.

        A revocation that isn't known was acknowledged after ``known_as_of``, and the request was sent before it
        arrived: less than ``max_key_age`` lies between the two. It holds for all that is done for the request later.
        """
        return self.max_key_age is None or arrived_at - self.known_as_of <= self.max_key_age
