"""Field types of records and their big-endian encodings. No I/O.

A field type encodes a value to bytes and decodes it from a ``ByteReader``. If too few bytes are left, decoding raises
``MalformedRecord`` or ``struct.error``; ``rowanshift.wire.codec`` converts the latter to ``MalformedRecord``.
"""

from collections.abc import Collection, Mapping
from struct import Struct, pack, unpack_from
from typing import Any, Protocol

import msgspec

from rowanshift.wire.errors import MalformedRecord

UINT16, UINT32 = Struct(">H"), Struct(">I")  # count or length prefixes of variable-length values


class ByteReader:
    """Reads the bytes of a record sequentially."""

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes, offset: int = 0) -> None:
        self.data, self.offset = data, offset

    def read(self, size: int) -> bytes:
        """Read the next ``size`` bytes. Raises ``MalformedRecord`` if fewer are left."""
        start = self.offset
        piece = self.data[start : start + size]
        if len(piece) != size:
            raise MalformedRecord(f"record truncated: {size} bytes expected at offset {start}, {len(piece)} found")
        self.offset = start + size
        return piece

    def unpack(self, layout: Struct) -> tuple[Any, ...]:
        """Read the values of a ``struct`` layout. Raises ``struct.error`` if too few bytes are left."""
        values = layout.unpack_from(self.data, self.offset)
        self.offset += layout.size
        return values


class FieldType(Protocol):
    """The encoding of values of one type."""

    @property
    def minimum_size(self) -> int:
        """Encoded size of the shortest value, which is empty for types of variable length."""

    def encode(self, value: Any) -> bytes:
        """Encode the value. Raises ``struct.error`` if it is out of range."""

    def decode(self, reader: ByteReader) -> Any:
        """Decode the value at the reader's position and advance the reader."""


class ScalarType:
    """A value of fixed length, given by one ``struct`` format character."""

    def __init__(self, format_character: str) -> None:
        self._layout = Struct(">" + format_character)
        self.minimum_size = self._layout.size

    def encode(self, value: float) -> bytes:
        """Encode the value. Raises ``struct.error`` if it is out of range."""
        return self._layout.pack(value)

    def decode(self, reader: ByteReader) -> Any:
        """Decode the value at the reader's position and advance the reader."""
        offset = reader.offset
        reader.offset = offset + self.minimum_size
        return self._layout.unpack_from(reader.data, offset)[0]


class Uint64PairType:
    """Two unsigned 64-bit integers, such as an epoch and a sequence number."""

    minimum_size = 16
    _layout = Struct(">QQ")

    def encode(self, value: tuple[int, int]) -> bytes:
        """Encode the pair. Raises ``struct.error`` if a number is out of range."""
        return self._layout.pack(*value)

    def decode(self, reader: ByteReader) -> tuple[int, int]:
        """Decode the pair at the reader's position and advance the reader."""
        offset = reader.offset
        reader.offset = offset + self.minimum_size
        first, second = self._layout.unpack_from(reader.data, offset)
        return first, second


class Uint64ListType:
    """At most 65,535 unsigned 64-bit integers, preceded by a 16-bit count."""

    minimum_size = UINT16.size

    def encode(self, value: Collection[int]) -> bytes:
        """Encode the integers. Raises ``struct.error`` if there are too many or one is out of range."""
        return pack(f">H{len(value)}Q", len(value), *value)

    def decode(self, reader: ByteReader) -> tuple[int, ...]:
        """Decode the integers at the reader's position and advance the reader."""
        (count,) = reader.unpack(UINT16)
        offset = reader.offset
        reader.offset = offset + count * UINT64.minimum_size
        return unpack_from(f">{count}Q", reader.data, offset)  # ``struct`` caches compiled formats


class TextType:
    """A string of at most 65,535 bytes in UTF-8, preceded by its 16-bit length."""

    minimum_size = UINT16.size

    def encode(self, value: str) -> bytes:
        """Encode the string. Raises ``struct.error`` if it is too long."""
        data = value.encode()
        return UINT16.pack(len(data)) + data

    def decode(self, reader: ByteReader) -> str:
        """Decode the string at the reader's position and advance the reader. Raises ``UnicodeDecodeError``."""
        (size,) = reader.unpack(UINT16)
        return reader.read(size).decode()


class BytesType:
    """A byte string, preceded by its 32-bit length."""

    minimum_size = UINT32.size

    def encode(self, value: bytes) -> bytes:
        """Encode the bytes. Raises ``struct.error`` if there are too many."""
        return UINT32.pack(len(value)) + value

    def decode(self, reader: ByteReader) -> bytes:
        """Decode the bytes at the reader's position and advance the reader."""
        (size,) = reader.unpack(UINT32)
        return reader.read(size)


class VersionMapType:
    """Versions by model name, at most 65,535: a 16-bit count, then pairs of name and version, sorted by name."""

    minimum_size = UINT16.size

    def encode(self, value: Mapping[str, int]) -> bytes:
        """Encode the map. Raises ``struct.error`` if it has too many entries or one is out of range."""
        entries = [TEXT.encode(model) + UINT64.encode(version) for model, version in sorted(value.items())]
        return UINT16.pack(len(value)) + b"".join(entries)

    def decode(self, reader: ByteReader) -> dict[str, int]:
        """Decode the map at the reader's position and advance the reader."""
        (count,) = reader.unpack(UINT16)
        versions: dict[str, int] = {}
        for _ in range(count):
            model = TEXT.decode(reader)
            versions[model] = UINT64.decode(reader)
        return versions


class RecordLayout:
    """The encoding of a ``msgspec.Struct`` as the sequence of its fields; also the field type of nested records."""

    def __init__(self, record_type: type[msgspec.Struct], **field_types: FieldType) -> None:
        """``field_types`` must name the fields in the record's order. Raises ``TypeError`` if the names differ."""
        names = [*record_type.__struct_fields__]
        if names != [*field_types]:
            raise TypeError(
                f"{record_type.__name__}: the layout has the fields {[*field_types]}, the record has {names}"
            )
        self.record_type = record_type
        self.field_types = field_types
        self.minimum_size = sum(field_type.minimum_size for field_type in field_types.values())
        self._named_types = tuple(field_types.items())
        self._types = tuple(field_types.values())

    def encode(self, value: Any) -> bytes:
        """Encode the record. Raises ``struct.error`` if a field is out of range."""
        return b"".join([field_type.encode(getattr(value, name)) for name, field_type in self._named_types])

    def decode(self, reader: ByteReader) -> Any:
        """Decode the record at the reader's position and advance the reader."""
        return self.record_type(*[field_type.decode(reader) for field_type in self._types])


class RecordListType:
    """Records of one layout, preceded by a 32-bit count.

    A value of type ``bytes`` is used as it is: records that were encoded once for messages to many recipients.
    """

    minimum_size = UINT32.size

    def __init__(self, layout: RecordLayout) -> None:
        self.layout = layout

    def encode(self, value: Collection[Any] | bytes) -> bytes:
        """Encode the records. Raises ``struct.error`` if a field is out of range."""
        if isinstance(value, bytes):
            return value
        return UINT32.pack(len(value)) + b"".join(map(self.layout.encode, value))

    def decode(self, reader: ByteReader) -> tuple[Any, ...]:
        """Decode the records at the reader's position and advance the reader. Raises ``MalformedRecord``."""
        (count,) = reader.unpack(UINT32)
        if count > len(reader.data):  # checked before memory is allocated for the records
            raise MalformedRecord(f"record count {count} exceeds the record's size of {len(reader.data)} bytes")
        return tuple([self.layout.decode(reader) for _ in range(count)])


UINT64 = ScalarType("Q")
BOOL = ScalarType("?")
FLOAT64 = ScalarType("d")
UINT64_PAIR = Uint64PairType()
UINT64_LIST = Uint64ListType()
TEXT = TextType()
BYTES = BytesType()
VERSION_MAP = VersionMapType()
