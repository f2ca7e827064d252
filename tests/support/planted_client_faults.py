"""Services, routers, replicas, stores with one thing wrong each, found by walks with clients or changing members."""

from __future__ import annotations

from dataclasses import replace

from rowanshift.controlplane import replication
from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import unpack
from rowanshift.controlplane.order_history import EMPTY_ORDER_HISTORY
from rowanshift.modelcheck.client_messages import Status
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.fault_search import FaultSearch
from rowanshift.modelcheck.file_system import DATA_FILE, STORE_DIRECTORY, StoreModel
from rowanshift.modelcheck.random_walk import STUBBORN
from rowanshift.modelcheck.router_model import RouterModel


class TakesOrderOnUsedBase(ControlService):
    """An order is taken whatever its base."""

    def _put(self, state, order):
        changed = put_config(state, f'"{state.revision}"', order.body)
        return None if changed is None else changed[0]


class ForgetsOrdersAtTakeover(ControlService):
    """A new primary knows only the orders that were taken since its process began."""

    def __init__(self, *args):
        super().__init__(*args)
        self.known_before = None

    def _put(self, state, order):
        if self.known_before is None:
            self.known_before = state.orders.entries
        entries = state.orders.entries.removeprefix(self.known_before)
        following = super()._put(replace(state, orders=replace(EMPTY_ORDER_HISTORY, entries=entries)), order)
        return following and replace(following, orders=state.orders.with_order(order.revision, bytes(32)))


class RefusesUnconfirmed(ControlService):
    """An order is refused by the state that this machine knows, without a confirmed read."""

    def _begin(self, change):
        if self.replica.is_primary:
            try:
                self._put(unpack(self.replica.committed_state), change.order)
            except ValueError:
                self._reply(change, Status.PRECONDITION_FAILED)
                return
        super()._begin(change)


class RefusesByProposal(ControlService):
    """An order is refused by a proposal that is under way."""

    def _decide(self, change, state):
        proposal = self.replica._proposal
        if proposal is not None and unpack(proposal.state).revision != change.order.base:
            self._reply(change, Status.PRECONDITION_FAILED)
        else:
            super()._decide(change, state)


class AcknowledgesProposed(ControlService):
    """200 is answered for what is only proposed."""

    def _propose(self, change, base, state):
        super()._propose(change, base, state)
        if change is self.change:
            self._reply(change, Status.ACCEPTED, change.order.revision)


class AcknowledgesUnknown(ControlService):
    """200 is answered although primacy was lost while the proposal was under way."""

    def _go_on(self, change, succeeded):
        super()._go_on(change, succeeded or change.proposed)


class RefusesUnknown(ControlService):
    """412 is answered where nobody knows: primacy was lost, or the time was over."""

    def _reply(self, change, status, revision=0):
        unknown = status is Status.UNAVAILABLE and change.proposed
        super()._reply(change, Status.PRECONDITION_FAILED if unknown else status, revision)


class AnswersPollsWithoutLease(ControlService):
    """Polls are answered by whoever believes to be primary."""

    def _holds_lease(self):
        return self.replica.is_primary


class AnswersPollsWithProposed(ControlService):
    """Routers are told what is on this machine's disk, committed or not."""

    def _state_to_tell(self):
        version, state = super()._state_to_tell()
        proposal = self.replica._proposal
        return (version, state) if proposal is None else ((version[0], version[1] + 1), proposal.state)


class RouterTakesOlderEpoch(RouterModel):
    """A router takes whatever comes."""

    def _is_newer(self, update):
        return True


class RouterOrdersBySequence(RouterModel):
    """A router orders by the sequence alone, so that a new epoch's first answers look old."""

    def _is_newer(self, update):
        return update.version[1] <= self.version[1] or update.version >= self.version


class RouterFreshFromAnswer(RouterModel):
    """A router counts itself fresh as of when an answer came."""

    def _confirmed_at(self, update, now):
        return now


class LeaseFromAnswer(replication.Replica):
    """The lease counts from when a majority's answers came, not from when they were asked for."""

    def _on_heartbeat_reply(self, sender, message):
        before = self._lease_from
        super()._on_heartbeat_reply(sender, message)
        if self._lease_from != before and self._epoch is not None:
            self._lease_from = self._now


class GoneWitnessKept(replication.Replica):
    """A witness that is gone is never replaced by a spare."""

    def _witnesses_wanted(self):
        return ()


class ReleasesCopies(replication.Replica):
    """The primary releases a leaving machine although it is one of its backups."""

    def _on_leave(self, sender, message):
        super()._on_leave(sender, message)
        if self._epoch is not None:
            self._send(sender, replication.LeaveReply(self._epoch.number, True))


class DirectoriesSyncedOnlyWhenNew(StoreModel):
    """The directories are synced only by the life that makes the file (so did store.py once)."""

    @staticmethod
    def open(files):
        new = DATA_FILE not in files.shown
        files.make(STORE_DIRECTORY)
        yield
        files.make(DATA_FILE)
        yield
        if new:
            files.sync_directory("store")
            yield
            files.sync_directory("data")
            yield


class ParentDirectoryNotSynced(StoreModel):
    """Only the store's own directory is synced, not the one that holds its name."""

    @staticmethod
    def open(files):
        files.make(STORE_DIRECTORY)
        yield
        files.make(DATA_FILE)
        yield
        files.sync_directory("store")
        yield


class RecordNotSynced(StoreModel):
    """A record is written and left to the kernel."""

    @staticmethod
    def write(files, content):
        files.write_unsynced(content)


FAULTS = {
    TakesOrderOnUsedBase: FaultSearch(0, kind="clients"),
    ForgetsOrdersAtTakeover: FaultSearch(0, kind="clients"),
    RefusesUnconfirmed: FaultSearch(40, faults=("cut", "split", "deaf"), kind="clients", timing=STUBBORN, busy=True),
    RefusesByProposal: FaultSearch(2, faults=("slow", "fail", "pause", "cut"), kind="clients", busy=True),
    AcknowledgesProposed: FaultSearch(0, kind="clients"),
    AcknowledgesUnknown: FaultSearch(4, kind="clients"),
    RefusesUnknown: FaultSearch(4, kind="clients"),
    AnswersPollsWithoutLease: FaultSearch(4, faults=("pause",), kind="clients", busy=True),
    AnswersPollsWithProposed: FaultSearch(8, faults=("slow", "pause", "cut"), kind="clients", busy=True),
    RouterTakesOlderEpoch: FaultSearch(0, kind="clients"),
    RouterOrdersBySequence: FaultSearch(0, kind="clients"),
    RouterFreshFromAnswer: FaultSearch(0, kind="clients"),
    LeaseFromAnswer: FaultSearch(256, faults=("pause",)),
    GoneWitnessKept: FaultSearch(0, spares=1, kind="members"),
    ReleasesCopies: FaultSearch(3, spares=1, kind="members"),
    DirectoriesSyncedOnlyWhenNew: FaultSearch(10, spares=1, kind="members"),
    ParentDirectoryNotSynced: FaultSearch(0, spares=1, kind="members"),
    RecordNotSynced: FaultSearch(0, spares=1, kind="members"),
}
