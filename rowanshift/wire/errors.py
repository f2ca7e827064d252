"""Errors of the wire format: bytes received from another process, or read from a disk, that can't be decoded."""


class WireFormatError(ValueError):
    """Base of all errors of this package: the bytes are not what this system writes.

    Decoding the same bytes again fails again. A caller closes the connection that they came by, or counts the disk that
    held them as damaged.
    """


class MalformedRecord(WireFormatError):
    """A frame or record of another format, of an unknown kind, cut short, or with bytes to spare."""


class MalformedDelta(WireFormatError):
    """A delta that can't be applied to the bytes at hand, or whose result is longer than allowed."""
