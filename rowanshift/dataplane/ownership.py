"""Ownership of keys by live routers, by rendezvous hashing.

When a router joins or leaves, only the owners of its own keys change. No I/O.
"""

from collections.abc import Iterable

from rowanshift.placement.hash_ring import stable_hash


def owner_of(key: str, members: Iterable[int]) -> int | None:
    """The member, by machine id, that owns a key; ``None`` if there are no members."""
    return max(members, default=None, key=lambda member: stable_hash(f"{key}|{member}"))
