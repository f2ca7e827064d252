"""Frames, and records to frames and back. No I/O.

A frame is a header of ``>2sBBII`` (the magic number, the format, the record's kind, the call's number, the length of
the body) and the body: the record's fields by its ``RecordLayout``.
"""

from collections.abc import Mapping
from struct import Struct
from struct import error as StructError
from typing import Any, NamedTuple

from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.field_types import ByteReader, RecordLayout

MAGIC, FORMAT = b"RS", 1
FRAME_HEADER = Struct(">2sBBII")
MAX_RECORD_BYTES = 16 << 20  # of a frame's body


class Frame(NamedTuple):
    """One frame as received; its body isn't decoded yet."""

    kind: int  # of the record
    call: int  # the number that an answer has in common with its question, 0 where none is expected
    body: bytes


class Codec:
    """Makes frames of records, and records of frames' bodies, for the kinds that it is given."""

    def __init__(self, layouts: Mapping[int, RecordLayout]) -> None:
        """``layouts``: by the number of the kind, 0 to 255."""
        self.layouts = layouts
        self.kinds = {layout.record_type: kind for kind, layout in layouts.items()}

    def pack(self, record: Any, call: int = 0) -> bytes:
        """The frame of a record. Raises ``KeyError`` if its type is of no kind, ``struct.error`` if a field is out of
        range."""
        kind = self.kinds[type(record)]
        body = self.layouts[kind].encode(record)
        return FRAME_HEADER.pack(MAGIC, FORMAT, kind, call, len(body)) + body

    def unpack(self, kind: int, body: bytes) -> Any:
        """The record of a frame's body. Raises ``MalformedRecord``."""
        layout = self.layouts.get(kind)
        if layout is None:
            raise MalformedRecord(f"unknown kind {kind}")
        reader = ByteReader(body)
        try:
            record = layout.decode(reader)
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecord(f"{layout.record_type.__name__}: {error}") from error
        if reader.offset != len(body):
            raise MalformedRecord(f"{layout.record_type.__name__}: {len(body) - reader.offset} bytes too many")
        return record


class FrameDecoder:
    """Collects the bytes of one connection as they come, and splits them into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # the start of a frame that is not complete yet

    def feed(self, data: bytes | memoryview) -> list[Frame]:
        """The frames that are complete with these bytes. Raises ``MalformedRecord`` at the first of another format;
        the connection is of no use then."""
        self.buffer += data
        frames: list[Frame] = []
        offset = 0
        while (frame := self._frame_at(offset)) is not None:
            frames.append(frame)
            offset += FRAME_HEADER.size + len(frame.body)
        del self.buffer[:offset]
        return frames

    def _frame_at(self, offset: int) -> Frame | None:
        """The frame that begins there, ``None`` if it is not complete yet."""
        buffer, body_start = self.buffer, offset + FRAME_HEADER.size
        if len(buffer) < body_start:
            return None
        magic, frame_format, kind, call, size = FRAME_HEADER.unpack_from(buffer, offset)
        if magic != MAGIC or frame_format != FORMAT or size > MAX_RECORD_BYTES:
            start = bytes(buffer[offset : offset + 4])
            raise MalformedRecord(f"no frame of this system: {start!r}, {size} bytes")
        if len(buffer) < body_start + size:
            return None
        return Frame(kind, call, bytes(buffer[body_start : body_start + size]))
