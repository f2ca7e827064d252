"""The one table of kinds that processes of one system say to each other, and of records on disk."""

from dataclasses import dataclass

from rowanshift.controlplane import protocol
from rowanshift.wire import delivery
from rowanshift.wire.codec import Codec


@dataclass(slots=True, frozen=True)
class Hello:
    """The first record on a connection between core machines: who says what follows."""

    machine: int


KINDS = {
    16: (Hello, "q"),
    17: (protocol.PreVote, "q"),
    18: (protocol.PreVoted, "q?"),
    19: (protocol.Prepare, "q"),
    20: (protocol.Promised, "q?qr"),
    21: (protocol.Store, "qpb"),
    22: (protocol.Stored, "qp?q"),
    23: (protocol.Accept, "qr"),
    24: (protocol.Accepted, "q?q"),
    25: (protocol.Confirm, "qqr"),
    26: (protocol.Confirmed, "qq?qp"),
    27: (protocol.TransferLeadership, "q"),
    28: (protocol.RecoveryRequest, "q"),
    29: (protocol.RecoveryReply, "qqr?"),
    30: (protocol.Join, "q"),
    64: (protocol.Durable, "qrpb?"),
}
NESTED = {"r": (protocol.EpochRecord, "qqttt")}

CODEC = Codec(delivery.KINDS | KINDS, delivery.NESTED | NESTED)
