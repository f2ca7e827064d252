"""The prefix blocks of one server or store, from its own reports (``/kv-list`` and ``/kv-events``). No I/O.

Holdings are hints: a block that is missing after all costs a read or a failed fetch and has no other effect.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

import msgspec

from rowanshift.kv_index.block_hashes import block_hash, presence_hash
from rowanshift.kv_index.errors import MalformedHoldings

MAX_HELD_BLOCKS = 100_000  # indexed blocks per holder; the least recently reported ones are dropped
UNKNOWN_BOOT_EPOCH = -1  # the holder's list has not been read yet, or events were lost since


class BlockHolder(msgspec.Struct, eq=False):
    """A server or store and the blocks that it has reported."""

    address: str  # IP:PORT
    boot_epoch: int = UNKNOWN_BOOT_EPOCH
    next_event: int = 0  # number of the first unread event
    blocks: OrderedDict[int, int] = msgspec.field(
        default_factory=OrderedDict
    )  # token count by block hash, least recently reported first

    @property
    def has_list(self) -> bool:
        """Whether the complete list was read and no later event was lost."""
        return self.boot_epoch >= 0

    def hashes(self) -> set[int]:
        """The block hashes and the presence hash; empty until the complete list was read."""
        return {*self.blocks, presence_hash(self.address)} if self.has_list else set()

    def reset(self) -> None:
        """Discards everything reported, so that the complete list must be read again."""
        self.boot_epoch = UNKNOWN_BOOT_EPOCH
        self.next_event = 0
        self.blocks.clear()

    def apply_list(self, answer: Mapping[str, Any]) -> None:
        """Applies a complete list, the JSON of ``/kv-list``. Raises ``MalformedHoldings``."""
        try:
            boot_epoch, next_event = int(answer["bootEpoch"]), int(answer["nextToken"])
            held = [
                (block_hash(self.address, str(model), str(salt), str(block_id)), int(tokens))
                for salt, block_id, tokens, model in answer["held"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedHoldings(repr(error)) from error
        self.boot_epoch, self.next_event = boot_epoch, next_event
        self.blocks = OrderedDict(held[-MAX_HELD_BLOCKS:])

    def apply_events(self, answer: Mapping[str, Any]) -> bool:
        """Applies changes, the JSON of ``/kv-events``.

        If events were lost or the holder has restarted, resets this record and returns False. Raises
        ``MalformedHoldings``.
        """
        try:
            boot_epoch, next_event, lost = int(answer["bootEpoch"]), int(answer["nextToken"]), bool(answer["lost"])
            events = [
                (sign, block_hash(self.address, str(model), str(salt), str(block_id)), int(tokens))
                for _, sign, salt, block_id, tokens, model in answer["events"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise MalformedHoldings(repr(error)) from error
        if boot_epoch != self.boot_epoch or lost:
            self.reset()
            return False
        self.next_event = next_event
        for sign, hash_, tokens in events:
            if sign == "+" or tokens > 0:
                self.blocks[hash_] = tokens
                self.blocks.move_to_end(hash_)
            else:
                self.blocks.pop(hash_, None)
        while len(self.blocks) > MAX_HELD_BLOCKS:
            self.blocks.popitem(last=False)
        return True
