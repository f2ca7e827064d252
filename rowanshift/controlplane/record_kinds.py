"""The registry of all record kinds: those sent between the processes of a system, and the one stored on disk.

The number and layout of a kind never change, because machines of different releases exchange records and read each
other's disks. A changed record becomes a new kind.
"""

import msgspec

from rowanshift.controlplane import replication
from rowanshift.wire.codec import Codec
from rowanshift.wire.control_updates import CONTROL_UPDATE_LAYOUTS
from rowanshift.wire.field_types import BOOL, BYTES, TEXT, UINT64, UINT64_LIST, RecordLayout


class Hello(msgspec.Struct, frozen=True):
    """The first record on a connection between replicas of the control state; it identifies the sender."""

    machine: int  # id of the sender


class CoordinationHello(msgspec.Struct, frozen=True):
    """The first record on a connection between replicas of the coordination state."""

    machine: int  # id of the sender


EPOCH_RECORD = RecordLayout(
    replication.EpochRecord,
    epoch=UINT64,
    primary=UINT64,
    in_sync=UINT64_LIST,
    witnesses=UINT64_LIST,
    former=UINT64_LIST,
)
STATE_VERSION = RecordLayout(replication.StateVersion, epoch=UINT64, sequence=UINT64)
REPLICATION_LAYOUTS = {
    16: RecordLayout(Hello, machine=UINT64),
    17: RecordLayout(replication.PreVote, epoch=UINT64),
    18: RecordLayout(replication.PreVoteReply, epoch=UINT64, ok=BOOL),
    19: RecordLayout(replication.Prepare, epoch=UINT64),
    20: RecordLayout(replication.PrepareReply, epoch=UINT64, ok=BOOL, promised=UINT64, accepted=EPOCH_RECORD),
    21: RecordLayout(replication.Store, epoch=UINT64, version=STATE_VERSION, state=BYTES),
    22: RecordLayout(replication.StoreReply, epoch=UINT64, version=STATE_VERSION, ok=BOOL, promised=UINT64),
    23: RecordLayout(replication.Accept, epoch=UINT64, record=EPOCH_RECORD),
    24: RecordLayout(replication.AcceptReply, epoch=UINT64, ok=BOOL, promised=UINT64),
    25: RecordLayout(replication.Heartbeat, epoch=UINT64, serial=UINT64, record=EPOCH_RECORD),
    26: RecordLayout(
        replication.HeartbeatReply, epoch=UINT64, serial=UINT64, ok=BOOL, promised=UINT64, version=STATE_VERSION
    ),
    27: RecordLayout(replication.TransferLeadership, epoch=UINT64),
    28: RecordLayout(replication.RecoveryRequest, serial=UINT64),
    29: RecordLayout(replication.RecoveryReply, serial=UINT64, promised=UINT64, accepted=EPOCH_RECORD, amnesic=BOOL),
    30: RecordLayout(replication.Join, machine=UINT64),
    31: RecordLayout(replication.Leave, machine=UINT64),
    32: RecordLayout(replication.LeaveReply, epoch=UINT64, granted=BOOL),
    33: RecordLayout(replication.StoreDelta, epoch=UINT64, version=STATE_VERSION, base=STATE_VERSION, delta=BYTES),
    34: RecordLayout(
        replication.FailureDomainReport, zone=TEXT, region=TEXT, quorum_member=BOOL, no_quorum_members=BOOL
    ),
    35: RecordLayout(CoordinationHello, machine=UINT64),
    64: RecordLayout(
        replication.DurableState,
        promised=UINT64,
        accepted=EPOCH_RECORD,
        version=STATE_VERSION,
        state=BYTES,
        amnesic=BOOL,
    ),
}  # by the number of the kind
CODEC = Codec(CONTROL_UPDATE_LAYOUTS | REPLICATION_LAYOUTS)
