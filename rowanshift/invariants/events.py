"""The event stream that the checks, traces, tests and logs consume. The code calls a recorded event a fact.

A fact is a tuple ``(at, kind, ...)``: the time in seconds, the kind, and the fields that ``KINDS`` names for it. The
component that observes an event publishes it once. Readers are called synchronously and in order. Without readers an
event costs one call.
"""

from collections.abc import Callable
from typing import Any

Fact = tuple[Any, ...]
Reader = Callable[[Fact], None]

# asked, answered, ended: a request as observed by its client. reached, replied: a hand-off as observed by a server.
KINDS: dict[str, tuple[str, ...]] = {
    "started": ("machine", "life"),
    "down": ("machine", "how"),  # killed, vanished, crashed, ended
    "stalled": ("machine",),
    "went_on": ("machine",),
    "signalled": ("machine", "signal"),
    "trouble": ("what", "who"),
    "told": ("router", "server", "health"),  # discovery sent it to the router
    "asked": ("txn", "router", "category", "key", "left_s"),  # its last byte was written
    "answered": ("txn", "status", "sent_at", "made"),  # a complete answer; whether a server produced that body for it
    "ended": ("txn", "how"),  # without a complete answer: lost, crossed, left
    "reached": ("txn", "server", "router", "first_at", "zone"),  # its last byte was received; first_at: first byte sent
    "replied": ("txn", "server", "outcome", "sent_at"),  # served, miss, error, away, spoilt
    "withdrawn": ("txn", "server"),  # its connection was abandoned
    "given_up": ("txn", "server", "given_up_at"),  # before the server, which was paused, had read it
    "no_way": ("router", "address"),  # a connection attempt failed, or data sent was lost or delayed
    "fell": ("server", "warmth"),  # by overload
    "stopped": ("server", "cold_part"),  # the origin, by overload; the share of its load from misses of cold caches
    "left_over": ("machine", "what", "count"),  # resources not released at the end of a process or of the run
}


class EventStream:
    """An event stream with any number of readers."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.readers: list[Reader] = []

    def publish(self, kind: str, *fields: Any) -> None:
        """Publish an event of a kind with these fields to all readers."""
        if self.readers:
            fact = (self.now(), kind, *fields)
            for reader in self.readers:
                reader(fact)


def event_as_dict(fact: Fact) -> dict[str, Any]:
    """Convert a fact to a dictionary with field names, for display and serialization."""
    at, kind, *rest = fact
    return {"at": round(at, 6), "kind": kind, **dict(zip(KINDS[kind], rest, strict=True))}
