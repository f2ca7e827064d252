"""The stream of facts that the rules, traces, trials and logs look at.

A fact is a tuple ``(at, kind, ...)``: seconds, its kind, and what ``KINDS`` names for that kind. Whoever
sees a thing happen tells it once; readers are called in order, in the same turn. Without readers a fact
costs one call.
"""

from collections.abc import Callable
from typing import Any

Fact = tuple[Any, ...]
Reader = Callable[[Fact], None]

# asked, answered, ended: as the client sees its request. reached, replied, left: as a server sees a hand-off.
KINDS: dict[str, tuple[str, ...]] = {
    "started": ("machine", "life"),
    "down": ("machine", "how"),  # killed, vanished, crashed, ended
    "stalled": ("machine",),
    "went_on": ("machine",),
    "signalled": ("machine", "signal"),
    "trouble": ("what", "who"),
    "told": ("router", "server", "health"),  # discovery wrote it to the router
    "asked": ("txn", "router", "category", "key", "left_s"),  # its last byte was written
    "answered": ("txn", "status", "sent_at", "made"),  # whole; whether a server made that body for it
    "ended": ("txn", "how"),  # with no whole answer: lost, crossed, left
    "reached": ("txn", "server", "router", "first_at", "zone"),  # its last byte came; when its first was sent
    "replied": ("txn", "server", "outcome", "sent_at"),  # served, miss, error, away, spoilt
    "withdrawn": ("txn", "server"),  # its connection was given up
    "given_up": ("txn", "server", "given_up_at"),  # before the server, which stood still, had read it
    "no_way": ("router", "address"),  # a dial of it did not come up, or what it sent was lost or held back
    "fell": ("server", "warmth"),  # pushed over
    "stopped": ("server", "cold_part"),  # the origin; the part of its load that cold caches' misses made
    "left_over": ("machine", "what", "count"),  # when a process ended, or at the end of a run
}


class Events:
    """A stream of facts for whoever reads it."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.readers: list[Reader] = []

    def tell(self, kind: str, *facts: Any) -> None:
        """Pass facts of a kind on to all readers."""
        if self.readers:
            fact = (self.now(), kind, *facts)
            for reader in self.readers:
                reader(fact)


def named(fact: Fact) -> dict[str, Any]:
    """A fact as an object with names, for people and programs."""
    at, kind, *rest = fact
    return {"at": round(at, 6), "kind": kind, **dict(zip(KINDS[kind], rest, strict=True))}
