"""Datagrams between routers about the load of model servers: their layout, encoding and decoding. No I/O.

A datagram has 20 bytes in network byte order: magic (2 bytes), format version (1), kind (1), a number chosen by the
sender (4), the hash of a server's id (8), and a number of tokens (4).
"""

from enum import IntEnum
from struct import Struct
from typing import NamedTuple

MAGIC, FORMAT = b"RL", 1
HEADER = MAGIC + bytes([FORMAT])
LAYOUT = Struct(">3sBIQI")  # header, kind, number, server hash, tokens
DATAGRAM_BYTES = LAYOUT.size
MAX_DATAGRAM_TOKENS = 0xFFFF_FFFF  # larger numbers are capped to this


class DatagramKind(IntEnum):
    """The meaning of a datagram. Unknown kinds are ignored, so that later releases may add some."""

    QUERY = 0  # asks for the tokens pending at the server; ``tokens`` is 1 if the sender would send its request there
    QUERY_RESPONSE = 1  # the pending tokens, with the number of the query
    REQUEST_SENT = 2  # a request with this number of tokens was sent to the server
    FIRST_BYTES_RECEIVED = 3  # the first bytes of the response were received
    REQUEST_FAILED = 4  # the request got no response, or a server error
    REQUEST_ABANDONED = 5  # the request ended in a way that says nothing about the server


REQUEST_END_KINDS = (
    DatagramKind.FIRST_BYTES_RECEIVED,
    DatagramKind.REQUEST_FAILED,
    DatagramKind.REQUEST_ABANDONED,
)


class LoadDatagram(NamedTuple):
    """A datagram without its header; the fields are in the order of the layout."""

    kind: int  # a ``DatagramKind``, or a value unknown to this release
    number: int  # number of the query or the request, unique per sender
    server: int  # the hash of the server's id
    tokens: int


def encode_datagram(kind: DatagramKind, number: int, server: int, tokens: int) -> bytes:
    """Encode a datagram; ``tokens`` is capped at ``MAX_DATAGRAM_TOKENS``."""
    return LAYOUT.pack(HEADER, kind, number, server, min(tokens, MAX_DATAGRAM_TOKENS))


def decode_datagram(payload: bytes) -> LoadDatagram | None:
    """Decode a datagram; ``None`` if the bytes are not a datagram of this format."""
    if len(payload) != DATAGRAM_BYTES:
        return None
    header, kind, number, server, tokens = LAYOUT.unpack(payload)
    return LoadDatagram(kind, number, server, tokens) if header == HEADER else None
