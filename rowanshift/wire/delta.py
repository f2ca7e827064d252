"""The difference between two byte strings, as copies from the old one and literal bytes. No I/O.

Both are cut into blocks after each ``},``, so that objects of a JSON text are blocks, and long blocks into pieces, so
that what is appended at the end costs no more than itself. A delta is a row of operations: ``COPY`` (offset and length
in the old bytes) and ``LITERAL`` (length, and that many bytes).
"""

import re
from collections.abc import Iterator
from struct import Struct
from struct import error as StructError

COPY, LITERAL = 0, 1
OPERATION = Struct(">BII")  # kind; of a copy offset and length, of a literal 0 and length
LONGEST_BLOCK = 4096  # bytes
BLOCK_END = re.compile(rb"\},")


class MalformedDelta(ValueError):
    """Bytes that are no delta of these old bytes."""


def blocks(data: bytes) -> Iterator[tuple[int, int]]:
    """Start and end of each block."""
    start = 0
    ends = [match.end() for match in BLOCK_END.finditer(data)]
    for end in (*ends, len(data)):
        while end - start > LONGEST_BLOCK:
            yield start, start + LONGEST_BLOCK
            start += LONGEST_BLOCK
        if end > start:
            yield start, end
        start = end


def make_delta(old: bytes, new: bytes) -> bytes:
    """What ``apply_delta`` makes ``new`` of, given ``old``."""
    known: dict[bytes, int] = {}
    for start, end in blocks(old):
        known.setdefault(old[start:end], start)
    parts: list[bytes] = []
    copied: tuple[int, int] | None = None  # start and end in the old bytes
    literal = bytearray()
    for start, end in blocks(new):
        block = new[start:end]
        at = known.get(block)
        if at is not None and copied is not None and copied[1] == at:
            copied = copied[0], at + len(block)
            continue
        if copied is not None:
            parts.append(OPERATION.pack(COPY, copied[0], copied[1] - copied[0]))
            copied = None
        if at is None:
            literal += block
            continue
        if literal:
            parts += OPERATION.pack(LITERAL, 0, len(literal)), bytes(literal)
            literal.clear()
        copied = at, at + len(block)
    if copied is not None:
        parts.append(OPERATION.pack(COPY, copied[0], copied[1] - copied[0]))
    if literal:
        parts += OPERATION.pack(LITERAL, 0, len(literal)), bytes(literal)
    return b"".join(parts)


def apply_delta(old: bytes, delta: bytes, most: int) -> bytes:
    """The new bytes, ``most`` at most. Raises ``MalformedDelta``."""
    made, at, size = [], 0, 0
    while at < len(delta):
        try:
            kind, offset, length = OPERATION.unpack_from(delta, at)
        except StructError as error:
            raise MalformedDelta(f"{len(delta) - at} bytes at the end") from error
        at += OPERATION.size
        size += length
        if size > most:
            raise MalformedDelta(f"over {most} bytes")
        if kind == COPY:
            piece = old[offset : offset + length]
        elif kind == LITERAL:
            piece = delta[at : at + length]
            at += length
        else:
            raise MalformedDelta(f"operation {kind}")
        if len(piece) != length:
            raise MalformedDelta(f"{length} bytes wanted, {len(piece)} there")
        made.append(piece)
    return b"".join(made)
