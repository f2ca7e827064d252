"""The order in which a router asks the control plane's replicas for the primary. No I/O.

Replicas are asked one after the other without waiting for answers, so that one which accepts connections and never
answers does not delay the search. A replica that gave no answer recently is asked last, unless another replica has
named it as the primary since.
"""

from collections.abc import Callable, Iterable

SUSPECT_SECONDS = 10.0  # a machine that gave no answer is asked last for this time


class PrimarySearch:
    """The order of consecutive searches. Machines are identified by their ids; times are monotonic, in seconds."""

    def __init__(self, draw: Callable[[], float]) -> None:
        """``draw`` returns random numbers from [0, 1), so that routers ask in different orders."""
        self._draw = draw
        self._unanswered_at: dict[int, float] = {}
        self._waiting: list[int] = []
        self._asked: set[int] = set()
        self._hint: int | None = None

    def begin(self, machines: Iterable[int], now: float) -> None:
        """Start a search of these machines; one named as the primary since the last search comes first."""
        self._unanswered_at = {m: at for m, at in self._unanswered_at.items() if now - at < SUSPECT_SECONDS}
        drawn = {machine: self._draw() for machine in sorted({*machines} - {0})}
        self._waiting = sorted(drawn, key=lambda m: (m != self._hint, self._unanswered_at.get(m, 0.0), drawn[m]))
        self._asked, self._hint = set(), None

    def next_machine(self) -> int | None:
        """The machine to ask next; ``None`` if all have been asked."""
        if not self._waiting:
            return None
        machine = self._waiting.pop(0)
        self._asked.add(machine)
        return machine

    def on_no_answer(self, machine: int, now: float) -> None:
        """A machine could not be reached or did not answer in time."""
        self._unanswered_at[machine] = now

    def on_primary_hint(self, primary: int | None) -> None:
        """A replica named the primary, which is asked next unless it has been asked. ``None``: it knows no primary."""
        self._hint = primary
        if primary is None or primary in self._asked:
            return
        self._waiting = [primary, *(machine for machine in self._waiting if machine != primary)]
