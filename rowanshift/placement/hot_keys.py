"""Which keys are hot, and how many shadows (further replicas) each has.

No I/O, no clock: times are passed in, in seconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

EPOCH_SECONDS = 1.0  # between looks at what is hot
SHADOW_LEASE_SECONDS = 5.0  # for which a key keeps its shadows after its last hot epoch
HOT_EPOCHS = 4  # in a row over the threshold, after which a key is hot
MAX_SCORED_KEYS = 512
MIN_SAMPLES = 24  # that an epoch and its past hold at least; under it the threshold means nothing yet


@dataclass(slots=True)
class HotKey:
    """A scored key. ``score`` counts its accesses, halved with each epoch."""

    score: float = 0.0
    streak: int = 0  # epochs in a row over the threshold
    lease: float = 0.0  # until when it keeps its shadows
    shadows: int = 0
    current: Any = None  # the replica that its reads go to, of the type that the program uses for servers


class HotKeyTracker:
    """Scores keys by their positions on the hash ring.

    A key is over the threshold in an epoch if its share of the accesses is over one server's.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.scores: dict[int, HotKey] = {}
        self.samples = 0.0
        self.epoch_ends_at = now + EPOCH_SECONDS

    def get(self, position: int) -> HotKey | None:
        """The score of a key, None if it has none."""
        return self.scores.get(position)

    def record_access(self, position: int, weight: int = 1) -> None:
        """Count one access of a key; one that invalidates its replicas has a negative weight."""
        self.samples += 1
        if position in self.scores or (weight > 0 and len(self.scores) < MAX_SCORED_KEYS):
            self.scores.setdefault(position, HotKey()).score += weight

    def add_samples(self, samples: int, reads: Mapping[int, int]) -> None:
        """Count what other routers sampled: in all, and the reads of each key."""
        self.samples += samples
        for position, count in reads.items():
            if position in self.scores or len(self.scores) < MAX_SCORED_KEYS:
                self.scores.setdefault(position, HotKey()).score += count

    def is_epoch_due(self, now: float) -> bool:
        """Whether an epoch is over and has samples enough."""
        return now >= self.epoch_ends_at and self.samples >= MIN_SAMPLES

    def end_epoch(self, now: float, servers: int) -> list[tuple[int, float]]:
        """End an epoch with so many available servers; the keys that became hot, and each one's fraction of samples."""
        self.epoch_ends_at = now + EPOCH_SECONDS
        servers = max(1, servers)
        became_hot = []
        for position, key in list(self.scores.items()):
            share = key.score / self.samples * servers  # 1: as much as one server's
            if self._update_shadows(key, share, servers, now):
                became_hot.append((position, share / servers))
            key.score /= 2
            if key.score < 0.5 and not key.shadows:
                del self.scores[position]
        self.samples /= 2
        return became_hot

    @staticmethod
    def _update_shadows(key: HotKey, share: float, servers: int, now: float) -> bool:
        """Give a hot key more shadows and a new lease, or take them away after it; whether it became hot."""
        key.streak = key.streak + 1 if share > 1 and key.score > 2 else 0
        if key.streak < HOT_EPOCHS:
            if key.lease < now:
                key.shadows = 0
            return False
        became_hot = not key.shadows
        key.lease = now + SHADOW_LEASE_SECONDS
        key.shadows = min(int(share), 2 * key.shadows + 1, servers - 1)
        return became_hot
