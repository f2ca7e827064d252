"""How recent a router's copy of the control state is, by the router's monotonic clock. No I/O.

A primary checks its lease after it has received a poll and before it answers. While the lease is valid, no other
machine acknowledges changes. So an answer, however late it arrives, contains every change that was acknowledged before
its poll was *sent*. It guarantees nothing about later changes, so the age of the state counts from that time.
"""

NEVER = float("-inf")


class Freshness:
    """Tracks how recent a router's control state is. All times are seconds of a monotonic clock.

    The state contains every change that was acknowledged before ``known_as_of``.
    """

    def __init__(self, now: float, max_refusal_age: float, max_key_age: float | None = None) -> None:
        """``max_refusal_age``: the age of the state in seconds up to which it may be the reason of a refusal;
        ``max_key_age``: the age up to which it may admit a request by its key, or ``None`` for any age."""
        self.max_refusal_age, self.max_key_age = max_refusal_age, max_key_age
        self.known_as_of = NEVER
        self.stale_since: float | None = now  # since when the state needs a confirmation; None: it needs none

    def mark_stale(self, now: float) -> None:
        """Require a confirmation by a poll that is sent from now on, as the process was suspended."""
        self.stale_since = now

    def confirm(self, asked_at: float) -> bool:
        """Record that a poll sent at ``asked_at`` was answered; return whether this ended a stale period."""
        self.known_as_of = max(self.known_as_of, asked_at)
        ended = self.stale_since is not None and self.stale_since <= asked_at
        if ended:
            self.stale_since = None
        return ended

    @property
    def is_stale(self) -> bool:
        """Whether the state must be confirmed before it is used."""
        return self.stale_since is not None

    def may_refuse(self, now: float) -> bool:
        """Whether a 401 or 404, which is final for the client, may be sent because of the state."""
        return not self.is_stale and now - self.known_as_of <= self.max_refusal_age

    def may_admit_key(self, arrived_at: float) -> bool:
        """Whether a request that arrived at ``arrived_at`` may be admitted by its key.

        A revocation that the state lacks was acknowledged after ``known_as_of``, and the request was sent before it
        arrived. So the request was sent less than ``max_key_age`` after the revocation. This also covers everything
        that is done for the request later.
        """
        return self.max_key_age is None or arrived_at - self.known_as_of <= self.max_key_age
