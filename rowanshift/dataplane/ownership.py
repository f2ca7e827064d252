"""Which live router owns a key, by rendezvous hashing.

A router that joins or leaves changes the owner of its own keys alone. No I/O.
"""

from collections.abc import Iterable

from rowanshift.placement.hash_ring import stable_hash


def owner_of(key: str, members: Iterable[int]) -> int | None:
    """The machine id, of those given, that owns a key; ``None`` if no member is given."""
    return max(members, default=None, key=lambda member: stable_hash(f"{key}|{member}"))
