"""Datagrams between routers about the load of model servers: their layout, encoding and decoding. No I/O.

A datagram is 20 bytes, in network byte order: the magic (2 bytes), the format (1), the kind (1), a number that its
sender chose (4), the hash of a server's id (8), and tokens (4).
"""

from enum import IntEnum
from struct import Struct
from typing import NamedTuple

MAGIC, FORMAT = b"RL", 1
HEADER = MAGIC + bytes([FORMAT])
LAYOUT = Struct(">3sBIQI")  # header, kind, number, server hash, tokens
DATAGRAM_BYTES = LAYOUT.size
MAX_DATAGRAM_TOKENS = 0xFFFF_FFFF  # more are sent as so many


class DatagramKind(IntEnum):
    """What a datagram says. Datagrams of other kinds are ignored, so that later formats may add some."""

    QUERY = 0  # how many tokens are pending at the server? ``tokens`` is 1 if the sender would send its request there
    QUERY_RESPONSE = 1  # the pending tokens, with the number of the query
    REQUEST_SENT = 2  # a request with so many tokens was sent to the server
    FIRST_BYTES_RECEIVED = 3  # the first bytes of its response came
    REQUEST_FAILED = 4  # it got no response, or a failure of the server
    REQUEST_ABANDONED = 5  # it ended in a way that says nothing about the server


REQUEST_END_KINDS = (
    DatagramKind.FIRST_BYTES_RECEIVED,
    DatagramKind.REQUEST_FAILED,
    DatagramKind.REQUEST_ABANDONED,
)


class LoadDatagram(NamedTuple):
    """A datagram without its header; the fields are in the order of the layout."""

    kind: int  # a ``DatagramKind``, or one that this router does not know
    number: int  # of the query or the request, unique at its sender
    server: int  # the hash of the server's id
    tokens: int


def encode_datagram(kind: DatagramKind, number: int, server: int, tokens: int) -> bytes:
    """The bytes of a datagram; over ``MAX_DATAGRAM_TOKENS`` tokens count as so many."""
    return LAYOUT.pack(HEADER, kind, number, server, min(tokens, MAX_DATAGRAM_TOKENS))


def decode_datagram(payload: bytes) -> LoadDatagram | None:
    """The datagram in these bytes; ``None`` if they are none of this format."""
    if len(payload) != DATAGRAM_BYTES:
        return None
    header, kind, number, server, tokens = LAYOUT.unpack(payload)
    return LoadDatagram(kind, number, server, tokens) if header == HEADER else None
