"""How recent a router's knowledge of the control state is, by its own steady clock. No I/O.

A primary looks at its lease after a poll has come in and before it answers. While the lease is valid no other machine
has acknowledged anything. So an answer, however late it arrives, holds whatever had been acknowledged before its poll
was *asked*; it says nothing of the time between. That is the one time that counts here.
"""

NEVER = float("-inf")


class Freshness:
    """What a router knows holds all that was acknowledged before ``known_as_of``; all times in steady seconds."""

    def __init__(self, now: float, refuse_within: float, revoke_within: float | None = None) -> None:
        """``refuse_within``: age of the knowledge up to which a client may be refused by it; ``revoke_within``: that
        up to which a request may be let in by its key, ``None`` where keys may be used however old the knowledge is."""
        self.refuse_within, self.revoke_within = refuse_within, revoke_within
        self.known_as_of = NEVER
        self.doubted_since: float | None = now  # what is known may be older than it seems; None: it isn't

    def doubt(self, now: float) -> None:
        """The process stood still: only an answer to what is asked from now on ends the doubt."""
        self.doubted_since = now

    def confirmed(self, asked_at: float) -> bool:
        """A poll asked at that time was answered; whether that ended a doubt."""
        self.known_as_of = max(self.known_as_of, asked_at)
        ended = self.doubted_since is not None and self.doubted_since <= asked_at
        if ended:
            self.doubted_since = None
        return ended

    @property
    def in_doubt(self) -> bool:
        """Whether what is known must be confirmed before it is relied on."""
        return self.doubted_since is not None

    def may_refuse(self, now: float) -> bool:
        """Whether a 401 or 404, which is final for the client, may be given by what is known."""
        return not self.in_doubt and now - self.known_as_of <= self.refuse_within

    def may_admit_key(self, came_at: float) -> bool:
        """Whether a request that came at that time may be let in by its key.

        A revocation that isn't known was acknowledged after ``known_as_of``, and the request was sent before it came:
        less than ``revoke_within`` lies between the two. It holds for all that is done for the request later.
        """
        return self.revoke_within is None or came_at - self.known_as_of <= self.revoke_within
