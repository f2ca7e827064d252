"""In which order a router asks core machines for the primary. No I/O.

Machines are asked one after the other without waiting for each other's answers, so that one that takes connections
and says nothing holds up nobody. A machine that was silent lately is asked last, unless another that heard it lately
names it as the primary.
"""

from collections.abc import Callable, Iterable

SUSPECT_FOR = 10.0  # seconds after which a machine's silence is forgotten


class PrimarySearch:
    """One search after another; machines are numbers, 0 stands for none, times are steady seconds."""

    def __init__(self, draw: Callable[[], float]) -> None:
        """``draw`` gives numbers from [0, 1), so that routers don't all ask in one order."""
        self._draw = draw
        self._silent_at: dict[int, float] = {}
        self._waiting: list[int] = []
        self._asked: set[int] = set()
        self._hint = 0

    def begin(self, machines: Iterable[int], now: float) -> None:
        """Start over with these machines; one that was named as the primary since the last search comes first."""
        self._silent_at = {m: at for m, at in self._silent_at.items() if now - at < SUSPECT_FOR}
        drawn = {machine: self._draw() for machine in sorted({*machines} - {0})}
        self._waiting = sorted(drawn, key=lambda m: (m != self._hint, self._silent_at.get(m, 0.0), drawn[m]))
        self._asked, self._hint = set(), 0

    def next(self) -> int:
        """The machine to be asked now, 0 if all were."""
        if not self._waiting:
            return 0
        machine = self._waiting.pop(0)
        self._asked.add(machine)
        return machine

    def silent(self, machine: int, now: float) -> None:
        """A machine gave no answer."""
        self._silent_at[machine] = now

    def named(self, primary: int) -> None:
        """Another machine says that this one is the primary: it is asked next, if it wasn't yet."""
        self._hint = primary
        if not primary or primary in self._asked:
            return
        self._waiting = [primary, *(machine for machine in self._waiting if machine != primary)]
