"""Reports of failure domains between machines, sent where the fault tolerance depends on them."""

from __future__ import annotations

from rowanshift.controlplane.replication.core import NEVER
from rowanshift.controlplane.replication.durability import DurableReplica
from rowanshift.controlplane.replication.failure_domains import FailureDomain
from rowanshift.controlplane.replication.messages import FailureDomainReport


class FailureDomainReporter(DurableReplica):
    """Reports this machine's failure domain periodically, and records those of other machines."""

    def _tick_failure_domain(self) -> None:
        if self.quorum_member and not self.tolerance.domains and not self._received_failure_domain_report:
            return
        report, due_since = self._failure_domain_report(), self._now - self.timing.failure_domain_interval_seconds
        for machine in sorted(self.known_machines):
            if self._failure_domain_sent_at.get(machine, NEVER) <= due_since:
                self._failure_domain_sent_at[machine] = self._now
                self._send(machine, report)

    def _failure_domain_report(self) -> FailureDomainReport:
        domain, members = self.failure_domains[self.me], self._durable.accepted.members()
        no_quorum_members = self.me in members and self._no_quorum_members(members)
        return FailureDomainReport(domain.zone, domain.region, domain.quorum_member, no_quorum_members)

    def _on_failure_domain_report(self, sender: int, message: FailureDomainReport) -> None:
        self._received_failure_domain_report = True
        self.failure_domains[sender] = FailureDomain(message.zone, message.region, message.quorum_member)
        if message.no_quorum_members:
            self._no_quorum_members_heard[sender] = self._now
        else:
            self._no_quorum_members_heard.pop(sender, None)
