"""In which order a router asks the control plane's replicas for the primary. No I/O.

Replicas are asked one after the other without waiting for each other's answers, so that one which accepts connections
and never answers delays nothing. One that gave no answer lately is asked last, unless another that heard it since names
it as the primary.
"""

from collections.abc import Callable, Iterable

SUSPECT_SECONDS = 10.0  # for which a machine that gave no answer is asked last


class PrimarySearch:
    """The order of one search after another. Machines are known by their ids; times are steady seconds."""

    def __init__(self, draw: Callable[[], float]) -> None:
        """``draw`` gives numbers from [0, 1), so that routers don't all ask in the same order."""
        self._draw = draw
        self._unanswered_at: dict[int, float] = {}
        self._waiting: list[int] = []
        self._asked: set[int] = set()
        self._hint: int | None = None

    def begin(self, machines: Iterable[int], now: float) -> None:
        """Start a search of these machines, first the one that was named as the primary since the last search."""
        self._unanswered_at = {m: at for m, at in self._unanswered_at.items() if now - at < SUSPECT_SECONDS}
        drawn = {machine: self._draw() for machine in sorted({*machines} - {0})}
        self._waiting = sorted(drawn, key=lambda m: (m != self._hint, self._unanswered_at.get(m, 0.0), drawn[m]))
        self._asked, self._hint = set(), None

    def next_machine(self) -> int | None:
        """The machine to be asked now, ``None`` if all were."""
        if not self._waiting:
            return None
        machine = self._waiting.pop(0)
        self._asked.add(machine)
        return machine

    def on_no_answer(self, machine: int, now: float) -> None:
        """A machine could not be reached, or gave no answer in time."""
        self._unanswered_at[machine] = now

    def on_primary_hint(self, primary: int | None) -> None:
        """A machine names another as the primary: that is asked next, if it wasn't yet. ``None``: it knows of none."""
        self._hint = primary
        if primary is None or primary in self._asked:
            return
        self._waiting = [primary, *(machine for machine in self._waiting if machine != primary)]
