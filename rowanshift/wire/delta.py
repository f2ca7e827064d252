"""Delta encoding of byte strings as copies from the old string and literal bytes. No I/O.

Both strings are split into blocks after each ``},``, so that each object of a JSON text is a block, and long blocks are
split further, so that appending to one adds little to the delta. A delta is a sequence of operations: ``COPY`` (offset
and length in the old string) and ``LITERAL`` (length, followed by that many bytes).
"""

import re
from collections.abc import Iterator
from struct import Struct
from struct import error as StructError

from rowanshift.wire.errors import MalformedDelta

COPY, LITERAL = 0, 1
OPERATION = Struct(">BII")  # kind, offset (0 for a literal), length
MAX_BLOCK_BYTES = 4096
BLOCK_END = re.compile(rb"\},")


def split_into_blocks(data: bytes) -> Iterator[slice]:
    """Split a byte string into consecutive blocks, given as slices that cover all of it."""
    start = 0
    ends = [match.end() for match in BLOCK_END.finditer(data)]
    for end in (*ends, len(data)):
        while end - start > MAX_BLOCK_BYTES:
            yield slice(start, start + MAX_BLOCK_BYTES)
            start += MAX_BLOCK_BYTES
        if end > start:
            yield slice(start, end)
        start = end


class _DeltaWriter:
    """Collects the operations of a delta and merges adjacent ones of the same kind."""

    def __init__(self) -> None:
        self._operations: list[bytes] = []
        self._copy_start = self._copy_end = 0  # offsets in the old string; equal if no copy is pending
        self._literal = bytearray()

    def copy(self, offset: int, length: int) -> None:
        """Append a copy of a range of the old string."""
        if self._copy_end != offset or self._copy_start == offset:
            self._flush()
            self._copy_start = offset
        self._copy_end = offset + length

    def literal(self, data: bytes) -> None:
        """Append literal bytes."""
        if not self._literal:
            self._flush()
        self._literal += data

    def finish(self) -> bytes:
        """Return the encoded delta."""
        self._flush()
        return b"".join(self._operations)

    def _flush(self) -> None:
        """Write the pending operation, if any; a copy and a literal are never pending at the same time."""
        if self._copy_end > self._copy_start:
            self._operations.append(OPERATION.pack(COPY, self._copy_start, self._copy_end - self._copy_start))
            self._copy_start = self._copy_end = 0
        if self._literal:
            self._operations += OPERATION.pack(LITERAL, 0, len(self._literal)), bytes(self._literal)
            self._literal.clear()


def make_delta(old: bytes, new: bytes) -> bytes:
    """The delta with which ``apply_delta`` reconstructs ``new`` from ``old``."""
    offsets: dict[bytes, int] = {}
    for block in split_into_blocks(old):
        offsets.setdefault(old[block], block.start)
    writer = _DeltaWriter()
    for block in split_into_blocks(new):
        data = new[block]
        offset = offsets.get(data)
        if offset is None:
            writer.literal(data)
        else:
            writer.copy(offset, len(data))
    return writer.finish()


def apply_delta(old: bytes, delta: bytes, max_bytes: int) -> bytes:
    """Reconstruct the new string. Raises ``MalformedDelta``, also if the result would exceed ``max_bytes``."""
    pieces: list[bytes] = []
    position = size = 0
    while position < len(delta):
        try:
            kind, offset, length = OPERATION.unpack_from(delta, position)
        except StructError as error:
            raise MalformedDelta(
                f"incomplete operation of {len(delta) - position} bytes at the end, {OPERATION.size} expected"
            ) from error
        position += OPERATION.size
        size += length
        if size > max_bytes:
            raise MalformedDelta(f"the result exceeds {max_bytes} bytes")
        if kind == COPY:
            piece = old[offset : offset + length]
        elif kind == LITERAL:
            piece = delta[position : position + length]
            position += length
        else:
            raise MalformedDelta(f"unknown operation {kind}")
        if len(piece) != length:
            raise MalformedDelta(f"operation on {length} bytes, only {len(piece)} available")
        pieces.append(piece)
    return b"".join(pieces)
