"""The replication protocol of the control plane, without I/O: ``Replica`` returns actions, its caller executes them.

A primary replicates the state to its backups. Each epoch and its members are decided by a majority of witnesses, as in
Paxos. docs/control-plane.md describes the protocol and its safety argument.
"""

from rowanshift.controlplane.replication.actions import (
    Action,
    ProposalCommitted,
    ProposalFailed,
    ReadConfirmed,
    ReadFailed,
    RoleChanged,
    Save,
    Send,
)
from rowanshift.controlplane.replication.errors import (
    NotPrimary,
    ProposalInProgress,
    ReplicationError,
    StateTooLarge,
)
from rowanshift.controlplane.replication.failure_domains import FailureDomain, FaultTolerance
from rowanshift.controlplane.replication.messages import (
    Accept,
    AcceptReply,
    FailureDomainReport,
    Heartbeat,
    HeartbeatReply,
    Join,
    Leave,
    LeaveReply,
    Message,
    Prepare,
    PrepareReply,
    PreVote,
    PreVoteReply,
    RecoveryReply,
    RecoveryRequest,
    Store,
    StoreDelta,
    StoreReply,
    TransferLeadership,
)
from rowanshift.controlplane.replication.progress import Candidacy, CandidacyPhase, Proposal
from rowanshift.controlplane.replication.quorum import has_majority, majority
from rowanshift.controlplane.replication.records import (
    NO_RECORD,
    NO_VERSION,
    DurableState,
    EpochRecord,
    StateVersion,
)
from rowanshift.controlplane.replication.redundancy import Redundancy, RedundancyChange, RedundancyMonitor
from rowanshift.controlplane.replication.replica import Replica
from rowanshift.controlplane.replication.timing import DEFAULT_TIMING, EPOCH_LIMIT, STATE_LIMIT_BYTES, Timing

__all__ = [
    "DEFAULT_TIMING",
    "EPOCH_LIMIT",
    "NO_RECORD",
    "NO_VERSION",
    "STATE_LIMIT_BYTES",
    "Accept",
    "AcceptReply",
    "Action",
    "Candidacy",
    "CandidacyPhase",
    "DurableState",
    "EpochRecord",
    "FailureDomain",
    "FailureDomainReport",
    "FaultTolerance",
    "Heartbeat",
    "HeartbeatReply",
    "Join",
    "Leave",
    "LeaveReply",
    "Message",
    "NotPrimary",
    "PreVote",
    "PreVoteReply",
    "Prepare",
    "PrepareReply",
    "Proposal",
    "ProposalCommitted",
    "ProposalFailed",
    "ProposalInProgress",
    "ReadConfirmed",
    "ReadFailed",
    "RecoveryReply",
    "RecoveryRequest",
    "Redundancy",
    "RedundancyChange",
    "RedundancyMonitor",
    "Replica",
    "ReplicationError",
    "RoleChanged",
    "Save",
    "Send",
    "StateTooLarge",
    "StateVersion",
    "Store",
    "StoreDelta",
    "StoreReply",
    "Timing",
    "TransferLeadership",
    "has_majority",
    "majority",
]
