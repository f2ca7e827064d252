"""Majorities of sets of machines."""

from collections.abc import Collection


def majority(members: Collection[int]) -> int:
    """The number of members that make a majority."""
    return len(members) // 2 + 1


def has_majority(voters: Collection[int], members: Collection[int]) -> bool:
    """Whether a majority of the members is among the voters."""
    return sum(member in voters for member in members) >= majority(members)
