"""Hashes of prefix blocks, by which the primary and the routers name what a store holds. No I/O.

A prefix block is a part of a prompt whose KV cache is kept. Its hash covers the holder, the model, the salt that the
block is kept under, and its id. Hashes are the same in every process.
"""

from collections.abc import Iterable, Sequence
from struct import pack, unpack

from rowanshift.placement.hash_ring import stable_hash

HASH_BYTES = 8


def block_hash(holder: str, model: str, salt: str, block_id: str) -> int:
    """The hash, 64 bits, of one block at the holder with this address (IP:PORT)."""
    return stable_hash(f"{holder}|{model}|{salt}|{block_id}")


def presence_hash(holder: str) -> int:
    """The hash that stands for the holder itself: where it is among the holdings, the holder answers."""
    return stable_hash(f"{holder}|")


def store_for_prefix(stores: Iterable[str], prefix: str) -> str | None:
    """The store, of those given by address, that keeps a prefix; ``None`` if there is none.

    By rendezvous hashing: each prefix has one store, and a store that is lost moves only its own prefixes.
    """
    return max(stores, default=None, key=lambda address: stable_hash(f"{address}|{prefix}"))


def pack_block_hashes(hashes: Sequence[int]) -> bytes:
    """Hashes as bytes, ``HASH_BYTES`` each."""
    return pack(f">{len(hashes)}Q", *hashes)


def unpack_block_hashes(data: bytes) -> tuple[int, ...]:
    """Hashes from their bytes; an incomplete one at the end is ignored."""
    count = len(data) // HASH_BYTES
    return unpack(f">{count}Q", data[: count * HASH_BYTES])
