"""The index of kept prompt parts: what a source keeps, by its events, and what of that is told on. No I/O.

A part is known by its mark, a hash of where it is kept, the model, the salt it is kept under and its id.
Holdings are hints: a part that is not there costs a read or a fruitless fetch, and breaks nothing.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from struct import pack, unpack
from typing import Any

from rowanshift.placement.hash_ring import stable

MOST_PARTS = 100_000  # of one source; what was told of longest ago goes
MOST_CHANGES = 4_096  # kept for those who ask with what they have; others get the whole


class BadEvents(ValueError):
    """An answer of a source that is no list of events."""


def mark_of(at: str, model: str, salt: str, id: str) -> int:
    """Of one part at a source, 64 bits, the same in every process."""
    return stable(f"{at}|{model}|{salt}|{id}")


def there(at: str) -> int:
    """The mark that says of a source that it answers."""
    return stable(f"{at}|")


def store_for(stores: Iterable[str], prefix: str) -> str | None:
    """The store that keeps a prefix, of those given: each has one, and a lost store moves only its own."""
    return max(stores, default=None, key=lambda at: stable(f"{at}|{prefix}"))


@dataclass(slots=True)
class Source:
    """What one server or store keeps, as far as its events told."""

    at: str  # IP:PORT
    boot: int = -1  # its boot epoch; -1: not heard yet
    since: int = 0  # the next event's number
    parts: OrderedDict[int, int] = field(default_factory=OrderedDict)  # mark to tokens

    def marks(self) -> set[int]:
        """Of all that it keeps, and that it is there."""
        return {*self.parts, there(self.at)} if self.boot >= 0 else set()

    def take_list(self, answer: dict[str, Any]) -> None:
        """Takes all that it keeps, from ``/kv-list``."""
        try:
            boot, since = int(answer["bootEpoch"]), int(answer["nextToken"])
            held = [
                (mark_of(self.at, str(model), str(salt), str(id)), int(tokens))
                for salt, id, tokens, model in answer["held"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise BadEvents(repr(error)) from error
        self.boot, self.since = boot, since
        self.parts = OrderedDict(held[-MOST_PARTS:])

    def take_events(self, answer: dict[str, Any]) -> bool:
        """Takes what changed, from ``/kv-events``; False if there is a gap: then the list is wanted."""
        try:
            boot, since, lost = int(answer["bootEpoch"]), int(answer["nextToken"]), bool(answer["lost"])
            events = [
                (sign, mark_of(self.at, str(model), str(salt), str(id)), int(tokens))
                for _, sign, salt, id, tokens, model in answer["events"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise BadEvents(repr(error)) from error
        if boot != self.boot or lost:
            self.boot, self.since = -1, 0
            self.parts.clear()
            return False
        self.since = since
        for sign, mark, tokens in events:
            if sign == "+" or tokens > 0:
                self.parts[mark] = tokens
                self.parts.move_to_end(mark)
            else:
                self.parts.pop(mark, None)
        while len(self.parts) > MOST_PARTS:
            self.parts.popitem(last=False)
        return True


@dataclass(slots=True)
class KvIndex:
    """What is told on: the marks that a store keeps, and their changes by serial."""

    serial: int = 1
    held: set[int] = field(default_factory=set)
    changes: deque[tuple[int, int, bool]] = field(default_factory=lambda: deque(maxlen=MOST_CHANGES))

    def update(self, held: set[int]) -> bool:
        """Takes what is kept now; whether that changed."""
        if held == self.held:
            return False
        self.serial += 1
        self.changes.extend((self.serial, mark, True) for mark in held - self.held)
        self.changes.extend((self.serial, mark, False) for mark in self.held - held)
        self.held = held
        return True

    def since(self, serial: int) -> tuple[bool, list[int], list[int]]:
        """Whether it is the whole, what is kept and what no longer is, for one who has a serial."""
        first = self.changes[0][0] if self.changes else self.serial + 1
        if not serial or serial > self.serial or (serial < self.serial and serial + 1 < first):
            return True, sorted(self.held), []
        if serial + 1 == first and len(self.changes) == MOST_CHANGES:  # the oldest serial may be cut
            return True, sorted(self.held), []
        net: dict[int, bool] = {}
        for number, mark, kept in self.changes:
            if number > serial:
                net[mark] = kept
        return (False, [mark for mark, kept in net.items() if kept], [mark for mark, kept in net.items() if not kept])


def packed(marks: list[int]) -> bytes:
    """Fingerprints as bytes, eight each."""
    return pack(f">{len(marks)}Q", *marks)


def unpacked(data: bytes) -> tuple[int, ...]:
    """Fingerprints from their bytes."""
    return unpack(f">{len(data) // 8}Q", data[: len(data) // 8 * 8])
