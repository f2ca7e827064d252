"""Request counters and their text format. Independent of sockets and of the port that serves them."""

from collections.abc import Callable

OUTCOMES = ("served", "refused", "failed")


def outcome_index(status: int) -> int:
    """The index in ``OUTCOMES`` of a response with this status."""
    return 0 if status == 200 else 1 if status in (429, 503) else 2


def escape_label_value(value: str) -> str:
    """Escapes a label value for use between double quotes."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


class Metrics:
    """Counters since the start of the process."""

    def __init__(self, categories: list[str]) -> None:
        self.categories = categories
        self.ended_requests = [[0] * len(OUTCOMES) for _ in categories]  # counts by category and outcome
        self.in_flight = 0  # the requests accepted and not yet ended
        self.attempts = 0  # the hand-offs whose request was written completely
        self.server_counts: Callable[[], tuple[int, int]] = lambda: (0, 0)  # listed servers, avoided servers

    def count_attempt(self, hand_off: object) -> None:
        """Counts a hand-off whose last byte was written."""
        self.attempts += 1

    def count_end(self, category: int, status: int) -> None:
        """Counts the end of an accepted request; ``status`` is that of the response sent, 0 if there was none."""
        self.in_flight -= 1
        self.ended_requests[category][outcome_index(status)] += 1

    def render(self) -> str:
        """The counters, one a line."""
        lines = [
            f'router_requests{{class="{escape_label_value(name)}",outcome="{outcome}"}} {n}'
            for name, row in zip(self.categories, self.ended_requests, strict=True)
            for outcome, n in zip(OUTCOMES, row, strict=True)
        ]
        known, avoided = self.server_counts()
        lines += [
            f"router_attempts {self.attempts}",
            f"router_in_flight {self.in_flight}",
            f"router_cache_servers_known {known}",
            f"router_cache_servers_excluded {avoided}",
        ]
        return "\n".join(lines) + "\n"
