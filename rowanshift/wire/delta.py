"""The difference between two byte strings, as copies from the old one and literal bytes. No I/O.

Both are cut into blocks after each ``},``, so that objects of a JSON text are blocks, and long blocks into pieces, so
that what is appended at the end costs no more than itself. A delta is a sequence of operations: ``COPY`` (offset and
length in the old bytes) and ``LITERAL`` (length, and that many bytes).
"""

import re
from collections.abc import Iterator
from struct import Struct
from struct import error as StructError

from rowanshift.wire.errors import MalformedDelta

COPY, LITERAL = 0, 1
OPERATION = Struct(">BII")  # kind; of a copy offset and length, of a literal 0 and length
MAX_BLOCK_BYTES = 4096
BLOCK_END = re.compile(rb"\},")


def split_into_blocks(data: bytes) -> Iterator[slice]:
    """The blocks of a byte string in their order, as slices of it; together they are all of it."""
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
    """Collects the operations of a delta; neighbouring ones of a kind become one."""

    def __init__(self) -> None:
        self._operations: list[bytes] = []
        self._copy_start = self._copy_end = 0  # in the old bytes; equal while no copy is open
        self._literal = bytearray()

    def copy(self, offset: int, length: int) -> None:
        """Adds a part of the old bytes."""
        if self._copy_end != offset or self._copy_start == offset:
            self._flush()
            self._copy_start = offset
        self._copy_end = offset + length

    def literal(self, data: bytes) -> None:
        """Adds bytes that the old ones don't have."""
        if not self._literal:
            self._flush()
        self._literal += data

    def finish(self) -> bytes:
        """The delta."""
        self._flush()
        return b"".join(self._operations)

    def _flush(self) -> None:
        """Closes the operation that is open, if any; copy and literal are never open together."""
        if self._copy_end > self._copy_start:
            self._operations.append(OPERATION.pack(COPY, self._copy_start, self._copy_end - self._copy_start))
            self._copy_start = self._copy_end = 0
        if self._literal:
            self._operations += OPERATION.pack(LITERAL, 0, len(self._literal)), bytes(self._literal)
            self._literal.clear()


def make_delta(old: bytes, new: bytes) -> bytes:
    """The delta by which ``apply_delta`` makes ``new`` of ``old``."""
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
    """The new bytes. Raises ``MalformedDelta``, also if they would be more than ``max_bytes``."""
    pieces: list[bytes] = []
    position = size = 0
    while position < len(delta):
        try:
            kind, offset, length = OPERATION.unpack_from(delta, position)
        except StructError as error:
            raise MalformedDelta(f"{len(delta) - position} bytes at the end") from error
        position += OPERATION.size
        size += length
        if size > max_bytes:
            raise MalformedDelta(f"over {max_bytes} bytes")
        if kind == COPY:
            piece = old[offset : offset + length]
        elif kind == LITERAL:
            piece = delta[position : position + length]
            position += length
        else:
            raise MalformedDelta(f"operation {kind}")
        if len(piece) != length:
            raise MalformedDelta(f"{length} bytes wanted, {len(piece)} there")
        pieces.append(piece)
    return b"".join(pieces)
