"""Counters as plain numbers, written out as text. It knows neither sockets nor who asks."""

from collections.abc import Callable

OUTCOMES = ("served", "refused", "failed")


def outcome_of(status: int) -> int:
    """Which of ``OUTCOMES`` an answer to a client is, by its status."""
    return 0 if status == 200 else 1 if status in (429, 503) else 2


def escaped(value: str) -> str:
    """A label's value as it stands between quotes."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


class Figures:
    """Counts from the start of the process; each is counted where it happens, and in one place."""

    def __init__(self, categories: list[str]) -> None:
        self.categories = categories
        self.ended = [[0] * len(OUTCOMES) for _ in categories]  # work items, by category and outcome
        self.in_flight = 0  # work items that were taken and have not ended
        self.attempts = 0  # hand-offs written whole
        self.servers: Callable[[], tuple[int, int]] = lambda: (0, 0)  # in the list, and avoided now

    def handed_off(self, ho: object) -> None:
        self.attempts += 1

    def end(self, category: int, status: int) -> None:
        """Counts a work item that was taken; the status is that of the answer which has left."""
        self.in_flight -= 1
        self.ended[category][outcome_of(status)] += 1

    def text(self) -> str:
        lines = [
            f'router_requests{{class="{escaped(name)}",outcome="{outcome}"}} {n}'
            for name, row in zip(self.categories, self.ended, strict=True)
            for outcome, n in zip(OUTCOMES, row, strict=True)
        ]
        known, avoided = self.servers()
        lines += [
            f"router_attempts {self.attempts}",
            f"router_in_flight {self.in_flight}",
            f"router_cache_servers_known {known}",
            f"router_cache_servers_excluded {avoided}",
        ]
        return "\n".join(lines) + "\n"
