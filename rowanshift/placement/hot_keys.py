"""Detection of hot keys, and the number of shadows (additional replicas) of each.

No I/O, no clock: times are passed in, in seconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

EPOCH_SECONDS = 1.0  # interval at which hot keys are determined
SHADOW_LEASE_SECONDS = 5.0  # how long a key keeps its shadows after its last hot epoch
HOT_EPOCHS = 4  # consecutive epochs over the threshold after which a key is hot
MAX_SCORED_KEYS = 512
MIN_SAMPLES = 24  # decayed accesses needed to end an epoch; with fewer, shares are not meaningful


@dataclass(slots=True)
class HotKey:
    """The state of a scored key. ``score`` counts its accesses and is halved at the end of each epoch."""

    score: float = 0.0
    streak: int = 0  # consecutive epochs over the threshold
    lease: float = 0.0  # expiry of its shadows
    shadows: int = 0
    current: Any = None  # the replica that its reads go to; its type is the program's type of servers


class HotKeyTracker:
    """Scores keys, identified by their positions on the hash ring.

    A key is over the threshold in an epoch if it has more than the mean number of accesses per server.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.scores: dict[int, HotKey] = {}
        self.samples = 0.0
        self.epoch_ends_at = now + EPOCH_SECONDS

    def get(self, position: int) -> HotKey | None:
        """The state of a key; None if it is not scored."""
        return self.scores.get(position)

    def record_access(self, position: int, weight: int = 1) -> None:
        """Count one access of a key; an access that invalidates its replicas has a negative weight."""
        self.samples += 1
        if position in self.scores or (weight > 0 and len(self.scores) < MAX_SCORED_KEYS):
            self.scores.setdefault(position, HotKey()).score += weight

    def add_samples(self, samples: int, reads: Mapping[int, int]) -> None:
        """Add the samples of other routers: their total number, and the reads of each key."""
        self.samples += samples
        for position, count in reads.items():
            if position in self.scores or len(self.scores) < MAX_SCORED_KEYS:
                self.scores.setdefault(position, HotKey()).score += count

    def is_epoch_due(self, now: float) -> bool:
        """Whether the epoch is over and has enough samples."""
        return now >= self.epoch_ends_at and self.samples >= MIN_SAMPLES

    def end_epoch(self, now: float, servers: int) -> list[tuple[int, float]]:
        """End an epoch with this number of available servers; return new hot keys with their sample shares."""
        self.epoch_ends_at = now + EPOCH_SECONDS
        servers = max(1, servers)
        became_hot = []
        for position, key in list(self.scores.items()):
            share = key.score / self.samples * servers  # 1: the mean of a server
            if self._update_shadows(key, share, servers, now):
                became_hot.append((position, share / servers))
            key.score /= 2
            if key.score < 0.5 and not key.shadows:
                del self.scores[position]
        self.samples /= 2
        return became_hot

    @staticmethod
    def _update_shadows(key: HotKey, share: float, servers: int, now: float) -> bool:
        """Add shadows and renew the lease of a hot key, or remove expired shadows; whether it became hot."""
        key.streak = key.streak + 1 if share > 1 and key.score > 2 else 0
        if key.streak < HOT_EPOCHS:
            if key.lease < now:
                key.shadows = 0
            return False
        became_hot = not key.shadows
        key.lease = now + SHADOW_LEASE_SECONDS
        key.shadows = min(int(share), 2 * key.shadows + 1, servers - 1)
        return became_hot
