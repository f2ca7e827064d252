"""The one table of kinds that processes of one system say to each other, and of records on disk."""

from dataclasses import dataclass

from rowanshift.controlplane import replication
from rowanshift.wire import control_updates
from rowanshift.wire.codec import Codec


@dataclass(slots=True, frozen=True)
class Hello:
    """The first record on a connection between core machines: who says what follows."""

    machine: int


KINDS = {
    16: (Hello, "q"),
    17: (replication.PreVote, "q"),
    18: (replication.PreVoted, "q?"),
    19: (replication.Prepare, "q"),
    20: (replication.Promised, "q?qr"),
    21: (replication.Store, "qwb"),
    22: (replication.Stored, "qw?q"),
    23: (replication.Accept, "qr"),
    24: (replication.Accepted, "q?q"),
    25: (replication.Heartbeat, "qqr"),
    26: (replication.HeartbeatReply, "qq?qw"),
    27: (replication.TransferLeadership, "q"),
    28: (replication.RecoveryRequest, "q"),
    29: (replication.RecoveryReply, "qqr?"),
    30: (replication.Join, "q"),
    31: (replication.Leave, "q"),
    32: (replication.LeaveReply, "q?"),
    33: (replication.StoreDelta, "qwwb"),
    34: (replication.Located, "ss??"),
    64: (replication.DurableState, "qrwb?"),
}
NESTED = {"r": (replication.EpochRecord, "qqttt"), "w": (replication.StateVersion, "qq")}

CODEC = Codec(control_updates.KINDS | KINDS, control_updates.NESTED | NESTED)
