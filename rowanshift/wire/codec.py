"""Frames and the fields of records, to bytes and back. No I/O.

A frame is ``>2sBBII``: the magic, the format, the record's kind, the call's number and the length of what
follows. A record is a dataclass; ``SPEC`` gives one letter a field:

    q  whole number, 0 to 2**64-1      ?  true or false      d  float
    s  text, UTF-8, 64 KiB at most     b  bytes              p  pair of whole numbers
    t  tuple of whole numbers, 65,535  r  epoch record       v  dict of text to whole number
    o  rows of servers                 w  version of a state
    n  named versions                  y  named versions with whether they are dated
"""

from struct import Struct, error, pack, unpack_from
from typing import Any

MAGIC, FORMAT = b"RS", 1
FRAME_HEADER = Struct(">2sBBII")
MAX_RECORD_BYTES = 16 << 20  # bytes of a record


class MalformedRecord(ValueError):
    """Bytes that are no record of this format; the connection they came by is closed."""


class Codec:
    """Packs and unpacks the kinds of its table: a number to a dataclass and its fields' letters."""

    def __init__(self, kinds: dict[int, tuple[type, str]], nested: dict[str, tuple[type, str]]) -> None:
        self.kinds, self.nested = kinds, nested
        self.numbers = {cls: number for number, (cls, _) in kinds.items()}

    def pack(self, record: Any, call: int = 0) -> bytes:
        """A whole frame."""
        number = self.numbers[type(record)]
        body = self.fields(record, self.kinds[number][1])
        return FRAME_HEADER.pack(MAGIC, FORMAT, number, call, len(body)) + body

    def unpack(self, kind: int, body: bytes) -> Any:
        """The record of a frame's body; ``MalformedRecord`` if it is none."""
        if kind not in self.kinds:
            raise MalformedRecord(f"unknown kind {kind}")
        cls, spec = self.kinds[kind]
        try:
            values, end = self.read(body, 0, spec)
        except (error, UnicodeDecodeError, IndexError) as wrong:
            raise MalformedRecord(f"{cls.__name__}: {wrong}") from wrong
        if end != len(body):
            raise MalformedRecord(f"{cls.__name__}: {len(body) - end} bytes too many")
        return cls(*values)

    def fields(self, record: Any, spec: str) -> bytes:
        """A record's fields as bytes."""
        names = type(record).__dataclass_fields__
        return b"".join(self.put(letter, getattr(record, name)) for letter, name in zip(spec, names, strict=True))

    def put(self, letter: str, value: Any) -> bytes:
        """One field as bytes."""
        match letter:
            case "q":
                return pack(">Q", value)
            case "?":
                return pack(">?", value)
            case "d":
                return pack(">d", value)
            case "s":
                data = value.encode()
                return pack(">H", len(data)) + data
            case "b":
                return pack(">I", len(value)) + value
            case "p":
                return pack(">QQ", *value)
            case "t":
                return pack(f">H{len(value)}Q", len(value), *value)
            case "v":
                return pack(">H", len(value)) + b"".join(
                    self.put("s", name) + pack(">Q", number) for name, number in sorted(value.items())
                )
            case "o" | "n" | "y":
                if isinstance(value, bytes):  # packed before, for many
                    return value
                spec = self.nested[letter][1]
                return pack(">I", len(value)) + b"".join(self.fields(row, spec) for row in value)
        return self.fields(value, self.nested[letter][1])

    def read(self, data: bytes, at: int, spec: str) -> tuple[list[Any], int]:
        """Values of the fields from an offset, and the offset behind them."""
        values = []
        for letter in spec:
            value, at = self.take(data, at, letter)
            values.append(value)
        return values, at

    def take(self, data: bytes, at: int, letter: str) -> tuple[Any, int]:
        """One value from an offset, and the offset behind it."""
        match letter:
            case "q":
                return unpack_from(">Q", data, at)[0], at + 8
            case "?":
                return unpack_from(">?", data, at)[0], at + 1
            case "d":
                return unpack_from(">d", data, at)[0], at + 8
            case "s":
                size = unpack_from(">H", data, at)[0]
                return piece(data, at + 2, size).decode(), at + 2 + size
            case "b":
                size = unpack_from(">I", data, at)[0]
                return piece(data, at + 4, size), at + 4 + size
            case "p":
                return unpack_from(">QQ", data, at), at + 16
            case "t":
                size = unpack_from(">H", data, at)[0]
                return unpack_from(f">{size}Q", data, at + 2), at + 2 + 8 * size
            case "v":
                size, at = unpack_from(">H", data, at)[0], at + 2
                made = {}
                for _ in range(size):
                    (name, number), at = self.read(data, at, "sq")
                    made[name] = number
                return made, at
            case "o" | "n" | "y":
                cls, spec = self.nested[letter]
                size, at = unpack_from(">I", data, at)[0], at + 4
                if size > len(data):
                    raise MalformedRecord(f"{size} rows in {len(data)} bytes")
                rows = []
                for _ in range(size):
                    values, at = self.read(data, at, spec)
                    rows.append(cls(*values))
                return tuple(rows), at
        cls, spec = self.nested[letter]
        values, at = self.read(data, at, spec)
        return cls(*values), at


def piece(data: bytes, at: int, size: int) -> bytes:
    """So many bytes from an offset. Raises ``MalformedRecord``."""
    made = bytes(data[at : at + size])
    if len(made) != size:
        raise MalformedRecord(f"{size} bytes wanted, {len(made)} there")
    return made


class FrameDecoder:
    """Takes bytes as they come and gives whole frames as (kind, call, body)."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes | memoryview) -> list[tuple[int, int, bytes]]:
        """``MalformedRecord`` at the first frame that is not of this format."""
        held, made, at = self.held, [], 0
        held += data
        while len(held) - at >= FRAME_HEADER.size:
            magic, form, kind, call, size = FRAME_HEADER.unpack_from(held, at)
            if magic != MAGIC or form != FORMAT or size > MAX_RECORD_BYTES:
                raise MalformedRecord(f"no frame of this system: {bytes(held[at : at + 4])!r}, {size} bytes")
            if len(held) - at - FRAME_HEADER.size < size:
                break
            made.append((kind, call, bytes(held[at + FRAME_HEADER.size : at + FRAME_HEADER.size + size])))
            at += FRAME_HEADER.size + size
        del held[:at]
        return made
