"""Encoding of records as frames, and decoding of frames. No I/O.

A frame is a header of ``>2sBBII`` (magic number, format, kind of the record, call number, length of the body),
followed by the body, in which ``RecordLayout`` encodes the fields of the record.
"""

from collections.abc import Mapping
from struct import Struct
from struct import error as StructError
from typing import Any, NamedTuple

from rowanshift.wire.errors import MalformedRecord
from rowanshift.wire.field_types import ByteReader, RecordLayout

MAGIC, FORMAT = b"RS", 1
FRAME_HEADER = Struct(">2sBBII")
MAX_RECORD_BYTES = 16 << 20  # limit for the body of a frame


class Frame(NamedTuple):
    """A received frame whose body has not been decoded."""

    kind: int  # kind of the record
    call: int  # correlates a response with its request; 0 if no response is expected
    body: bytes


class Codec:
    """Encodes records as frames and decodes the bodies of frames, for a given set of record kinds."""

    def __init__(self, layouts: Mapping[int, RecordLayout]) -> None:
        """``layouts`` maps the number of a kind, 0 to 255, to its layout."""
        self.layouts = layouts
        self.kinds = {layout.record_type: kind for kind, layout in layouts.items()}

    def pack(self, record: Any, call: int = 0) -> bytes:
        """Encode a record as a frame. Raises ``KeyError`` if its type is unknown to this codec, ``struct.error`` if a
        field is out of range."""
        kind = self.kinds[type(record)]
        body = self.layouts[kind].encode(record)
        return FRAME_HEADER.pack(MAGIC, FORMAT, kind, call, len(body)) + body

    def unpack(self, kind: int, body: bytes) -> Any:
        """Decode the body of a frame. Raises ``MalformedRecord``."""
        layout = self.layouts.get(kind)
        if layout is None:
            raise MalformedRecord(f"unknown record kind {kind}")
        reader = ByteReader(body)
        try:
            record = layout.decode(reader)
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecord(f"{layout.record_type.__name__}: {error}") from error
        if reader.offset != len(body):
            raise MalformedRecord(
                f"{layout.record_type.__name__}: {len(body) - reader.offset} unexpected bytes after the last field"
            )
        return record


class FrameDecoder:
    """Splits the byte stream of a connection into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # the start of an incomplete frame

    def feed(self, data: bytes | memoryview) -> list[Frame]:
        """Append received bytes and return the frames that they complete.

        Raises ``MalformedRecord`` at an invalid frame header; the connection can't be used any further then.
        """
        self.buffer += data
        frames: list[Frame] = []
        offset = 0
        while (frame := self._frame_at(offset)) is not None:
            frames.append(frame)
            offset += FRAME_HEADER.size + len(frame.body)
        del self.buffer[:offset]
        return frames

    def _frame_at(self, offset: int) -> Frame | None:
        """The frame that starts at ``offset``, ``None`` if it is incomplete."""
        buffer, body_start = self.buffer, offset + FRAME_HEADER.size
        if len(buffer) < body_start:
            return None
        magic, frame_format, kind, call, size = FRAME_HEADER.unpack_from(buffer, offset)
        if magic != MAGIC or frame_format != FORMAT or size > MAX_RECORD_BYTES:
            start = bytes(buffer[offset : offset + 4])
            raise MalformedRecord(
                f"invalid frame header: starts with {start!r}, body of {size} bytes (limit {MAX_RECORD_BYTES})"
            )
        if len(buffer) < body_start + size:
            return None
        return Frame(kind, call, bytes(buffer[body_start : body_start + size]))
