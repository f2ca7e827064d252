"""Which keys are hot, and how many shadows (further replicas) each has."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

EPOCH, LEASE, HOT_EPOCHS = 1.0, 5.0, 4  # seconds, seconds, epochs
TABLE = 512  # keys scored at once
EVIDENCE = 24  # samples that an epoch and its past hold at least


@dataclass(slots=True)
class Hot:
    """A scored key: its streak of epochs over the mark and, while leased, its shadows."""

    score: float = 0.0
    streak: int = 0
    lease: float = 0.0
    shadows: int = 0
    current: Any = None  # the replica drawn, of the type that the front uses for servers


class Hotness:
    """Scores keys by their hashes. A key over one server's share of the samples for four epochs is hot."""

    def __init__(self, now: float = 0.0) -> None:
        self.scores: dict[int, Hot] = {}
        self.samples, self.epoch_at = 0.0, now + EPOCH

    def get(self, mark: int) -> Hot | None:
        return self.scores.get(mark)

    def sample(self, mark: int, worth: int = 1) -> None:
        """Counts one access of a key; one that voids its copies is worth less than nothing."""
        self.samples += 1
        if mark in self.scores or (worth > 0 and len(self.scores) < TABLE):
            self.scores.setdefault(mark, Hot()).score += worth

    def add(self, samples: int, reads: Mapping[int, int]) -> None:
        """Counts what others sampled."""
        self.samples += samples
        for mark, n in reads.items():
            if mark in self.scores or len(self.scores) < TABLE:
                self.scores.setdefault(mark, Hot()).score += n

    def epoch_due(self, now: float) -> bool:
        return now >= self.epoch_at and self.samples >= EVIDENCE  # under it the mark means nothing yet

    def epoch(self, now: float, ready: int) -> list[tuple[int, float]]:
        """Ends an epoch, with so many servers ready; the newly hot keys and their parts of samples."""
        self.epoch_at, ready, new = now + EPOCH, max(1, ready), []
        for mark, hot in list(self.scores.items()):
            share = hot.score / self.samples * ready
            hot.streak = hot.streak + 1 if share > 1 and hot.score > 2 else 0
            if hot.streak >= HOT_EPOCHS:
                if not hot.shadows:
                    new.append((mark, share / ready))
                hot.lease = now + LEASE
                hot.shadows = min(int(share), 2 * hot.shadows + 1, ready - 1)
            elif hot.lease < now:
                hot.shadows = 0
            hot.score /= 2
            if hot.score < 0.5 and not hot.shadows:
                del self.scores[mark]
        self.samples /= 2
        return new
