"""What one server or store holds of prefix blocks, by its own list and events (``/kv-list``, ``/kv-events``). No I/O.

Holdings are hints: a block that is not there costs a read or a fruitless fetch, and breaks nothing.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

import msgspec

from rowanshift.kv_index.block_hashes import block_hash, presence_hash
from rowanshift.kv_index.errors import MalformedHoldings

MAX_HELD_BLOCKS = 100_000  # of one holder that are indexed; those reported longest ago are dropped
UNKNOWN_BOOT_EPOCH = -1  # of a holder whose list was not read yet, or whose events were lost


class BlockHolder(msgspec.Struct, eq=False):
    """One server or store, and the blocks that it holds as far as it has reported them."""

    address: str  # IP:PORT
    boot_epoch: int = UNKNOWN_BOOT_EPOCH
    next_event: int = 0  # the number of the first event that was not read
    blocks: OrderedDict[int, int] = msgspec.field(
        default_factory=OrderedDict
    )  # hash to tokens, reported longest ago first

    @property
    def has_list(self) -> bool:
        """Whether its complete list was read, and no event after it was lost."""
        return self.boot_epoch >= 0

    def hashes(self) -> set[int]:
        """The hashes of all that it holds and of its presence; none before its list was read."""
        return {*self.blocks, presence_hash(self.address)} if self.has_list else set()

    def reset(self) -> None:
        """Drops all that was reported: the complete list must be read again."""
        self.boot_epoch = UNKNOWN_BOOT_EPOCH
        self.next_event = 0
        self.blocks.clear()

    def apply_list(self, answer: Mapping[str, Any]) -> None:
        """Applies its complete list, the JSON of ``/kv-list``. Raises ``MalformedHoldings``."""
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
        """Applies what changed, the JSON of ``/kv-events``; False if events were lost, or the holder was started anew:
        then it is reset. Raises ``MalformedHoldings``."""
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
