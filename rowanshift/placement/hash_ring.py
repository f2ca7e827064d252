"""Consistent hashing with virtual nodes: the owners of a key, in order of preference. No I/O."""

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Generic, TypeVar

MAX_CACHED_WALKS = 20000  # positions whose successors are cached; the cache is cleared when it exceeds this

Owner = TypeVar("Owner")  # hashable


def stable_hash(text: str) -> int:
    """A 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class HashRing(Generic[Owner]):
    """A hash ring on which each owner has a number of points (virtual nodes).

    A key's position is the high 32 bits of its stable hash. Points are hashed from ``name_of`` the owner.
    """

    def __init__(self, name_of: Callable[[Owner], str] = str) -> None:
        self.name_of = name_of
        self.points_by_owner: dict[Owner, tuple[int, ...]] = {}
        self.sorted_points: list[int] = []
        self.owner_by_point: dict[int, Owner] = {}
        self._successors: dict[int, list[Owner]] = {}  # by position; as many as were requested so far

    def set_point_counts(self, counts: Mapping[Owner, int]) -> None:
        """Set how many points each owner has; owners that are not in ``counts`` have none.

        Only points of changed owners are hashed, as hashing all points takes much processor time.
        """
        for owner in [owner for owner, points in self.points_by_owner.items() if len(points) != counts.get(owner, 0)]:
            self._remove(owner)
        for owner, count in counts.items():
            if count and owner not in self.points_by_owner:
                self._add(owner, count)
        self.sorted_points.sort()
        self._successors.clear()

    def _remove(self, owner: Owner) -> None:
        for point in self.points_by_owner.pop(owner):
            del self.owner_by_point[point]
            del self.sorted_points[bisect_left(self.sorted_points, point)]

    def _add(self, owner: Owner, count: int) -> None:
        points = tuple(stable_hash(f"{self.name_of(owner)}#{number}") for number in range(count))
        self.points_by_owner[owner] = points
        self.owner_by_point.update(dict.fromkeys(points, owner))
        self.sorted_points += points

    def successors(self, position: int, length: int) -> list[Owner]:
        """The first ``length`` distinct owners clockwise from a position; the first one is the key's home."""
        found = self._successors.get(position)
        if found is None or len(found) < min(length, len(self.points_by_owner)):
            if len(self._successors) > MAX_CACHED_WALKS:
                self._successors.clear()
            found = self._walk(position, length)
            self._successors[position] = found
        return found[:length]

    def _walk(self, position: int, length: int) -> list[Owner]:
        found: list[Owner] = []
        start = bisect_right(self.sorted_points, position << 32)
        for index in range(start, start + len(self.sorted_points)):
            owner = self.owner_by_point[self.sorted_points[index % len(self.sorted_points)]]
            if owner not in found:
                found.append(owner)
                if len(found) == length:
                    break
        return found
