"""Errors in decoding bytes received from another process or read from a disk."""


class WireFormatError(ValueError):
    """Base class of the errors of this package: the bytes are not in the format that this system writes.

    Retrying with the same bytes fails again. The caller closes the connection that delivered them, or treats the disk
    that contained them as damaged.
    """


class MalformedRecord(WireFormatError):
    """A frame or record that has another format or an unknown kind, is truncated, or has surplus bytes."""


class MalformedDelta(WireFormatError):
    """A delta that can't be applied to the given bytes, or whose result exceeds the size limit."""
