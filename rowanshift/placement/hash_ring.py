"""Consistent hashing with virtual nodes: which owners a key goes to, in order."""

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Hashable, Mapping
from hashlib import blake2b

WALKS = 20000  # walks kept


def stable(text: str) -> int:
    """A hash that every process shares."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class HashRing:
    """A ring of points (virtual nodes) of owners. ``name`` gives the text that an owner's points hash."""

    def __init__(self, name: Callable[[Hashable], str] = str) -> None:
        self.name = name
        self.points: dict[Hashable, tuple[int, ...]] = {}
        self.ring: list[int] = []  # all points in order
        self.owner: dict[int, Hashable] = {}  # whose a point is
        self.walks: dict[int, list[Hashable]] = {}

    def lay(self, wanted: Mapping[Hashable, int]) -> None:
        """Merges what has changed of each owner's number of points: laid anew, it would take much CPU."""
        for owner in [o for o, points in self.points.items() if len(points) != wanted.get(o, 0)]:
            for point in self.points.pop(owner):
                del self.owner[point], self.ring[bisect_left(self.ring, point)]
        for owner, count in wanted.items():
            if count and owner not in self.points:
                points = self.points[owner] = tuple(stable(f"{self.name(owner)}#{i}") for i in range(count))
                self.owner.update(dict.fromkeys(points, owner))
                self.ring += points
        self.ring.sort()
        self.walks.clear()

    def walk(self, mark: int, length: int) -> list[Hashable]:
        """The first distinct owners from the key on; its mark is the first 32 bits of its stable hash."""
        walk = self.walks.get(mark)
        if walk is None or len(walk) < min(length, len(self.points)):
            if len(self.walks) > WALKS:
                self.walks.clear()
            walk, start = [], bisect_right(self.ring, mark << 32)
            for i in range(start, start + len(self.ring)):
                owner = self.owner[self.ring[i % len(self.ring)]]
                if owner not in walk:
                    walk.append(owner)
                    if len(walk) == length:
                        break
            self.walks[mark] = walk
        return walk[:length]
