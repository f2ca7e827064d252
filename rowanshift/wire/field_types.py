"""Types of the fields of records, each with its layout in bytes (big-endian). No I/O.

A field type encodes a value to bytes and decodes it from a ``ByteReader``. Where too few bytes are left, decoding
raises ``MalformedRecord`` or ``struct.error``; ``rowanshift.wire.codec`` makes one error of both.
"""

from collections.abc import Collection, Mapping
from struct import Struct, pack, unpack_from
from typing import Any, Protocol

import msgspec

from rowanshift.wire.errors import MalformedRecord

UINT16, UINT32 = Struct(">H"), Struct(">I")  # counts and lengths in front of what has no fixed length


class ByteReader:
    """A position in the bytes of a record."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes, offset: int = 0) -> None:
        self.data, self.offset = data, offset

    def read(self, size: int) -> bytes:
        """The next ``size`` bytes. Raises ``MalformedRecord`` if fewer are left."""
        start = self.offset
        piece = self.data[start : start + size]
        if len(piece) != size:
            raise MalformedRecord(f"{size} bytes wanted, {len(piece)} there")
        self.offset = start + size
        return piece

    def unpack(self, layout: Struct) -> tuple[Any, ...]:
        """The next values of a ``struct`` layout. Raises ``struct.error`` if too few bytes are left."""
        values = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return values


class FieldType(Protocol):
    """How values of one type are laid out."""

    @property
    def minimum_size(self) -> int:
        """Bytes of the shortest value: of an empty text, list or map, where the length varies."""

    def encode(self, value: Any) -> bytes:
        """The value as bytes. Raises ``struct.error`` if it is out of range."""

    def decode(self, reader: ByteReader) -> Any:
        """The value at the reader's position, which is moved behind it."""


class ScalarType:
    """A value of fixed length, in one ``struct`` letter."""

    def __init__(self, letter: str) -> None:
        self._layout = Struct(">" + letter)
        self.minimum_size = self._layout.size

    def encode(self, value: float) -> bytes:
        """The value as bytes. Raises ``struct.error`` if it is out of range."""
        return self._layout.pack(value)

    def decode(self, reader: ByteReader) -> Any:
        """The value at the reader's position, which is moved behind it."""
        offset = reader.offset
        reader.offset = offset + self.minimum_size
        return self._layout.unpack_from(reader.data, offset)[0]


class Uint64PairType:
    """Two integers of 64 bits, such as epoch and sequence number."""

    minimum_size = 16
    _layout = Struct(">QQ")

    def encode(self, value: tuple[int, int]) -> bytes:
        """The pair as bytes. Raises ``struct.error`` if one of both is out of range."""
        return self._layout.pack(*value)

    def decode(self, reader: ByteReader) -> tuple[int, int]:
        """The pair at the reader's position, which is moved behind it."""
        offset = reader.offset
        reader.offset = offset + self.minimum_size
        first, second = self._layout.unpack_from(reader.data, offset)
        return first, second


class Uint64ListType:
    """At most 65,535 integers of 64 bits: a count of 16 bits, then the integers."""

    minimum_size = UINT16.size

    def encode(self, value: Collection[int]) -> bytes:
        """The integers as bytes. Raises ``struct.error`` if there are too many or one is out of range."""
        return pack(f">H{len(value)}Q", len(value), *value)

    def decode(self, reader: ByteReader) -> tuple[int, ...]:
        """The integers at the reader's position, which is moved behind them."""
        (count,) = reader.unpack(UINT16)
        offset = reader.offset
        reader.offset = offset + count * UINT64.minimum_size
        return unpack_from(f">{count}Q", reader.data, offset)  # by its format, which ``struct`` caches


class TextType:
    """A text of at most 65,535 bytes in UTF-8: a length of 16 bits, then the text."""

    minimum_size = UINT16.size

    def encode(self, value: str) -> bytes:
        """The text as bytes. Raises ``struct.error`` if it is too long."""
        data = value.encode()
        return UINT16.pack(len(data)) + data

    def decode(self, reader: ByteReader) -> str:
        """The text at the reader's position, which is moved behind it. Raises ``UnicodeDecodeError``."""
        (size,) = reader.unpack(UINT16)
        return reader.read(size).decode()


class BytesType:
    """Bytes: a length of 32 bits, then the bytes."""

    minimum_size = UINT32.size

    def encode(self, value: bytes) -> bytes:
        """The bytes with their length. Raises ``struct.error`` if they are too many."""
        return UINT32.pack(len(value)) + value

    def decode(self, reader: ByteReader) -> bytes:
        """The bytes at the reader's position, which is moved behind them."""
        (size,) = reader.unpack(UINT32)
        return reader.read(size)


class VersionMapType:
    """A version by the name of its model, at most 65,535: a count of 16 bits, then text and version, sorted by text."""

    minimum_size = UINT16.size

    def encode(self, value: Mapping[str, int]) -> bytes:
        """The map as bytes. Raises ``struct.error`` if it has too many entries or one is out of range."""
        entries = [TEXT.encode(model) + UINT64.encode(version) for model, version in sorted(value.items())]
        return UINT16.pack(len(value)) + b"".join(entries)

    def decode(self, reader: ByteReader) -> dict[str, int]:
        """The map at the reader's position, which is moved behind it."""
        (count,) = reader.unpack(UINT16)
        versions: dict[str, int] = {}
        for _ in range(count):
            model = TEXT.decode(reader)
            versions[model] = UINT64.decode(reader)
        return versions


class RecordLayout:
    """A ``msgspec.Struct`` as bytes: its fields one after the other. Also the type of a field that holds one."""

    def __init__(self, record_type: type[msgspec.Struct], **field_types: FieldType) -> None:
        """``field_types``: the type of each field, in the record's order. Raises ``TypeError`` if they differ."""
        names = [*record_type.__struct_fields__]
        if names != [*field_types]:
            raise TypeError(f"{record_type.__name__}: layout of {[*field_types]} for the fields {names}")
        self.record_type = record_type
        self.field_types = field_types
        self.minimum_size = sum(field_type.minimum_size for field_type in field_types.values())
        self._named_types = tuple(field_types.items())
        self._types = tuple(field_types.values())

    def encode(self, value: Any) -> bytes:
        """The record as bytes. Raises ``struct.error`` if a field is out of range."""
        return b"".join([field_type.encode(getattr(value, name)) for name, field_type in self._named_types])

    def decode(self, reader: ByteReader) -> Any:
        """The record at the reader's position, which is moved behind it."""
        return self.record_type(*[field_type.decode(reader) for field_type in self._types])


class RecordListType:
    """Records of one layout: a count of 32 bits, then the records.

    Bytes in place of the records are taken to be encoded before, once for an answer that goes to many.
    """

    minimum_size = UINT32.size

    def __init__(self, layout: RecordLayout) -> None:
        self.layout = layout

    def encode(self, value: Collection[Any] | bytes) -> bytes:
        """The records as bytes. Raises ``struct.error`` if a field is out of range."""
        if isinstance(value, bytes):
            return value
        return UINT32.pack(len(value)) + b"".join(map(self.layout.encode, value))

    def decode(self, reader: ByteReader) -> tuple[Any, ...]:
        """The records at the reader's position, which is moved behind them. Raises ``MalformedRecord``."""
        (count,) = reader.unpack(UINT32)
        if count > len(reader.data):  # before memory is used for so many
            raise MalformedRecord(f"{count} records in {len(reader.data)} bytes")
        return tuple([self.layout.decode(reader) for _ in range(count)])


UINT64 = ScalarType("Q")
BOOL = ScalarType("?")
FLOAT64 = ScalarType("d")
UINT64_PAIR = Uint64PairType()
UINT64_LIST = Uint64ListType()
TEXT = TextType()
BYTES = BytesType()
VERSION_MAP = VersionMapType()
