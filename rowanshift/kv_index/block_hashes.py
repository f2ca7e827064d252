"""Hashes of prefix blocks, with which the primary and the routers refer to the contents of stores. No I/O.

A prefix block is a part of a prompt whose KV cache is kept. Its hash covers the holder, the model, the salt under which
the block is kept, and the block's id. Hashes are the same in every process.
"""

from collections.abc import Iterable, Sequence
from struct import pack, unpack

from rowanshift.placement.hash_ring import stable_hash

HASH_BYTES = 8


def block_hash(holder: str, model: str, salt: str, block_id: str) -> int:
    """The 64-bit hash of a block at the holder with this address (IP:PORT)."""
    return stable_hash("|".join([holder, *(escaped(part) for part in (model, salt, block_id))]))


def escaped(text: str) -> str:
    """The text without separators; different texts stay different."""
    return text.replace("%", "%25").replace("|", "%7C")


def presence_hash(holder: str) -> int:
    """The hash that stands for the holder itself; if it is among the holdings, the holder responds."""
    return stable_hash(f"{holder}|")


def store_for_prefix(stores: Iterable[str], prefix: str) -> str | None:
    """The address of the store that is responsible for a prefix; ``None`` if there are no stores.

    Rendezvous hashing assigns each prefix to one store; the loss of a store moves only the prefixes of that store.
    """
    return max(stores, default=None, key=lambda address: stable_hash(f"{address}|{prefix}"))


def pack_block_hashes(hashes: Sequence[int]) -> bytes:
    """Serialize hashes, ``HASH_BYTES`` each."""
    return pack(f">{len(hashes)}Q", *hashes)


def unpack_block_hashes(data: bytes) -> tuple[int, ...]:
    """Deserialize hashes; an incomplete one at the end is ignored."""
    count = len(data) // HASH_BYTES
    return unpack(f">{count}Q", data[: count * HASH_BYTES])
