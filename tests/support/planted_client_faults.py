"""Services, routers, replicas, stores with one thing wrong each, found by walks with clients or changing members."""

from __future__ import annotations

from dataclasses import replace

from rowanshift.controlplane import replication as p
from rowanshift.controlplane.configuration_change import put_config
from rowanshift.controlplane.control_state import unpack
from rowanshift.controlplane.order_history import EMPTY_ORDER_HISTORY
from rowanshift.modelcheck.client_messages import Status
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.files import DIRECTORY, FILE, StoreModel
from rowanshift.modelcheck.hunt import Hunt
from rowanshift.modelcheck.routers import Router
from rowanshift.modelcheck.walk import STUBBORN


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
                self._reply(change, Status.STALE)
                return
        super()._begin(change)


class RefusesByProposal(ControlService):
    """An order is refused by a proposal that is under way."""

    def _decide(self, change, state):
        proposal = self.replica._proposal
        if proposal is not None and unpack(proposal.state).revision != change.order.base:
            self._reply(change, Status.STALE)
        else:
            super()._decide(change, state)


class AcknowledgesProposed(ControlService):
    """200 is answered for what is only proposed."""

    def _propose(self, change, base, state):
        super()._propose(change, base, state)
        if change is self.change:
            self._reply(change, Status.TAKEN, change.order.revision)


class AcknowledgesUnknown(ControlService):
    """200 is answered although primacy was lost while the proposal was under way."""

    def _go_on(self, change, succeeded):
        super()._go_on(change, succeeded or change.proposed)


class RefusesUnknown(ControlService):
    """412 is answered where nobody knows: primacy was lost, or the time was over."""

    def _reply(self, change, status, revision=0):
        unknown = status is Status.UNAVAILABLE and change.proposed
        super()._reply(change, Status.STALE if unknown else status, revision)


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


class RouterTakesOlderEpoch(Router):
    """A router takes whatever comes."""

    def _is_newer(self, update):
        return True


class RouterOrdersBySequence(Router):
    """A router orders by the sequence alone, so that a new epoch's first answers look old."""

    def _is_newer(self, update):
        return update.version[1] <= self.version[1] or update.version >= self.version


class RouterFreshFromAnswer(Router):
    """A router counts itself fresh as of when an answer came."""

    def _confirmed_at(self, update, now):
        return now


class LeaseFromAnswer(p.Replica):
    """The lease counts from when a majority's answers came, not from when they were asked for."""

    def _on_heartbeat_reply(self, sender, message):
        before = self._lease_from
        super()._on_heartbeat_reply(sender, message)
        if self._lease_from != before and self._epoch is not None:
            self._lease_from = self._now


class GoneWitnessKept(p.Replica):
    """A witness that is gone is never replaced by a spare."""

    def _witnesses_wanted(self):
        return ()


class ReleasesCopies(p.Replica):
    """The primary releases a leaving machine although it is one of its backups."""

    def _on_leave(self, sender, message):
        super()._on_leave(sender, message)
        if self._epoch is not None:
            self._send(sender, p.LeaveReply(self._epoch.number, True))


class DirectoriesSyncedOnlyWhenNew(StoreModel):
    """The directories are synced only by the life that makes the file (so did store.py once)."""

    @staticmethod
    def open(files):
        new = FILE not in files.shown
        files.make(DIRECTORY)
        yield
        files.make(FILE)
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
        files.make(DIRECTORY)
        yield
        files.make(FILE)
        yield
        files.sync_directory("store")
        yield


class RecordNotSynced(StoreModel):
    """A record is written and left to the kernel."""

    @staticmethod
    def write(files, content):
        files.write_unsynced(content)


FAULTS = {
    TakesOrderOnUsedBase: Hunt(0, kind="clients"),
    ForgetsOrdersAtTakeover: Hunt(0, kind="clients"),
    RefusesUnconfirmed: Hunt(40, faults=("cut", "split", "deaf"), kind="clients", timing=STUBBORN, busy=True),
    RefusesByProposal: Hunt(2, faults=("slow", "fail", "pause", "cut"), kind="clients", busy=True),
    AcknowledgesProposed: Hunt(0, kind="clients"),
    AcknowledgesUnknown: Hunt(4, kind="clients"),
    RefusesUnknown: Hunt(4, kind="clients"),
    AnswersPollsWithoutLease: Hunt(4, faults=("pause",), kind="clients", busy=True),
    AnswersPollsWithProposed: Hunt(8, faults=("slow", "pause", "cut"), kind="clients", busy=True),
    RouterTakesOlderEpoch: Hunt(0, kind="clients"),
    RouterOrdersBySequence: Hunt(0, kind="clients"),
    RouterFreshFromAnswer: Hunt(0, kind="clients"),
    LeaseFromAnswer: Hunt(256, faults=("pause",)),
    GoneWitnessKept: Hunt(0, spares=1, kind="members"),
    ReleasesCopies: Hunt(3, spares=1, kind="members"),
    DirectoriesSyncedOnlyWhenNew: Hunt(10, spares=1, kind="members"),
    ParentDirectoryNotSynced: Hunt(0, spares=1, kind="members"),
    RecordNotSynced: Hunt(0, spares=1, kind="members"),
}
