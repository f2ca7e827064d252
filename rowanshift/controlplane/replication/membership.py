"""Machines that come and go as planned: one that is no witness asks to be one, one that ends hands over first."""

from __future__ import annotations

from rowanshift.controlplane.replication.core import ReplicaCore
from rowanshift.controlplane.replication.fault_domains import UNKNOWN_FAILURE_DOMAIN
from rowanshift.controlplane.replication.messages import Join, Leave, LeaveReply, RecoveryReply, TransferLeadership


class MembershipRole(ReplicaCore):
    """A leaving machine goes on as before, as a candidate too, until the primary releases it."""

    def leave(self, now: float) -> None:
        """This machine is to end: give leadership, the copy and the vote to others; ``released`` tells when."""
        self._now = max(self._now, now)
        self.leaving = True
        self._tick_leaving()
        self._settle()

    def _tick_leaving(self) -> None:
        if self.leave_granted or self._now < self._leave_sent + self.timing.retry_seconds:
            return
        if self._durable.amnesic or self._observes():
            self.leave_granted = True  # it holds nothing and counts for nothing
            return
        self._ask_to_be_replaced()

    def _ask_to_be_replaced(self) -> None:
        """Have the primary give this machine's copy and vote to others; as primary, give leadership first."""
        if self._own_record is not None and not self._give_leadership():
            return
        self._leave_sent = self._now
        for machine in sorted(self.known_machines):
            if self._epoch_given:  # it may have missed it, and would wait for a lease that is given up
                self._send(machine, TransferLeadership(self._epoch_given))
            self._send(machine, Leave(self.me))

    def _tick_uncounted(self) -> None:
        """One that doesn't count makes itself known to the primary; a first member makes room for a spare that does."""
        if self._observes():
            if not self.primary_hint and self._now >= self._joined + self.timing.join_interval_seconds:
                self._joined = self._now
                self._ask_for_records()
        elif self._knows_spare() and self._now >= self._leave_sent + self.timing.retry_seconds:
            self._ask_to_be_replaced()

    def _knows_spare(self) -> bool:
        """Whether a machine that counts and is no witness has asked lately to be one."""
        witnesses = self._durable.accepted.witnesses
        since = self._now - self.timing.spare_lifetime_seconds
        spares = {machine for machine, asked in self._spares.items() if asked > since and machine not in witnesses}
        return any(self.failure_domains.get(machine, UNKNOWN_FAILURE_DOMAIN).quorum_member for machine in spares)

    def _give_leadership(self) -> bool:
        """As primary, once nothing is under way; whether it is given."""
        if len(self._own_record.in_sync) == 1:
            self.leave_granted = True  # nobody else is to hold the state
            return False
        if self._candidacy is not None or self._proposal is not None:
            return False
        self._epoch_given = self._own_record.epoch
        self._transfer_leadership()
        return True

    def _on_leave(self, sender: int, message: Leave) -> None:
        self._leaving[message.machine] = self._now + self.timing.leave_lifetime_seconds
        if self._own_record is not None:
            granted = sender not in self._own_record.in_sync and not self._vote_is_being_given(sender)
            self._send(sender, LeaveReply(self._own_record.epoch, granted))

    def _vote_is_being_given(self, machine: int) -> bool:
        """Whether a leaving machine is a witness that a spare can replace, or is still asked as a former one.

        Until the former set is dropped, whoever takes over needs a majority of it as well.
        """
        epoch = self._own_record
        return machine in epoch.former or (machine in epoch.witnesses and bool(self._live_spares()))

    def _live_spares(self) -> list[int]:
        """Machines that are no witness, live and asked to be one; this one first."""
        fresh = {m for m, asked in self._spares.items() if self._now < asked + self.timing.spare_lifetime_seconds}
        spares = [self.me, *sorted(fresh & self._live_machines())]
        return [machine for machine in spares if machine not in self._own_record.witnesses]

    def _on_leave_reply(self, sender: int, message: LeaveReply) -> None:
        """It counts if no newer epoch was heard of here: one could have chosen this machine again."""
        if self.leaving and message.granted and message.epoch >= self._durable.promised:
            self.leave_granted = True

    def _on_join(self, sender: int, message: Join) -> None:
        self._leaving.pop(message.machine, None)
        self._spares[message.machine] = self._now
        if self._own_record is None:
            durable = self._durable
            self._send_saved(sender, RecoveryReply(0, durable.promised, durable.accepted, durable.amnesic))

    def _ask_to_join(self) -> None:
        self._joined = self._now
        for machine in sorted(self.known_machines):
            self._send(machine, Join(self.me))

    def _live_machines(self) -> set[int]:
        raise NotImplementedError

    def _transfer_leadership(self) -> None:
        raise NotImplementedError

    def _settle(self) -> None:
        raise NotImplementedError
