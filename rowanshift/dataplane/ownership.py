"""Which live member does what: rendezvous hashing; a member that comes or goes moves only its own keys."""

from collections.abc import Iterable

from rowanshift.placement.hash_ring import stable


def holder(key: str, members: Iterable[int]) -> int | None:
    """The member that has a key; None if there are no members."""
    return max(members, default=None, key=lambda member: stable(f"{key}|{member}"))
