"""Services, routers, replicas and stores with one planted fault each, which the walks must detect."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from rowanshift.controlplane import replication
from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import unpack
from rowanshift.controlplane.order_history import EMPTY_ORDER_HISTORY
from rowanshift.modelcheck.client_messages import Status
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.fault_injection import FaultKind
from rowanshift.modelcheck.fault_search import FaultSearch
from rowanshift.modelcheck.file_system import DATA_FILE, STORE_DIRECTORY
from rowanshift.modelcheck.random_walk import LONG_TENURE_TIMING
from rowanshift.modelcheck.router_model import RouterModel
from rowanshift.modelcheck.store_model import StoreModel


class AcceptsChangeOnUsedBase(ControlService):
    """A change is accepted regardless of its base."""

    def _put(self, state, change):
        changed = put_config(state, f'"{state.revision}"', change.body)
        return None if changed is None else changed[0]


class ForgetsChangesAtTakeover(ControlService):
    """A new primary knows only the changes accepted since its process started."""

    def __init__(self, *args):
        super().__init__(*args)
        self.known_before = None

    def _put(self, state, change):
        if self.known_before is None:
            self.known_before = state.orders.entries
        entries = state.orders.entries.removeprefix(self.known_before)
        following = super()._put(replace(state, orders=replace(EMPTY_ORDER_HISTORY, entries=entries)), change)
        return following and replace(following, orders=state.orders.with_order(change.revision, bytes(32)))


class RefusesUnconfirmed(ControlService):
    """A change is refused based on this machine's own state, without a confirmed read."""

    def _begin(self, pending):
        if self.replica.is_primary:
            try:
                self._put(unpack(self.replica.committed_state), pending.change)
            except ValueError:
                self._reply(pending, Status.PRECONDITION_FAILED)
                return
        super()._begin(pending)


class RefusesByProposal(ControlService):
    """A change is refused based on a pending proposal."""

    def _decide(self, pending, state):
        proposal = self.replica._proposal
        if proposal is not None and unpack(proposal.state).revision != pending.change.base:
            self._reply(pending, Status.PRECONDITION_FAILED)
        else:
            super()._decide(pending, state)


class AcknowledgesProposed(ControlService):
    """A change is answered 200 when it is only proposed."""

    def _propose(self, pending, base, state):
        super()._propose(pending, base, state)
        if pending is self.current:
            self._reply(pending, Status.ACCEPTED, pending.change.revision)


class AcknowledgesUnknown(ControlService):
    """A change is answered 200 although the machine ceased to be primary while the proposal was pending."""

    def _continue(self, pending, succeeded):
        super()._continue(pending, succeeded or pending.proposed)


class RefusesUnknown(ControlService):
    """A change with an unknown outcome is answered 412: the machine ceased to be primary, or the time limit passed."""

    def _reply(self, pending, status, revision=0):
        unknown = status is Status.UNAVAILABLE and pending.proposed
        super()._reply(pending, Status.PRECONDITION_FAILED if unknown else status, revision)


class AnswersPollsWithoutLease(ControlService):
    """Polls are answered by any machine that regards itself as the primary."""

    def _holds_lease(self):
        return self.replica.is_primary


class AnswersPollsWithProposed(ControlService):
    """Routers receive the newest proposal, committed or not."""

    def _published_state(self):
        version, state = super()._published_state()
        proposal = self.replica._proposal
        if proposal is None:
            return version, state
        return msgspec.structs.replace(version, sequence=version.sequence + 1), proposal.state


class RouterAppliesOlderEpoch(RouterModel):
    """A router applies any state that arrives."""

    def _is_newer(self, update):
        return True


class RouterOrdersBySequence(RouterModel):
    """A router compares only the sequence, so that the first answers of a new epoch look outdated."""

    def _is_newer(self, update):
        return update.version.sequence <= self.version.sequence or update.version >= self.version


class RouterFreshFromAnswer(RouterModel):
    """A router regards itself as up to date as of the arrival of an answer."""

    def _confirmed_at(self, update, now):
        return now


class LeaseFromAnswer(replication.Replica):
    """The lease starts when a majority's answers arrive, not when the heartbeats were sent."""

    def _on_heartbeat_reply(self, sender, message):
        before = self._lease_started_at
        super()._on_heartbeat_reply(sender, message)
        if self._lease_started_at != before and self._own_record is not None:
            self._lease_started_at = self._now


class RemovedWitnessKept(replication.Replica):
    """A removed witness is never replaced by a spare."""

    def _next_witness_set(self):
        return ()


class ReleasesCopies(replication.Replica):
    """The primary releases a leaving machine although it is one of its backups."""

    def _on_leave(self, sender, message):
        super()._on_leave(sender, message)
        if self._own_record is not None:
            self._send(sender, replication.LeaveReply(self._own_record.epoch, True))


class DirectoriesSyncedOnlyWhenNew(StoreModel):
    """The directories are synced only by the process that creates the file, as an earlier version of store.py did."""

    @staticmethod
    def open(file_system):
        new = DATA_FILE not in file_system.visible
        file_system.create(STORE_DIRECTORY)
        yield
        file_system.create(DATA_FILE)
        yield
        if new:
            file_system.sync_directory("store")
            yield
            file_system.sync_directory("data")
            yield


class ParentDirectoryNotSynced(StoreModel):
    """Only the store's own directory is synced, not its parent directory."""

    @staticmethod
    def open(file_system):
        file_system.create(STORE_DIRECTORY)
        yield
        file_system.create(DATA_FILE)
        yield
        file_system.sync_directory("store")
        yield


class RecordNotSynced(StoreModel):
    """A record is written but not synced."""

    @staticmethod
    def write(file_system, content):
        file_system.write_unsynced(content)


FAULTS = {
    AcceptsChangeOnUsedBase: FaultSearch(0, walk="clients"),
    ForgetsChangesAtTakeover: FaultSearch(0, walk="clients"),
    RefusesUnconfirmed: FaultSearch(
        40,
        fault_kinds=(FaultKind.LINK_CUTS, FaultKind.PARTITION, FaultKind.MESSAGE_BLOCK),
        walk="clients",
        timing=LONG_TENURE_TIMING,
        heavy_load=True,
    ),
    RefusesByProposal: FaultSearch(
        0,
        fault_kinds=(FaultKind.SLOW_DISK, FaultKind.SAVE_ERROR, FaultKind.PAUSE, FaultKind.LINK_CUTS),
        walk="clients",
        heavy_load=True,
    ),
    AcknowledgesProposed: FaultSearch(0, walk="clients"),
    AcknowledgesUnknown: FaultSearch(2, walk="clients"),
    RefusesUnknown: FaultSearch(1, walk="clients"),
    AnswersPollsWithoutLease: FaultSearch(5, fault_kinds=(FaultKind.PAUSE,), walk="clients", heavy_load=True),
    AnswersPollsWithProposed: FaultSearch(
        18, fault_kinds=(FaultKind.SLOW_DISK, FaultKind.PAUSE, FaultKind.LINK_CUTS), walk="clients", heavy_load=True
    ),
    RouterAppliesOlderEpoch: FaultSearch(0, walk="clients"),
    RouterOrdersBySequence: FaultSearch(0, walk="clients"),
    RouterFreshFromAnswer: FaultSearch(0, walk="clients"),
    LeaseFromAnswer: FaultSearch(256, fault_kinds=(FaultKind.PAUSE,)),
    RemovedWitnessKept: FaultSearch(0, spares=1, walk="members"),
    ReleasesCopies: FaultSearch(0, spares=1, walk="members"),
    DirectoriesSyncedOnlyWhenNew: FaultSearch(1, spares=1, walk="members"),
    ParentDirectoryNotSynced: FaultSearch(0, spares=1, walk="members"),
    RecordNotSynced: FaultSearch(0, spares=1, walk="members"),
}
